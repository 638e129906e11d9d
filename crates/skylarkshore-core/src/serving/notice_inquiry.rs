//! The inquiry of a process that has just started into what upstreams have said of themselves.
//!
//! It knows of no upstream yet that withstands few rejections or is leaving, and the first requests of
//! many such processes alone would make upstreams fall over. It therefore asks its peers, and sends
//! nothing until they have answered. Open [`NoticeInquiry`].

use std::time::Duration;

use crate::collections::OrderedSet;
use crate::control::hashing::ranking_by_capacity;
use crate::cx::Cx;
use crate::id::HostId;
use crate::peer::{NoticeMessage, PeerMessage};
use crate::time::Time;

/// Peers that are asked in a round; several, as some may have ended.
const PEERS_ASKED: usize = 8;
/// Interval between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);
/// How long answers are awaited.
const ANSWERS_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Debug, Default)]
enum Stage {
    /// No peer is known yet.
    #[default]
    NotBegun,
    Asking {
        began: Time,
        next_round: Time,
        asked: OrderedSet<HostId>,
        /// The peers that know no more than this process.
        uninformed: OrderedSet<HostId>,
    },
    Ended,
}

/// What this process has asked its peers, and whether it may send requests.
#[derive(Debug, Default)]
pub(super) struct NoticeInquiry {
    stage: Stage,
}

impl NoticeInquiry {
    /// Reports whether this process knows what its peers know, or no longer waits for it.
    pub(super) const fn has_ended(&self) -> bool {
        matches!(self.stage, Stage::Ended)
    }

    /// Asks peers once they are known, and ends the inquiry when it takes too long.
    pub(super) fn advance(&mut self, cx: &mut Cx<'_>) {
        // The document and the members are read together.
        if matches!(self.stage, Stage::NotBegun) && cx.document.is_configured() {
            let (asked, uninformed) = (OrderedSet::new(), OrderedSet::new());
            self.stage = Stage::Asking { began: cx.now, next_round: cx.now, asked, uninformed };
        }
        let Stage::Asking { began, next_round, asked, uninformed } = &mut self.stage else { return };
        let began = *began;
        if began.after(ANSWERS_TIMEOUT).is_due(cx.now) {
            return self.end(cx, began, "peers_silent");
        }
        if !next_round.is_due(cx.now) {
            return;
        }
        *next_round = cx.now.after(ROUND_INTERVAL);
        let peers = peers_in_order(cx, uninformed);
        if peers.is_empty() {
            return self.end(cx, began, "no_peers");
        }
        // Each round begins with peers that haven't been asked, as the others may have ended.
        let (repeated, new): (Vec<HostId>, Vec<HostId>) =
            peers.into_iter().partition(|peer| asked.contains(peer));
        for peer in new.into_iter().chain(repeated).take(PEERS_ASKED) {
            cx.send(&peer, PeerMessage::Notice(NoticeMessage::Wanted));
            asked.insert(peer);
        }
    }

    /// Records a peer's answer.
    pub(super) fn on_answer(&mut self, cx: &mut Cx<'_>, from: &HostId, is_complete: bool) {
        if is_complete && !self.has_ended() {
            let began = if let Stage::Asking { began, .. } = self.stage { began } else { cx.now };
            return self.end(cx, began, "answered");
        }
        let Stage::Asking { began, asked, uninformed, .. } = &mut self.stage else { return };
        let began = *began;
        uninformed.insert(from.clone());
        if asked.is_subset(uninformed) {
            self.end(cx, began, "peers_uninformed");
        }
    }

    fn end(&mut self, cx: &mut Cx<'_>, began: Time, why: &str) {
        self.stage = Stage::Ended;
        let after_ms = cx.now.since(began).as_millis();
        cx.log_event("notices_asked_for", why, format!("after_ms={after_ms}"));
    }
}

/// Returns the other members in an order of this host's own, so that hosts that start together ask
/// different ones.
fn peers_in_order(cx: &Cx<'_>, left_out: &OrderedSet<HostId>) -> Vec<HostId> {
    let own = &cx.cfg.host;
    let peers = cx.cache.members().filter(|(host, _)| *host != own && !left_out.contains(*host));
    ranking_by_capacity(&format!("notices/{own}"), peers).into_iter().cloned().collect()
}
