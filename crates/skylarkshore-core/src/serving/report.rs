//! What a process tells of its requests, for the state dump and the metrics.

use crate::cx::Cx;
use crate::dump::{DumpEntry, Gauge};
use crate::serving::Serving;
use crate::serving::suspect::Standing;
use crate::serving::tally::gauge;

impl Serving {
    /// Tells of each request, each upstream in use and each suspect.
    pub(super) fn dump_entries(&self, cx: &Cx<'_>) -> Vec<DumpEntry> {
        let requests = self.requests.iter().map(|(id, request)| DumpEntry {
            kind: "request",
            subject: id.to_string(),
            state: request.describe(),
            since: Some(request.since),
        });
        let routes = self.routes.used().map(|(upstream, n)| DumpEntry {
            kind: "route",
            subject: upstream.to_string(),
            state: format!("{n} requests from here, {}", self.routes.describe(cx, upstream)),
            since: self.routes.views.get(upstream).map(|known| known.taken),
        });
        let suspects = self.suspects.digests().map(|digest| {
            let state = match self.suspects.standing(digest) {
                Standing::Convicted => "crashes upstreams and is refused",
                Standing::Suspect | Standing::Free => "was in progress when an upstream died and runs alone",
            };
            DumpEntry { kind: "suspect", subject: digest.to_string(), state: state.to_owned(), since: None }
        });
        requests.chain(routes).chain(suspects).chain(self.quota.dump_entries()).collect()
    }

    /// Returns the numbers for the metrics.
    pub(super) fn numbers(&self) -> Vec<Gauge> {
        let mut gauges = vec![
            gauge("requests_queued", self.queue.len() as u64),
            gauge("requests_queued_alone", self.suspects.waiting.len() as u64),
            gauge("requests_unfinished", self.requests.len() as u64),
            gauge("attempts_in_flight", self.attempts.len() as u64),
            gauge("suspect_requests", self.suspects.count(Standing::Suspect) as u64),
            gauge("convicted_requests", self.suspects.count(Standing::Convicted) as u64),
            gauge("once_in_doubt_total", self.once.in_doubt),
            gauge("late_views_total", self.routes.views.late),
        ];
        gauges.extend(self.tally.gauges());
        gauges
    }
}
