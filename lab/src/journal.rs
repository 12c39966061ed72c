//! Reports from the journal of the users' bench: scores, worst days and costs over the entries, as a
//! table and as a plot, so that a change that made a day worse is seen at once.

use std::collections::BTreeMap;
use std::path::Path;

use serde_json::{Value, json};

use crate::bench::report::{plot, print_table};

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
