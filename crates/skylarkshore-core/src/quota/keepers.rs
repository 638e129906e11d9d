//! Which hosts keep the books of client accounts, and which of them answer.

use std::time::Duration;

use crate::collections::{OrderedMap, OrderedSet};
use crate::control::hashing::{name_hash, ranking_by_capacity};
use crate::cx::Cx;
use crate::id::{AccountName, HostId};
use crate::peer::CreditMessage;
use crate::store::MemberRecord;
use crate::time::Time;

use super::tell;

/// In how many parts the accounts are given out, with the fewest hosts for which they are so many.
///
/// Every host signs on with the keeper of each part, so that their number must
/// not grow with the hosts.
const PARTS: [(usize, usize); 3] = [(200, 8), (20, 4), (0, 2)];
/// How many hosts may keep a part's books when those before them are silent.
const RANKS: usize = 6;
/// How often a keeper is told that this host counts on it.
const SIGN_ON_EVERY: Duration = Duration::from_millis(400);
/// How often a silent keeper is asked whether it is back.
const PROBE_EVERY: Duration = Duration::from_millis(500);
/// After how long without any answer a keeper counts as silent.
const SILENT_AFTER: Duration = Duration::from_millis(200);
/// The same for one that has never answered; the first message takes a handshake.
const SILENT_AT_FIRST: Duration = Duration::from_millis(600);

/// The way to one keeper.
#[derive(Clone, Copy, Debug, Default)]
struct Link {
    /// When it was last told or asked something.
    told: Option<Time>,
    /// Since when it has answered nothing.
    unanswered: Option<Time>,
    has_answered: bool,
    is_silent: bool,
}

impl Link {
    fn is_lost(&self, now: Time) -> bool {
        let patience = if self.has_answered { SILENT_AFTER } else { SILENT_AT_FIRST };
        self.unanswered.is_some_and(|since| since.after(patience).is_due(now))
    }
}

/// The keepers of all parts, as this process sees them.
#[derive(Debug, Default)]
pub(super) struct Keepers {
    /// For each part, the hosts in the order in which they keep its books.
    parts: Vec<Vec<HostId>>,
    links: OrderedMap<HostId, Link>,
}

impl Keepers {
    /// Takes note of who the members are.
    pub(super) fn note_members(&mut self, cx: &Cx<'_>) {
        let staying: Vec<(&HostId, &MemberRecord)> =
            cx.cache.members().filter(|(_, member)| !member.leaving).collect();
        let parts = PARTS.iter().find(|(hosts, _)| staying.len() >= *hosts).map_or(1, |(_, parts)| *parts);
        self.parts = (0..parts)
            .map(|part| {
                let ranked = ranking_by_capacity(&format!("credit/{part}"), staying.iter().copied());
                ranked.into_iter().take(RANKS).cloned().collect()
            })
            .collect();
        let ranked: OrderedSet<&HostId> = self.parts.iter().flatten().collect();
        self.links.retain(|host, _| ranked.contains(host));
    }

    /// Returns the keeper of an account's book; none if all that could be are silent.
    pub(super) fn keeper(&self, account: &AccountName) -> Option<HostId> {
        let parts = u64::try_from(self.parts.len()).unwrap_or(1).max(1);
        let part = usize::try_from(name_hash(account.as_str()) % parts).unwrap_or(0);
        self.first_heard(self.parts.get(part)?).cloned()
    }

    /// Tells whether a keeper has ever answered.
    pub(super) fn has_answered(&self, host: &HostId) -> bool {
        self.links.get(host).is_some_and(|link| link.has_answered)
    }

    /// Takes note that a keeper was told or asked something.
    pub(super) fn note_told(&mut self, now: Time, host: &HostId) {
        let link = self.links.entry(host.clone()).or_default();
        link.told = Some(now);
        link.unanswered.get_or_insert(now);
    }

    /// Takes note of an answer.
    pub(super) fn note_heard(&mut self, host: &HostId) {
        if let Some(link) = self.links.get_mut(host) {
            link.unanswered = None;
            link.has_answered = true;
            link.is_silent = false;
        }
    }

    /// Finds out which keepers are silent, signs on with the others, and tells whether it did.
    pub(super) fn on_tick(&mut self, cx: &mut Cx<'_>) -> bool {
        for (host, link) in &mut self.links {
            if link.is_lost(cx.now) && !link.is_silent && *host != cx.cfg.host {
                link.is_silent = true;
                cx.log_event("credit_keeper_silent", host, "the next one is asked");
            }
        }
        let due: OrderedSet<HostId> = self.parts.iter().flat_map(|ranked| self.due(cx.now, ranked)).collect();
        let mut signed_on = false;
        for host in due {
            // Whoever is only asked whether it is back doesn't get this host's share.
            let with_share = !self.is_silent(&host);
            signed_on |= with_share;
            self.note_told(cx.now, &host);
            tell(cx, &host, CreditMessage::SignOn { with_share });
        }
        signed_on
    }

    /// Returns the keepers of this process's accounts, for the last word to them.
    pub(super) fn in_use(&self) -> OrderedSet<HostId> {
        self.parts.iter().filter_map(|ranked| self.first_heard(ranked)).cloned().collect()
    }

    fn first_heard<'a>(&self, ranked: &'a [HostId]) -> Option<&'a HostId> {
        ranked.iter().find(|host| !self.is_silent(host))
    }

    fn is_silent(&self, host: &HostId) -> bool {
        self.links.get(host).is_some_and(|link| link.is_silent)
    }

    /// Returns whom of a part's hosts to tell now: the keeper, and the silent ones before it.
    fn due(&self, now: Time, ranked: &[HostId]) -> Vec<HostId> {
        let mut due = Vec::new();
        for host in ranked {
            let link = self.links.get(host).copied().unwrap_or_default();
            let every = if link.is_silent { PROBE_EVERY } else { SIGN_ON_EVERY };
            if link.told.is_none_or(|told| told.after(every).is_due(now)) {
                due.push(host.clone());
            }
            if !link.is_silent {
                break;
            }
        }
        due
    }
}
