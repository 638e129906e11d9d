//! Permits for requests to upstreams that name a limit, granted to many hosts in given time.

use std::collections::BTreeMap;
use std::time::Duration;

use skylarkshore_core::config::{Limits, NodeConfig, Timings, Watchers};
use skylarkshore_core::id::{Digest, HostId, Incarnation, UpstreamId};
use skylarkshore_core::peer::PeerMessage;
use skylarkshore_core::rules::{MinuteOfDay, Rules};
use skylarkshore_core::units::{Capacity, RequestRate};
use skylarkshore_core::{Effect, Event, Node, Time};

const HOSTS: usize = 80;
const LIMIT: RequestRate = RequestRate(1800);
const WINDOW: Duration = Duration::from_secs(4);
/// A permit may be used this much later than it is granted.
const PERMIT_TTL: Duration = Duration::from_secs(1);
/// One and a half times what the limit allows in a window, and five more.
const ALLOWED: usize = 15;
const TICK: Duration = Duration::from_millis(50);
const TICKS: u32 = 400;
/// Ticks between two requests of a host.
const REQUEST_TICKS: u32 = 10;

fn host(number: usize) -> HostId {
    format!("host-{number}").parse().unwrap()
}

fn upstream() -> UpstreamId {
    "engine-1".parse().unwrap()
}

/// Starts the process that counts.
fn counter() -> Node {
    let address = "127.0.0.1:1".parse().unwrap();
    let cfg = NodeConfig {
        host: "counter".parse().unwrap(),
        incarnation: Incarnation(1),
        data_centre: "north".parse().unwrap(),
        caller_address: address,
        peer_address: address,
        fingerprint: Digest([0; 32]),
        seed: 1,
        timings: Timings::default(),
        limits: Limits::default(),
        default_rules: Rules::default(),
        watchers: Watchers::All,
        capacity: Capacity(500),
        is_first_start: false,
    };
    Node::start(cfg, Time::START).0
}

/// A permit with its host and the time of its grant.
type Grant = (HostId, Time);

fn grants(now: Time, effects: &[Effect]) -> Vec<Grant> {
    let granted = effects.iter().filter_map(|effect| match effect {
        Effect::Peer(envelope) => match &envelope.message {
            PeerMessage::Permits { count: 1.., .. } => Some((envelope.to.clone(), now)),
            _ => None,
        },
        _ => None,
    });
    granted.collect()
}

/// Lets all hosts request permits again and again, and returns what they are granted.
fn requested_by_all(node: &mut Node) -> Vec<Grant> {
    let mut granted = Vec::new();
    for tick in 1..=TICKS {
        let now = Time::START.after(TICK * tick);
        granted.extend(grants(now, &node.handle(now, Event::Tick { at: MinuteOfDay::default() })));
        if !tick.is_multiple_of(REQUEST_TICKS) {
            continue;
        }
        for number in 0..HOSTS {
            let message = PeerMessage::PermitsWanted { upstream: upstream(), limit: LIMIT, count: 4 };
            granted.extend(grants(now, &node.handle(now, Event::Peer { from: host(number), message })));
        }
    }
    granted
}

/// Guards against a limit that is exceeded because many hosts ask at once, or that is left unused.
#[test]
fn permits_of_all_hosts_together_stay_within_the_limit() {
    let granted = requested_by_all(&mut counter());
    let used_in_a_window = |begin: Time| {
        let end = begin.after(WINDOW + PERMIT_TTL);
        granted.iter().filter(|(_, at)| *at >= begin && *at < end).count()
    };
    let most = granted.iter().map(|(_, at)| used_in_a_window(*at)).max().unwrap_or(0);
    assert!(most <= ALLOWED, "{most} permits may be used in {WINDOW:?}");
    // 20 s at 1.8 a second, but for the time until the first request.
    assert!((32..=37).contains(&granted.len()), "{} permits", granted.len());
}

/// Guards against hosts that get no permit because others ask more often.
#[test]
fn hosts_take_turns_in_getting_permits() {
    let mut by_host: BTreeMap<HostId, usize> = BTreeMap::new();
    for (host, _) in requested_by_all(&mut counter()) {
        *by_host.entry(host).or_default() += 1;
    }
    assert!(by_host.values().all(|granted| *granted == 1), "{by_host:?}");
}

/// Guards against a limit that is exceeded when another host begins to count.
#[test]
fn a_host_that_begins_to_count_grants_nothing_at_once() {
    let mut node = counter();
    let now = Time::from_millis(60_000);
    let message = PeerMessage::PermitsWanted { upstream: upstream(), limit: LIMIT, count: 4 };
    let effects = node.handle(now, Event::Peer { from: host(1), message });
    assert_eq!(grants(now, &effects), []);
    // The answer shows that the request has arrived.
    let confirmed = |effect: &Effect| matches!(effect, Effect::Peer(envelope) if envelope.message == PeerMessage::Permits { upstream: upstream(), count: 0 });
    assert!(effects.iter().any(confirmed), "{effects:?}");
}
