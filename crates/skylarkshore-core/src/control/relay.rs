//! News of the key-value service that one process of a data centre reads and passes on to the others.
//!
//! Where every process looks for news itself, each change costs as many calls
//! as there are processes. With the relay the first few of a ranking pass on
//! what they read; whoever hears nothing for a while reads for itself, so that
//! nobody depends on another one for longer than that.

use std::time::Duration;

use super::hashing::ranking_by_capacity;
use super::peers::neighbours;
use crate::config::Watchers;
use crate::cx::Cx;
use crate::effect::Effect;
use crate::id::HostId;
use crate::peer::{News, PeerMessage};
use crate::time::Time;

/// How many processes of a data centre pass on what they read.
///
/// All but the first do so only while they hear nothing, as only then they read.
const READERS: usize = 2;
/// How often the ranking is worked out anew.
const REVIEW_EVERY: Duration = Duration::from_secs(1);

/// Whether this process passes on what it reads.
#[derive(Debug, Default)]
pub(super) struct Relay {
    rank: Option<usize>,
    due: Time,
}

impl Relay {
    /// Finds out now and then which place this process has.
    pub(super) fn on_tick(&mut self, cx: &mut Cx<'_>) {
        if cx.cfg.watchers != Watchers::Relayed || !self.due.is_due(cx.now) {
            return;
        }
        self.due = cx.now.after(REVIEW_EVERY);
        let members = cx.cache.members().filter(|(_, member)| !member.leaving);
        let near = members.filter(|(_, member)| member.data_centre == cx.cfg.data_centre);
        let ranked = ranking_by_capacity(&format!("news/{}", cx.cfg.data_centre), near);
        let rank = ranked.iter().position(|host| **host == cx.cfg.host);
        let was_first = self.is_first();
        self.rank = rank;
        if self.is_first() != was_first {
            cx.push(Effect::ReadNewsForOthers(self.is_first()));
        }
    }

    /// Passes on what this process has read.
    pub(super) fn on_read(&self, cx: &mut Cx<'_>, news: &News) {
        if self.rank.is_none_or(|rank| rank >= READERS) {
            return;
        }
        let others: Vec<HostId> = neighbours(cx).collect();
        for host in others {
            cx.tell(&host, PeerMessage::News(news.clone()));
        }
    }

    fn is_first(&self) -> bool {
        self.rank == Some(0)
    }
}
