//! A plot of policies by idle accelerator hours and tail of the waits.

use std::path::Path;

use derive_more::{Display, Error};
use plotters::prelude::{
    BLACK, BLUE, ChartBuilder, Circle, Color, EmptyElement, IntoDrawingArea, IntoFont, LineSeries, RED,
    SVGBackend, Text, WHITE,
};

use super::outcome::Outcome;
use super::policy::Policy;

/// A plot that couldn't be written.
#[derive(Debug, Display, Error)]
#[display("the plot can't be written to {file}: {reason}; name another file by --plot")]
pub struct PlotFailed {
    file: String,
    reason: String,
}

const SIZE: (u32, u32) = (900, 600);
const MARGIN: f64 = 1.1;
const DOT: i32 = 4;

/// Writes an SVG file with a dot for each outcome; those by weights are joined by a line.
///
/// # Errors
///
/// Tells when the file can't be written.
pub fn plot(file: &Path, title: &str, outcomes: &[Outcome]) -> Result<(), PlotFailed> {
    draw(file, title, outcomes)
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

fn draw(file: &Path, title: &str, outcomes: &[Outcome]) -> Result<(), Box<dyn std::error::Error>> {
    let dots: Vec<Dot> = outcomes.iter().map(Dot::new).collect();
    let right = dots.iter().map(|dot| dot.x).fold(0.1, f64::max) * MARGIN;
    let top = dots.iter().map(|dot| dot.y).fold(0.1, f64::max) * MARGIN;
    let area = SVGBackend::new(file, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 20).into_font())
        .margin(15)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..right, 0.0..top)?;
    chart.configure_mesh().x_desc("idle accelerator hours").y_desc("99th percentile of waits, s").draw()?;
    let is_own = |policy: Policy| matches!(policy, Policy::Rules | Policy::Weighted(_));
    let mut line: Vec<(f64, f64)> =
        outcomes.iter().zip(&dots).filter(|(o, _)| is_own(o.policy)).map(|(_, dot)| (dot.x, dot.y)).collect();
    line.sort_by(|a, b| a.0.total_cmp(&b.0));
    chart.draw_series(LineSeries::new(line, &BLUE))?;
    for (outcome, dot) in outcomes.iter().zip(&dots) {
        let colour = if is_own(outcome.policy) { BLUE } else { RED };
        let element = EmptyElement::at((dot.x, dot.y))
            + Circle::new((0, 0), DOT, colour.filled())
            + Text::new(dot.label.clone(), (6, -12), ("sans-serif", 13).into_font().color(&BLACK));
        chart.draw_series([element])?;
    }
    area.present()?;
    Ok(())
}
