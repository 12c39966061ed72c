//! Reports from the journal of the users' bench: scores, worst days and costs over the entries, as
//! a table and as a plot, so that a change that made a day worse is seen at once.

use std::collections::BTreeMap;
use std::path::Path;

use plotters::prelude::*;
use serde_json::{Value, json};

/// The fields of the table.
const FIELDS: [&str; 8] = [
    "entry",
    "site",
    "score",
    "worst_day",
    "worst",
    "broken",
    "processor_s",
    "store_calls",
];

/// The size of the picture.
const SIZE: (u32, u32) = (800, 480);

/// Reads the scores of a journal, the oldest first.
///
/// # Errors
///
/// That the folder can't be read. Entries that can't be read are left out.
pub fn scores(folder: &Path) -> Result<Vec<Value>, String> {
    let files = std::fs::read_dir(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let mut paths: Vec<_> = files.filter_map(|f| Some(f.ok()?.path())).collect();
    paths.sort();
    let texts = paths.iter().filter_map(|p| std::fs::read_to_string(p).ok());
    let entries = texts.filter_map(|text| serde_json::from_str::<Value>(&text).ok());
    Ok(entries.filter_map(|entry| row(&entry)).collect())
}

/// The row of an entry, if it is a score.
fn row(entry: &Value) -> Option<Value> {
    let score = entry.get("score")?.as_f64()?;
    let days = entry.get("days")?.as_array()?;
    // A day that was drawn just now has no marks and doesn't count.
    let counted = days
        .iter()
        .filter(|day| !day["name"].as_str().unwrap_or("").starts_with("fresh"));
    let worst = counted
        .filter_map(|day| Some((day["score"].as_f64()?, day["name"].as_str()?)))
        .min_by(|a, b| a.0.total_cmp(&b.0))?;
    let broken = days.iter().filter(|day| has_broken(day)).count();
    Some(json!({
        "entry": entry["id"],
        "site": entry["site"],
        "score": score,
        "worst_day": worst.1,
        "worst": worst.0,
        "broken": broken,
        "processor_s": price(days, "processor seconds"),
        "store_calls": price(days, "cloud calls"),
    }))
}

fn has_broken(day: &Value) -> bool {
    day["rules"]
        .as_object()
        .is_some_and(|rules| !rules.is_empty())
}

/// How much of what has a price was used on all days.
fn price(days: &[Value], name: &str) -> f64 {
    let prices = days
        .iter()
        .filter_map(|day| day["prices"].as_array())
        .flatten();
    prices
        .filter(|price| price[0] == name)
        .filter_map(|price| price[1].as_f64())
        .sum()
}

/// Prints the scores and draws them, score and worst day of each site.
///
/// # Errors
///
/// What can't be read or drawn.
pub fn report(folder: &Path, picture: &str) -> Result<(), String> {
    let rows = scores(folder)?;
    print_table(&rows, &FIELDS);
    let mut lines: BTreeMap<String, Vec<(f64, f64)>> = BTreeMap::new();
    for row in &rows {
        let site = row["site"].as_str().unwrap_or_default();
        for field in ["score", "worst"] {
            let points = lines.entry(format!("{site}, {field}")).or_default();
            let place = points.len() as f64;
            points.push((place, row[field].as_f64().unwrap_or_default()));
        }
    }
    let lines: Vec<_> = lines.into_iter().collect();
    plot(
        picture,
        "scores by journal entry",
        ("entry of the site", "score"),
        &lines,
    )
}

/// Prints rows of objects as a table, with the fields named.
fn print_table(rows: &[Value], fields: &[&str]) {
    let cell = |row: &Value, field: &str| match row.pointer(&format!("/{field}")) {
        Some(Value::Number(n)) => n.as_f64().map_or(n.to_string(), |f| format!("{f:.2}")),
        Some(Value::String(s)) => s.clone(),
        Some(other) => other.to_string(),
        None => String::new(),
    };
    let header: Vec<String> = fields.iter().map(|f| format!("{f:>22}")).collect();
    println!("{}", header.join(" "));
    for row in rows {
        let cells: Vec<String> = fields
            .iter()
            .map(|f| format!("{:>22}", cell(row, f)))
            .collect();
        println!("{}", cells.join(" "));
    }
}

/// Draws lines of points, each with a name, as SVG.
fn plot(
    path: &str,
    title: &str,
    axes: (&str, &str),
    lines: &[(String, Vec<(f64, f64)>)],
) -> Result<(), String> {
    let points = || lines.iter().flat_map(|(_, points)| points);
    let most_x = points().map(|p| p.0).fold(1.0, f64::max);
    let most_y = points().map(|p| p.1).fold(0.01, f64::max);
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    let failed = |e: String| format!("{path}: {e}");
    area.fill(&WHITE).map_err(|e| failed(e.to_string()))?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 20))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..most_x * 1.05, 0.0..most_y * 1.05)
        .map_err(|e| failed(e.to_string()))?;
    chart
        .configure_mesh()
        .x_desc(axes.0)
        .y_desc(axes.1)
        .draw()
        .map_err(|e| failed(e.to_string()))?;
    for (place, (name, points)) in lines.iter().enumerate() {
        let colour = Palette99::pick(place).to_rgba();
        chart
            .draw_series(LineSeries::new(
                points.iter().copied(),
                colour.stroke_width(2),
            ))
            .map_err(|e| failed(e.to_string()))?
            .label(name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour));
    }
    chart
        .configure_series_labels()
        .border_style(BLACK)
        .draw()
        .map_err(|e| failed(e.to_string()))?;
    area.present().map_err(|e| failed(e.to_string()))
}
