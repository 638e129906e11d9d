//! Requests for news by a process that the relay tree doesn't reach.
//!
//! Members relay news to members only. A process that the key-value service turns away loses its
//! member key with its lease, although it goes on serving callers; nobody relays news to it or sends
//! it heartbeats any more. It requests the state from a member instead, which then relays news to it
//! for a while. Start reading at [`NewsPull`].

use std::time::Duration;

use rand::Rng;

use super::peers::data_centre_peers;
use crate::config::Watchers;
use crate::cx::Cx;
use crate::id::{HostId, StoreRevision};
use crate::peer::PeerMessage;
use crate::time::Time;

/// Time without news after which another member is asked.
const NEWS_TIMEOUT: Duration = Duration::from_secs(1);
/// The same while the key-value service isn't known to be silent; longer than a read that waits for changes.
const READ_TIMEOUT: Duration = Duration::from_millis(2200);
/// How long a member that was asked may take to announce its state.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// Interval between two requests to a member that relays news; shorter than the time for which it does.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(4);

/// The requests of this process, and the news that they brought.
#[derive(Debug, Default)]
pub(super) struct NewsPull {
    /// Whether this process has been a member.
    was_member: bool,
    last_news: Time,
    /// The member that was asked last, and when.
    provider: Option<HostId>,
    asked_at: Time,
    /// Until when that member has time to send the state that it announced.
    state_due_at: Time,
    /// Whether that member has sent news since.
    is_provided: bool,
}

impl NewsPull {
    /// Records a message of a peer; `frontier` is the revision up to which no change is missing.
    pub(super) fn on_peer(
        &mut self,
        now: Time,
        frontier: StoreRevision,
        from: &HostId,
        message: &PeerMessage,
    ) {
        let is_provider = self.provider.as_ref() == Some(from);
        let is_usable = match message {
            // News beyond a gap can't be applied, however regularly it comes.
            PeerMessage::News(news) => news.after <= frontier,
            PeerMessage::State(_) => true,
            _ => false,
        };
        if is_usable {
            self.last_news = now;
            self.is_provided |= is_provider;
        }
        if is_provider && matches!(message, PeerMessage::StateComing) {
            self.state_due_at = now.after(NEWS_TIMEOUT);
        }
    }

    /// Records that the key-value service answered a read of changes.
    pub(super) const fn on_own_read(&mut self, now: Time) {
        self.last_news = now;
    }

    /// Makes the next request due, to another member than the last.
    ///
    /// News with a gap doesn't help, and the last member doesn't send its state again so soon.
    pub(super) const fn on_lasting_gap(&mut self) {
        self.is_provided = false;
        self.state_due_at = Time::START;
    }

    /// Requests news when that is due; the first state is not requested here.
    pub(super) fn on_tick(&mut self, cx: &mut Cx<'_>, is_store_silent: bool) {
        if cx.cfg.watchers != Watchers::Relayed {
            return;
        }
        let is_member = cx.cache.member(&cx.cfg.host).is_some();
        if is_member && !self.was_member {
            self.was_member = true;
            self.last_news = cx.now;
        }
        let is_outside_tree = self.was_member && !is_member;
        let hears_news = !self.last_news.after(NEWS_TIMEOUT).is_due(cx.now);
        let timeout = if is_store_silent { NEWS_TIMEOUT } else { READ_TIMEOUT };
        let lacks_news = self.was_member && self.last_news.after(timeout).is_due(cx.now);
        // A member that hasn't sent anything usable is not asked again; it may be cut off as well.
        let is_renewal = hears_news && self.is_provided;
        let interval = if is_renewal { RENEWAL_INTERVAL } else { ANSWER_TIMEOUT };
        let is_due = self.asked_at.after(interval).is_due(cx.now) && self.state_due_at.is_due(cx.now);
        if !(is_outside_tree || lacks_news) || !is_due {
            return;
        }
        let current = self.provider.take().filter(|_| is_renewal);
        let Some(provider) = current.or_else(|| random_peer(cx)) else { return };
        self.asked_at = cx.now;
        self.is_provided = false;
        let reason =
            if is_outside_tree { "this process is no member" } else { "neither news nor the service" };
        cx.log_event("state_requested", &provider, reason);
        cx.send(&provider, PeerMessage::StateWanted);
        self.provider = Some(provider);
    }
}

fn random_peer(cx: &mut Cx<'_>) -> Option<HostId> {
    let peers: Vec<HostId> = data_centre_peers(cx).collect();
    (!peers.is_empty()).then(|| peers[cx.rng.random_range(0..peers.len())].clone())
}
