//! The state dump and the metrics of this process's requests.

use crate::cx::Cx;
use crate::dump::{DumpEntry, Gauge};
use crate::serving::Serving;
use crate::serving::counters::gauge;
use crate::serving::suspect::SuspectStatus;

impl Serving {
    /// Returns an entry for each request, each upstream in use and each suspect.
    pub(super) fn dump_entries(&self, cx: &Cx<'_>) -> Vec<DumpEntry> {
        let requests = self.requests.iter().map(|(id, request)| DumpEntry {
            kind: "request",
            subject: id.to_string(),
            state: request.describe(),
            since: Some(request.since),
        });
        let routes = self.routes.upstreams_in_use().map(|(upstream, n)| DumpEntry {
            kind: "route",
            subject: upstream.to_string(),
            state: format!("{n} requests from here, {}", self.routes.describe(cx, upstream)),
            since: self.routes.views.get(upstream).map(|known| known.received),
        });
        let suspects = self.suspects.digests().map(|digest| {
            let state = match self.suspects.status(digest) {
                SuspectStatus::Convicted => "crashes upstreams and is refused",
                SuspectStatus::Suspect | SuspectStatus::Unsuspected => {
                    "was in progress when an upstream died and runs alone"
                }
            };
            DumpEntry { kind: "suspect", subject: digest.to_string(), state: state.to_owned(), since: None }
        });
        let counted = self.evidence.all().map(|(digest, is_held_back)| {
            let state = if is_held_back {
                "was lost with upstreams that ended, and is held back"
            } else {
                "was lost with an upstream"
            };
            DumpEntry { kind: "suspect", subject: digest.to_string(), state: state.to_owned(), since: None }
        });
        let suspects = suspects.chain(counted);
        let borrowed = self.routes.notices.slots.dump_entries(cx.now);
        let slots = borrowed.chain(self.slot_lender.dump_entries(cx.now));
        requests.chain(routes).chain(suspects).chain(slots).chain(self.quota.dump_entries()).collect()
    }

    /// Returns the gauges for the metrics.
    pub(super) fn collect_gauges(&self) -> Vec<Gauge> {
        let mut gauges = vec![
            gauge("requests_queued", self.queue.len() as u64),
            gauge("requests_queued_alone", self.suspects.waiting.len() as u64),
            gauge("requests_queued_for_version", self.pinned.len() as u64),
            gauge("requests_unfinished", self.requests.len() as u64),
            gauge("attempts_in_flight", self.attempts.len() as u64),
            gauge("suspect_requests", self.suspects.count(SuspectStatus::Suspect) as u64),
            gauge("convicted_requests", self.suspects.count(SuspectStatus::Convicted) as u64),
            gauge("suspects_held_back", self.evidence.held_back_count() as u64),
            gauge("once_in_doubt_total", self.once_claims.unknown_outcome_count),
            gauge("late_views_total", self.routes.views.stale),
        ];
        gauges.extend(self.counters.gauges());
        gauges
    }
}
