//! Hosts that relay the changes of a simulated key-value service to one another, in given time.
//!
//! [`RelayFleet`] runs a [`Node`] and a [`Follower`] for each host, as the adapter of a platform does.

#[path = "changes.rs"]
mod changes;
#[path = "lateness.rs"]
mod lateness;
#[path = "messages.rs"]
mod messages;
#[path = "network.rs"]
mod network;
#[path = "pages.rs"]
mod pages;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use skylarkshore_core::catalogue::{Catalogue, ConfiguredCatalogue};
use skylarkshore_core::config::{Limits, NodeConfig, Timings, Watchers};
use skylarkshore_core::follower::{ChangesRead, Follower, Step};
use skylarkshore_core::id::{CallId, CatalogueRevision, Digest, HostId, Incarnation, StoreRevision};
use skylarkshore_core::peer::{News, PeerMessage};
use skylarkshore_core::rules::{MinuteOfDay, Rules};
use skylarkshore_core::store::{Key, Record, StoreAnswer, StoreCall, StoreFailure, Versioned};
use skylarkshore_core::units::Capacity;
use skylarkshore_core::{Effect, Event, Node, Time};

use crate::store::Store;
use network::{Links, Network};
use pages::PagedRead;

/// The notice that leaving upstreams give, which the timing of reads follows.
pub const NOTICE: Duration = Duration::from_secs(3);
/// The same in a fleet with limited links.
const LIMITED_NOTICE: Duration = Duration::from_secs(5);
const STEP: Duration = Duration::from_millis(10);
const TICK: Duration = Duration::from_millis(50);
/// How often something else than a configuration changes.
const FILLER_INTERVAL: Duration = Duration::from_millis(20);
/// How long hosts that start may take to know the configuration; after that the users' limits hold for them.
const START_LIMIT: Duration = Duration::from_secs(4);
/// Time from the start of all hosts until their relay trees have settled.
const SETTLING_TIME: Duration = Duration::from_secs(14);
const DATA_CENTRES: usize = 3;
/// How long a limited service keeps its history.
const HISTORY: Duration = Duration::from_secs(20);
/// Number of large hosts in a data centre; the others are small.
const LARGE_HOSTS: usize = 2;

/// How the key-value service treats a host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreAccess {
    #[default]
    Served,
    /// Connections are reset.
    Resets,
    /// Calls are answered with an error.
    Refuses,
    /// Calls get no answer.
    Silent,
}

/// A read of changes in progress.
#[derive(Clone, Copy, Debug)]
struct PendingRead {
    read: ChangesRead,
    sent_at: Time,
    /// How the service treated the host when the call was made.
    access: StoreAccess,
    /// The earliest time at which the service answers with changes.
    answer_at: Time,
    /// When the service answers without changes, or the call ends unanswered.
    ends_at: Time,
    /// The answer on its way, and when the call times out without it.
    answer: Option<Answer>,
}

/// An answer with changes on its way.
#[derive(Clone, Copy, Debug)]
struct Answer {
    upto: StoreRevision,
    arrives_at: Time,
    timeout_at: Time,
}

/// What all parts of a state have in common.
#[derive(Clone, Copy, Debug)]
struct StateHead {
    series: u64,
    upto: StoreRevision,
    age: Option<Duration>,
}

/// What arrives at a host.
#[derive(Clone, Debug)]
enum Arrival {
    Event(Event),
    /// A page of a read of many keys.
    Page(PagedRead),
    /// A message from a peer, which the host takes once it knows the peer.
    Message {
        from: HostId,
        message: PeerMessage,
        until: Time,
    },
}

/// One host with its process.
pub struct RelayHost {
    node: Node,
    follower: Follower,
    is_watching: bool,
    read: Option<PendingRead>,
    next_tick: Time,
    pub access: StoreAccess,
    /// Whether the host is cut off from its peers.
    pub is_isolated: bool,
    pub is_frozen: bool,
    /// Delay of everything that arrives here.
    pub lag: Duration,
    /// Since when no fault of the host excuses it from the limits; none while one does.
    pub undisturbed_since: Option<Time>,
    /// How often a configuration was ignored.
    pub ignored: usize,
}

/// Hosts, their key-value service and the network between them.
pub struct RelayFleet {
    pub now: Time,
    pub hosts: BTreeMap<HostId, RelayHost>,
    store: Store,
    rng: SmallRng,
    /// Events on their way, in order of arrival.
    in_flight: BTreeMap<(Time, u64), (HostId, Arrival)>,
    network: Network,
    sent: u64,
    next_filler: Time,
    fillers: u64,
    /// Number of changes at each filler interval.
    fillers_at_once: u64,
    /// Number of keys that the fillers change.
    filler_keys: u64,
    /// When each configuration was confirmed.
    confirmed: BTreeMap<CatalogueRevision, Time>,
    /// When each host first went by a configuration.
    activated: BTreeMap<(HostId, CatalogueRevision), Time>,
    /// Percentage of messages between hosts that are lost.
    pub lost_messages: u32,
    /// Number of processes started so far.
    incarnations: u64,
    /// The hosts whose processes were ended, and may be started again.
    ended: BTreeSet<HostId>,
    access_at_start: StoreAccess,
    /// Since when the limits for changes hold.
    settled_at: Time,
    /// The revision at each step, as far back as the service keeps its history.
    history: VecDeque<(Time, StoreRevision)>,
}

fn host_name(data_centre: usize, number: usize) -> HostId {
    format!("host-{data_centre}-{number}").parse().unwrap()
}

fn config(data_centre: usize, number: usize) -> NodeConfig {
    let address = "127.0.0.1:1".parse().unwrap();
    let timings = Timings {
        lease_ttl: Duration::from_secs(5),
        renew_every: Duration::from_secs(2),
        hold: Duration::from_millis(4500),
        store_timeout: Duration::from_millis(700),
        heartbeat_every: Duration::from_millis(700),
        peer_timeout: Duration::from_secs(2),
        ..Timings::default()
    };
    NodeConfig {
        host: host_name(data_centre, number),
        incarnation: Incarnation(1),
        data_centre: format!("dc-{data_centre}").parse().unwrap(),
        caller_address: address,
        peer_address: address,
        fingerprint: Digest([0; 32]),
        seed: (data_centre * 1000 + number) as u64,
        timings,
        limits: Limits::default(),
        default_rules: Rules::default(),
        watchers: Watchers::Relayed,
        capacity: if number < LARGE_HOSTS { Capacity(500) } else { Capacity(120) },
        is_first_start: false,
    }
}

impl RelayFleet {
    /// Starts hosts in three data centres and runs them until their relay trees have settled.
    pub fn settled(seed: u64, hosts_per_data_centre: usize) -> Self {
        let mut fleet = Self::new(seed, Network::Unlimited);
        fleet.configure();
        for data_centre in 0..DATA_CENTRES {
            for number in 0..hosts_per_data_centre {
                fleet.start(data_centre, number);
            }
        }
        fleet.run(START_LIMIT);
        let unaware: Vec<&HostId> =
            fleet.hosts.iter().filter(|(_, host)| host.revision().0 == 0).map(|(name, _)| name).collect();
        assert!(unaware.is_empty(), "{unaware:?} know no configuration");
        fleet.run(SETTLING_TIME.saturating_sub(START_LIMIT));
        fleet.settled_at = fleet.now;
        fleet
    }

    /// Creates a fleet without hosts, whose links and key-value service are limited.
    ///
    /// The service holds a configuration and the registrations of engines.
    pub fn limited(seed: u64, engines: u64) -> Self {
        let mut fleet = Self::new(seed, Network::Limited(Links::new()));
        fleet.configure();
        for _ in 0..engines {
            fleet.fill();
        }
        fleet
    }

    fn new(seed: u64, network: Network) -> Self {
        let filler_keys = if matches!(network, Network::Unlimited) { 100 } else { u64::MAX };
        Self {
            now: Time::from_millis(1000),
            hosts: BTreeMap::new(),
            store: Store::default(),
            rng: SmallRng::seed_from_u64(seed),
            in_flight: BTreeMap::new(),
            network,
            sent: 0,
            next_filler: Time::START,
            fillers: 0,
            fillers_at_once: 1,
            filler_keys,
            confirmed: BTreeMap::new(),
            activated: BTreeMap::new(),
            lost_messages: 0,
            incarnations: 0,
            ended: BTreeSet::new(),
            access_at_start: StoreAccess::Served,
            settled_at: Time::START,
            history: VecDeque::new(),
        }
    }

    /// Starts the process of a host.
    pub fn start(&mut self, data_centre: usize, number: usize) {
        self.incarnations += 1;
        let incarnation = Incarnation(self.incarnations);
        let cfg = NodeConfig { incarnation, ..config(data_centre, number) };
        let (node, effects) = Node::start(cfg, self.now);
        let host = RelayHost {
            node,
            follower: Follower::new(self.notice()),
            is_watching: false,
            read: None,
            next_tick: self.now,
            access: self.access_at_start,
            is_isolated: false,
            is_frozen: false,
            lag: Duration::ZERO,
            undisturbed_since: Some(self.now),
            ignored: 0,
        };
        let name = host_name(data_centre, number);
        self.hosts.insert(name.clone(), host);
        self.execute(&name, effects);
    }

    /// Returns the notice that leaving upstreams give, which the timing of reads follows.
    const fn notice(&self) -> Duration {
        match self.network {
            Network::Unlimited => NOTICE,
            Network::Limited(_) => LIMITED_NOTICE,
        }
    }

    /// Writes the next configuration, as an operator does, and returns its version.
    pub fn configure(&mut self) -> CatalogueRevision {
        let revision = CatalogueRevision(self.confirmed.len() as u64 + 1);
        self.configure_as(revision);
        revision
    }

    /// Writes a configuration with any version.
    pub fn configure_as(&mut self, revision: CatalogueRevision) {
        let configured = ConfiguredCatalogue { revision, catalogue: Catalogue::default() };
        self.store.put(Key::Catalogue, Record::Catalogue(Arc::new(configured)));
        self.confirmed.insert(revision, self.now);
    }

    /// Returns the host that reads for a data centre.
    pub fn root(&self, data_centre: usize) -> HostId {
        let reads = |host: &RelayHost| host.follower.reads_for_peers();
        let in_data_centre = self.in_data_centre(data_centre);
        in_data_centre.into_iter().find(|name| reads(&self.hosts[name])).expect("a root has been elected")
    }

    pub fn in_data_centre(&self, data_centre: usize) -> Vec<HostId> {
        let prefix = format!("host-{data_centre}-");
        self.hosts.keys().filter(|name| name.as_str().starts_with(&prefix)).cloned().collect()
    }

    /// Returns the other large host of a data centre, which has children below the root.
    pub fn inner_host(&self, data_centre: usize) -> HostId {
        let root = self.root(data_centre);
        let large = (0..LARGE_HOSTS).map(|number| host_name(data_centre, number));
        large.into_iter().find(|name| *name != root).expect("a data centre has several large hosts")
    }

    /// Draws hosts at random.
    pub fn sample(&mut self, count: usize) -> BTreeSet<HostId> {
        self.hosts.keys().cloned().choose_multiple(&mut self.rng, count).into_iter().collect()
    }

    pub fn host(&mut self, name: &HostId) -> &mut RelayHost {
        self.hosts.get_mut(name).expect("the host runs")
    }

    /// Ends a process without a shutdown.
    pub fn kill(&mut self, name: &HostId) {
        self.hosts.remove(name);
        self.ended.insert(name.clone());
    }

    /// Starts the process of a host again that was ended; reports whether there was any.
    pub fn restart_one(&mut self) -> bool {
        let Some(name) = self.ended.pop_first() else { return false };
        let mut parts = name.as_str().split('-').skip(1).filter_map(|part| part.parse().ok());
        let (Some(data_centre), Some(number)) = (parts.next(), parts.next()) else { return false };
        self.start(data_centre, number);
        true
    }

    /// Sets how the key-value service treats the hosts that start from now on.
    pub const fn set_access_at_start(&mut self, access: StoreAccess) {
        self.access_at_start = access;
    }

    /// Returns the hosts of a data centre that read the service for others.
    pub fn readers(&self, data_centre: usize) -> Vec<HostId> {
        let in_data_centre = self.in_data_centre(data_centre);
        in_data_centre.into_iter().filter(|name| self.hosts[name].follower.reads_for_peers()).collect()
    }

    /// Begins a process's shutdown.
    pub fn shut_down(&mut self, name: &HostId) {
        self.handle(name, Event::Shutdown);
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now.after(time);
        while !end.is_due(self.now) {
            self.step();
        }
    }

    /// Changes the known keys in turn, so many at each filler interval.
    pub const fn change_often(&mut self, at_once: u64) {
        self.filler_keys = self.fillers;
        self.fillers_at_once = at_once;
    }

    /// Lets the service discard its history of changes.
    pub fn forget_history(&mut self) {
        self.history.clear();
        self.record_history();
    }

    /// Returns the number of calls other than reads of changes that the key-value service answered.
    pub fn store_calls(&self) -> u64 {
        self.store.calls
    }

    /// Returns the number of processes that are registered.
    pub fn member_count(&self) -> usize {
        self.store.records().filter(|record| matches!(record, Record::Member(_))).count()
    }

    pub fn random_host(&mut self) -> HostId {
        self.hosts.keys().choose(&mut self.rng).expect("a host runs").clone()
    }

    /// Returns the host that reads for the data centre of another, or that other if none does.
    pub fn root_or(&self, name: &HostId) -> HostId {
        let prefix = &name.as_str()[..name.as_str().len().min("host-0".len())];
        let mut in_data_centre = self.hosts.iter().filter(|(host, _)| host.as_str().starts_with(prefix));
        let root = in_data_centre.find(|(_, host)| host.follower.reads_for_peers());
        root.map_or(name, |(root, _)| root).clone()
    }

    fn step(&mut self) {
        self.now = self.now.after(STEP);
        self.store.expire(self.now);
        self.record_history();
        if self.next_filler.is_due(self.now) {
            self.next_filler = self.now.after(FILLER_INTERVAL);
            for _ in 0..self.fillers_at_once {
                self.fill();
            }
        }
        let later = self.in_flight.split_off(&(self.now.after(Duration::from_micros(1)), 0));
        for (_, (to, arrival)) in std::mem::replace(&mut self.in_flight, later) {
            self.arrive(&to, arrival);
        }
        let names: Vec<HostId> = self.hosts.keys().cloned().collect();
        for name in names {
            self.run_host(&name);
        }
    }

    fn record_history(&mut self) {
        self.history.push_back((self.now, self.store.revision()));
        let now = self.now;
        while self.history.front().is_some_and(|(at, _)| at.after(HISTORY).is_due(now)) {
            self.history.pop_front();
        }
    }

    /// Changes a key that only the adapter of a platform knows.
    fn fill(&mut self) {
        self.fillers += 1;
        let mut digest = [0; 32];
        digest[..8].copy_from_slice(&(self.fillers % self.filler_keys).to_le_bytes());
        let record = self.store.record(&Key::Catalogue).expect("there is a configuration").clone();
        self.store.put(Key::Once(Digest(digest)), record);
    }

    fn arrive(&mut self, to: &HostId, arrival: Arrival) {
        let Some(host) = self.hosts.get(to) else { return };
        let is_message = matches!(arrival, Arrival::Message { .. } | Arrival::Event(Event::Peer { .. }));
        if host.is_frozen {
            return self.send_arrival(to, arrival, STEP);
        }
        if host.is_isolated && is_message {
            return;
        }
        match arrival {
            Arrival::Event(event) => self.handle(to, event),
            Arrival::Page(read) => self.on_page(to, read),
            Arrival::Message { from, message, until } => self.on_message(to, from, message, until),
        }
    }

    fn run_host(&mut self, name: &HostId) {
        let now = self.now;
        let Some(host) = self.hosts.get_mut(name).filter(|host| !host.is_frozen) else { return };
        if host.next_tick.is_due(now) {
            host.next_tick = now.after(TICK);
            self.handle(name, Event::Tick { at: MinuteOfDay::default() });
        }
        self.run_follower(name);
        self.run_read(name);
        let Some(host) = self.hosts.get(name) else { return };
        let revision = host.revision();
        self.activated.entry((name.clone(), revision)).or_insert(now);
    }

    fn run_follower(&mut self, name: &HostId) {
        let now = self.now;
        loop {
            let Some(host) = self.hosts.get_mut(name).filter(|host| host.is_watching) else { return };
            if host.read.is_some() && !host.follower.is_read_wanted() {
                host.read = None;
                host.follower.abandon_read();
            }
            match host.follower.next_step(now) {
                Step::Wait { .. } => return,
                Step::ReportGap { lasts, .. } => self.handle(name, Event::NewsMissed { lasts }),
                Step::ApplyNews(news) => {
                    let changes = self.changes(news.after, news.upto);
                    self.handle(name, Event::Watched { changes, upto: news.upto });
                    self.host(name).follower.on_applied(news.upto);
                }
                Step::ApplyState { upto, .. } => {
                    self.relay_skipped(name, upto);
                    let records = self.state_at(upto);
                    self.handle(name, Event::State { upto, records });
                    self.host(name).follower.on_applied(upto);
                }
                Step::Read(read) => self.begin_read(name, read),
            }
        }
    }

    /// Returns the product's records among the changes after one revision up to another.
    fn changes(&self, after: StoreRevision, upto: StoreRevision) -> Vec<Versioned> {
        let is_own = |change: &&Versioned| !matches!(change.key, Key::Once(_));
        let begin = self.store.log.partition_point(|change| change.revision <= after);
        let end = self.store.log.partition_point(|change| change.revision <= upto).max(begin);
        self.store.log[begin..end].iter().filter(is_own).cloned().collect()
    }

    fn state_at(&self, upto: StoreRevision) -> Vec<Versioned> {
        let changes = self.changes(StoreRevision(0), upto);
        let latest: BTreeMap<Key, Versioned> =
            changes.into_iter().map(|change| (change.key.clone(), change)).collect();
        latest.into_values().filter(|change| change.record.is_some()).collect()
    }

    /// Relays the changes that a complete state brings, as the adapter of a platform does.
    fn relay_skipped(&mut self, name: &HostId, upto: StoreRevision) {
        let Some(host) = self.hosts.get(name) else { return };
        let after = host.follower.after();
        if after != StoreRevision(0) && after < upto {
            let news = News { after, upto, age: None, body: Vec::from([1]).into() };
            self.handle(name, Event::NewsSkipped(news));
        }
    }

    fn handle(&mut self, name: &HostId, event: Event) {
        if let Event::Store { result: Ok(StoreAnswer::Shared { revision, .. }), .. } = &event {
            self.relay_skipped(name, *revision);
        }
        let now = self.now;
        let Some(host) = self.hosts.get_mut(name) else { return };
        let effects = host.node.handle(now, event);
        self.execute(name, effects);
    }

    fn execute(&mut self, name: &HostId, effects: Vec<Effect>) {
        let now = self.now;
        for effect in effects {
            match effect {
                Effect::Store { call, request } => {
                    let access = self.hosts.get(name).map(|host| host.access).unwrap_or_default();
                    self.call_store(name, access, call, request);
                }
                Effect::Peer(envelope) => self.send(name, &envelope.to, envelope.message),
                Effect::SendState { to, series, upto, age, .. } => {
                    self.send_state(name, &to, StateHead { series, upto, age });
                }
                effect => {
                    if let Some(host) = self.hosts.get_mut(name) {
                        host.execute(now, effect);
                    }
                }
            }
        }
    }

    fn call_store(&mut self, name: &HostId, access: StoreAccess, call: CallId, request: StoreCall) {
        let (result, delay) = match access {
            StoreAccess::Served => {
                let answer = self.store.call(self.now, request);
                return self.request_page(name, PagedRead::new(call, answer));
            }
            StoreAccess::Resets | StoreAccess::Refuses => (Err(StoreFailure::NotDone), STEP),
            StoreAccess::Silent => (Err(StoreFailure::Unknown), Duration::from_millis(700)),
        };
        self.send_event(name, Event::Store { call, result }, delay);
    }
}

impl RelayHost {
    /// Ends all faults of the host.
    pub fn recover(&mut self, now: Time) {
        self.access = StoreAccess::Served;
        self.is_isolated = false;
        self.is_frozen = false;
        self.lag = Duration::ZERO;
        self.undisturbed_since.get_or_insert(now);
    }

    /// Returns how long ago the host's knowledge was known to be complete.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.node.complete_at().map(|at| now.since(at))
    }

    pub fn revision(&self) -> CatalogueRevision {
        self.node.document().catalogue_revision
    }

    fn execute(&mut self, now: Time, effect: Effect) {
        match effect {
            Effect::Watch { from } => {
                self.is_watching = true;
                self.read = None;
                self.follower.start(now, StoreRevision(from.0.saturating_sub(1)));
            }
            Effect::Unwatch => {
                self.is_watching = false;
                self.read = None;
            }
            Effect::ApplyNews(news) => self.follower.push_news(now, news),
            Effect::ApplyStatePart(part) => self.follower.push_state(now, part),
            Effect::ExtendStateWait => self.follower.expect_update(now),
            Effect::ReadMissedNews => self.follower.read_missed(),
            Effect::LogEvent(logged) if logged.event == "document_ignored" => self.ignored += 1,
            Effect::ReadNewsForOthers(is_wanted) => self.follower.set_reads_for_peers(is_wanted),
            _ => {}
        }
    }
}
