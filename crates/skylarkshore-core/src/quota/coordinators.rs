//! Which hosts coordinate the quota of client accounts, and which of them respond. Start with
//! [`Coordinators`].

use std::time::Duration;

use crate::collections::{OrderedMap, OrderedSet};
use crate::control::hashing::{name_hash, ranking_by_capacity};
use crate::cx::Cx;
use crate::id::{AccountName, HostId};
use crate::peer::CreditMessage;
use crate::store::MemberRecord;
use crate::time::Time;

use super::send;

/// The number of partitions (second) of the accounts from a number of hosts (first) upwards.
///
/// The hash of its name puts an account into a partition; one host coordinates each of them.
/// Every host registers with the coordinator of each partition, so the number of partitions
/// must not grow with the number of hosts.
const PARTITIONS_BY_HOSTS: [(usize, usize); 3] = [(200, 8), (20, 4), (0, 2)];
/// How many hosts may coordinate a partition if those ranked before them don't respond.
const CANDIDATES_PER_PARTITION: usize = 6;
/// How often this host renews its registration with a coordinator.
const REGISTER_INTERVAL: Duration = Duration::from_millis(400);
/// How often an unresponsive coordinator is probed.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// How long a coordinator may leave messages unanswered before it counts as unresponsive.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);
/// The same for a coordinator that has never answered; the first message includes a handshake.
const FIRST_ANSWER_TIMEOUT: Duration = Duration::from_millis(600);

/// The state of the connection to one coordinator.
#[derive(Clone, Copy, Debug, Default)]
struct Link {
    last_sent: Option<Time>,
    /// When the first message was sent that has had no answer since.
    unanswered_since: Option<Time>,
    has_answered: bool,
    is_unresponsive: bool,
}

impl Link {
    fn has_timed_out(&self, now: Time) -> bool {
        let timeout = if self.has_answered { ANSWER_TIMEOUT } else { FIRST_ANSWER_TIMEOUT };
        self.unanswered_since.is_some_and(|since| since.after(timeout).is_due(now))
    }
}

/// The coordinators of all partitions, as this process knows them.
#[derive(Debug, Default)]
pub(super) struct Coordinators {
    /// The candidates of each partition; the first responsive one coordinates it.
    partitions: Vec<Vec<HostId>>,
    links: OrderedMap<HostId, Link>,
}

impl Coordinators {
    /// Ranks the candidates of each partition among the current members.
    pub(super) fn update_members(&mut self, cx: &Cx<'_>) {
        let staying: Vec<(&HostId, &MemberRecord)> =
            cx.cache.members().filter(|(_, member)| !member.leaving).collect();
        let partitions = PARTITIONS_BY_HOSTS
            .iter()
            .find(|(hosts, _)| staying.len() >= *hosts)
            .map_or(1, |(_, partitions)| *partitions);
        self.partitions = (0..partitions)
            .map(|part| {
                let ranked = ranking_by_capacity(&format!("credit/{part}"), staying.iter().copied());
                ranked.into_iter().take(CANDIDATES_PER_PARTITION).cloned().collect()
            })
            .collect();
        let candidates: OrderedSet<&HostId> = self.partitions.iter().flatten().collect();
        self.links.retain(|host, _| candidates.contains(host));
    }

    /// Returns the coordinator of an account; none if all candidates are unresponsive.
    pub(super) fn coordinator(&self, account: &AccountName) -> Option<HostId> {
        let partitions = u64::try_from(self.partitions.len()).unwrap_or(1).max(1);
        let partition = usize::try_from(name_hash(account.as_str()) % partitions).unwrap_or(0);
        self.first_responsive(self.partitions.get(partition)?).cloned()
    }

    /// Reports whether a coordinator has ever answered.
    pub(super) fn has_answered(&self, host: &HostId) -> bool {
        self.links.get(host).is_some_and(|link| link.has_answered)
    }

    /// Records a message to a coordinator.
    pub(super) fn record_sent(&mut self, now: Time, host: &HostId) {
        let link = self.links.entry(host.clone()).or_default();
        link.last_sent = Some(now);
        link.unanswered_since.get_or_insert(now);
    }

    /// Records an answer of a coordinator.
    pub(super) fn record_answer(&mut self, host: &HostId) {
        if let Some(link) = self.links.get_mut(host) {
            link.unanswered_since = None;
            link.has_answered = true;
            link.is_unresponsive = false;
        }
    }

    /// Detects unresponsive coordinators and sends the registrations and probes that are due.
    ///
    /// Reports whether this host registered its share anywhere.
    pub(super) fn renew_registrations(&mut self, cx: &mut Cx<'_>) -> bool {
        for (host, link) in &mut self.links {
            if link.has_timed_out(cx.now) && !link.is_unresponsive && *host != cx.cfg.host {
                link.is_unresponsive = true;
                cx.log_event("credit_keeper_silent", host, "the next one is asked");
            }
        }
        let due: OrderedSet<HostId> =
            self.partitions.iter().flat_map(|ranked| self.due(cx.now, ranked)).collect();
        let mut registered = false;
        for host in due {
            // A probe of an unresponsive coordinator doesn't carry this host's share.
            let with_share = !self.is_unresponsive(&host);
            registered |= with_share;
            self.record_sent(cx.now, &host);
            send(cx, &host, CreditMessage::SignOn { with_share });
        }
        registered
    }

    /// Returns the current coordinator of each partition.
    pub(super) fn current(&self) -> OrderedSet<HostId> {
        self.partitions.iter().filter_map(|ranked| self.first_responsive(ranked)).cloned().collect()
    }

    fn first_responsive<'a>(&self, ranked: &'a [HostId]) -> Option<&'a HostId> {
        ranked.iter().find(|host| !self.is_unresponsive(host))
    }

    fn is_unresponsive(&self, host: &HostId) -> bool {
        self.links.get(host).is_some_and(|link| link.is_unresponsive)
    }

    /// Returns a partition's hosts that are due for a message: its coordinator and the
    /// unresponsive candidates ranked before it.
    fn due(&self, now: Time, ranked: &[HostId]) -> Vec<HostId> {
        let mut due = Vec::new();
        for host in ranked {
            let link = self.links.get(host).copied().unwrap_or_default();
            let interval = if link.is_unresponsive { PROBE_INTERVAL } else { REGISTER_INTERVAL };
            if link.last_sent.is_none_or(|last_sent| last_sent.after(interval).is_due(now)) {
                due.push(host.clone());
            }
            if !link.is_unresponsive {
                break;
            }
        }
        due
    }
}
