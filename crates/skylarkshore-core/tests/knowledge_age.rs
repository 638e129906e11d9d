//! How old a process takes its knowledge of the shared keys to be, message by message; `relay.rs` plays whole trees.

use std::time::Duration;

use skylarkshore_core::config::{Limits, NodeConfig, Timings, Watchers};
use skylarkshore_core::id::{CallId, Digest, HostId, Incarnation, StoreRevision};
use skylarkshore_core::peer::{News, PeerMessage, StatePart};
use skylarkshore_core::rules::{MinuteOfDay, Rules};
use skylarkshore_core::store::StoreAnswer;
use skylarkshore_core::units::Capacity;
use skylarkshore_core::{Effect, Event, Node, Time};

const START: Time = Time::from_millis(60_000);

fn at(ms: u64) -> Time {
    START.after(Duration::from_millis(ms))
}

fn peer() -> HostId {
    "host-2".parse().unwrap()
}

fn process() -> Node {
    let address = "127.0.0.1:1".parse().unwrap();
    let cfg = NodeConfig {
        host: "host-1".parse().unwrap(),
        incarnation: Incarnation(1),
        data_centre: "north".parse().unwrap(),
        caller_address: address,
        peer_address: address,
        fingerprint: Digest([0; 32]),
        seed: 1,
        timings: Timings::default(),
        limits: Limits::default(),
        default_rules: Rules::default(),
        watchers: Watchers::Relayed,
        capacity: Capacity(100),
        is_first_start: false,
    };
    Node::start(cfg, START).0
}

/// Returns news whose age is in milliseconds; without changes, its body is empty.
fn news(after: u64, upto: u64, age: Option<u64>) -> News {
    let body = if after == upto { Vec::new() } else { vec![1] };
    let age = age.map(Duration::from_millis);
    News { after: StoreRevision(after), upto: StoreRevision(upto), age, body: body.into() }
}

fn hear(node: &mut Node, now: Time, message: PeerMessage) {
    node.handle(now, Event::Peer { from: peer(), message });
}

fn hear_news(node: &mut Node, now: Time, news: News) {
    hear(node, now, PeerMessage::News(news));
}

/// Receives one of two parts of a peer's state up to revision 10.
fn hear_state(node: &mut Node, now: Time, part: u32, age: Option<u64>) {
    let age = age.map(Duration::from_millis);
    let body = Vec::new().into();
    let part = StatePart { series: 1, upto: StoreRevision(10), age, part, parts: 2, body };
    hear(node, now, PeerMessage::State(part));
}

/// Applies a state, as the adapter does when all of its parts are there.
fn apply_state(node: &mut Node, now: Time, upto: u64) {
    node.handle(now, Event::State { upto: StoreRevision(upto), records: Vec::new() });
}

/// Applies the changes of news, as the adapter does when no earlier ones are missing.
fn apply_news(node: &mut Node, now: Time, upto: u64) {
    node.handle(now, Event::Watched { changes: Vec::new(), upto: StoreRevision(upto) });
}

/// Returns a process that knows the state up to revision 10, complete as of the start, and watches.
fn informed() -> Node {
    let mut node = process();
    hear_state(&mut node, at(0), 0, Some(0));
    apply_state(&mut node, at(0), 10);
    node.handle(at(0), Event::Tick { at: MinuteOfDay::default() });
    assert_eq!(node.complete_at(), Some(at(0)));
    node
}

/// Guards against a process that takes itself to be up to date before it knows anything.
#[test]
fn nothing_is_complete_before_the_first_state() {
    let mut node = process();
    hear_news(&mut node, at(100), news(10, 10, Some(0)));
    hear_state(&mut node, at(200), 0, Some(0));
    assert_eq!(node.complete_at(), None);
    apply_state(&mut node, at(900), 10);
    assert_eq!(node.complete_at(), Some(at(200)));
}

/// Guards against a state that makes its receiver seem younger than its sender, or whose way here isn't counted.
#[test]
fn a_state_is_as_old_as_its_senders_knowledge_when_its_first_part_arrives() {
    let mut node = process();
    hear_state(&mut node, at(7_000), 0, Some(6_000));
    hear_state(&mut node, at(9_000), 1, Some(6_000));
    apply_state(&mut node, at(9_100), 10);
    assert_eq!(node.complete_at(), Some(at(1_000)));
}

/// Guards against a peer of unknown age that makes a process seem up to date.
#[test]
fn messages_without_an_age_confirm_nothing() {
    let mut node = process();
    hear_state(&mut node, at(0), 0, None);
    apply_state(&mut node, at(0), 10);
    hear_news(&mut node, at(100), news(10, 10, None));
    assert_eq!(node.complete_at(), None);
    let mut node = informed();
    hear_news(&mut node, at(3_000), news(10, 10, None));
    apply_state(&mut node, at(3_100), 10);
    assert_eq!(node.complete_at(), Some(at(0)));
}

/// Guards against hosts that deny nothing any more while nothing changes.
#[test]
fn empty_news_confirms_what_is_known() {
    let mut node = informed();
    hear_news(&mut node, at(3_000), news(10, 10, Some(800)));
    assert_eq!(node.complete_at(), Some(at(2_200)));
}

/// Guards against news that counts before its changes are applied.
#[test]
fn news_confirms_once_its_changes_are_applied() {
    let mut node = informed();
    hear_news(&mut node, at(3_000), news(10, 11, Some(500)));
    assert_eq!(node.complete_at(), Some(at(0)));
    apply_news(&mut node, at(3_400), 11);
    assert_eq!(node.complete_at(), Some(at(2_500)));
}

/// Guards against a host that misses changes, hears of later ones, and denies what the missed ones allow.
#[test]
fn news_beyond_a_gap_confirms_nothing_until_the_gap_is_filled() {
    let mut node = informed();
    for second in 1..=50 {
        hear_news(&mut node, at(second * 1_000), news(12, 13, Some(0)));
        hear_news(&mut node, at(second * 1_000), news(13, 13, Some(0)));
    }
    assert_eq!(node.complete_at(), Some(at(0)));
    apply_news(&mut node, at(51_000), 12);
    assert_eq!(node.complete_at(), Some(at(0)));
    apply_news(&mut node, at(51_000), 13);
    assert_eq!(node.complete_at(), Some(at(50_000)));
}

/// Guards against older news that arrives late and takes back what newer news has confirmed.
#[test]
fn late_news_takes_nothing_back() {
    let mut node = informed();
    hear_news(&mut node, at(3_000), news(10, 10, Some(0)));
    hear_news(&mut node, at(4_000), news(9, 10, Some(2_000)));
    assert_eq!(node.complete_at(), Some(at(3_000)));
}

/// Guards against a read that seems as new as its answer, however long the service waited.
#[test]
fn an_own_read_confirms_as_of_when_it_was_sent() {
    let mut node = informed();
    node.handle(at(3_000), Event::NewsRead(news(10, 10, Some(1_200))));
    assert_eq!(node.complete_at(), Some(at(1_800)));
}

/// Guards against a relay that passes on knowledge as younger than it got it.
#[test]
fn a_state_is_sent_with_the_age_of_the_senders_knowledge() {
    let mut node = informed();
    let wanted = Event::Peer { from: peer(), message: PeerMessage::StateWanted };
    let effects = node.handle(at(4_000), wanted);
    let ages: Vec<Option<Duration>> = effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::SendState { age, .. } => Some(*age),
            _ => None,
        })
        .collect();
    assert_eq!(ages, [Some(Duration::from_secs(4))]);
}

/// Guards against many changes beyond a gap that use up memory, or hide what the filled gap confirms.
#[test]
fn many_confirmations_beyond_a_gap_are_bounded_and_the_last_still_counts() {
    let mut node = informed();
    for change in 0..1_000 {
        hear_news(&mut node, at(change), news(20 + change, 21 + change, Some(0)));
    }
    apply_state(&mut node, at(2_000), 2_000);
    assert_eq!(node.complete_at(), Some(at(999)));
}

/// Guards against streams that go on at another version than the one that began them: a version came and went
/// while this host couldn't follow the host list, and the complete state that it reads afterwards, from the
/// service or from a peer that has read it, doesn't tell.
#[test]
fn a_complete_state_after_a_gap_begins_a_new_history_of_the_host_list() {
    let secs = Duration::from_secs;
    let is_covered = |node: &Node, now: Time| {
        let coverage = node.list_knowledge().coverage().expect("the list was read");
        coverage.covers(now, now.since(START))
    };
    let later = |catch_up: fn(&mut Node)| {
        let mut node = informed();
        catch_up(&mut node);
        hear_news(&mut node, at(10_000), news(20, 20, Some(0)));
        apply_news(&mut node, at(10_000), 20);
        assert_eq!(node.list_knowledge().known_at(), Some(at(10_000)));
        is_covered(&node, START.after(secs(10)))
    };
    assert!(later(|node| {
        hear_news(node, at(9_900), news(10, 20, Some(0)));
        apply_news(node, at(9_900), 20);
    }));
    assert!(!later(|node| apply_state(node, at(9_900), 20)));
    assert!(!later(|node| {
        let records = Vec::new();
        let read = StoreAnswer::Shared { revision: StoreRevision(20), records };
        node.handle(at(9_900), Event::Store { call: CallId(999), result: Ok(read) });
        apply_news(node, at(9_900), 20);
    }));
    assert!(!later(|node| {
        hear_news(node, at(9_900), news(10, 20, None));
        apply_news(node, at(9_900), 20);
    }));
}
