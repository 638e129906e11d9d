//! Many hosts' limits of one client account, with a network between them that loses messages.

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

/// Something that happens to hosts.
#[derive(Clone, Debug)]
enum Fault {
    Kill { host: usize, back: Time },
    Freeze { host: usize, until: Time },
    Cut { hosts: Range<usize> },
    Heal,
}

/// What happens when.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    faults: Vec<(Time, Fault)>,
}

impl Plan {
    /// Draws faults for half a minute.
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
    /// Until when it does nothing; what is sent to it waits.
    frozen_until: Time,
    /// Until when it has no process.
    down_until: Time,
    island: u8,
    next_tick: Time,
}

struct Letter {
    from: usize,
    to: usize,
    message: PeerMessage,
}

/// Hosts that keep the limit of one client account together.
pub struct Fleet {
    now: Time,
    hosts: Vec<Host>,
    cache: StoreCache,
    document: Document,
    wire: BTreeMap<(Time, u64), Letter>,
    letters: u64,
    requests: u64,
    rng: SmallRng,
    per_second: u64,
    largest: u64,
    asked_per_second: u64,
    owed: f64,
    gives_back: bool,
    waiting: BTreeMap<(usize, RequestId), u64>,
    /// When credit was used, and how much.
    used: Vec<(Time, u64)>,
    refused: Vec<Time>,
}

fn account() -> AccountName {
    "orchard".parse().unwrap()
}

fn document(per_second: u64) -> Document {
    let limit = AccountLimit { rate: CreditRate(per_second * 1000), burst: Credits(per_second) };
    let held = Account {
        keys: [KeyDigest(Digest([1; 32]))].into(),
        priority: None,
        unit: LimitUnit::Tokens { default_cost: Credits(200) },
        limit: Some(limit),
    };
    let mut document = Document { catalogue_revision: CatalogueRevision(1), ..Document::default() };
    document.catalogue.accounts.add(account(), held).unwrap();
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
        };
        Self {
            cfg,
            quota: Quota::new(),
            rng: SmallRng::seed_from_u64(seed ^ number as u64),
            counters: Counters::default(),
            frozen_until: Time::START,
            down_until: Time::START,
            island: 0,
            next_tick: Time::START,
        }
    }
}

impl Fleet {
    /// Makes hosts that all know one another.
    pub fn new(hosts: usize, per_second: u64, largest: u64, seed: u64) -> Self {
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
            wire: BTreeMap::new(),
            letters: 0,
            requests: 0,
            rng: SmallRng::seed_from_u64(seed),
            per_second,
            largest,
            asked_per_second: 0,
            owed: 0.0,
            gives_back: false,
            waiting: BTreeMap::new(),
            used: Vec::new(),
            refused: Vec::new(),
        }
    }

    /// Has callers ask for so much in a second from now on.
    pub fn set_request_rate(&mut self, per_second: u64) {
        self.asked_per_second = per_second;
    }

    /// Has every request end without having been run.
    pub fn return_all_credit(&mut self) {
        self.gives_back = true;
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
        self.wire.retain(|_, letter| letter.to != host);
    }

    pub fn cut(&mut self, hosts: Range<usize>) {
        for (number, host) in self.hosts.iter_mut().enumerate() {
            host.island = u8::from(hosts.contains(&number));
        }
    }

    /// Cuts every host off from every other one.
    pub fn isolate_all(&mut self) {
        for (number, host) in self.hosts.iter_mut().enumerate() {
            host.island = u8::try_from(number).unwrap();
        }
    }

    pub fn granted(&self) -> usize {
        self.used.len()
    }

    pub fn heal(&mut self) {
        self.cut(0..0);
    }

    /// Returns the host that was asked last for the account's credit.
    pub fn coordinator(&mut self) -> usize {
        let asks =
            |letter: &&Letter| matches!(letter.message, PeerMessage::Credit(CreditMessage::Wanted { .. }));
        loop {
            if let Some(to) = self.wire.values().find(asks).map(|letter| letter.to) {
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
                self.strike(fault);
            }
            self.step();
        }
    }

    /// Returns the most that may be used in any window.
    pub fn allowed(&self) -> u64 {
        let within = self.per_second * WINDOW.as_secs() + self.per_second;
        within + within * u64::from(OVERAGE_PERCENT) / 100 + SLACK.0
    }

    pub fn peak_window_usage(&self) -> u64 {
        self.peak_window_usage_since(Time::START)
    }

    pub fn peak_window_usage_since(&self, since: Time) -> u64 {
        let mut used: Vec<(Time, u64)> = self.used.iter().copied().filter(|(at, _)| *at >= since).collect();
        used.sort_unstable();
        let (mut first, mut sum, mut most) = (0, 0, 0);
        for &(at, cost) in &used {
            sum += cost;
            while used[first].0.after(WINDOW).is_due(at) {
                sum -= used[first].1;
                first += 1;
            }
            most = most.max(sum);
        }
        most
    }

    pub fn refused_since(&self, since: Time) -> usize {
        self.refused.iter().filter(|at| **at >= since).count()
    }

    fn strike(&mut self, fault: Fault) {
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
            let idle = !host.frozen_until.is_due(self.now) || !host.down_until.is_due(self.now);
            if idle || !host.next_tick.is_due(self.now) {
                continue;
            }
            host.next_tick = self.now.after(TICK);
            let verdicts = self.with(number, Quota::on_tick);
            for verdict in verdicts {
                self.rule(number, verdict);
            }
        }
        self.arrive();
    }

    fn deliver(&mut self) {
        let mut late = Vec::new();
        while let Some(entry) = self.wire.first_entry() {
            if !entry.key().0.is_due(self.now) {
                break;
            }
            let letter = entry.remove();
            let to = &self.hosts[letter.to];
            if !to.down_until.is_due(self.now) || to.island != self.hosts[letter.from].island {
                continue;
            }
            if !to.frozen_until.is_due(self.now) {
                late.push(letter);
                continue;
            }
            let from = host_name(letter.from);
            let PeerMessage::Credit(message) = letter.message else { continue };
            if let Some(verdict) = self.with(letter.to, |quota, cx| quota.on_peer(cx, &from, &message)) {
                self.rule(letter.to, verdict);
            }
        }
        for letter in late {
            self.post(letter);
        }
    }

    fn arrive(&mut self) {
        self.owed += self.asked_per_second as f64 * STEP.as_secs_f64();
        while self.owed > 0.0 {
            let cost = self.rng.random_range(200..=self.largest);
            self.owed -= cost as f64;
            let number = self.rng.random_range(0..self.hosts.len());
            let host = &self.hosts[number];
            if !host.down_until.is_due(self.now) || !host.frozen_until.is_due(self.now) {
                continue;
            }
            self.requests += 1;
            let request = RequestId(self.requests);
            let charge = Charge { account: account(), key: KeyDigest(Digest([1; 32])), cost: Credits(cost) };
            self.waiting.insert((number, request), cost);
            if let Some(decision) = self.with(number, |quota, cx| quota.request_credit(cx, request, &charge))
            {
                self.rule(number, CreditOutcome { request, decision });
            }
        }
    }

    fn rule(&mut self, number: usize, verdict: CreditOutcome) {
        let Some(cost) = self.waiting.remove(&(number, verdict.request)) else { return };
        match verdict.decision {
            CreditDecision::Granted { .. } if self.gives_back => {
                let charge =
                    Charge { account: account(), key: KeyDigest(Digest([1; 32])), cost: Credits(cost) };
                self.with(number, |quota, cx| quota.return_credit(cx, &charge));
            }
            CreditDecision::Granted { not_before } => self.used.push((self.now.max(not_before), cost)),
            CreditDecision::OverLimit { .. } | CreditDecision::TooLarge => self.refused.push(self.now),
        }
    }

    fn post(&mut self, letter: Letter) {
        self.letters += 1;
        let delay = Duration::from_millis(self.rng.random_range(2..12));
        self.wire.insert((self.now.after(delay), self.letters), letter);
    }

    fn with<T>(&mut self, number: usize, f: impl FnOnce(&mut Quota, &mut Cx<'_>) -> T) -> T {
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
            effects: &mut effects,
            writes: &mut writes,
            counters: &mut host.counters,
            rng: &mut host.rng,
        };
        let value = f(&mut host.quota, &mut cx);
        for effect in effects {
            let Effect::Peer(Envelope { to, message }) = effect else { continue };
            let to = (0..self.hosts.len()).find(|number| host_name(*number) == to).unwrap();
            self.post(Letter { from: number, to, message });
        }
        value
    }
}
