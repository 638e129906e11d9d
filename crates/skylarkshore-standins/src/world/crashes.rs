//! Requests that crash the upstreams that run them, and how often they are sent on.
//!
//! Start with [`CrashLedger`].

use std::time::Duration;

use skylarkshore_core::collections::OrderedMap;
use skylarkshore_core::id::Digest;
use skylarkshore_core::time::Time;

use super::violation::Violation;

/// How many upstreams a request may crash before its retries are limited.
const CRASHES: usize = 3;
/// How long after the last of them retries aren't counted yet.
pub(crate) const CONTACT_TIME: Duration = Duration::from_secs(3);
/// How often the request may reach an upstream after that.
const RETRIES: usize = 3;

/// What a request with a certain digest has done.
#[derive(Debug, Default)]
struct History {
    crashes: Vec<Time>,
    /// When it reached upstreams from hosts in touch.
    arrivals: Vec<Time>,
}

impl History {
    fn violation(&self) -> Option<Violation> {
        let begin = self.crashes.get(CRASHES - 1)?.after(CONTACT_TIME);
        let late: Vec<Time> = self.arrivals.iter().copied().filter(|at| *at > begin).collect();
        let what = format!(
            "a request that had crashed {CRASHES} upstreams reached upstreams {} times more; it crashed {}",
            late.len(),
            self.crashes.len()
        );
        (late.len() > RETRIES).then(|| Violation::new(late[RETRIES], what))
    }
}

/// The requests that crashed upstreams, and all their arrivals.
#[derive(Debug, Default)]
pub(crate) struct CrashLedger {
    requests: OrderedMap<Digest, History>,
}

impl CrashLedger {
    /// Records that a request that crashes upstreams reaches one from a host in touch.
    pub(crate) fn record_arrival(&mut self, now: Time, request: Digest) {
        self.requests.entry(request).or_default().arrivals.push(now);
    }

    /// Records that a request has crashed an upstream.
    pub(crate) fn record_crash(&mut self, now: Time, request: Digest) {
        self.requests.entry(request).or_default().crashes.push(now);
    }

    /// Returns how many upstreams a request has crashed.
    pub(crate) fn crashes(&self, request: Digest) -> usize {
        self.requests.get(&request).map_or(0, |history| history.crashes.len())
    }

    pub(crate) fn violations(&self) -> Vec<Violation> {
        self.requests.values().filter_map(History::violation).collect()
    }
}
