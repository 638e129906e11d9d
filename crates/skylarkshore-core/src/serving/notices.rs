//! What upstreams say of themselves in their answers, kept for all that is sent to them.
//!
//! Open [`Notices`]. First attempts, retries, resumed streams, pinned requests and suspects ask it alike.

use std::time::Duration;

use crate::collections::OrderedMap;
use crate::cx::Cx;
use crate::event::ReportedLoad;
use crate::id::{HostId, Incarnation, UpstreamId};
use crate::notice::UpstreamNotice;
use crate::peer::KnownNotices;
use crate::serving::leaving::LeavingUpstreams;
use crate::serving::notice_inquiry::NoticeInquiry;
use crate::serving::others_load::OthersLoad;
use crate::serving::request_limits::RequestLimits;
use crate::serving::rests::Rests;
use crate::serving::slot_leases::SlotLeases;
use crate::time::Time;

/// How long what an upstream said is kept after it left the host list; it may return.
const ABSENCE_TTL: Duration = Duration::from_mins(5);

/// What the upstreams have said of themselves.
#[derive(Debug, Default)]
pub(super) struct Notices {
    /// Whether this process knows what was said before it started.
    pub(super) inquiry: NoticeInquiry,
    /// The load of other processes.
    loads: OrderedMap<UpstreamId, OthersLoad>,
    /// The limits on requests.
    pub(super) limits: RequestLimits,
    /// The slots lent to this process at upstreams that withstand few rejections.
    pub(super) slots: SlotLeases,
    /// The upstreams that are shutting down.
    pub(super) leaving: LeavingUpstreams,
    /// The upstreams that want no requests for a while.
    pub(super) rests: Rests,
    /// The upstreams that left the host list, and until when what they said is kept.
    absent: OrderedMap<UpstreamId, Time>,
}

impl Notices {
    /// Records what an upstream says in an answer, with this process's requests there; reports whether more
    /// or fewer requests may be sent to it now.
    ///
    /// What an earlier incarnation said says nothing of the present one.
    pub(super) fn record(
        &mut self,
        cx: &mut Cx<'_>,
        upstream: &UpstreamId,
        incarnation: Incarnation,
        notice: &UpstreamNotice,
        own_requests: u32,
    ) -> bool {
        if cx.upstreams.get(upstream).is_some_and(|listed| listed.incarnation > incarnation) {
            return false;
        }
        let took_requests = self.takes_requests(cx, upstream);
        if let Some(load) = notice.load {
            self.record_load(cx.now, upstream, load, own_requests);
        }
        let is_limit_new = self.limits.record(cx, upstream, notice.request_limit);
        self.slots.record(cx, upstream, notice.rejection_limit);
        if let Some(rest) = notice.rest {
            self.rests.record(cx, upstream, rest);
        }
        if notice.is_leaving {
            self.leaving.record(cx, upstream);
        }
        is_limit_new || took_requests != self.takes_requests(cx, upstream)
    }

    /// Reports whether an upstream takes requests now, by what it said.
    pub(super) fn takes_requests(&self, cx: &Cx<'_>, upstream: &UpstreamId) -> bool {
        !self.leaving.contains(cx, upstream) && self.rests.end(cx.now, upstream).is_none()
    }

    /// Returns what this process knows that others have to know too.
    pub(super) fn known(&self, cx: &Cx<'_>) -> KnownNotices {
        KnownNotices {
            is_complete: self.inquiry.has_ended(),
            limits: self.slots.limits(cx.now),
            leaving: self.leaving.all(cx),
        }
    }

    /// Takes over what a peer knows.
    pub(super) fn adopt(&mut self, cx: &mut Cx<'_>, from: &HostId, known: &KnownNotices) {
        for limit in &known.limits {
            self.slots.on_named(cx, limit);
        }
        for upstream in &known.leaving {
            self.leaving.record_told(cx, upstream);
        }
        self.inquiry.on_answer(cx, from, known.is_complete);
    }

    fn record_load(&mut self, now: Time, upstream: &UpstreamId, load: ReportedLoad, own_requests: u32) {
        let others = (load.running + load.waiting).saturating_sub(own_requests);
        let load = self
            .load(upstream)
            .map_or_else(|| OthersLoad::new(now, others), |estimate| estimate.updated(now, others));
        self.loads.insert(upstream.clone(), load);
    }

    /// Returns the load of other processes that an upstream reported.
    pub(super) fn load(&self, upstream: &UpstreamId) -> Option<&OthersLoad> {
        self.loads.get(upstream)
    }

    /// Applies changes of the host list.
    pub(super) fn on_host_list(&mut self, cx: &Cx<'_>, touched: &[UpstreamId]) {
        for id in touched {
            if cx.upstreams.contains(id) {
                self.absent.remove(id);
            } else {
                self.loads.remove(id);
                self.absent.insert(id.clone(), cx.now.after(ABSENCE_TTL));
            }
        }
    }

    /// Forgets upstreams that have been absent for long.
    pub(super) fn remove_expired(&mut self, now: Time) {
        self.rests.remove_expired(now);
        let gone: Vec<UpstreamId> =
            self.absent.extract_if(.., |_, until| until.is_due(now)).map(|(upstream, _)| upstream).collect();
        for upstream in gone {
            self.limits.remove(&upstream);
            self.slots.remove(&upstream);
        }
    }
}
