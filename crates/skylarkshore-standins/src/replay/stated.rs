//! The outcomes that a trace's file states, and whether a replay meets them.

use std::time::Duration;

use derive_more::{Display, Error};

use super::outcome::Outcome;

/// What a file states of one figure.
#[derive(Clone, Debug, PartialEq)]
enum Bound {
    AtLeast(f64),
    AtMost(f64),
}

#[derive(Clone, Debug, PartialEq)]
struct Line {
    figure: Figure,
    bound: Bound,
}

#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
enum Figure {
    #[display("served")]
    Served,
    #[display("refused-not-run")]
    RefusedNotRun,
    #[display("ended-otherwise")]
    Others,
    #[display("longest-cold-start-s")]
    Longest,
    #[display("p99-wait-s")]
    WaitP99,
    #[display("idle-accelerator-hours")]
    IdleHours,
    #[display("peak-watts")]
    PeakWatts,
    #[display("loads")]
    Loads,
}

const FIGURES: [Figure; 8] = [
    Figure::Served,
    Figure::RefusedNotRun,
    Figure::Others,
    Figure::Longest,
    Figure::WaitP99,
    Figure::IdleHours,
    Figure::PeakWatts,
    Figure::Loads,
];

/// The outcomes that a trace's file states.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Stated {
    lines: Vec<Line>,
}

/// A line that states no outcome.
#[derive(Debug, Display, Error, PartialEq, Eq)]
#[display(
    "line {line}: '{text}' states no outcome; write FIGURE at-least|at-most NUMBER, \
     for example 'loads at-most 120'; the figures are {figures}"
)]
pub struct InvalidStated {
    line: usize,
    text: String,
    figures: String,
}

impl Stated {
    /// Reads the stated outcomes.
    ///
    /// # Errors
    ///
    /// Names the line that can't be understood, and what to write.
    pub fn parse(text: &str) -> Result<Self, InvalidStated> {
        let mut lines = Vec::new();
        for (i, text) in text.lines().enumerate() {
            let text = text.trim();
            if text.is_empty() || text.starts_with('#') {
                continue;
            }
            let figures = || FIGURES.map(|figure| figure.to_string()).join(", ");
            let invalid = || InvalidStated { line: i + 1, text: text.to_owned(), figures: figures() };
            lines.push(line(text).ok_or_else(invalid)?);
        }
        Ok(Self { lines })
    }

    /// Lists what an outcome misses.
    pub fn missed(&self, outcome: &Outcome) -> Vec<String> {
        let missed = self.lines.iter().filter(|line| !line.is_met(outcome));
        missed.map(|line| line.describe(outcome)).collect()
    }
}

impl Line {
    fn is_met(&self, outcome: &Outcome) -> bool {
        match self.bound {
            Bound::AtLeast(bound) => self.figure.of(outcome) >= bound,
            Bound::AtMost(bound) => self.figure.of(outcome) <= bound,
        }
    }

    fn describe(&self, outcome: &Outcome) -> String {
        let found = self.figure.of(outcome);
        match self.bound {
            Bound::AtLeast(bound) => format!("{} is {found:.2}, stated is at least {bound}", self.figure),
            Bound::AtMost(bound) => format!("{} is {found:.2}, stated is at most {bound}", self.figure),
        }
    }
}

impl Figure {
    #[expect(clippy::cast_precision_loss, reason = "no figure comes near 2^53")]
    fn of(self, outcome: &Outcome) -> f64 {
        let secs = Duration::as_secs_f64;
        match self {
            Self::Served => outcome.served as f64,
            Self::RefusedNotRun => outcome.refused_not_run as f64,
            Self::Others => outcome.others as f64,
            Self::Longest => secs(&outcome.longest),
            Self::WaitP99 => secs(&outcome.wait_p99),
            Self::IdleHours => outcome.idle_hours(),
            Self::PeakWatts => outcome.peak.0 as f64,
            Self::Loads => outcome.loads as f64,
        }
    }
}

fn line(text: &str) -> Option<Line> {
    let fields: Vec<&str> = text.split_whitespace().collect();
    let [name, bound, number] = fields[..] else { return None };
    let figure = FIGURES.into_iter().find(|figure| figure.to_string() == name)?;
    let number: f64 = number.parse().ok().filter(|n: &f64| n.is_finite())?;
    let bound = match bound {
        "at-least" => Bound::AtLeast(number),
        "at-most" => Bound::AtMost(number),
        _ => return None,
    };
    Some(Line { figure, bound })
}
