//! A process beside the entry of an earlier start of its host, and one that is replaced, event by event.

use std::time::Duration;

use skylarkshore_core::config::{Limits, NodeConfig, Timings, Watchers};
use skylarkshore_core::effect::RefusalReason;
use skylarkshore_core::event::{Arrival, Repeat, RequestPolicy, Target};
use skylarkshore_core::id::{Digest, Incarnation, RequestId, StoreRevision};
use skylarkshore_core::list_knowledge::Coverage;
use skylarkshore_core::rules::{MinuteOfDay, Rules};
use skylarkshore_core::store::{Key, MemberRecord, Record, StoreAnswer, Versioned};
use skylarkshore_core::units::Capacity;
use skylarkshore_core::{Effect, Event, Node, Time};

const NUMBER: u64 = 1000;

fn config() -> NodeConfig {
    let address = "127.0.0.1:1".parse().unwrap();
    NodeConfig {
        host: "host-1".parse().unwrap(),
        incarnation: Incarnation(NUMBER),
        data_centre: "north".parse().unwrap(),
        caller_address: address,
        peer_address: address,
        fingerprint: Digest([1; 32]),
        seed: 1,
        timings: Timings::default(),
        limits: Limits::default(),
        default_rules: Rules::default(),
        watchers: Watchers::All,
        capacity: Capacity(100),
        is_first_start: true,
    }
}

/// Returns the entry of another start of the host.
fn entry(number: u64, certificate: u8, revision: u64) -> Versioned {
    let cfg = config();
    let record = MemberRecord {
        incarnation: Incarnation(number),
        caller_address: cfg.caller_address,
        peer_address: cfg.peer_address,
        data_centre: cfg.data_centre,
        fingerprint: Digest([certificate; 32]),
        leaving: false,
        capacity: cfg.capacity,
    };
    let key = Key::Member(cfg.host);
    Versioned { key, revision: StoreRevision(revision), writer: None, record: Some(Record::Member(record)) }
}

fn watched(node: &mut Node, change: Versioned) -> Vec<Effect> {
    let upto = change.revision;
    node.handle(Time::START, Event::Watched { changes: vec![change], upto })
}

/// Starts a process that reads an entry, or none, as the whole state of the service.
fn started_beside(found: Option<&Versioned>) -> Node {
    let (mut node, effects) = Node::start(config(), Time::START);
    for effect in effects {
        let Effect::Store { call, request: skylarkshore_core::store::StoreCall::ReadShared } = effect else {
            continue;
        };
        let records = found.cloned().into_iter().collect();
        let answer = StoreAnswer::Shared { revision: StoreRevision(10), records };
        node.handle(Time::START, Event::Store { call, result: Ok(answer) });
    }
    node
}

/// Guards against a process that takes the start of the whole system for its own first one: it would know
/// nothing of what was on the host list before it, and join streams of two versions.
#[test]
fn a_start_after_another_one_is_not_the_first_of_the_system() {
    let mut first = started_beside(None);
    first.handle(Time::START, Event::HostList(Vec::new()));
    assert_eq!(first.list_knowledge().coverage(), Some(Coverage::Whole));
    for number in [NUMBER - 1, NUMBER, NUMBER + 1] {
        let mut again = started_beside(Some(&entry(number, 2, 5)));
        again.handle(Time::START, Event::HostList(Vec::new()));
        assert_ne!(again.list_knowledge().coverage(), Some(Coverage::Whole), "{number}");
        assert!(again.config().incarnation > Incarnation(number), "{number}");
    }
}

/// Guards against a replaced process that serves, and tells peers what it believes.
#[test]
fn a_replaced_process_refuses_requests_and_sends_nothing() {
    for number in [NUMBER - 1, NUMBER, NUMBER + 1] {
        let mut node = started_beside(None);
        watched(&mut node, entry(NUMBER, 1, 11));
        assert!(!node.is_on_standby());
        watched(&mut node, entry(number, 2, 12));
        assert!(node.is_on_standby(), "{number}");
        assert!(!node.is_ready(), "{number}");
        let later = Time::START.after(Duration::from_secs(2));
        let tick = node.handle(later, Event::Tick { at: MinuteOfDay::default() });
        let acts = |effect: &Effect| matches!(effect, Effect::Peer(_) | Effect::Store { .. });
        assert!(!tick.iter().any(acts), "{number}: {tick:?}");
        let effects = node.handle(later, Event::Arrived { request: RequestId(1), arrival: arrival(later) });
        let is_refused = |effect: &Effect| matches!(effect, Effect::Refuse { refusal, .. } if refusal.reason == RefusalReason::Standby);
        assert!(effects.iter().any(is_refused), "{number}: {effects:?}");
    }
}

fn arrival(now: Time) -> Arrival {
    let deadline = now.after(Duration::from_secs(10));
    Arrival {
        caller: "orchard".parse().unwrap(),
        target: Target::Service("booking".parse().unwrap()),
        repeat: Repeat::Allowed,
        digest: Digest([3; 32]),
        parts: Vec::new(),
        prefix: None,
        deadline,
        policy: RequestPolicy::plain(deadline, false),
        charge: None,
        stream: None,
    }
}
