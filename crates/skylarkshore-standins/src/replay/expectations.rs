//! The expected outcomes of a trace, and the check of a replay against them.

use std::time::Duration;

use derive_more::{Display, Error};

use super::outcome::Outcome;

#[derive(Clone, Debug, PartialEq)]
enum Bound {
    AtLeast(f64),
    AtMost(f64),
}

#[derive(Clone, Debug, PartialEq)]
struct Expectation {
    metric: Metric,
    bound: Bound,
}

#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
enum Metric {
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

const METRICS: [Metric; 8] = [
    Metric::Served,
    Metric::RefusedNotRun,
    Metric::Others,
    Metric::Longest,
    Metric::WaitP99,
    Metric::IdleHours,
    Metric::PeakWatts,
    Metric::Loads,
];

/// The expected outcomes of a trace.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Expectations {
    expectations: Vec<Expectation>,
}

/// A line that can't be parsed as an expected outcome.
#[derive(Debug, Display, Error, PartialEq, Eq)]
#[display(
    "line {line}: '{text}' is no expected outcome; write METRIC at-least|at-most NUMBER, \
     for example 'loads at-most 120'; the metrics are {metrics}"
)]
pub struct InvalidExpectation {
    line: usize,
    text: String,
    metrics: String,
}

impl Expectations {
    /// Parses the expected outcomes, one per line.
    ///
    /// # Errors
    ///
    /// Returns the first line that can't be parsed and the expected format.
    pub fn parse(text: &str) -> Result<Self, InvalidExpectation> {
        let mut expectations = Vec::new();
        for (i, text) in text.lines().enumerate() {
            let text = text.trim();
            if text.is_empty() || text.starts_with('#') {
                continue;
            }
            let metrics = || METRICS.map(|metric| metric.to_string()).join(", ");
            let invalid = || InvalidExpectation { line: i + 1, text: text.to_owned(), metrics: metrics() };
            expectations.push(parse_expectation(text).ok_or_else(invalid)?);
        }
        Ok(Self { expectations })
    }

    /// Describes the expectations that an outcome doesn't meet.
    pub fn unmet(&self, outcome: &Outcome) -> Vec<String> {
        let unmet = self.expectations.iter().filter(|expectation| !expectation.holds_for(outcome));
        unmet.map(|expectation| expectation.describe(outcome)).collect()
    }
}

impl Expectation {
    fn holds_for(&self, outcome: &Outcome) -> bool {
        match self.bound {
            Bound::AtLeast(bound) => self.metric.value(outcome) >= bound,
            Bound::AtMost(bound) => self.metric.value(outcome) <= bound,
        }
    }

    fn describe(&self, outcome: &Outcome) -> String {
        let found = self.metric.value(outcome);
        match self.bound {
            Bound::AtLeast(bound) => format!("{} is {found:.2}, expected at least {bound}", self.metric),
            Bound::AtMost(bound) => format!("{} is {found:.2}, expected at most {bound}", self.metric),
        }
    }
}

impl Metric {
    #[expect(clippy::cast_precision_loss, reason = "no value comes near 2^53")]
    fn value(self, outcome: &Outcome) -> f64 {
        let secs = Duration::as_secs_f64;
        match self {
            Self::Served => outcome.served as f64,
            Self::RefusedNotRun => outcome.refused_not_run as f64,
            Self::Others => outcome.ended_otherwise as f64,
            Self::Longest => secs(&outcome.longest_wait),
            Self::WaitP99 => secs(&outcome.wait_p99),
            Self::IdleHours => outcome.idle_hours(),
            Self::PeakWatts => outcome.peak_power.0 as f64,
            Self::Loads => outcome.loads as f64,
        }
    }
}

fn parse_expectation(text: &str) -> Option<Expectation> {
    let fields: Vec<&str> = text.split_whitespace().collect();
    let [name, bound, number] = fields[..] else { return None };
    let metric = METRICS.into_iter().find(|metric| metric.to_string() == name)?;
    let number: f64 = number.parse().ok().filter(|n: &f64| n.is_finite())?;
    let bound = match bound {
        "at-least" => Bound::AtLeast(number),
        "at-most" => Bound::AtMost(number),
        _ => return None,
    };
    Some(Expectation { metric, bound })
}
