//! What follows from the notices of upstreams, and from the lending of slots, for waiting requests.

use crate::cx::Cx;
use crate::id::{HostId, Incarnation, UpstreamId};
use crate::notice::UpstreamNotice;
use crate::peer::{NoticeMessage, PeerMessage, RejectionLimit, SlotMessage};
use crate::serving::Serving;

impl Serving {
    /// Records what an upstream says of itself in an answer.
    pub fn on_noticed(
        &mut self,
        cx: &mut Cx<'_>,
        upstream: &UpstreamId,
        incarnation: Incarnation,
        via: Option<&HostId>,
        notice: &UpstreamNotice,
    ) {
        // The upstream can't tell the requests that a peer relayed from the peer's own.
        if let (Some(peer), Some(rest)) = (via, notice.rest) {
            cx.send(peer, PeerMessage::UpstreamRests { upstream: upstream.clone(), rest });
        }
        if !self.routes.record_notice(cx, upstream, incarnation, notice) {
            return;
        }
        self.dispatch_for_upstream(cx, upstream);
        if !self.routes.notices.takes_requests(cx, upstream) {
            self.on_takes_no_requests(cx);
        }
    }

    /// Refuses the requests that only upstreams could serve that take none.
    pub(super) fn on_takes_no_requests(&mut self, cx: &mut Cx<'_>) {
        self.refuse_unservable_pinned(cx);
        self.refuse_all_unservable(cx);
    }

    /// Reports whether an upstream takes requests by what it said of itself.
    pub(crate) fn takes_requests(&self, cx: &Cx<'_>, upstream: &UpstreamId) -> bool {
        self.routes.notices.takes_requests(cx, upstream)
    }

    /// Handles a peer's message about slots.
    pub(super) fn on_slot_message(&mut self, cx: &mut Cx<'_>, from: &HostId, message: &SlotMessage) {
        match message {
            SlotMessage::Report(report) => {
                let slots = &self.routes.notices.slots;
                let (known, longest_run) =
                    (slots.term(&report.upstream), slots.longest_run(&report.upstream));
                self.slot_lender.on_report(cx, from, report, known, longest_run);
            }
            SlotMessage::Lent(lent) => {
                self.routes.notices.slots.on_lent(cx, lent);
                self.dispatch_for_upstream(cx, &lent.upstream);
            }
            SlotMessage::Named { upstream, withstands, needed_in, term } => {
                let limit = RejectionLimit {
                    upstream: upstream.clone(),
                    withstands: *withstands,
                    needed_in: *needed_in,
                    term: Some(term.clone()),
                };
                self.routes.notices.slots.on_named(cx, &limit);
                self.slot_lender.follow(cx, upstream, term);
            }
        }
    }

    /// Handles a peer's message about what upstreams have said of themselves.
    pub(super) fn on_notice_message(&mut self, cx: &mut Cx<'_>, from: &HostId, message: &NoticeMessage) {
        match message {
            NoticeMessage::Wanted => {
                let known = self.routes.notices.known(cx);
                cx.send(from, PeerMessage::Notice(NoticeMessage::Known(known)));
            }
            NoticeMessage::Known(known) => {
                self.routes.notices.adopt(cx, from, known);
                self.on_takes_no_requests(cx);
                self.dispatch_waiting(cx);
            }
        }
    }

    /// Returns slots that no request uses, and reports the use of the others.
    pub fn report_slots(&mut self, cx: &mut Cx<'_>) {
        self.routes.report_slots(cx);
    }
}
