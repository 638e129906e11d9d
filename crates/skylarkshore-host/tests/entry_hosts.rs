//! Selection of the entry hosts that are listed for callers.

use std::net::SocketAddr;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use skylarkshore_core::collections::OrderedSet;
use skylarkshore_core::id::Digest;
use skylarkshore_host::driver::Member;
use skylarkshore_host::entry_hosts::choose;

fn members(data_centre: &str, count: u16, from: u16) -> Vec<Member> {
    let member = |number: u16| Member {
        host: format!("edge-{number}").parse().expect("the name is valid"),
        caller_address: SocketAddr::from(([127, 0, 0, 1], number)),
        peer_address: SocketAddr::from(([127, 0, 0, 2], number)),
        data_centre: data_centre.parse().expect("the name is valid"),
        fingerprint: Digest([0; 32]),
        leaving: false,
    };
    (from..from + count).map(member).collect()
}

/// Guards against answers that always list the same hosts when there are more
/// than an answer may list. The others would get no connections, and the
/// platform would consider them broken.
#[test]
fn every_host_is_listed_for_some_callers() {
    let members = members("north", 80, 1);
    let mut rng = SmallRng::seed_from_u64(1);
    let mut listed = OrderedSet::new();
    for _ in 0..40 {
        let answer = choose(&members, None, 64, &mut rng);
        assert_eq!(answer.len(), 64);
        listed.extend(answer);
    }
    assert_eq!(listed.len(), 80);
}

#[test]
fn only_local_hosts_are_listed_if_the_data_centre_has_enough() {
    let all = [members("north", 8, 1), members("south", 7, 100)].concat();
    let mut rng = SmallRng::seed_from_u64(1);
    let near = choose(&all, Some("north"), 64, &mut rng);
    assert!(near.len() == 8 && near.iter().all(|address| address.port() < 100), "{near:?}");
    assert_eq!(choose(&all, Some("south"), 64, &mut rng).len(), 15, "seven may be lost at once");
    assert_eq!(choose(&all, None, 64, &mut rng).len(), 15);
}

/// Guards against listing a host that is shutting down but still has its member
/// key. Callers would connect to it just before it exits.
#[test]
fn a_host_that_shuts_down_is_not_listed() {
    let mut all = members("north", 3, 1);
    all[0].leaving = true;
    let mut rng = SmallRng::seed_from_u64(1);
    let mut listed = choose(&all, Some("north"), 64, &mut rng);
    listed.sort();
    assert_eq!(listed, [all[1].caller_address, all[2].caller_address]);
}
