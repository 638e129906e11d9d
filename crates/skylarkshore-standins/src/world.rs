//! Deterministic simulation of several nodes, with the platform and the upstreams in memory.
//!
//! [`World`] advances a simulated clock, executes the core's effects and returns
//! their results as events. Before each effect that leaves a process, a [`Faults`]
//! value can lose, delay or duplicate it, or stop the process. After every event
//! [`Checks`] compares the simulated state with the invariants.

mod brittle;
mod callers;
mod checks;
mod crashes;
mod engine;
mod execute;
mod fatal_parts;
mod fault;
mod host;
mod links;
mod meter;
mod partitions;
mod replicas;
mod retries;
mod schedule;
mod service;
mod store;
mod streams;
mod violation;

use std::time::Duration;

use skylarkshore_core::catalogue::Document;
use skylarkshore_core::collections::{OrderedMap, OrderedSet};
use skylarkshore_core::config::{Limits, Timings};
use skylarkshore_core::effect::LogEvent;
use skylarkshore_core::event::{Event, StreamPart};
use skylarkshore_core::id::{DataCentre, Digest, HostId, RulesRevision, StoreRevision, UpstreamId};
use skylarkshore_core::rules::MinuteOfDay;
use skylarkshore_core::store::{Expect, Key, Record, StoreAnswer, StoreFailure};
use skylarkshore_core::time::Time;
use skylarkshore_core::upstream::{Upstream, UpstreamStatus};

use brittle::BrittleUpstreams;
use crashes::CrashLedger;
use execute::{AttemptKey, CallKey, OpenAttempt};
use fatal_parts::PartLedger;
use host::Host;
use partitions::{HostCut, Partitions};
use retries::RetryLedger;
use schedule::{Schedule, Task};
use service::ServiceReplica;
use streams::StreamLedger;

pub use callers::{Ask, Callers, FinalAnswer, Framing, RequestKey, RequestLog};
pub use checks::Checks;
pub use engine::Engine;
pub use fatal_parts::CrashPoint;
pub use fault::{Faults, NoFaults, Planned, Strike, StrikeAt};
pub use meter::{Count, Meter};
pub use partitions::LinkLoss;
pub use store::{Store, StoreMode};
pub use violation::Violation;

/// Name and data centre of a simulated host.
#[derive(Clone, Debug)]
pub struct HostSetup {
    /// Host name.
    pub host: HostId,
    /// Data centre of the host.
    pub data_centre: DataCentre,
}

/// Configuration of a [`World`].
#[derive(Clone, Debug)]
pub struct Setup {
    /// Entry hosts.
    pub hosts: Vec<HostSetup>,
    /// Upstreams on the initial host list.
    pub upstreams: Vec<Upstream>,
    /// Initial operators' document in the key-value service.
    pub document: Document,
    /// Seed of all randomness.
    pub seed: u64,
    /// Interval between the ticks of each process.
    pub tick: Duration,
    /// Timings of every node.
    pub timings: Timings,
    /// Limits of every node.
    pub limits: Limits,
}

/// One-way latency between any two processes.
pub(crate) const LATENCY: Duration = Duration::from_millis(1);
const HOST_LIST_INTERVAL: Duration = Duration::from_secs(2);
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
const RESTART_DELAY: Duration = Duration::from_secs(3);

/// Simulated nodes together with the platform, the upstreams and the callers.
#[derive(Debug)]
pub struct World {
    now: Time,
    setup: Setup,
    pub(crate) hosts: Vec<Host>,
    schedule: Schedule,
    faults: Box<dyn Faults>,
    serial: u64,
    host_list: Vec<Upstream>,
    services: OrderedMap<UpstreamId, ServiceReplica>,
    attempts: OrderedMap<AttemptKey, OpenAttempt>,
    open_calls: OrderedSet<CallKey>,
    /// Upstreams that reject all requests.
    overloaded: OrderedSet<UpstreamId>,
    retries: RetryLedger,
    partitions: Partitions,
    brittle: BrittleUpstreams,
    crashes: CrashLedger,
    parts: PartLedger,
    streams: StreamLedger,
    /// How long the host list still names a replica that has ended; if unset, it doesn't show restarts.
    termination_listed_after: Option<Duration>,
    runs: u64,
    /// Whether effects are counted, which slows the simulation.
    pub metered: bool,
    /// The key-value service.
    pub store: Store,
    /// Model engines.
    pub engines: OrderedMap<UpstreamId, Engine>,
    /// Requests sent by callers.
    pub callers: Callers,
    /// Invariant checks and the violations they found.
    pub checks: Checks,
    /// Events logged by the processes.
    pub notes: Vec<HostNote>,
}

/// A log event with its host and time.
#[derive(Clone, Debug)]
pub struct HostNote {
    /// Time of the event.
    pub at: Time,
    /// Host that logged it.
    pub host: HostId,
    /// The log event.
    pub note: LogEvent,
}

impl World {
    /// Creates a world and starts every host.
    pub fn new(setup: Setup, faults: Box<dyn Faults>) -> Self {
        let engines = setup.upstreams.iter().filter_map(Engine::new).collect::<Vec<_>>();
        let services = setup.upstreams.iter().filter_map(ServiceReplica::new).collect::<Vec<_>>();
        let mut world = Self {
            now: Time::from_millis(1000),
            hosts: setup.hosts.iter().enumerate().map(|(i, h)| Host::new(i, h, &setup)).collect(),
            schedule: Schedule::default(),
            faults,
            serial: 0,
            host_list: setup.upstreams.clone(),
            services: services.into_iter().map(|s| (s.id.clone(), s)).collect(),
            attempts: OrderedMap::new(),
            open_calls: OrderedSet::new(),
            overloaded: OrderedSet::new(),
            retries: RetryLedger::default(),
            partitions: Partitions::default(),
            brittle: BrittleUpstreams::default(),
            crashes: CrashLedger::default(),
            parts: PartLedger::default(),
            streams: StreamLedger::default(),
            termination_listed_after: None,
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
        world.schedule.add(world.now, Task::ExpireLeases);
        for h in 0..world.hosts.len() {
            world.start_host(h);
        }
        world
    }

    /// Returns the simulated time.
    pub const fn now(&self) -> Time {
        self.now
    }

    /// Returns how many effects have left the processes, with or without a fault.
    pub const fn serial(&self) -> u64 {
        self.serial
    }

    /// Runs the simulation until `until`.
    pub fn run_until(&mut self, until: Time) {
        while let Some(task) = self.schedule.next(until, &mut self.now) {
            let engines_changed = task.touches_engines();
            self.run_task(task);
            if engines_changed {
                self.checks.check_engines(self.now, &self.engines);
            }
        }
        self.now = until;
    }

    /// Runs the simulation for `d`.
    pub fn run_for(&mut self, d: Duration) {
        self.run_until(self.now.after(d));
    }

    /// Delivers a caller's request to a host immediately.
    pub fn ask(&mut self, h: usize, ask: &Ask) -> RequestKey {
        let host = &mut self.hosts[h];
        let is_in_touch = host.is_in_touch(self.now);
        let (key, arrival) = self.callers.record_arrival(host.next_request(), ask, self.now, is_in_touch);
        if host.is_up() {
            if let Some(StreamPart::Rest { stream: Some(stream), .. }) = ask.stream {
                self.record_taken_up(key, stream);
            }
            self.deliver(h, Event::Arrived { request: key.request, arrival });
        } else {
            self.callers.abandon_unreachable(&key, self.now);
        }
        key
    }

    /// Disconnects the caller of a request.
    pub fn leave(&mut self, h: usize, key: &RequestKey) {
        self.callers.mark_abandoned(key, self.now);
        self.deliver(h, Event::CallerGone { request: key.request });
    }

    /// Kills a host's process and schedules its restart with a new incarnation.
    pub fn kill(&mut self, h: usize) {
        self.kill_without_restart(h);
        self.schedule.add(self.now.after(RESTART_DELAY), Task::Restart { host: h });
    }

    /// Kills a host's process without a restart.
    pub fn kill_without_restart(&mut self, h: usize) {
        let Some(sender) = self.hosts[h].end_process() else { return };
        self.hosts[h].disturb(self.now);
        self.store.unwatch(h);
        self.callers.abandon_from(sender, self.now);
        for engine in self.engines.values_mut() {
            engine.cancel_from(sender, self.now);
        }
        self.end_silent_replicas(|sent| sent.from == sender);
    }

    /// Pauses a process for `d`; events that arrive meanwhile are queued.
    pub fn freeze(&mut self, h: usize, d: Duration) {
        if self.hosts[h].freeze() {
            self.hosts[h].disturb(self.now.after(d));
            self.checks.record_pause(h, self.now, self.now.after(d));
            self.schedule.add(self.now.after(d), Task::Resume { host: h });
        }
    }

    /// Replaces a process's state by that of a freshly started node.
    ///
    /// The incarnation stays the same, so the checks must report the rules going back.
    pub fn forget_rules(&mut self, h: usize) {
        let effects = self.hosts[h].reset_state(self.now);
        self.checks.check_rules(self.now, &self.hosts[h]);
        self.execute_all(h, effects);
    }

    /// Requests a graceful shutdown of a process.
    pub fn shut_down(&mut self, h: usize) {
        self.deliver(h, Event::Shutdown);
    }

    /// Disconnects a host from the key-value service until `until`.
    pub fn cut_store(&mut self, h: usize, until: Time) {
        self.hosts[h].store_unreachable_until = until;
        self.hosts[h].disturb(until);
        self.store.unwatch(h);
        self.deliver(h, Event::WatchBroken);
    }

    /// Disconnects a host from its peers until `until`.
    pub fn cut_peers(&mut self, h: usize, until: Time) {
        self.hosts[h].peers_unreachable_until = until;
        self.hosts[h].disturb(until);
    }

    /// Cuts hosts off from all upstreams until `until`.
    pub fn cut_upstreams(&mut self, hosts: &[usize], loss: LinkLoss, until: Time) {
        self.partitions.record(hosts, self.now, until);
        for h in hosts {
            self.hosts[*h].upstreams_cut = Some(HostCut { loss, from: self.now, until });
            self.break_attempts(*h, loss);
        }
    }

    /// Sets the mode of the key-value service; an outage breaks every watch.
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
        self.checks.record_document(&document, self.now);
        let record = Some(Record::Document(document.into()));
        let answer = self.store.write(&key, expect, record, None, None);
        debug_assert!(matches!(answer, StoreAnswer::Written(_)), "the document has no other writer");
        self.notify_watchers();
    }

    /// Marks an upstream as leaving on the host list.
    pub fn mark_leaving(&mut self, id: &UpstreamId) {
        for upstream in self.host_list.iter_mut().filter(|u| u.id == *id) {
            upstream.status = UpstreamStatus::Leaving;
        }
        self.checks.marked_leaving(id, self.now);
    }

    /// Makes the host list show new incarnations of replicas, and those that have ended after `lag`.
    pub const fn list_terminations(&mut self, lag: Duration) {
        self.termination_listed_after = Some(lag);
    }

    /// Returns how many upstreams the requests with a digest have crashed.
    pub fn crashes(&self, request: Digest) -> usize {
        self.crashes.crashes(request)
    }

    /// Makes each replica crash that begins an answer on a prompt part.
    pub fn set_fatal(&mut self, part: Digest, at: CrashPoint) {
        self.parts.set_fatal(part, at);
    }

    /// Returns how many replicas a prompt part has crashed.
    pub fn crashes_of_part(&self, part: Digest) -> usize {
        self.parts.crashes(part)
    }

    /// Makes upstreams brittle: each runs `concurrency` requests at a time, and falls over when it has to
    /// reject more than `limit` within a second.
    pub fn set_brittle(&mut self, ids: &[UpstreamId], limit: u32, concurrency: usize) {
        self.brittle.begin(self.now, ids, limit, concurrency);
    }

    /// Sets whether an upstream rejects all requests for want of room.
    pub fn set_overloaded(&mut self, id: &UpstreamId, is_overloaded: bool) {
        if is_overloaded {
            self.overloaded.insert(id.clone());
        } else {
            self.overloaded.remove(id);
        }
    }

    /// Removes an upstream from the host list and crashes it for good.
    pub fn reclaim(&mut self, id: &UpstreamId) {
        self.host_list.retain(|u| u.id != *id);
        self.crash_engine(id, None);
    }

    /// Crashes an engine; it restarts empty after `down`, or never if `None`.
    pub fn crash_engine(&mut self, id: &UpstreamId, down: Option<Duration>) {
        let Some(engine) = self.engines.get_mut(id) else { return };
        let lost = engine.crash(self.now);
        for run in lost {
            let outcome = self.crash_outcome(&run);
            self.end_run(&run, outcome);
        }
        if let Some(down) = down {
            self.schedule.add(self.now.after(down), Task::EngineUp { engine: id.clone() });
        }
    }

    /// Returns a host's node if its process runs.
    pub fn node(&self, h: usize) -> Option<&skylarkshore_core::Node> {
        self.hosts[h].node.as_ref()
    }

    /// Reports whether every running process applies the rules of `revision` or later.
    pub fn rules_in_force(&self, revision: RulesRevision) -> bool {
        self.hosts
            .iter()
            .filter_map(|host| host.node.as_ref())
            .all(|node| node.document().revision >= revision)
    }

    /// Returns the resource usage of a host since the last reset.
    pub fn meter(&self, h: usize) -> &Meter {
        &self.hosts[h].meter
    }

    /// Resets all meters, for instance after startup.
    pub fn reset_meters(&mut self) {
        for host in &mut self.hosts {
            host.meter = Meter::default();
        }
    }

    /// Returns the total time that engines held a model without running a request.
    pub fn idle(&mut self) -> Duration {
        let now = self.now;
        self.engines.values_mut().map(|engine| engine.idle_time(now)).sum()
    }

    /// Reports whether a host's process has shut down gracefully.
    pub fn has_exited(&self, h: usize) -> bool {
        self.hosts[h].exited
    }

    /// Returns the state dump of a host, to diagnose a failed test.
    pub fn dump(&mut self, h: usize) -> Vec<skylarkshore_core::dump::DumpEntry> {
        let now = self.now;
        self.hosts[h].node.as_mut().map(|node| node.dump(now)).unwrap_or_default()
    }

    fn start_host(&mut self, h: usize) {
        self.hosts[h].disturb(self.now);
        let effects = self.hosts[h].start(self.now);
        let life = self.hosts[h].life;
        let phase = Duration::from_millis(7 * (h as u64 + 1));
        self.schedule.add(self.now.after(phase), Task::Tick { host: h, life });
        self.schedule.add(self.now.after(phase), Task::HostList { host: h, life });
        self.execute_all(h, effects);
    }

    fn run_task(&mut self, task: Task) {
        match task {
            Task::Tick { host, life } => self.tick(host, life),
            Task::HostList { host, life } => self.read_host_list(host, life),
            Task::Event { to, event } => {
                if self.hosts[to.host].life == to.life {
                    self.deliver(to.host, event);
                }
            }
            Task::Resume { host } => self.resume(host),
            Task::Restart { host } => {
                if self.hosts[host].node.is_none() {
                    self.start_host(host);
                }
            }
            Task::ExpireLeases => {
                self.store.expire_leases(self.now);
                self.notify_watchers();
                self.schedule.add(self.now.after(LEASE_CHECK_INTERVAL), Task::ExpireLeases);
            }
            Task::AttemptEnded { from, attempt, end, forwarded } => {
                self.deliver_end(from, attempt, end, forwarded);
            }
            Task::AttemptFails { from, attempt, end } => self.attempt_ended(from, attempt, end),
            Task::StoreUp => self.set_store_mode(StoreMode::Up),
            Task::StoreTimeout { from, call } => self.store_answered(from, call, Err(StoreFailure::Unknown)),
            Task::Crash { engine } => self.crash_and_restart(&engine),
            Task::EngineUp { engine } => {
                if let Some(engine) = self.engines.get_mut(&engine) {
                    engine.restart(self.now);
                }
            }
            Task::Store(call) => self.handle_store_call(call),
            Task::Order(order) => self.handle_order(&order),
            Task::ReportRequest { from, engine, asked } => self.handle_report_request(from, &engine, asked),
            Task::ReplicaUp { replica } => self.restart_replica(&replica),
            Task::Delist { replica, incarnation } => self.delist(&replica, incarnation),
            Task::StartRun(start) => self.start_run(start),
            Task::AttemptTimeout { from, attempt } => self.time_out(from, attempt),
            Task::LoadDone { engine, incarnation, model } => {
                if let Some(engine) = self.engines.get_mut(&engine) {
                    engine.load_done(incarnation, &model, self.now);
                }
            }
            Task::RunStarted { upstream, run } => self.run_started(&upstream, run),
            Task::RunDone { upstream, run } => self.run_done(&upstream, run),
            Task::FatalEvent { upstream, run, part } => self.end_fatal_answer(&upstream, run, part),
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
        self.schedule.add(self.now.after(self.setup.tick), Task::Tick { host: h, life });
    }

    fn read_host_list(&mut self, h: usize, life: u64) {
        if self.hosts[h].life != life || self.hosts[h].node.is_none() {
            return;
        }
        self.deliver(h, Event::HostList(self.host_list.clone()));
        self.schedule.add(self.now.after(HOST_LIST_INTERVAL), Task::HostList { host: h, life });
    }

    fn resume(&mut self, h: usize) {
        let Some(pause) = self.hosts[h].resume() else { return };
        for effect in pause.deferred_effects {
            self.execute(h, effect, Strike::None);
        }
        for event in pause.held_events {
            self.deliver(h, event);
        }
    }

    pub(crate) fn deliver(&mut self, h: usize, event: Event) {
        let effects = self.hosts[h].handle(self.now, event);
        self.checks.check_rules(self.now, &self.hosts[h]);
        self.execute_all(h, effects);
    }

    fn notify_watchers(&mut self) {
        for update in self.store.take_updates() {
            let to = self.hosts[update.host].sender();
            let event = Event::Watched { changes: update.changes, upto: update.upto };
            self.schedule.add(self.now.after(LATENCY), Task::Event { to, event });
        }
    }

    /// Runs the final checks: every request of a running process that is due must have its final answer,
    /// the retries must have kept to the shared budget, and hosts that were cut off from the upstreams must
    /// have served their callers, brittle upstreams must have fallen over rarely, requests that crash
    /// upstreams must not have been sent on, and streams must have gone on at their software version.
    pub fn finish(&mut self) {
        self.checks.check_at_end(self.now, &self.callers);
        let retries = self.retries.violations(self.setup.limits.retries, &self.callers);
        let partitions = self.partitions.violations(&self.callers);
        let crashes = self.crashes.violations();
        let parts = self.parts.violations(&self.callers);
        let streams = self.streams.violations(&self.callers);
        let found = retries
            .into_iter()
            .chain(partitions)
            .chain(crashes)
            .chain(parts)
            .chain(streams)
            .chain(self.brittle.violation());
        for violation in found {
            self.checks.report(violation.at, violation.what);
        }
    }

    /// Returns the key-value service's revision.
    pub const fn store_revision(&self) -> StoreRevision {
        self.store.revision()
    }
}
