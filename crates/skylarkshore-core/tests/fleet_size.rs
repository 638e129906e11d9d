//! How the work of each process grows with the size of the fleet.
//!
//! [`News`] holds changes at the key-value service, which processes relay to one another along a tree.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use skylarkshore_core::config::{Limits, NodeConfig, Timings, Watchers};
use skylarkshore_core::id::{CallId, Digest, HostId, Incarnation, RulesRevision, StoreRevision};
use skylarkshore_core::peer::{Envelope, News, PeerMessage, StatePart};
use skylarkshore_core::rules::{MinuteOfDay, Rules};
use skylarkshore_core::store::{
    Key, MemberRecord, Record, RelayRootRecord, StoreAnswer, StoreCall, StoreFailure, Versioned,
};
use skylarkshore_core::units::Capacity;
use skylarkshore_core::{Effect, Event, Node, Time};

/// Hosts of a fleet that don't all read the key-value service when they start.
const LARGE_FLEET: usize = 200;
/// Maximum number of messages that one process may send to relay something.
const MAX_SENT: usize = 16;
const NOW: Time = Time::from_millis(1000);
const TICK: Duration = Duration::from_millis(50);

fn host(number: usize) -> HostId {
    format!("host-{number}").parse().unwrap()
}

fn config(number: usize) -> NodeConfig {
    let address = "127.0.0.1:1".parse().unwrap();
    NodeConfig {
        host: host(number),
        incarnation: Incarnation(1),
        data_centre: "north".parse().unwrap(),
        caller_address: address,
        peer_address: address,
        fingerprint: Digest([0; 32]),
        seed: number as u64,
        timings: Timings::default(),
        limits: Limits::default(),
        default_rules: Rules::default(),
        watchers: Watchers::Relayed,
        capacity: capacity(number),
        is_first_start: false,
    }
}

/// Makes one host in twenty large.
fn capacity(number: usize) -> Capacity {
    if number.is_multiple_of(20) { Capacity(500) } else { Capacity(120) }
}

fn members(hosts: usize) -> Vec<Versioned> {
    let member = |number: usize| {
        let cfg = config(number);
        let record = MemberRecord {
            incarnation: cfg.incarnation,
            caller_address: cfg.caller_address,
            peer_address: cfg.peer_address,
            data_centre: cfg.data_centre,
            fingerprint: cfg.fingerprint,
            leaving: false,
            capacity: cfg.capacity,
        };
        let revision = StoreRevision(10 + number as u64);
        Versioned { key: Key::Member(cfg.host), revision, writer: None, record: Some(Record::Member(record)) }
    };
    (0..hosts).map(member).collect()
}

fn upto(hosts: usize) -> StoreRevision {
    StoreRevision(20 + hosts as u64)
}

fn call_of(effects: &[Effect], wanted: impl Fn(&StoreCall) -> bool) -> Option<CallId> {
    effects.iter().find_map(|effect| match effect {
        Effect::Store { call, request } if wanted(request) => Some(*call),
        _ => None,
    })
}

fn sent_envelopes(effects: &[Effect]) -> Vec<Envelope> {
    let envelope = |effect: &Effect| match effect {
        Effect::Peer(envelope) => Some(envelope.clone()),
        _ => None,
    };
    effects.iter().filter_map(envelope).collect()
}

fn tick(node: &mut Node, now: Time) -> Vec<Effect> {
    node.handle(now, Event::Tick { at: MinuteOfDay::default() })
}

fn root_key() -> Key {
    Key::RelayRoot("north".parse().unwrap())
}

/// Returns the call that reads the root's record.
fn root_read(effects: &[Effect]) -> Option<CallId> {
    call_of(effects, |call| *call == StoreCall::Read(root_key()))
}

/// The root's record, which names a process that never answers.
fn root_record(hosts: usize) -> Versioned {
    let record = RelayRootRecord {
        host: "host-gone".parse().unwrap(),
        incarnation: Incarnation(1),
        members: Some(u32::try_from(hosts).unwrap()),
    };
    let record = Some(Record::RelayRoot(record));
    Versioned { key: root_key(), revision: StoreRevision(5), writer: None, record }
}

/// Starts a process and answers its first read, whose size doesn't depend on the number of hosts.
fn start(number: usize, hosts: usize) -> (Node, Vec<Effect>) {
    let (mut node, effects) = Node::start(config(number), NOW);
    let call = root_read(&effects).expect("the process reads the root's record");
    let result = Ok(StoreAnswer::One(root_record(hosts)));
    let effects = node.handle(NOW, Event::Store { call, result });
    (node, effects)
}

/// Starts a process with the full state, and returns whether it is the relay root.
fn synced(number: usize, hosts: usize) -> (Node, bool) {
    let (mut node, _) = start(number, hosts);
    node.handle(NOW, Event::State { upto: upto(hosts), records: members(hosts) });
    let effects = tick(&mut node, NOW);
    (node, effects.contains(&Effect::ReadNewsForOthers(true)))
}

fn news(hosts: usize) -> News {
    let after = upto(hosts);
    News { after, upto: after.next(), age: None, body: Vec::from([1]).into() }
}

/// Result of relaying a message to all processes.
#[derive(Debug, Default)]
struct Propagation {
    deliveries: BTreeMap<HostId, usize>,
    max_sent: usize,
    max_hops: usize,
}

/// Delivers messages until none is in flight.
fn deliver(nodes: &mut BTreeMap<HostId, Node>, from: &HostId, effects: &[Effect]) -> Propagation {
    let mut propagation = Propagation::default();
    let mut in_flight: VecDeque<(HostId, Envelope, usize)> = VecDeque::new();
    let sent = |propagation: &mut Propagation,
                in_flight: &mut VecDeque<_>,
                from: &HostId,
                effects: &[Effect],
                hop| {
        let envelopes = sent_envelopes(effects);
        propagation.max_sent = propagation.max_sent.max(envelopes.len());
        in_flight.extend(envelopes.into_iter().map(|envelope| (from.clone(), envelope, hop)));
    };
    sent(&mut propagation, &mut in_flight, from, effects, 1);
    while let Some((from, envelope, hop)) = in_flight.pop_front() {
        *propagation.deliveries.entry(envelope.to.clone()).or_default() += 1;
        propagation.max_hops = propagation.max_hops.max(hop);
        let node = nodes.get_mut(&envelope.to).expect("the receiver is a member");
        let effects = node.handle(NOW, Event::Peer { from, message: envelope.message });
        sent(&mut propagation, &mut in_flight, &envelope.to, &effects, hop + 1);
    }
    propagation
}

/// Guards against a reader that sends all news to every host of its data
/// centre; with hundreds of hosts that exceeds the capacity of its link.
#[test]
fn news_reaches_each_host_once_with_bounded_fan_out_as_the_fleet_grows() {
    for hosts in [10, 100, 300] {
        let mut nodes = BTreeMap::new();
        let mut roots = Vec::new();
        for number in 0..hosts {
            let (node, is_root) = synced(number, hosts);
            nodes.insert(host(number), node);
            roots.extend(is_root.then(|| host(number)));
        }
        let [root] = roots.as_slice() else { panic!("{roots:?} are roots of {hosts} hosts") };
        let reader = nodes.get_mut(root).expect("the root is a member");
        let effects = reader.handle(NOW, Event::NewsRead(news(hosts)));
        let propagation = deliver(&mut nodes, root, &effects);
        assert_eq!(propagation.deliveries.len(), hosts - 1, "{propagation:?}");
        assert!(propagation.deliveries.values().all(|times| *times == 1), "{propagation:?}");
        assert!(
            propagation.max_sent <= MAX_SENT && propagation.max_hops <= 4,
            "{hosts} hosts: {propagation:?}"
        );
    }
}

/// Guards against news that circulates for ever among hosts with different member lists.
#[test]
fn duplicate_news_is_relayed_only_from_the_parent() {
    let hosts = 100;
    let (mut node, _) = synced(0, hosts);
    let sent_per_sender: Vec<usize> = (1..hosts)
        .map(|number| {
            let message = PeerMessage::News(news(hosts));
            sent_envelopes(&node.handle(NOW, Event::Peer { from: host(number), message })).len()
        })
        .collect();
    let relayed = sent_per_sender.iter().filter(|sent| **sent > 0).count();
    assert!(relayed <= 2, "relayed {relayed} times");
}

/// Answers the calls of a starting process: reads of the root's record, and the claim of it.
fn answer_start(node: &mut Node, now: Time, hosts: usize, effects: &[Effect]) -> Vec<Effect> {
    let claims = |call: &StoreCall| matches!(call, StoreCall::Write { key, .. } if *key == root_key());
    if let Some(call) = root_read(effects) {
        return node.handle(now, Event::Store { call, result: Ok(StoreAnswer::One(root_record(hosts))) });
    }
    if let Some(call) = call_of(effects, claims) {
        let result = Ok(StoreAnswer::Written(StoreRevision(6)));
        return node.handle(now, Event::Store { call, result });
    }
    tick(node, now)
}

/// Starts a process and runs it until `done` holds.
fn run_start(
    number: usize,
    hosts: usize,
    within: Duration,
    done: impl Fn(&[Effect]) -> bool,
) -> (Node, Vec<Effect>) {
    let (mut node, mut effects) = start(number, hosts);
    let mut now = NOW;
    while !done(&effects) {
        assert!(now < NOW.after(within), "the process didn't finish within {within:?}");
        now = now.after(TICK);
        effects = answer_start(&mut node, now, hosts, &effects);
    }
    (node, effects)
}

fn reads_full_state(effects: &[Effect]) -> bool {
    call_of(effects, |call| *call == StoreCall::ReadShared).is_some()
}

/// Returns the peer from which a process requests the full state.
fn requested_peer(effects: &[Effect]) -> Option<HostId> {
    let request =
        sent_envelopes(effects).into_iter().find(|envelope| envelope.message == PeerMessage::StateWanted);
    request.map(|envelope| envelope.to)
}

fn non_root(hosts: usize) -> usize {
    (0..hosts).find(|number| !synced(*number, hosts).1).expect("only one host is the root")
}

/// Guards against hosts that all read the full state from the key-value service
/// when they start together, which occupies its link for longer than callers wait.
#[test]
fn in_a_large_fleet_a_starting_host_requests_the_state_from_a_peer() {
    let hosts = LARGE_FLEET;
    let (mut node, effects) = start(non_root(hosts), hosts);
    assert!(!reads_full_state(&effects), "{effects:?}");
    let effects = node.handle(NOW, Event::Peer { from: host(7), message: heartbeat(upto(hosts)) });
    assert_eq!(requested_peer(&effects), Some(host(7)), "{effects:?}");
    let part =
        StatePart { series: 1, upto: upto(hosts), age: None, part: 0, parts: 1, body: Vec::new().into() };
    let effects = node.handle(NOW, Event::Peer { from: host(7), message: PeerMessage::State(part) });
    assert!(effects.iter().any(|effect| matches!(effect, Effect::ApplyStatePart(_))), "{effects:?}");
}

fn heartbeat(store: StoreRevision) -> PeerMessage {
    PeerMessage::Heartbeat {
        incarnation: Incarnation(1),
        rules: RulesRevision(0),
        store,
        store_reachable: true,
        leaving: false,
    }
}

/// Guards against a host that waits for peers that know no more than it does.
#[test]
fn a_starting_host_requests_no_state_from_a_peer_that_has_none() {
    let hosts = LARGE_FLEET;
    let (mut node, _) = start(non_root(hosts), hosts);
    let effects = node.handle(NOW, Event::Peer { from: host(7), message: heartbeat(StoreRevision(0)) });
    assert_eq!(requested_peer(&effects), None, "{effects:?}");
}

/// Guards against a host that waits for a peer that doesn't send its state, although others would.
#[test]
fn a_starting_host_asks_another_peer_if_one_does_not_announce_its_state() {
    let hosts = LARGE_FLEET;
    let (mut node, _) = start(non_root(hosts), hosts);
    node.handle(NOW, Event::Peer { from: host(7), message: heartbeat(upto(hosts)) });
    let later = NOW.after(Duration::from_millis(500));
    tick(&mut node, later);
    let effects = node.handle(later, Event::Peer { from: host(8), message: heartbeat(upto(hosts)) });
    assert_eq!(requested_peer(&effects), Some(host(8)), "{effects:?}");
}

/// Guards against a host that never serves because the peers it asks are gone.
#[test]
fn a_starting_host_reads_the_state_itself_if_no_peer_answers() {
    let hosts = LARGE_FLEET;
    run_start(non_root(hosts), hosts, Duration::from_secs(10), reads_full_state);
}

/// Guards against a host that never serves because a peer offers its state again and again, but never sends it.
#[test]
fn a_starting_host_reads_the_state_itself_if_a_peer_only_offers_it() {
    let hosts = LARGE_FLEET;
    let (mut node, mut effects) = start(non_root(hosts), hosts);
    let mut now = NOW;
    while !reads_full_state(&effects) {
        assert!(now < NOW.after(Duration::from_secs(15)), "the process waits for the peer");
        now = now.after(TICK);
        effects = answer_start(&mut node, now, hosts, &effects);
        let message = heartbeat(upto(hosts));
        effects.extend(node.handle(now, Event::Peer { from: host(7), message }));
    }
}

/// Guards against hosts that all go on reading after a cluster that was small has grown at once.
#[test]
fn a_starting_host_whose_read_fails_looks_again_whether_the_cluster_is_small() {
    let (mut node, effects) = start(0, 10);
    let call = call_of(&effects, |call| *call == StoreCall::ReadShared).expect("the cluster is small");
    node.handle(NOW, Event::Store { call, result: Err(StoreFailure::Unknown) });
    let mut reads = Vec::new();
    for step in 1..40 {
        let effects = tick(&mut node, NOW.after(TICK * step));
        assert!(!reads_full_state(&effects), "{effects:?}");
        reads.extend(root_read(&effects));
    }
    let call = *reads.last().expect("the process reads the root's record again");
    let result = Ok(StoreAnswer::One(root_record(LARGE_FLEET)));
    let effects = node.handle(NOW.after(TICK * 40), Event::Store { call, result });
    assert!(!reads_full_state(&effects), "{effects:?}");
}

/// Guards against hosts that reject a new host until news of its registration
/// arrives, and against a read of its key for each of its connections.
#[test]
fn an_unknown_peer_triggers_at_most_one_read_of_its_member_key_per_second() {
    let (mut node, _) = synced(0, 100);
    let unknown: HostId = "host-new".parse().unwrap();
    let key = Key::Member(unknown.clone());
    let mut reads = 0;
    for millis in (0..3000).step_by(100) {
        let now = NOW.after(Duration::from_millis(millis));
        let effects = node.handle(now, Event::UnknownPeer { host: unknown.clone() });
        reads += usize::from(call_of(&effects, |call| *call == StoreCall::Read(key.clone())).is_some());
    }
    assert_eq!(reads, 3);
}

/// Guards against a read for each of the many names that a faulty process claims.
#[test]
fn unknown_peers_trigger_a_bounded_number_of_reads_per_second() {
    let (mut node, _) = synced(0, 100);
    let claims = (0..1000).map(|number| format!("host-claimed-{number}").parse().unwrap());
    let reads = claims.filter(|host: &HostId| {
        let effects = node.handle(NOW, Event::UnknownPeer { host: host.clone() });
        call_of(&effects, |call| matches!(call, StoreCall::Read(_))).is_some()
    });
    assert!(reads.count() <= 64);
}

/// Guards against hosts of a small fleet that wait for one another when they start.
#[test]
fn in_a_small_fleet_a_starting_host_reads_the_state_at_once() {
    let (_, effects) = start(0, 10);
    assert!(call_of(&effects, |call| *call == StoreCall::ReadShared).is_some(), "{effects:?}");
}

/// Guards against a small fleet that waits for a peer to send missed news,
/// although a new configuration has to be active within two seconds.
#[test]
fn missed_news_is_read_at_once_in_a_small_fleet_and_requested_from_a_peer_in_a_large_one() {
    let (mut node, _) = synced(1, 10);
    let effects = node.handle(NOW, Event::NewsMissed { lasts: false });
    assert!(effects.contains(&Effect::ReadMissedNews), "{effects:?}");
    let (mut node, _) = synced(non_root(100), 100);
    let effects = node.handle(NOW, Event::NewsMissed { lasts: false });
    assert_eq!(effects, []);
    let effects = node.handle(NOW, Event::NewsMissed { lasts: true });
    assert!(requested_peer(&effects).is_some(), "{effects:?}");
}

/// Guards against hosts that follow news and still request the state whenever a peer is ahead for a moment.
#[test]
fn a_host_whose_reads_are_unanswered_requests_the_state_only_if_it_stays_behind() {
    let hosts = 100;
    let (mut node, _) = synced(non_root(hosts), hosts);
    node.handle(NOW, Event::WatchTimedOut);
    let mut revision = upto(hosts);
    for step in 1..20 {
        let now = NOW.after(TICK * step);
        revision = revision.next();
        let effects = node.handle(now, Event::Peer { from: host(7), message: heartbeat(revision) });
        assert_eq!(requested_peer(&effects), None, "{effects:?}");
        node.handle(now, Event::Watched { changes: Vec::new(), upto: revision });
    }
    let behind = revision.next();
    let requests = (20..60).filter(|step| {
        let message = heartbeat(behind);
        let effects = node.handle(NOW.after(TICK * *step), Event::Peer { from: host(7), message });
        requested_peer(&effects).is_some()
    });
    assert!((1..=2).contains(&requests.count()));
}

/// Guards against hosts of a large fleet that request the state twice at their start.
#[test]
fn a_host_that_has_just_synchronised_requests_no_state() {
    let hosts = 100;
    let (mut node, _) = synced(non_root(hosts), hosts);
    for step in 1..40 {
        let effects = tick(&mut node, NOW.after(TICK * step));
        assert_eq!(requested_peer(&effects), None, "{effects:?}");
    }
}

fn gauge(node: &mut Node, now: Time, name: &str) -> Option<f64> {
    node.gauges(now).into_iter().find(|gauge| gauge.name == name).map(|gauge| gauge.value)
}

/// Returns what the state dump tells of the start.
fn start_entry(node: &mut Node, now: Time) -> String {
    let entries = node.dump(now);
    let start = entries.into_iter().find(|entry| entry.kind == "start").expect("the dump tells of the start");
    let since = start.since.expect("a stage has a beginning");
    format!("{} since {} ms", start.state, since.since(NOW).as_millis())
}

/// Guards against a host that doesn't serve and of which nothing tells where its start hangs.
#[test]
fn metrics_and_state_dump_name_the_stage_of_a_start() {
    let hosts = LARGE_FLEET;
    let (mut node, _) = start(non_root(hosts), hosts);
    let later = NOW.after(Duration::from_millis(250));
    assert_eq!(start_entry(&mut node, later), "awaiting_offer since 0 ms");
    assert_eq!(gauge(&mut node, later, "start_stage"), Some(6.0));
    assert_eq!(gauge(&mut node, later, "start_duration_seconds"), Some(0.25));

    node.handle(later, Event::Peer { from: host(7), message: heartbeat(upto(hosts)) });
    assert_eq!(start_entry(&mut node, later), "awaiting_state since 250 ms");
    assert_eq!(gauge(&mut node, later, "start_stage"), Some(7.0));

    let ended = NOW.after(Duration::from_millis(500));
    node.handle(ended, Event::State { upto: upto(hosts), records: members(hosts) });
    tick(&mut node, ended);
    let much_later = NOW.after(Duration::from_secs(9));
    assert_eq!(start_entry(&mut node, much_later), "synchronised since 500 ms");
    assert_eq!(gauge(&mut node, much_later, "start_stage"), Some(0.0));
    assert_eq!(gauge(&mut node, much_later, "start_duration_seconds"), Some(0.5));
}

/// Guards against requests for the state that stay unserved without a trace at the host that was asked.
#[test]
fn sent_and_refused_states_are_counted() {
    let hosts = 100;
    let request = |node: &mut Node, number| {
        node.handle(NOW, Event::Peer { from: host(number), message: PeerMessage::StateWanted });
    };
    let (mut node, _) = start(non_root(hosts), hosts);
    request(&mut node, 7);
    assert_eq!(gauge(&mut node, NOW, "states_sent_total"), Some(0.0));
    assert_eq!(gauge(&mut node, NOW, "states_refused_total"), Some(1.0));

    let (mut node, _) = synced(1, hosts);
    for number in [7, 7, 8, 9] {
        request(&mut node, number);
    }
    assert_eq!(gauge(&mut node, NOW, "states_sent_total"), Some(2.0));
    assert_eq!(gauge(&mut node, NOW, "states_refused_total"), Some(1.0));
}
