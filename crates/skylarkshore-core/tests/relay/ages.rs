//! How old the knowledge of the hosts of a relay tree is.

use std::collections::BTreeSet;
use std::time::Duration;

use skylarkshore_core::id::HostId;

use crate::relay::{RelayFleet, StoreAccess};
use crate::{APPLY_LIMIT, CONFIGURATION_INTERVAL, HOSTS};

/// The age above which callers aren't denied any more.
const MAX_AGE: Duration = APPLY_LIMIT.checked_sub(Duration::from_millis(750)).expect("it is shorter");
const STEP: Duration = Duration::from_millis(50);
const CALM_TIME: Duration = Duration::from_secs(6);
const OUTAGE: Duration = Duration::from_secs(6);
/// How long news may be on its way down a tree, which no age shows.
const MAX_TRANSIT: Duration = Duration::from_millis(400);
const DATA_CENTRES: usize = 3;

/// Lists the hosts whose knowledge is older than a limit.
fn older(fleet: &RelayFleet, limit: Duration, hosts: &BTreeSet<HostId>) -> Vec<String> {
    let judged = fleet.hosts.iter().filter(|(name, _)| hosts.contains(*name));
    let ages = judged.map(|(name, host)| (name, host.age(fleet.now)));
    let is_older = |age: Option<Duration>| age.is_none_or(|age| age > limit);
    ages.filter(|(_, age)| is_older(*age)).map(|(name, age)| format!("{name}: {age:?}")).collect()
}

fn all(fleet: &RelayFleet) -> BTreeSet<HostId> {
    fleet.hosts.keys().cloned().collect()
}

/// Asserts that the knowledge of all hosts stays young for a while.
fn assert_young(fleet: &mut RelayFleet, hosts: &BTreeSet<HostId>) {
    let until = fleet.now.after(CALM_TIME);
    while !until.is_due(fleet.now) {
        fleet.run(STEP);
        let old = older(fleet, MAX_AGE, hosts);
        assert!(old.is_empty(), "at {}: {old:#?}", fleet.now);
    }
}

/// Guards against hosts that hear of nothing while nothing changes, and deny nothing any more.
#[test]
fn knowledge_stays_young_everywhere_on_a_calm_day() {
    let mut fleet = RelayFleet::settled(1, HOSTS);
    let hosts = all(&fleet);
    assert_young(&mut fleet, &hosts);
    for _ in 0..10 {
        fleet.configure();
        fleet.run(CONFIGURATION_INTERVAL);
        assert_eq!(older(&fleet, MAX_AGE, &hosts), [""; 0]);
    }
    assert_young(&mut fleet, &hosts);
}

/// Guards against knowledge that seems young at hosts that the service turns away and their peers keep up to date.
#[test]
fn knowledge_stays_young_where_peers_relay_it() {
    let mut fleet = RelayFleet::settled(2, HOSTS);
    let turned_away = fleet.sample(HOSTS);
    for name in &turned_away {
        fleet.host(name).access = StoreAccess::Silent;
    }
    fleet.run(OUTAGE);
    let hosts = all(&fleet);
    assert_young(&mut fleet, &hosts);
}

/// Leaves all hosts without answers of the service.
fn silence_service(fleet: &mut RelayFleet) {
    for host in fleet.hosts.values_mut() {
        host.access = StoreAccess::Silent;
    }
}

/// Guards against hosts that take each other's messages for news while none of them reaches the service.
#[test]
fn knowledge_ages_everywhere_while_the_service_answers_nobody() {
    let mut fleet = RelayFleet::settled(3, HOSTS);
    silence_service(&mut fleet);
    fleet.run(OUTAGE);
    let hosts = all(&fleet);
    let old = older(&fleet, OUTAGE.saturating_sub(MAX_TRANSIT), &hosts);
    assert_eq!(old.len(), hosts.len(), "{old:#?}");
}

/// Guards against a frozen root whose last news seems to be new, and against ages that stay high after it.
#[test]
fn knowledge_ages_below_frozen_roots_and_is_young_again_after_it() {
    let mut fleet = RelayFleet::settled(4, HOSTS);
    for data_centre in 0..DATA_CENTRES {
        let root = fleet.root(data_centre);
        fleet.host(&root).is_frozen = true;
    }
    silence_service(&mut fleet);
    fleet.run(OUTAGE);
    let hosts = all(&fleet);
    let old = older(&fleet, OUTAGE.saturating_sub(MAX_TRANSIT), &hosts);
    assert_eq!(old.len(), hosts.len(), "{old:#?}");
    let now = fleet.now;
    for host in fleet.hosts.values_mut() {
        host.recover(now);
    }
    fleet.run(OUTAGE);
    assert_young(&mut fleet, &hosts);
}
