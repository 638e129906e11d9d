//! Simulated fleet that shares the limit of one client account. [`Fleet`] runs the hosts' quota state over a
//! network that delays messages and loses them at faults.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use skylarkshore_core::accounts::{Account, AccountLimit, Charge, KeyDigest, LimitUnit};
use skylarkshore_core::catalogue::Document;
use skylarkshore_core::config::{Limits, NodeConfig, QuotaPolicy, Timings, Watchers};
use skylarkshore_core::cx::{Counters, Cx};
use skylarkshore_core::effect::Effect;
use skylarkshore_core::id::{
    AccountName, CatalogueRevision, Digest, HostId, Incarnation, RequestId, StoreRevision,
};
use skylarkshore_core::list_knowledge::ListKnowledge;
use skylarkshore_core::peer::{CreditMessage, Envelope, PeerMessage};
use skylarkshore_core::quota::{CreditDecision, CreditOutcome, Quota};
use skylarkshore_core::rules::{MinuteOfDay, Rules};
use skylarkshore_core::store::{Key, MemberRecord, Record, StoreCache, Versioned};
use skylarkshore_core::time::Time;
use skylarkshore_core::units::{Capacity, CreditRate, Credits};
use skylarkshore_core::upstream::UpstreamList;

const STEP: Duration = Duration::from_millis(5);
const TICK: Duration = Duration::from_millis(50);
const WINDOW: Duration = Duration::from_secs(8);
const OVERAGE_PERCENT: u32 = 10;
const SLACK: Credits = Credits(17_000);

/// A fault injected into hosts or their network.
#[derive(Clone, Debug)]
enum Fault {
    Kill { host: usize, back: Time },
    Freeze { host: usize, until: Time },
    Cut { hosts: Range<usize> },
    Heal,
}

/// Faults with the times at which they occur.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    faults: Vec<(Time, Fault)>,
}

impl Plan {
    /// Generates random faults for a run of half a minute.
    pub fn random(seed: u64, hosts: usize) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut faults = Vec::new();
        for _ in 0..rng.random_range(1..6) {
            let at = Time::from_millis(rng.random_range(3_000..25_000));
            let later =
                |ms: Range<u64>, rng: &mut SmallRng| at.after(Duration::from_millis(rng.random_range(ms)));
            match rng.random_range(0..4) {
                0 => {
                    let host = rng.random_range(0..hosts);
                    faults.push((at, Fault::Kill { host, back: later(200..4_000, &mut rng) }));
                }
                1 => {
                    let host = rng.random_range(0..hosts);
                    faults.push((at, Fault::Freeze { host, until: later(200..8_000, &mut rng) }));
                }
                2 => {
                    let until = later(500..10_000, &mut rng);
                    faults.push((at, Fault::Cut { hosts: 0..rng.random_range(1..hosts) }));
                    faults.push((until, Fault::Heal));
                }
                _ => {
                    let back = later(200..900, &mut rng);
                    faults.extend((0..hosts).map(|host| (at, Fault::Kill { host, back })));
                }
            }
        }
        faults.sort_by_key(|(at, _)| *at);
        Self { faults }
    }
}

struct Host {
    cfg: NodeConfig,
    quota: Quota,
    rng: SmallRng,
    counters: Counters,
    /// Time until which the process is paused; messages to it are delayed.
    frozen_until: Time,
    /// Time until which the host has no process.
    down_until: Time,
    partition: u8,
    next_tick: Time,
}

struct Packet {
    from: usize,
    to: usize,
    message: PeerMessage,
}

/// Hosts that jointly enforce the limit of one client account.
pub struct Fleet {
    now: Time,
    hosts: Vec<Host>,
    cache: StoreCache,
    document: Document,
    in_flight: BTreeMap<(Time, u64), Packet>,
    packets: u64,
    requests: u64,
    rng: SmallRng,
    per_second: u64,
    max_cost: u64,
    requested_per_second: u64,
    pending_cost: f64,
    returns_credit: bool,
    waiting: BTreeMap<(usize, RequestId), u64>,
    /// Times and amounts of used credit.
    used: Vec<(Time, u64)>,
    refused: Vec<Time>,
}

fn account() -> AccountName {
    "orchard".parse().unwrap()
}

fn document(per_second: u64) -> Document {
    let limit = AccountLimit { rate: CreditRate(per_second * 1000), burst: Credits(per_second) };
    let entry = Account {
        keys: [KeyDigest(Digest([1; 32]))].into(),
        priority: None,
        unit: LimitUnit::Tokens { default_cost: Credits(200) },
        limit: Some(limit),
    };
    let mut document = Document { catalogue_revision: CatalogueRevision(1), ..Document::default() };
    document.catalogue.accounts.add(account(), entry).unwrap();
    document
}

fn host_name(number: usize) -> HostId {
    format!("host-{number}").parse().unwrap()
}

impl Host {
    fn new(number: usize, seed: u64) -> Self {
        let quota = QuotaPolicy { window: WINDOW, overage_percent: OVERAGE_PERCENT, slack: SLACK };
        let cfg = NodeConfig {
            host: host_name(number),
            incarnation: Incarnation(1),
            data_centre: "north-1".parse().unwrap(),
            caller_address: "127.0.0.1:1".parse().unwrap(),
            peer_address: "127.0.0.1:2".parse().unwrap(),
            fingerprint: Digest([0; 32]),
            seed,
            timings: Timings::default(),
            limits: Limits { quota, ..Limits::default() },
            default_rules: Rules::default(),
            watchers: Watchers::default(),
            capacity: Capacity::default(),
            is_first_start: false,
        };
        Self {
            cfg,
            quota: Quota::new(),
            rng: SmallRng::seed_from_u64(seed ^ number as u64),
            counters: Counters::default(),
            frozen_until: Time::START,
            down_until: Time::START,
            partition: 0,
            next_tick: Time::START,
        }
    }
}

impl Fleet {
    /// Creates hosts that all know one another as members.
    pub fn new(hosts: usize, per_second: u64, max_cost: u64, seed: u64) -> Self {
        let mut cache = StoreCache::default();
        for number in 0..hosts {
            let record = MemberRecord {
                incarnation: Incarnation(1),
                caller_address: "127.0.0.1:1".parse().unwrap(),
                peer_address: "127.0.0.1:2".parse().unwrap(),
                data_centre: "north-1".parse().unwrap(),
                fingerprint: Digest([0; 32]),
                leaving: false,
                capacity: Capacity::default(),
            };
            cache.apply(Versioned {
                key: Key::Member(host_name(number)),
                revision: StoreRevision(1 + number as u64),
                writer: None,
                record: Some(Record::Member(record)),
            });
        }
        Self {
            now: Time::START,
            hosts: (0..hosts).map(|number| Host::new(number, seed)).collect(),
            cache,
            document: document(per_second),
            in_flight: BTreeMap::new(),
            packets: 0,
            requests: 0,
            rng: SmallRng::seed_from_u64(seed),
            per_second,
            max_cost,
            requested_per_second: 0,
            pending_cost: 0.0,
            returns_credit: false,
            waiting: BTreeMap::new(),
            used: Vec::new(),
            refused: Vec::new(),
        }
    }

    /// Sets the credit that callers request per second.
    pub fn set_request_rate(&mut self, per_second: u64) {
        self.requested_per_second = per_second;
    }

    /// Makes every granted request end without running, so that its credit is returned.
    pub fn return_all_credit(&mut self) {
        self.returns_credit = true;
    }

    pub fn set_limit(&mut self, per_second: u64) {
        self.per_second = per_second;
        self.document = document(per_second);
    }

    pub fn kill(&mut self, host: usize, back: Time) {
        let host_state = &mut self.hosts[host];
        host_state.quota = Quota::new();
        host_state.down_until = back;
        self.waiting.retain(|(at, _), _| *at != host);
        self.in_flight.retain(|_, packet| packet.to != host);
    }

    pub fn cut(&mut self, hosts: Range<usize>) {
        for (number, host) in self.hosts.iter_mut().enumerate() {
            host.partition = u8::from(hosts.contains(&number));
        }
    }

    /// Isolates every host from all others.
    pub fn isolate_all(&mut self) {
        for (number, host) in self.hosts.iter_mut().enumerate() {
            host.partition = u8::try_from(number).unwrap();
        }
    }

    pub fn granted(&self) -> usize {
        self.used.len()
    }

    pub fn heal(&mut self) {
        self.cut(0..0);
    }

    /// Runs until a credit request is in flight and returns its receiver, the account's coordinator.
    pub fn coordinator(&mut self) -> usize {
        let is_credit_request =
            |packet: &&Packet| matches!(packet.message, PeerMessage::Credit(CreditMessage::Wanted { .. }));
        loop {
            if let Some(to) = self.in_flight.values().find(is_credit_request).map(|packet| packet.to) {
                return to;
            }
            self.step();
        }
    }

    pub fn run(&mut self, until: Time) {
        self.run_with(Plan::default(), until);
    }

    pub fn run_with(&mut self, plan: Plan, until: Time) {
        let mut faults = plan.faults.into_iter().peekable();
        while self.now < until {
            while let Some((_, fault)) = faults.next_if(|(at, _)| at.is_due(self.now)) {
                self.inject(fault);
            }
            self.step();
        }
    }

    /// Returns the maximum credit that may be used in any window.
    pub fn allowed(&self) -> u64 {
        let limit = self.per_second * WINDOW.as_secs() + self.per_second;
        limit + limit * u64::from(OVERAGE_PERCENT) / 100 + SLACK.0
    }

    pub fn peak_window_usage(&self) -> u64 {
        self.peak_window_usage_since(Time::START)
    }

    pub fn peak_window_usage_since(&self, since: Time) -> u64 {
        let mut used: Vec<(Time, u64)> = self.used.iter().copied().filter(|(at, _)| *at >= since).collect();
        used.sort_unstable();
        let (mut first, mut sum, mut peak) = (0, 0, 0);
        for &(at, cost) in &used {
            sum += cost;
            while used[first].0.after(WINDOW).is_due(at) {
                sum -= used[first].1;
                first += 1;
            }
            peak = peak.max(sum);
        }
        peak
    }

    pub fn refused_since(&self, since: Time) -> usize {
        self.refused.iter().filter(|at| **at >= since).count()
    }

    fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::Kill { host, back } => self.kill(host, back),
            Fault::Freeze { host, until } => self.hosts[host].frozen_until = until,
            Fault::Cut { hosts } => self.cut(hosts),
            Fault::Heal => self.heal(),
        }
    }

    fn step(&mut self) {
        self.now = self.now.after(STEP);
        self.deliver();
        for number in 0..self.hosts.len() {
            let host = &mut self.hosts[number];
            let is_stopped = !host.frozen_until.is_due(self.now) || !host.down_until.is_due(self.now);
            if is_stopped || !host.next_tick.is_due(self.now) {
                continue;
            }
            host.next_tick = self.now.after(TICK);
            let outcomes = self.with_cx(number, Quota::on_tick);
            for outcome in outcomes {
                self.apply_outcome(number, outcome);
            }
        }
        self.arrive();
    }

    fn deliver(&mut self) {
        let mut delayed = Vec::new();
        while let Some(entry) = self.in_flight.first_entry() {
            if !entry.key().0.is_due(self.now) {
                break;
            }
            let packet = entry.remove();
            let to = &self.hosts[packet.to];
            if !to.down_until.is_due(self.now) || to.partition != self.hosts[packet.from].partition {
                continue;
            }
            if !to.frozen_until.is_due(self.now) {
                delayed.push(packet);
                continue;
            }
            let from = host_name(packet.from);
            let PeerMessage::Credit(message) = packet.message else { continue };
            if let Some(outcome) = self.with_cx(packet.to, |quota, cx| quota.on_peer(cx, &from, &message)) {
                self.apply_outcome(packet.to, outcome);
            }
        }
        for packet in delayed {
            self.enqueue(packet);
        }
    }

    fn arrive(&mut self) {
        self.pending_cost += self.requested_per_second as f64 * STEP.as_secs_f64();
        while self.pending_cost > 0.0 {
            let cost = self.rng.random_range(200..=self.max_cost);
            self.pending_cost -= cost as f64;
            let number = self.rng.random_range(0..self.hosts.len());
            let host = &self.hosts[number];
            if !host.down_until.is_due(self.now) || !host.frozen_until.is_due(self.now) {
                continue;
            }
            self.requests += 1;
            let request = RequestId(self.requests);
            let charge = Charge { account: account(), key: KeyDigest(Digest([1; 32])), cost: Credits(cost) };
            self.waiting.insert((number, request), cost);
            if let Some(decision) =
                self.with_cx(number, |quota, cx| quota.request_credit(cx, request, &charge))
            {
                self.apply_outcome(number, CreditOutcome { request, decision });
            }
        }
    }

    fn apply_outcome(&mut self, number: usize, outcome: CreditOutcome) {
        let Some(cost) = self.waiting.remove(&(number, outcome.request)) else { return };
        match outcome.decision {
            CreditDecision::Granted { .. } if self.returns_credit => {
                let charge =
                    Charge { account: account(), key: KeyDigest(Digest([1; 32])), cost: Credits(cost) };
                self.with_cx(number, |quota, cx| quota.return_credit(cx, &charge));
            }
            CreditDecision::Granted { not_before } => self.used.push((self.now.max(not_before), cost)),
            CreditDecision::OverLimit { .. } | CreditDecision::TooLarge => self.refused.push(self.now),
        }
    }

    fn enqueue(&mut self, packet: Packet) {
        self.packets += 1;
        let delay = Duration::from_millis(self.rng.random_range(2..12));
        self.in_flight.insert((self.now.after(delay), self.packets), packet);
    }

    fn with_cx<T>(&mut self, number: usize, f: impl FnOnce(&mut Quota, &mut Cx<'_>) -> T) -> T {
        let mut effects = Vec::new();
        let mut writes = Vec::new();
        let upstreams = UpstreamList::default();
        let host = &mut self.hosts[number];
        let mut cx = Cx {
            now: self.now,
            at: MinuteOfDay::default(),
            cfg: &host.cfg,
            document: &self.document,
            cache: &self.cache,
            upstreams: &upstreams,
            list: ListKnowledge::default(),
            effects: &mut effects,
            writes: &mut writes,
            counters: &mut host.counters,
            rng: &mut host.rng,
        };
        let value = f(&mut host.quota, &mut cx);
        for effect in effects {
            let Effect::Peer(Envelope { to, message }) = effect else { continue };
            let to = (0..self.hosts.len()).find(|number| host_name(*number) == to).unwrap();
            self.enqueue(Packet { from: number, to, message });
        }
        value
    }
}
