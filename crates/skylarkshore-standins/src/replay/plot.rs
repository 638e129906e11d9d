//! Plots policies by idle accelerator hours and 99th percentile of the waits.

use std::path::Path;

use derive_more::{Display, Error};
use plotters::prelude::{
    BLACK, BLUE, ChartBuilder, Circle, Color, EmptyElement, IntoDrawingArea, IntoFont, LineSeries, RED,
    SVGBackend, Text, WHITE,
};

use super::outcome::Outcome;
use super::policy::Policy;

/// A plot file that couldn't be written.
#[derive(Debug, Display, Error)]
#[display("the plot can't be written to {file}: {reason}; name another file by --plot")]
pub struct PlotFailed {
    file: String,
    reason: String,
}

const SIZE_PX: (u32, u32) = (900, 600);
const AXIS_HEADROOM: f64 = 1.1;
const DOT_RADIUS_PX: i32 = 4;

/// Writes an SVG scatter plot of the outcomes; a line joins those of the deployment's own rules.
///
/// # Errors
///
/// Returns an error if the file can't be written.
pub fn plot(file: &Path, title: &str, outcomes: &[Outcome]) -> Result<(), PlotFailed> {
    render(file, title, outcomes)
        .map_err(|err| PlotFailed { file: file.display().to_string(), reason: err.to_string() })
}

struct Dot {
    x: f64,
    y: f64,
    label: String,
}

impl Dot {
    fn new(outcome: &Outcome) -> Self {
        let label = outcome.policy.to_string();
        Self { x: outcome.idle_hours(), y: outcome.wait_p99.as_secs_f64(), label }
    }
}

fn render(file: &Path, title: &str, outcomes: &[Outcome]) -> Result<(), Box<dyn std::error::Error>> {
    let dots: Vec<Dot> = outcomes.iter().map(Dot::new).collect();
    let right = dots.iter().map(|dot| dot.x).fold(0.1, f64::max) * AXIS_HEADROOM;
    let top = dots.iter().map(|dot| dot.y).fold(0.1, f64::max) * AXIS_HEADROOM;
    let area = SVGBackend::new(file, SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 20).into_font())
        .margin(15)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..right, 0.0..top)?;
    chart.configure_mesh().x_desc("idle accelerator hours").y_desc("99th percentile of waits, s").draw()?;
    let uses_own_rules = |policy: Policy| matches!(policy, Policy::Rules | Policy::Weighted(_));
    let mut line: Vec<(f64, f64)> = outcomes
        .iter()
        .zip(&dots)
        .filter(|(o, _)| uses_own_rules(o.policy))
        .map(|(_, dot)| (dot.x, dot.y))
        .collect();
    line.sort_by(|a, b| a.0.total_cmp(&b.0));
    chart.draw_series(LineSeries::new(line, &BLUE))?;
    for (outcome, dot) in outcomes.iter().zip(&dots) {
        let colour = if uses_own_rules(outcome.policy) { BLUE } else { RED };
        let element = EmptyElement::at((dot.x, dot.y))
            + Circle::new((0, 0), DOT_RADIUS_PX, colour.filled())
            + Text::new(dot.label.clone(), (6, -12), ("sans-serif", 13).into_font().color(&BLACK));
        chart.draw_series([element])?;
    }
    area.present()?;
    Ok(())
}
