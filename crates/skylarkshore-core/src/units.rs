//! Quantities with units: memory, power, capacity, credits and rates.

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

/// Processing capacity of a host relative to other hosts, in thousandths of a core.
#[derive(
    Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0}mcores")]
#[serde(transparent)]
pub struct Capacity(pub u32);

/// Unit of a client account's limit: tokens or requests.
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

/// Rate at which credits accrue, per thousand seconds.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[display("{_0}credits/ks")]
#[serde(transparent)]
pub struct CreditRate(pub u64);

impl CreditRate {
    /// Returns the whole credits that accrue per second.
    pub const fn per_second(self) -> Credits {
        Credits(self.0 / 1000)
    }
}

/// Rate at which a weight store allows loads to start, per thousand seconds.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[display("{_0}/ks")]
#[serde(transparent)]
pub struct LoadRate(pub u32);

impl LoadRate {
    /// Returns the length of the rate window and the number of starts allowed in it.
    ///
    /// The window is one second if that allows at least one start, otherwise the interval between two
    /// starts.
    pub fn window(self) -> (Duration, usize) {
        const KILOSECOND_MILLIS: u64 = 1_000_000;
        let per_kilosecond = u64::from(self.0.max(1));
        if per_kilosecond < 1000 {
            return (Duration::from_millis(KILOSECOND_MILLIS / per_kilosecond), 1);
        }
        (Duration::from_secs(1), usize::try_from(per_kilosecond.div_ceil(1000)).unwrap_or(usize::MAX))
    }
}

/// A rate of requests, in thousandths of a request per second.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[display("{}.{:03}/s", _0 / 1000, _0 % 1000)]
#[serde(transparent)]
pub struct RequestRate(pub u32);

/// Error for a text that is not a rate of requests.
#[derive(Debug, Display, Error, PartialEq, Eq)]
#[display("'{text}' is not a rate; write requests a second as a decimal number of zero or more")]
pub struct InvalidRequestRate {
    text: String,
}

impl FromStr for RequestRate {
    type Err = InvalidRequestRate;

    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "checked to be in range")]
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || InvalidRequestRate { text: text.to_owned() };
        let per_second: f64 = text.trim().parse().map_err(|_err| invalid())?;
        let per_kilosecond = per_second * 1000.0;
        if !(0.0..=f64::from(u32::MAX)).contains(&per_kilosecond) {
            return Err(invalid());
        }
        Ok(Self(per_kilosecond as u32))
    }
}

/// Error for a text that is not an amount with its unit.
#[derive(Debug, Display, Error, PartialEq, Eq)]
#[display("'{text}' is not an amount; write a whole number followed by {unit}, for example 80{unit}")]
pub struct InvalidAmount {
    text: String,
    unit: &'static str,
}

const MEBIBYTES_PER_GIBIBYTE: u64 = 1024;

fn parse_amount(s: &str, unit: &'static str) -> Result<u64, InvalidAmount> {
    s.strip_suffix(unit)
        .and_then(|n| n.trim().parse().ok())
        .ok_or_else(|| InvalidAmount { text: s.to_owned(), unit })
}

impl FromStr for Mebibytes {
    type Err = InvalidAmount;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        if let Ok(gib) = parse_amount(s, "GiB") {
            return Ok(Self(gib.saturating_mul(MEBIBYTES_PER_GIBIBYTE)));
        }
        parse_amount(s, "MiB").map(Self)
    }
}

impl FromStr for Watts {
    type Err = InvalidAmount;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        parse_amount(s, "W").map(Self)
    }
}

impl FromStr for Credits {
    type Err = InvalidAmount;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        parse_amount(s, "credits").map(Self)
    }
}

impl FromStr for Capacity {
    type Err = InvalidAmount;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        parse_amount(s, "mcores").map(|mcores| Self(u32::try_from(mcores).unwrap_or(u32::MAX)))
    }
}

impl FromStr for CreditRate {
    type Err = InvalidAmount;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        parse_amount(s, "credits/ks").map(Self)
    }
}

impl Mebibytes {
    /// Returns the difference, or zero if `other` is larger.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl Watts {
    /// Returns the difference, or zero if `other` is larger.
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
