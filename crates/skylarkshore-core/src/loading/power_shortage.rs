//! Power that other engines of a site wait for.

use std::time::Duration;

use crate::collections::OrderedMap;
use crate::id::SiteName;
use crate::time::Time;

/// How long a call for power counts.
const REQUEST_TTL: Duration = Duration::from_secs(5);
/// After how long of calls every idle engine makes way.
const UNCONDITIONAL_AFTER: Duration = Duration::from_secs(8);
/// How much more than its cost staying awake has to be worth when the first call comes.
const INITIAL_MARGIN: f64 = 1.0;
/// How much that margin grows with every second of calls.
const MARGIN_PER_SECOND: f64 = 1.0;

#[derive(Clone, Copy, Debug)]
struct Shortage {
    since: Time,
    until: Time,
}

/// The sites whose power doesn't suffice for all who wait.
#[derive(Debug, Default)]
pub(crate) struct PowerShortages {
    sites: OrderedMap<SiteName, Shortage>,
}

/// How much staying awake has to be worth, as a multiple of what it costs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Margin {
    /// This much.
    Times(f64),
    /// Nothing makes up for it: whoever is idle makes way.
    Unreachable,
}

impl PowerShortages {
    /// Takes note of a call for power.
    pub(crate) fn record(&mut self, now: Time, site: &SiteName) {
        let until = now.after(REQUEST_TTL);
        let shortage = self.sites.entry(site.clone()).or_insert(Shortage { since: now, until });
        if shortage.until.is_due(now) {
            shortage.since = now;
        }
        shortage.until = until;
    }

    /// Returns how much an idle engine has to be worth to stay awake.
    ///
    /// Several owners hear a call and don't know of each other's engines. The
    /// margin rises with time so that the engine that is worth least makes way
    /// first, and the call ends before the others do.
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
