//! Which hosts go by an older configuration than they should.

use std::collections::BTreeSet;
use std::time::Duration;

use skylarkshore_core::Time;
use skylarkshore_core::id::{CatalogueRevision, HostId};

use super::{RelayFleet, RelayHost};

impl RelayFleet {
    /// Returns the hosts that go by an older configuration than the given one.
    pub fn behind(&self, revision: CatalogueRevision) -> Vec<&HostId> {
        self.hosts.iter().filter(|(_, host)| host.revision() < revision).map(|(name, _)| name).collect()
    }

    /// Lists the hosts that went by an older configuration longer than `limit` after a confirmation.
    pub fn late_hosts(&self, limit: Duration, excused: &BTreeSet<HostId>) -> Vec<String> {
        let judged = self.hosts.keys().filter(|name| !excused.contains(*name));
        judged.filter_map(|name| self.lateness(name, limit)).collect()
    }

    /// Describes the configurations that weren't in force at a host in time.
    fn lateness(&self, name: &HostId, limit: Duration) -> Option<String> {
        let settled_at = self.settled_at;
        let is_judged = |confirmed: Time| confirmed >= settled_at && confirmed.after(limit).is_due(self.now);
        let due = self.confirmed.iter().filter(|(_, confirmed)| is_judged(**confirmed));
        let late: Vec<String> = due
            .filter_map(|(revision, confirmed)| match self.in_force_at(name, *revision) {
                Some(at) if at <= confirmed.after(limit) => None,
                Some(at) => Some(format!("{revision} after {:?}", at.since(*confirmed))),
                None => Some(format!("{revision} not at all")),
            })
            .collect();
        let (first, last) = (late.first()?, late.last()?);
        let host = &self.hosts[name];
        let (access, position) = (host.access, host.follower.after());
        Some(format!("{name} ({access:?}, at {position}): {} late, from {first} to {last}", late.len()))
    }

    /// Returns when a host first went by a configuration or a later one.
    fn in_force_at(&self, name: &HostId, revision: CatalogueRevision) -> Option<Time> {
        let since = self.activated.range((name.clone(), revision)..);
        since.take_while(|((host, _), _)| host == name).map(|(_, at)| *at).min()
    }

    /// Lists the undisturbed hosts that go by an older configuration than those that were confirmed `limit` ago.
    pub fn hosts_behind(&self, limit: Duration, contact_time: Duration) -> Vec<String> {
        let due = self.confirmed.iter().rev().find(|(_, confirmed)| confirmed.after(limit).is_due(self.now));
        let Some((due, _)) = due else { return Vec::new() };
        let is_in_contact = |host: &RelayHost| {
            host.undisturbed_since.is_some_and(|since| since.after(contact_time).is_due(self.now))
        };
        // A host that has just started and knows no configuration refuses requests.
        let is_behind = |host: &RelayHost| (1..due.0).contains(&host.revision().0);
        let behind = self.hosts.iter().filter(|(_, host)| is_in_contact(host) && is_behind(host));
        behind
            .map(|(name, host)| {
                let (access, now) = (host.access, self.now);
                format!("{now} {name} ({access:?}): version {} instead of {due}", host.revision())
            })
            .collect()
    }
}
