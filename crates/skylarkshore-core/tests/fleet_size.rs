//! What each process of a fleet has to do as the fleet grows.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use skylarkshore_core::config::{Limits, NodeConfig, Timings, Watchers};
use skylarkshore_core::id::{CallId, Digest, HostId, Incarnation, StoreRevision};
use skylarkshore_core::peer::{Envelope, News, PeerMessage, StatePart};
use skylarkshore_core::rules::{MinuteOfDay, Rules};
use skylarkshore_core::store::{Key, MemberRecord, Record, StoreAnswer, StoreCall, Versioned};
use skylarkshore_core::units::Capacity;
use skylarkshore_core::{Effect, Event, Node, Time};

/// The most messages that one process may send to pass something on.
const MOST_SENT: usize = 16;
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
    }
}

/// One host in twenty is large.
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

fn told(effects: &[Effect]) -> Vec<Envelope> {
    let told = |effect: &Effect| match effect {
        Effect::Peer(envelope) => Some(envelope.clone()),
        _ => None,
    };
    effects.iter().filter_map(told).collect()
}

fn tick(node: &mut Node, now: Time) -> Vec<Effect> {
    node.handle(now, Event::Tick { at: MinuteOfDay::default() })
}

/// Starts a process and answers its first question, who the members are.
fn start(number: usize, hosts: usize) -> (Node, Vec<Effect>) {
    let (mut node, effects) = Node::start(config(number), NOW);
    let call = call_of(&effects, |call| *call == StoreCall::ReadMembers).expect("it asks for the members");
    let result = Ok(StoreAnswer::Members(members(hosts)));
    let effects = node.handle(NOW, Event::Store { call, result });
    (node, effects)
}

/// Makes a process that knows everything.
fn settled(number: usize, hosts: usize) -> (Node, bool) {
    let (mut node, _) = start(number, hosts);
    node.handle(NOW, Event::State { upto: upto(hosts), records: members(hosts) });
    let effects = tick(&mut node, NOW);
    (node, effects.contains(&Effect::ReadNewsForOthers(true)))
}

fn news(hosts: usize) -> News {
    let after = upto(hosts);
    News { after, upto: after.next(), body: Vec::from([1]).into() }
}

/// What became of something that one process passes on to all.
#[derive(Debug, Default)]
struct Course {
    heard: BTreeMap<HostId, usize>,
    most_sent: usize,
    most_steps: usize,
}

/// Delivers messages until none is left.
fn deliver(nodes: &mut BTreeMap<HostId, Node>, from: &HostId, effects: &[Effect]) -> Course {
    let mut course = Course::default();
    let mut wire: VecDeque<(HostId, Envelope, usize)> = VecDeque::new();
    let sent = |course: &mut Course, wire: &mut VecDeque<_>, from: &HostId, effects: &[Effect], step| {
        let envelopes = told(effects);
        course.most_sent = course.most_sent.max(envelopes.len());
        wire.extend(envelopes.into_iter().map(|envelope| (from.clone(), envelope, step)));
    };
    sent(&mut course, &mut wire, from, effects, 1);
    while let Some((from, envelope, step)) = wire.pop_front() {
        *course.heard.entry(envelope.to.clone()).or_default() += 1;
        course.most_steps = course.most_steps.max(step);
        let node = nodes.get_mut(&envelope.to).expect("it is a member");
        let effects = node.handle(NOW, Event::Peer { from, message: envelope.message });
        sent(&mut course, &mut wire, &envelope.to, &effects, step + 1);
    }
    course
}

/// Guards against a reader that sends all news to every host of its data
/// centre, whose link is too small for that where they are hundreds.
#[test]
fn news_reaches_all_once_and_nobody_sends_more_of_it_as_the_fleet_grows() {
    for hosts in [10, 100, 300] {
        let mut nodes = BTreeMap::new();
        let mut roots = Vec::new();
        for number in 0..hosts {
            let (node, is_root) = settled(number, hosts);
            nodes.insert(host(number), node);
            roots.extend(is_root.then(|| host(number)));
        }
        let [root] = roots.as_slice() else { panic!("{roots:?} read for {hosts} hosts") };
        let reader = nodes.get_mut(root).expect("it is a member");
        let effects = reader.handle(NOW, Event::NewsRead(news(hosts)));
        let course = deliver(&mut nodes, root, &effects);
        assert_eq!(course.heard.len(), hosts - 1, "{course:?}");
        assert!(course.heard.values().all(|times| *times == 1), "{course:?}");
        assert!(course.most_sent <= MOST_SENT && course.most_steps <= 4, "{hosts} hosts: {course:?}");
    }
}

/// Guards against news that goes round for ever among hosts that know different members.
#[test]
fn news_that_is_known_is_passed_on_only_from_the_parent() {
    let hosts = 100;
    let (mut node, _) = settled(0, hosts);
    let parent_or_not: Vec<usize> = (1..hosts)
        .map(|number| {
            let message = PeerMessage::News(news(hosts));
            told(&node.handle(NOW, Event::Peer { from: host(number), message })).len()
        })
        .collect();
    let passing = parent_or_not.iter().filter(|sent| **sent > 0).count();
    assert!(passing <= 2, "passed on {passing} times");
}

/// Lets a process that has started go on until something holds, answering its questions who the members are.
fn run_start(
    number: usize,
    hosts: usize,
    within: Duration,
    done: impl Fn(&[Effect]) -> bool,
) -> (Node, Vec<Effect>) {
    let (mut node, mut effects) = start(number, hosts);
    let mut now = NOW;
    while !done(&effects) {
        assert!(now < NOW.after(within), "it waits for too long");
        let asked = call_of(&effects, |call| *call == StoreCall::ReadMembers);
        now = now.after(TICK);
        effects = match asked {
            Some(call) => {
                node.handle(now, Event::Store { call, result: Ok(StoreAnswer::Members(members(hosts))) })
            }
            None => tick(&mut node, now),
        };
    }
    (node, effects)
}

fn reads_everything(effects: &[Effect]) -> bool {
    call_of(effects, |call| *call == StoreCall::ReadShared).is_some()
}

/// Returns whom a process asks for everything.
fn asked(effects: &[Effect]) -> Option<HostId> {
    let wanted = told(effects).into_iter().find(|envelope| envelope.message == PeerMessage::StateWanted);
    wanted.map(|envelope| envelope.to)
}

fn not_the_root(hosts: usize) -> usize {
    (0..hosts).find(|number| !settled(*number, hosts).1).expect("not all are the root")
}

/// Guards against hosts that all read everything from the service when they
/// start together, which takes its link longer than callers wait.
#[test]
fn where_members_are_many_a_host_that_starts_asks_one_of_them() {
    let hosts = 100;
    let done = |effects: &[Effect]| asked(effects).is_some() || reads_everything(effects);
    let (mut node, effects) = run_start(not_the_root(hosts), hosts, Duration::from_secs(2), done);
    let parent = asked(&effects).expect("it asks nobody");
    let part = StatePart { series: 1, upto: upto(hosts), part: 0, parts: 1, body: Vec::new().into() };
    let effects = node.handle(NOW, Event::Peer { from: parent, message: PeerMessage::State(part) });
    assert!(effects.iter().any(|effect| matches!(effect, Effect::ApplyStatePart(_))), "{effects:?}");
}

/// Guards against a host that never serves because those whom it asks are gone.
#[test]
fn a_host_whose_peers_are_silent_reads_everything_itself() {
    let hosts = 100;
    run_start(not_the_root(hosts), hosts, Duration::from_secs(10), reads_everything);
}

/// Guards against hosts that turn a new one away for as long as no news tells them of it.
#[test]
fn a_host_that_does_not_know_who_connects_looks_it_up_at_most_once_a_second() {
    let (mut node, _) = settled(0, 100);
    let mut looks = 0;
    for millis in (0..3000).step_by(100) {
        let effects = node.handle(NOW.after(Duration::from_millis(millis)), Event::UnknownPeer);
        looks += usize::from(call_of(&effects, |call| *call == StoreCall::ReadMembers).is_some());
    }
    assert_eq!(looks, 3);
}

/// Guards against a small site whose hosts wait for one another at their start.
#[test]
fn where_members_are_few_a_host_that_starts_reads_at_once() {
    let (_, effects) = start(0, 10);
    assert!(call_of(&effects, |call| *call == StoreCall::ReadShared).is_some(), "{effects:?}");
}

/// Guards against a small site that waits for a peer to tell what its news left
/// out, while a new configuration has to be in force within two seconds.
#[test]
fn what_news_left_out_is_read_at_once_where_members_are_few_and_asked_for_where_they_are_many() {
    let (mut node, _) = settled(1, 10);
    let effects = node.handle(NOW, Event::NewsMissed { lasts: false });
    assert!(effects.contains(&Effect::ReadMissedNews), "{effects:?}");
    let (mut node, _) = settled(not_the_root(100), 100);
    let effects = node.handle(NOW, Event::NewsMissed { lasts: false });
    assert_eq!(effects, []);
    let effects = node.handle(NOW, Event::NewsMissed { lasts: true });
    assert!(asked(&effects).is_some(), "{effects:?}");
}
