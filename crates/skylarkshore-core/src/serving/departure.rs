//! What a process that shuts down may still take on. Start with [`Departure`].
//!
//! The process is killed at the end of its grace period, and a request in progress then ends without an
//! answer. Its caller can't tell whether it has run. A request is therefore sent to an upstream only if it
//! can be expected to end in time, and is refused as not run otherwise, at whatever moment it comes.

use std::time::Duration;

use crate::config::Timings;
use crate::cx::Cx;
use crate::effect::{Effect, RefusalReason};
use crate::event::Repeat;
use crate::id::RequestId;
use crate::serving::Serving;
use crate::serving::budget::destination;
use crate::serving::disposition::Disposition;
use crate::serving::request::Request;
use crate::time::Time;

/// How long before the kill answers have to be complete, so that they reach their callers.
const DELIVERY_TIME: Duration = Duration::from_millis(250);

/// The shutdown of this process.
#[derive(Clone, Copy, Debug)]
pub(super) struct Departure {
    /// When callers' cached addresses of this host have expired.
    accepts_until: Time,
    /// When answers have to be complete; `None` if the process is given the time that it needs.
    answers_until: Option<Time>,
}

impl Departure {
    pub(super) fn begin(now: Time, timings: &Timings) -> Self {
        let answers_until =
            timings.shutdown_grace.map(|grace| now.after(grace.saturating_sub(DELIVERY_TIME)));
        Self { accepts_until: now.after(timings.entry_kept), answers_until }
    }
}

impl Serving {
    /// Reports whether a request that has just arrived is to be refused because this process shuts down.
    pub(super) fn refuses_arrival(&self, cx: &Cx<'_>, request: &Request) -> bool {
        let accepts = self.departure.is_none_or(|departure| !departure.accepts_until.is_due(cx.now));
        !accepts || !self.can_finish(cx, request)
    }

    /// Reports whether a request that is sent now can be expected to end before this process is killed.
    ///
    /// At its deadline a request ends in any case. One that may run only once is not sent on an
    /// expectation alone: if it takes longer, nobody may repeat it.
    pub(super) fn can_finish(&self, cx: &Cx<'_>, request: &Request) -> bool {
        let Some(answers_until) = self.departure.and_then(|departure| departure.answers_until) else {
            return true;
        };
        let arrival = &request.arrival;
        if arrival.deadline <= answers_until {
            return true;
        }
        let longest = self.run_times.longest(&destination(cx, &arrival.target));
        arrival.repeat == Repeat::Allowed
            && longest.is_some_and(|longest| cx.now.after(longest) <= answers_until)
    }

    /// Refuses the waiting requests that would outlast this process even if they were sent now.
    ///
    /// A stream that its caller already has a part of goes on for as long as it can.
    pub(super) fn refuse_unfinishable(&mut self, cx: &mut Cx<'_>) {
        if self.departure.is_none() {
            return;
        }
        let waiting = self.requests.iter().filter(|(_, request)| request.is_waiting() && !request.passed_on);
        let unfinishable: Vec<RequestId> =
            waiting.filter(|(_, request)| !self.can_finish(cx, request)).map(|(id, _)| *id).collect();
        for id in unfinishable {
            self.refuse_leaving(cx, id);
        }
    }

    /// Refuses every waiting request; another host has to serve them.
    pub(super) fn refuse_waiting(&mut self, cx: &mut Cx<'_>) {
        let waiting = self.requests.iter().filter(|(_, request)| request.is_waiting());
        let waiting: Vec<RequestId> = waiting.map(|(id, _)| *id).collect();
        for id in waiting {
            self.refuse_leaving(cx, id);
        }
    }

    /// Refuses a request because this process shuts down; its caller is told to use another host at once.
    pub(super) fn refuse_leaving(&mut self, cx: &mut Cx<'_>, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let longest = self.run_times.longest(&destination(cx, &request.arrival.target));
        let answers_until = self.departure.and_then(|departure| departure.answers_until);
        let detail = format!(
            "deadline_ms={} longest_run_ms={} grace_left_ms={}",
            request.arrival.deadline.remaining(cx.now).as_millis(),
            millis_or_unknown(longest),
            millis_or_unknown(answers_until.map(|until| until.remaining(cx.now))),
        );
        cx.log_decision(id, "refused_at_shutdown", detail);
        if request.holds_failure {
            cx.push(Effect::ForwardHeldAnswer { request: id });
            return self.finish_forwarded(cx, id);
        }
        let disposition =
            Disposition::Refuse { reason: RefusalReason::Leaving, retry_after: Some(Duration::ZERO) };
        self.apply_disposition(cx, id, disposition);
    }
}

fn millis_or_unknown(d: Option<Duration>) -> String {
    d.map_or_else(|| "unknown".to_owned(), |d| d.as_millis().to_string())
}
