//! Draws plays: each crashing request a point, by the servers that ended under it and the time until
//! the last box knew.

use std::path::Path;

use plotters::prelude::*;

use super::Outcome;

/// Pixels of the picture.
const SIZE: (u32, u32) = (760, 420);
/// What it shows at the most.
const MOST_SERVERS: f64 = 12.0;
const MOST_MS: f64 = 4_000.0;

/// Draws plays, those that broke a promise in red.
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
        .build_cartesian_2d(0.0..MOST_SERVERS, 0.0..MOST_MS)
        .map_err(|e| fault(&e))?;
    chart
        .configure_mesh()
        .x_desc("servers that ended under the worst request of a play")
        .y_desc("ms until the last box knew")
        .draw()
        .map_err(|e| fault(&e))?;
    for (is_broken, colour) in [(false, BLUE), (true, RED)] {
        let points = outcomes.iter().filter(|o| o.is_over_budget() == is_broken);
        let points = points.map(|o| Circle::new(place(o), 2, colour.mix(0.4).filled()));
        chart.draw_series(points).map_err(|e| fault(&e))?;
    }
    area.present().map_err(|e| fault(&e))
}

fn place(outcome: &Outcome) -> (f64, f64) {
    let servers = outcome.crashes.iter().max().copied().unwrap_or_default() as f64;
    let known = outcome.known_ms.iter().max().copied().unwrap_or_default() as f64;
    (servers.min(MOST_SERVERS), known.min(MOST_MS))
}
