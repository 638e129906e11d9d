//! Sizes and power, checked and printed with their units.

use std::iter::Sum;
use std::str::FromStr;
use std::time::Duration;

use derive_more::{Add, AddAssign, Display, Error, Sub};
use serde::{Deserialize, Serialize};

/// An amount of accelerator memory in mebibytes.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Add,
    AddAssign,
    Sub,
    Serialize,
    Deserialize,
)]
#[display("{_0}MiB")]
#[serde(transparent)]
pub struct Mebibytes(pub u64);

/// Electric power in watts.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Add,
    AddAssign,
    Sub,
    Serialize,
    Deserialize,
)]
#[display("{_0}W")]
#[serde(transparent)]
pub struct Watts(pub u64);

/// What a host can do beside others: the share of a core that it has, in thousandths.
#[derive(
    Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0}mcores")]
#[serde(transparent)]
pub struct Capacity(pub u32);

/// What the limit of a client account counts: tokens, or whole requests.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Add,
    AddAssign,
    Sub,
    Serialize,
    Deserialize,
)]
#[display("{_0}credits")]
#[serde(transparent)]
pub struct Credits(pub u64);

/// How many credits come in a thousand seconds.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[display("{_0}credits/ks")]
#[serde(transparent)]
pub struct CreditRate(pub u64);

impl CreditRate {
    /// Returns the whole credits that come in a second.
    pub const fn per_second(self) -> Credits {
        Credits(self.0 / 1000)
    }
}

/// How many loads a weight store lets begin in a thousand seconds.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[display("{_0}/ks")]
#[serde(transparent)]
pub struct LoadRate(pub u32);

impl LoadRate {
    /// Returns the span over which starts are counted, and how many may be in it.
    ///
    /// A second where that holds one or more, else the time that one takes.
    pub fn window(self) -> (Duration, usize) {
        const KILOSECOND_MILLIS: u64 = 1_000_000;
        let per_kilosecond = u64::from(self.0.max(1));
        if per_kilosecond < 1000 {
            return (Duration::from_millis(KILOSECOND_MILLIS / per_kilosecond), 1);
        }
        (Duration::from_secs(1), usize::try_from(per_kilosecond.div_ceil(1000)).unwrap_or(usize::MAX))
    }
}

/// A text that is no size or power.
#[derive(Debug, Display, Error, PartialEq, Eq)]
#[display("'{text}' is not an amount; write a whole number followed by {unit}, for example 80{unit}")]
pub struct InvalidAmount {
    text: String,
    unit: &'static str,
}

const MEBIBYTES_PER_GIBIBYTE: u64 = 1024;

fn parse(s: &str, unit: &'static str) -> Result<u64, InvalidAmount> {
    s.strip_suffix(unit)
        .and_then(|n| n.trim().parse().ok())
        .ok_or_else(|| InvalidAmount { text: s.to_owned(), unit })
}

impl FromStr for Mebibytes {
    type Err = InvalidAmount;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        if let Ok(gib) = parse(s, "GiB") {
            return Ok(Self(gib.saturating_mul(MEBIBYTES_PER_GIBIBYTE)));
        }
        parse(s, "MiB").map(Self)
    }
}

impl FromStr for Watts {
    type Err = InvalidAmount;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        parse(s, "W").map(Self)
    }
}

impl FromStr for Credits {
    type Err = InvalidAmount;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        parse(s, "credits").map(Self)
    }
}

impl FromStr for Capacity {
    type Err = InvalidAmount;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        parse(s, "mcores").map(|mcores| Self(u32::try_from(mcores).unwrap_or(u32::MAX)))
    }
}

impl FromStr for CreditRate {
    type Err = InvalidAmount;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        parse(s, "credits/ks").map(Self)
    }
}

impl Mebibytes {
    /// Subtracts, stopping at zero.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl Watts {
    /// Subtracts, stopping at zero.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl Sum for Mebibytes {
    fn sum<I: Iterator<Item = Self>>(iter: I) -> Self {
        Self(iter.map(|m| m.0).sum())
    }
}

impl Sum for Watts {
    fn sum<I: Iterator<Item = Self>>(iter: I) -> Self {
        Self(iter.map(|w| w.0).sum())
    }
}
