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
use crate::id::HostId;
use crate::peer::PeerMessage;
use crate::time::Time;

/// Time without news after which another member is asked.
const NEWS_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval between two requests to a member that relays news; shorter than the time for which it does.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(4);

/// The requests of this process, and the news that they brought.
#[derive(Debug, Default)]
pub(super) struct NewsPull {
    /// Whether this process has been a member.
    was_member: bool,
    last_news: Time,
    next_request: Time,
    provider: Option<HostId>,
}

impl NewsPull {
    /// Records a message of a peer.
    pub(super) const fn on_peer(&mut self, now: Time, message: &PeerMessage) {
        if matches!(message, PeerMessage::News(_) | PeerMessage::State(_)) {
            self.last_news = now;
        }
    }

    /// Requests news when that is due.
    pub(super) fn on_tick(&mut self, cx: &mut Cx<'_>, is_store_silent: bool) {
        if cx.cfg.watchers != Watchers::Relayed {
            return;
        }
        let is_member = cx.cache.member(&cx.cfg.host).is_some();
        self.was_member |= is_member;
        let is_outside_tree = self.was_member && !is_member;
        let hears_news = !self.last_news.after(NEWS_TIMEOUT).is_due(cx.now);
        let lacks_news = is_store_silent && !hears_news;
        if !(is_outside_tree || lacks_news) || !self.next_request.is_due(cx.now) {
            return;
        }
        let current = self.provider.take().filter(|_| hears_news);
        let Some(provider) = current.or_else(|| random_peer(cx)) else { return };
        self.next_request = cx.now.after(if hears_news { RENEWAL_INTERVAL } else { NEWS_TIMEOUT });
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
