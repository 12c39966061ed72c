//! Figures, tables and plots.

use std::time::Duration;

use hdrhistogram::Histogram;
use plotters::prelude::*;
use serde_json::{Value, json};

/// The longest time that is told apart, in microseconds.
const LONGEST: u64 = 600_000_000;
/// Significant decimal digits that are kept.
const DIGITS: u8 = 3;
/// The size of a plot.
const SIZE: (u32, u32) = (800, 480);

/// Times, of which quantiles are wanted.
#[derive(Debug)]
pub struct Times(Histogram<u64>);

impl Default for Times {
    fn default() -> Self {
        Self(Histogram::new_with_bounds(1, LONGEST, DIGITS).expect("constant bounds are valid"))
    }
}

impl Times {
    /// Adds a time.
    pub fn add(&mut self, time: Duration) {
        self.0.saturating_record((time.as_micros() as u64).max(1));
    }

    /// How many there are.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.0.len()
    }

    /// A quantile in milliseconds; zero if there are none.
    #[must_use]
    pub fn millis(&self, q: f64) -> f64 {
        if self.0.is_empty() {
            0.0
        } else {
            self.0.value_at_quantile(q) as f64 / 1_000.0
        }
    }

    /// Count and usual quantiles.
    #[must_use]
    pub fn summary(&self) -> Value {
        json!({
            "count": self.count(),
            "p50_ms": self.millis(0.5),
            "p95_ms": self.millis(0.95),
            "p99_ms": self.millis(0.99),
            "max_ms": self.millis(1.0),
        })
    }
}

/// Prints rows of objects as a table, with the fields named.
pub fn print_table(rows: &[Value], fields: &[&str]) {
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
///
/// # Errors
///
/// Says what could not be drawn.
pub fn plot(
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
