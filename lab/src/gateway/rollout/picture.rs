//! Draws what orders came to: each a point, by the time to its verdict and its exposure.

use std::path::Path;

use plotters::prelude::*;

use super::score::{EXPOSURE_SHARE, EXPOSURE_SLACK, Outcome};

/// Pixels of the picture.
const SIZE: (u32, u32) = (760, 420);
/// Seconds that the picture shows.
const MOST_SECONDS: f64 = 15.0;
/// How much of the bound on exposure it shows; sound versions get all requests in the end.
const MOST_EXPOSED: f64 = 2.0;

/// Draws orders of good and of bad versions.
///
/// # Errors
///
/// Says what can't be drawn.
pub fn draw(outcomes: &[Outcome], out: &Path) -> Result<(), String> {
    let fault = |e: &dyn std::fmt::Display| format!("{}: {e}", out.display());
    let area = SVGBackend::new(out, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(|e| fault(&e))?;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..MOST_SECONDS, 0.0..MOST_EXPOSED)
        .map_err(|e| fault(&e))?;
    chart
        .configure_mesh()
        .x_desc("seconds from the order to its final status")
        .y_desc("requests to the version, of the bound")
        .draw()
        .map_err(|e| fault(&e))?;
    for (is_bad, colour) in [(false, BLUE), (true, RED)] {
        let points = outcomes.iter().filter(|o| o.is_bad == is_bad);
        let points = points.map(|o| Circle::new(place(o), 2, colour.mix(0.5).filled()));
        chart.draw_series(points).map_err(|e| fault(&e))?;
    }
    area.present().map_err(|e| fault(&e))
}

fn place(outcome: &Outcome) -> (f64, f64) {
    let allowed = EXPOSURE_SHARE * outcome.requests as f64 + EXPOSURE_SLACK;
    let exposed = outcome.exposed as f64 / allowed;
    let verdict = outcome.verdict_s.unwrap_or(MOST_SECONDS);
    (verdict.min(MOST_SECONDS), exposed.min(MOST_EXPOSED))
}
