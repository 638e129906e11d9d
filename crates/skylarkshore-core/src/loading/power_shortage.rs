//! Power shortages per site, as requested by owners of other engines. See [`PowerShortages`].

use std::time::Duration;

use crate::collections::OrderedMap;
use crate::id::SiteName;
use crate::time::Time;

/// How long a power request is valid.
const REQUEST_TTL: Duration = Duration::from_secs(5);
/// Duration of a shortage after which every idle engine gives up its power.
const UNCONDITIONAL_AFTER: Duration = Duration::from_secs(8);
/// Required ratio of value to cost for keeping an engine awake, at the start of a shortage.
const INITIAL_MARGIN: f64 = 1.0;
/// Growth of that ratio per second of shortage.
const MARGIN_PER_SECOND: f64 = 1.0;

#[derive(Clone, Copy, Debug)]
struct Shortage {
    since: Time,
    until: Time,
}

/// Current shortages by site.
#[derive(Debug, Default)]
pub(crate) struct PowerShortages {
    sites: OrderedMap<SiteName, Shortage>,
}

/// Required value of keeping an engine awake, as a multiple of its cost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Margin {
    /// The multiple.
    Times(f64),
    /// No value suffices: every idle engine gives up its power.
    Unreachable,
}

impl PowerShortages {
    /// Records a power request.
    pub(crate) fn record(&mut self, now: Time, site: &SiteName) {
        let until = now.after(REQUEST_TTL);
        let shortage = self.sites.entry(site.clone()).or_insert(Shortage { since: now, until });
        if shortage.until.is_due(now) {
            shortage.since = now;
        }
        shortage.until = until;
    }

    /// Returns the value that an idle engine needs to stay awake.
    ///
    /// Several owners receive a request without knowing each other's engines. The
    /// margin rises over time, so that the engine with the least value gives up its
    /// power first and ends the shortage for the others.
    pub(crate) fn margin(&self, now: Time, site: &SiteName) -> Margin {
        let Some(shortage) = self.sites.get(site).filter(|shortage| !shortage.until.is_due(now)) else {
            return Margin::Times(1.0);
        };
        if shortage.since.after(UNCONDITIONAL_AFTER).is_due(now) {
            return Margin::Unreachable;
        }
        Margin::Times(INITIAL_MARGIN + MARGIN_PER_SECOND * now.since(shortage.since).as_secs_f64())
    }
}
