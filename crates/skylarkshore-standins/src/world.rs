//! Several nodes in given time, with the platform and the upstreams in memory.
//!
//! It carries out the core's effects and feeds the results back as events. A
//! [`Faults`] value is asked before each effect that leaves a process and can
//! lose, delay or double it, or stop the process right there. After every event
//! the [`Checks`] compare what truly happened with what must always hold.

mod agenda;
mod callers;
mod checks;
mod engine;
mod fault;
mod host;
mod meter;
mod perform;
mod service;
mod store;
mod violation;

use std::time::Duration;

use skylarkshore_core::catalogue::Document;
use skylarkshore_core::collections::{OrderedMap, OrderedSet};
use skylarkshore_core::config::{Limits, Timings};
use skylarkshore_core::effect::LogEvent;
use skylarkshore_core::event::Event;
use skylarkshore_core::id::{DataCentre, HostId, RulesRevision, StoreRevision, UpstreamId};
use skylarkshore_core::rules::MinuteOfDay;
use skylarkshore_core::store::{Expect, Key, Record, StoreAnswer, StoreFailure};
use skylarkshore_core::time::Time;
use skylarkshore_core::upstream::{Upstream, UpstreamStatus};

use agenda::{Agenda, Item};
use host::Host;
use perform::{AttemptKey, CallKey, OpenAttempt};
use service::ServiceReplica;

pub use callers::{Ask, Callers, Final, RequestKey, RequestLog};
pub use checks::Checks;
pub use engine::Engine;
pub use fault::{Faults, NoFaults, Planned, Strike, StrikeAt};
pub use meter::{Count, Meter};
pub use store::{Store, StoreMode};
pub use violation::Violation;

/// Where a host of the world stands.
#[derive(Clone, Debug)]
pub struct HostSetup {
    /// Its name.
    pub host: HostId,
    /// Its data centre.
    pub data_centre: DataCentre,
}

/// What a world consists of.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The entry hosts.
    pub hosts: Vec<HostSetup>,
    /// The upstreams on the host list.
    pub upstreams: Vec<Upstream>,
    /// The operators' document in the key-value service.
    pub document: Document,
    /// Where all randomness starts.
    pub seed: u64,
    /// How often each process gets a tick.
    pub tick: Duration,
    /// The times that the processes keep.
    pub timings: Timings,
    /// The sizes that the processes keep to.
    pub limits: Limits,
}

/// The time that anything takes between two processes.
pub(crate) const LATENCY: Duration = Duration::from_millis(1);
const HOST_LIST_EVERY: Duration = Duration::from_secs(2);
const LEASE_CHECK_EVERY: Duration = Duration::from_millis(100);
const RESTART_AFTER: Duration = Duration::from_secs(3);

/// Several nodes with what stands round them.
#[derive(Debug)]
pub struct World {
    now: Time,
    setup: Setup,
    pub(crate) hosts: Vec<Host>,
    agenda: Agenda,
    faults: Box<dyn Faults>,
    serial: u64,
    list: Vec<Upstream>,
    services: OrderedMap<UpstreamId, ServiceReplica>,
    attempts: OrderedMap<AttemptKey, OpenAttempt>,
    open_calls: OrderedSet<CallKey>,
    runs: u64,
    /// Whether effects are counted and measured, which takes time.
    pub metered: bool,
    /// The key-value service.
    pub store: Store,
    /// The model engines.
    pub engines: OrderedMap<UpstreamId, Engine>,
    /// The callers' requests.
    pub callers: Callers,
    /// What must always hold, and whether it did.
    pub checks: Checks,
    /// What the processes noted for operators.
    pub notes: Vec<HostNote>,
}

/// A note with the host and the time.
#[derive(Clone, Debug)]
pub struct HostNote {
    /// When.
    pub at: Time,
    /// Where.
    pub host: HostId,
    /// What.
    pub note: LogEvent,
}

impl World {
    /// Makes a world in which every host starts at once.
    pub fn new(setup: Setup, faults: Box<dyn Faults>) -> Self {
        let engines = setup.upstreams.iter().filter_map(Engine::new).collect::<Vec<_>>();
        let services = setup.upstreams.iter().filter_map(ServiceReplica::new).collect::<Vec<_>>();
        let mut world = Self {
            now: Time::from_millis(1000),
            hosts: setup.hosts.iter().enumerate().map(|(i, h)| Host::new(i, h, &setup)).collect(),
            agenda: Agenda::default(),
            faults,
            serial: 0,
            list: setup.upstreams.clone(),
            services: services.into_iter().map(|s| (s.id.clone(), s)).collect(),
            attempts: OrderedMap::new(),
            open_calls: OrderedSet::new(),
            runs: 0,
            metered: false,
            store: Store::default(),
            engines: engines.into_iter().map(|e| (e.id.clone(), e)).collect(),
            callers: Callers::default(),
            checks: Checks::default(),
            notes: Vec::new(),
            setup,
        };
        world.apply_document(world.setup.document.clone());
        world.agenda.add(world.now, Item::Leases);
        for h in 0..world.hosts.len() {
            world.start_host(h);
        }
        world
    }

    /// Returns the time.
    pub const fn now(&self) -> Time {
        self.now
    }

    /// Returns how many effects have left the processes, struck or not.
    pub const fn serial(&self) -> u64 {
        self.serial
    }

    /// Lets the world go on until `until`.
    pub fn run_until(&mut self, until: Time) {
        while let Some(item) = self.agenda.next(until, &mut self.now) {
            let look = item.touches_engines();
            self.take(item);
            if look {
                self.checks.engines(self.now, &self.engines);
            }
        }
        self.now = until;
    }

    /// Lets the world go on for `d`.
    pub fn run_for(&mut self, d: Duration) {
        self.run_until(self.now.after(d));
    }

    /// Sends a caller's request to a host at once.
    pub fn ask(&mut self, h: usize, ask: &Ask) -> RequestKey {
        let host = &mut self.hosts[h];
        let (key, arrival) = self.callers.arrive(host.next_request(), ask, self.now);
        if host.is_up() {
            self.deliver(h, Event::Arrived { request: key.request, arrival });
        } else {
            self.callers.lose_host(&key, self.now);
        }
        key
    }

    /// Lets a caller go away.
    pub fn leave(&mut self, h: usize, key: &RequestKey) {
        self.callers.gone(key, self.now);
        self.deliver(h, Event::CallerGone { request: key.request });
    }

    /// Ends a host's process at once; it starts again after some seconds with a new life.
    pub fn kill(&mut self, h: usize) {
        self.kill_for_good(h);
        self.agenda.add(self.now.after(RESTART_AFTER), Item::Restart { host: h });
    }

    /// Ends a host's process at once; it stays down.
    pub fn kill_for_good(&mut self, h: usize) {
        let Some(sender) = self.hosts[h].die() else { return };
        self.store.unwatch(h);
        self.callers.lose_life(sender, self.now);
        for engine in self.engines.values_mut() {
            engine.forget_sender(sender, self.now);
        }
    }

    /// Stops a process for a while, as a paused host does.
    pub fn freeze(&mut self, h: usize, d: Duration) {
        if self.hosts[h].freeze() {
            self.checks.paused(h, self.now, self.now.after(d));
            self.agenda.add(self.now.after(d), Item::Wake { host: h });
        }
    }

    /// Replaces a process's state by that of one that has just started, as if it had lost what it knew.
    ///
    /// Its life stays the same, so that the checks have to notice.
    pub fn forget_rules(&mut self, h: usize) {
        let effects = self.hosts[h].forget(self.now);
        self.checks.rules(self.now, &self.hosts[h]);
        self.carry_out(h, effects);
    }

    /// Asks a process to end in an orderly way.
    pub fn shut_down(&mut self, h: usize) {
        self.deliver(h, Event::Shutdown);
    }

    /// Cuts a host off from the key-value service until the time.
    pub fn cut_store(&mut self, h: usize, until: Time) {
        self.hosts[h].no_store_until = until;
        self.store.unwatch(h);
        self.deliver(h, Event::WatchBroken);
    }

    /// Cuts a host off from its peers until the time.
    pub fn cut_peers(&mut self, h: usize, until: Time) {
        self.hosts[h].no_peers_until = until;
    }

    /// Puts the key-value service into a mode; a watch doesn't outlive an outage.
    pub fn set_store_mode(&mut self, mode: StoreMode) {
        self.store.mode = mode;
        if mode == StoreMode::Up {
            return;
        }
        for h in self.store.take_watchers() {
            self.deliver(h, Event::WatchBroken);
        }
    }

    /// Writes the operators' document, as `skylarkctl rules apply` does.
    pub fn apply_document(&mut self, document: Document) {
        let key = Key::Document;
        let expect = self.store.get(&key).map_or(Expect::Absent, |v| Expect::At(v.revision));
        self.checks.document_accepted(&document, self.now);
        let record = Some(Record::Document(document.into()));
        let answer = self.store.write(&key, expect, record, None, None);
        debug_assert!(matches!(answer, StoreAnswer::Written(_)), "nobody else writes the document");
        self.tell_watchers();
    }

    /// Marks an upstream as leaving on the host list.
    pub fn mark_leaving(&mut self, id: &UpstreamId) {
        for upstream in self.list.iter_mut().filter(|u| u.id == *id) {
            upstream.status = UpstreamStatus::Leaving;
        }
        self.checks.marked_leaving(id, self.now);
    }

    /// Takes an upstream off the host list and its machine away.
    pub fn reclaim(&mut self, id: &UpstreamId) {
        self.list.retain(|u| u.id != *id);
        self.crash_engine(id, None);
    }

    /// Ends an engine; it comes back empty after `down`, or never.
    pub fn crash_engine(&mut self, id: &UpstreamId, down: Option<Duration>) {
        let Some(engine) = self.engines.get_mut(id) else { return };
        let lost = engine.crash(self.now);
        for run in lost {
            self.end_run(&run, perform::lost(&run, true));
        }
        if let Some(down) = down {
            self.agenda.add(self.now.after(down), Item::EngineUp { engine: id.clone() });
        }
    }

    /// Returns a host's node, if its process runs.
    pub fn node(&self, h: usize) -> Option<&skylarkshore_core::Node> {
        self.hosts[h].node.as_ref()
    }

    /// Tells whether every running process has these rules or later ones in force.
    pub fn rules_in_force(&self, revision: RulesRevision) -> bool {
        self.hosts
            .iter()
            .filter_map(|host| host.node.as_ref())
            .all(|node| node.document().revision >= revision)
    }

    /// Returns what a host's processes have spent so far.
    pub fn meter(&self, h: usize) -> &Meter {
        &self.hosts[h].meter
    }

    /// Counts from zero again, for instance when everything has started.
    pub fn reset_meters(&mut self) {
        for host in &mut self.hosts {
            host.meter = Meter::default();
        }
    }

    /// Returns how long engines have held a model and run nothing, all engines together.
    pub fn idle(&mut self) -> Duration {
        let now = self.now;
        self.engines.values_mut().map(|engine| engine.idle_until(now)).sum()
    }

    /// Tells whether a host's process has ended in an orderly way.
    pub fn has_exited(&self, h: usize) -> bool {
        self.hosts[h].exited
    }

    /// Tells what a host believes, for a test that failed.
    pub fn dump(&mut self, h: usize) -> Vec<skylarkshore_core::dump::DumpEntry> {
        let now = self.now;
        self.hosts[h].node.as_mut().map(|node| node.dump(now)).unwrap_or_default()
    }

    fn start_host(&mut self, h: usize) {
        let effects = self.hosts[h].start(self.now);
        let life = self.hosts[h].life;
        let phase = Duration::from_millis(7 * (h as u64 + 1));
        self.agenda.add(self.now.after(phase), Item::Tick { host: h, life });
        self.agenda.add(self.now.after(phase), Item::HostList { host: h, life });
        self.carry_out(h, effects);
    }

    fn take(&mut self, item: Item) {
        match item {
            Item::Tick { host, life } => self.tick(host, life),
            Item::HostList { host, life } => self.read_host_list(host, life),
            Item::Event { to, event } => {
                if self.hosts[to.host].life == to.life {
                    self.deliver(to.host, event);
                }
            }
            Item::Wake { host } => self.wake(host),
            Item::Restart { host } => {
                if self.hosts[host].node.is_none() {
                    self.start_host(host);
                }
            }
            Item::Leases => {
                self.store.expire_leases(self.now);
                self.tell_watchers();
                self.agenda.add(self.now.after(LEASE_CHECK_EVERY), Item::Leases);
            }
            Item::StoreUp => self.set_store_mode(StoreMode::Up),
            Item::StoreTimeout { from, call } => self.store_answered(from, call, Err(StoreFailure::Unknown)),
            Item::Crash { engine } => self.crash_for_a_while(&engine),
            Item::EngineUp { engine } => {
                if let Some(engine) = self.engines.get_mut(&engine) {
                    engine.restart(self.now);
                }
            }
            Item::Store(call) => self.take_store_call(call),
            Item::Order(order) => self.take_order(&order),
            Item::Ask { from, engine, asked } => self.take_ask(from, &engine, asked),
            Item::Start(start) => self.take_start(start),
            Item::AttemptTimeout { from, attempt } => self.time_out(from, attempt),
            Item::LoadDone { engine, incarnation, model } => {
                if let Some(engine) = self.engines.get_mut(&engine) {
                    engine.load_done(incarnation, &model, self.now);
                }
            }
            Item::RunStarted { upstream, run } => self.run_started(&upstream, run),
            Item::RunDone { upstream, run } => self.run_done(&upstream, run),
        }
    }

    fn tick(&mut self, h: usize, life: u64) {
        if self.hosts[h].life != life || self.hosts[h].node.is_none() {
            return;
        }
        if !self.hosts[h].is_frozen() {
            let at = MinuteOfDay::from_unix_secs(self.now.as_micros() / 1_000_000);
            self.deliver(h, Event::Tick { at });
        }
        self.agenda.add(self.now.after(self.setup.tick), Item::Tick { host: h, life });
    }

    fn read_host_list(&mut self, h: usize, life: u64) {
        if self.hosts[h].life != life || self.hosts[h].node.is_none() {
            return;
        }
        self.deliver(h, Event::HostList(self.list.clone()));
        self.agenda.add(self.now.after(HOST_LIST_EVERY), Item::HostList { host: h, life });
    }

    fn wake(&mut self, h: usize) {
        let Some(pause) = self.hosts[h].wake() else { return };
        for effect in pause.unfinished {
            self.perform(h, effect, Strike::None);
        }
        for event in pause.held {
            self.deliver(h, event);
        }
    }

    pub(crate) fn deliver(&mut self, h: usize, event: Event) {
        let effects = self.hosts[h].handle(self.now, event);
        self.checks.rules(self.now, &self.hosts[h]);
        self.carry_out(h, effects);
    }

    fn tell_watchers(&mut self) {
        for news in self.store.take_news() {
            let to = self.hosts[news.host].sender();
            let event = Event::Watched { changes: news.changes, upto: news.upto };
            self.agenda.add(self.now.after(LATENCY), Item::Event { to, event });
        }
    }

    /// Ends the run: every request of a living process must have had its final answer by now.
    pub fn finish(&mut self) {
        self.checks.at_end(self.now, &self.callers);
    }

    /// Returns the key-value service's revision.
    pub const fn store_revision(&self) -> StoreRevision {
        self.store.revision()
    }
}
