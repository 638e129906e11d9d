//! Upstreams that fall over when they have to reject too many requests within a second.
//!
//! Start with [`BrittleUpstreams`].

use std::collections::VecDeque;
use std::time::Duration;

use skylarkshore_core::collections::{OrderedMap, OrderedSet};
use skylarkshore_core::id::UpstreamId;
use skylarkshore_core::time::Time;

use super::violation::Violation;

const WINDOW: Duration = Duration::from_secs(1);
/// How long an upstream that fell over is down.
const DOWNTIME: Duration = Duration::from_secs(4);
/// How long after they first say so the upstreams let fewer requests wait.
const NOTICE_TIME: Duration = Duration::from_secs(3);
/// How often brittle upstreams may fall over, beside one in [`FALLS_SHARE`].
const FALLS_SLACK: usize = 2;
const FALLS_SHARE: usize = 10;

/// What brittle upstreams withstand.
#[derive(Debug)]
struct Brittle {
    /// The rejections within a second that an upstream withstands.
    limit: u32,
    /// The requests that an upstream runs at a time; from [`NOTICE_TIME`] on no more may wait.
    concurrency: usize,
    strict_from: Time,
    rejections: OrderedMap<UpstreamId, VecDeque<Time>>,
    falls: Vec<Time>,
}

/// The upstreams that are brittle now, and those that fell over.
#[derive(Debug, Default)]
pub(crate) struct BrittleUpstreams {
    members: OrderedSet<UpstreamId>,
    brittle: Option<Brittle>,
    down_until: OrderedMap<UpstreamId, Time>,
}

impl BrittleUpstreams {
    pub(crate) fn begin(&mut self, now: Time, members: &[UpstreamId], limit: u32, concurrency: usize) {
        self.members = members.iter().cloned().collect();
        let strict_from = now.after(NOTICE_TIME);
        let rejections = OrderedMap::new();
        self.brittle = Some(Brittle { limit, concurrency, strict_from, rejections, falls: Vec::new() });
    }

    /// Returns the limit that an upstream names in its answers.
    pub(crate) fn named_limit(&self, id: &UpstreamId) -> Option<u32> {
        self.brittle.as_ref().filter(|_| self.members.contains(id)).map(|brittle| brittle.limit)
    }

    pub(crate) fn is_down(&self, now: Time, id: &UpstreamId) -> bool {
        self.down_until.get(id).is_some_and(|until| !until.is_due(now))
    }

    /// Returns the requests that an upstream runs at a time, and whether no more may wait.
    pub(crate) fn concurrency(&self, now: Time, id: &UpstreamId) -> Option<(usize, bool)> {
        let brittle = self.brittle.as_ref().filter(|_| self.members.contains(id))?;
        Some((brittle.concurrency, brittle.strict_from.is_due(now)))
    }

    /// Records that an upstream rejects a request; reports whether it falls over.
    pub(crate) fn record_rejection(&mut self, now: Time, id: &UpstreamId) -> bool {
        let Some(brittle) = self.brittle.as_mut().filter(|brittle| brittle.strict_from.is_due(now)) else {
            return false;
        };
        let rejections = brittle.rejections.entry(id.clone()).or_default();
        rejections.push_back(now);
        while rejections.front().is_some_and(|at| at.after(WINDOW).is_due(now)) {
            rejections.pop_front();
        }
        let falls = rejections.len() > brittle.limit as usize;
        if falls {
            rejections.clear();
            brittle.falls.push(now);
            self.down_until.insert(id.clone(), now.after(DOWNTIME));
        }
        falls
    }

    pub(crate) fn violation(&self) -> Option<Violation> {
        let falls = &self.brittle.as_ref()?.falls;
        let allowed = FALLS_SLACK + self.members.len() / FALLS_SHARE;
        let what = || format!("brittle upstreams fell over {} times; allowed {allowed}", falls.len());
        let last = falls.last().filter(|_| falls.len() > allowed)?;
        Some(Violation::new(*last, what()))
    }
}
