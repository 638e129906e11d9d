//! Replay policies by name, expressed as changes to the operators' rules.

use std::str::FromStr;
use std::time::Duration;

use derive_more::{Display, Error};
use skylarkshore_core::catalogue::Document;
use skylarkshore_core::rules::{IdleAfter, RuleOutcome, ServiceOrder};

/// A policy under which a trace is replayed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Policy {
    /// The deployment's own rules.
    #[display("rules")]
    Rules,
    /// The deployment's own rules with the cold-start weight scaled, in percent.
    #[display("rules@{_0}%")]
    Weighted(u32),
    /// Unloads each model after a fixed idle time, in seconds.
    #[display("fixed-{_0}s")]
    Fixed(u64),
    /// Unloads a model only if another one needs its memory.
    #[display("never")]
    Never,
    /// Unloads each model as soon as it is idle.
    #[display("at-once")]
    AtOnce,
    /// Loads models in the order of their requests, with a fixed idle time of five minutes.
    #[display("fcfs")]
    FirstComeFirstServed,
}

/// An unknown policy name.
#[derive(Debug, Display, Error, PartialEq, Eq)]
#[display("unknown policy '{name}'; use rules, rules@PERCENT%, fixed-SECONDSs, never, at-once or fcfs")]
pub struct UnknownPolicy {
    name: String,
}

const FCFS_IDLE_SECS: u64 = 300;

impl Policy {
    /// The policies that a replay is compared with by default.
    pub const BASELINES: [Self; 6] = [
        Self::Fixed(60),
        Self::Fixed(300),
        Self::Fixed(900),
        Self::Never,
        Self::AtOnce,
        Self::FirstComeFirstServed,
    ];

    /// Returns the operators' document changed to follow the policy.
    pub fn apply(self, document: &Document) -> Document {
        let mut document = document.clone();
        let rules = &mut document.rules;
        for outcome in rules.list.iter_mut().map(|rule| &mut rule.then).chain([&mut rules.otherwise]) {
            self.apply_to(outcome);
        }
        document
    }

    fn apply_to(self, outcome: &mut RuleOutcome) {
        match self {
            Self::Rules => {}
            Self::Weighted(percent) => {
                // Scales both weights up, since dividing a small integer would round it to zero.
                outcome.cold_start_weight *= percent;
                outcome.idle_weight *= 100;
            }
            Self::Fixed(secs) => outcome.idle_after = IdleAfter::Fixed(Duration::from_secs(secs)),
            Self::Never => outcome.idle_after = IdleAfter::Never,
            Self::AtOnce => outcome.idle_after = IdleAfter::Fixed(Duration::ZERO),
            Self::FirstComeFirstServed => {
                outcome.idle_after = IdleAfter::Fixed(Duration::from_secs(FCFS_IDLE_SECS));
                outcome.order = ServiceOrder::default();
            }
        }
    }
}

impl FromStr for Policy {
    type Err = UnknownPolicy;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        let unknown = || UnknownPolicy { name: name.to_owned() };
        match name {
            "rules" => return Ok(Self::Rules),
            "never" => return Ok(Self::Never),
            "at-once" => return Ok(Self::AtOnce),
            "fcfs" => return Ok(Self::FirstComeFirstServed),
            _ => {}
        }
        if let Some(percent) = name.strip_prefix("rules@").and_then(|rest| rest.strip_suffix('%')) {
            return percent.parse().map(Self::Weighted).map_err(|_invalid| unknown());
        }
        let secs = name.strip_prefix("fixed-").and_then(|rest| rest.strip_suffix('s'));
        secs.and_then(|secs| secs.parse().ok()).map(Self::Fixed).ok_or_else(unknown)
    }
}
