//! The limits of client accounts over many hosts, with cuts, kills and pauses, in given time.

#[path = "support/fleet.rs"]
mod fleet;

use std::time::Duration;

use skylarkshore_core::Time;
use skylarkshore_core::accounts::{Account, Accounts, AmbiguousAccount, KeyDigest, LimitUnit};
use skylarkshore_core::id::Digest;
use skylarkshore_core::units::Credits;

use fleet::{Fleet, Plan};

const HOSTS: usize = 20;
/// What an account may use in a second.
const PER_SECOND: u64 = 30_000;
/// What a request counts at most.
const LARGEST: u64 = 3_000;

fn secs(s: u64) -> Time {
    Time::START.after(Duration::from_secs(s))
}

fn fleet(seed: u64) -> Fleet {
    Fleet::new(HOSTS, PER_SECOND, LARGEST, seed)
}

/// Guards against a limit that is passed while hosts are cut off, paused, killed or restarted.
#[test]
fn no_window_passes_the_limit_whatever_fails() {
    // The later ones passed the limit when a keeper counted hosts for longer after they had left.
    for seed in (0..30).chain([149, 247, 297, 302, 439, 607, 693, 821, 888]) {
        let mut fleet = fleet(seed);
        fleet.set_request_rate(PER_SECOND * 4);
        fleet.run_with(Plan::random(seed, HOSTS), secs(30));
        let (used, allowed) = (fleet.peak_window_usage(), fleet.allowed());
        assert!(used <= allowed, "seed {seed}: {used} in a window that allows {allowed}");
        assert!(used >= allowed / 2, "seed {seed}: only {used} of {allowed} were used");
    }
}

/// Guards against refusals of an account that keeps to its limit.
#[test]
fn an_account_below_its_limit_is_never_refused_in_calm() {
    for seed in 0..5 {
        let mut fleet = fleet(seed);
        fleet.run(secs(2));
        fleet.set_request_rate(PER_SECOND * 55 / 100);
        fleet.run(secs(30));
        assert_eq!(fleet.refused_since(secs(0)), 0, "seed {seed}");
    }
}

/// Guards against refusals for longer than a moment after the keeper of an account's book is gone.
#[test]
fn a_lost_keeper_is_replaced_within_a_second() {
    for seed in 0..5 {
        let mut fleet = fleet(seed);
        fleet.run(secs(2));
        fleet.set_request_rate(PER_SECOND * 55 / 100);
        fleet.run(secs(10));
        let coordinator = fleet.coordinator();
        fleet.kill(coordinator, secs(25));
        fleet.run(secs(25));
        assert_eq!(fleet.refused_since(secs(11)), 0, "seed {seed}");
    }
}

/// Guards against a limit that counts from anew when all processes were killed.
#[test]
fn all_hosts_killed_at_once_spend_no_window_twice() {
    for seed in 0..5 {
        let mut fleet = fleet(seed);
        fleet.set_request_rate(PER_SECOND * 4);
        fleet.run(secs(10));
        for host in 0..HOSTS {
            fleet.kill(host, secs(10).after(Duration::from_millis(300)));
        }
        fleet.run(secs(20));
        let (used, allowed) = (fleet.peak_window_usage(), fleet.allowed());
        assert!(used <= allowed, "seed {seed}: {used} of {allowed}");
    }
}

/// Guards against refusals long after all processes were killed.
#[test]
fn an_account_below_its_limit_is_served_a_second_after_all_were_killed() {
    for seed in 0..5 {
        let mut fleet = fleet(seed);
        fleet.set_request_rate(PER_SECOND * 55 / 100);
        fleet.run(secs(10));
        for host in 0..HOSTS {
            fleet.kill(host, secs(10).after(Duration::from_millis(300)));
        }
        fleet.run(secs(25));
        assert_eq!(fleet.refused_since(secs(11).after(Duration::from_millis(300))), 0, "seed {seed}");
    }
}

/// Guards against callers who wait for credit while all hosts start and don't hear of each other yet.
#[test]
fn hosts_that_just_started_serve_from_their_own_shares() {
    let mut fleet = fleet(1);
    fleet.isolate_all();
    fleet.set_request_rate(PER_SECOND * 55 / 100);
    fleet.run(Time::from_millis(500));
    assert!(fleet.granted() >= 1, "all wait for keepers that can't answer");
}

/// Guards against two halves that each spend the whole limit while they don't hear of each other.
#[test]
fn two_halves_spend_the_limit_once_between_them() {
    for seed in 0..5 {
        let mut fleet = fleet(seed);
        fleet.set_request_rate(PER_SECOND * 4);
        fleet.run(secs(10));
        fleet.cut(0..HOSTS / 2);
        fleet.run(secs(30));
        fleet.heal();
        fleet.run(secs(40));
        let (used, allowed) = (fleet.peak_window_usage(), fleet.allowed());
        assert!(used <= allowed, "seed {seed}: {used} of {allowed}");
    }
}

/// Guards against a half that refuses what is below its part of the limit.
#[test]
fn both_halves_serve_an_account_below_its_limit() {
    for seed in 0..5 {
        let mut fleet = fleet(seed);
        fleet.run(secs(2));
        fleet.set_request_rate(PER_SECOND * 55 / 100);
        fleet.run(secs(10));
        fleet.cut(0..HOSTS / 2);
        fleet.run(secs(30));
        assert_eq!(fleet.refused_since(secs(15)), 0, "seed {seed}");
    }
}

/// Guards against a limit that is lowered and doesn't bind.
#[test]
fn a_lowered_limit_binds_after_a_window() {
    let mut fleet = fleet(1);
    fleet.set_request_rate(PER_SECOND * 4);
    fleet.run(secs(10));
    fleet.set_limit(PER_SECOND / 3);
    fleet.run(secs(30));
    let allowed = fleet.allowed();
    let used = fleet.peak_window_usage_since(secs(11));
    assert!(used <= allowed, "{used} of {allowed}");
}

/// Guards against credit that is lost with requests that were never run.
#[test]
fn what_was_not_run_is_given_back() {
    let mut fleet = fleet(1);
    fleet.return_all_credit();
    fleet.run(secs(2));
    fleet.set_request_rate(PER_SECOND * 2);
    fleet.run(secs(20));
    assert_eq!(fleet.refused_since(secs(0)), 0);
}

/// Guards against a key that leads to two accounts.
#[test]
fn a_key_belongs_to_one_account() {
    let account = || Account { keys: [KeyDigest(Digest([7; 32]))].into(), ..Account::default() };
    let mut accounts = Accounts::default();
    accounts.add("orchard".parse().unwrap(), account()).unwrap();
    let (first, second) = ("orchard".parse().unwrap(), "mill".parse().unwrap());
    let shared = AmbiguousAccount::SharedKey { first, second };
    assert_eq!(accounts.add("mill".parse().unwrap(), account()), Err(shared));
}

/// Guards against keys that show in logs and dumps.
#[test]
fn a_key_prints_nothing() {
    assert_eq!(format!("{:?}", KeyDigest(Digest([7; 32]))), "KeyDigest(..)");
}

#[test]
fn a_request_counts_its_tokens_or_one() {
    let tokens = LimitUnit::Tokens { default_cost: Credits(200) };
    let costs = [tokens.cost(Some(1540)), tokens.cost(None), LimitUnit::Requests.cost(Some(1540))];
    assert_eq!(costs, [Credits(1540), Credits(200), Credits(1)]);
}
