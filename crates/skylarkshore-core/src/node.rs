//! State machine of one process: dispatches each event to the subsystems in a fixed order.
//!
//! [`Node`] is the entry point.

mod documents;
mod homes;
mod model_names;
mod paths;

use std::sync::Arc;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::authority::OwnershipChange;
use crate::catalogue::Document;
use crate::config::NodeConfig;
use crate::control::Control;
use crate::cx::{Counters, Cx};
use crate::dump::{DumpEntry, Gauge};
use crate::effect::Effect;
use crate::event::Event;
use crate::id::{CallId, HostId, StoreEra, StoreRevision};
use crate::list_knowledge::ListKnowledge;
use crate::loading::Loading;
use crate::peer::{Envelope, PeerMessage};
use crate::removal_grace::{GraceTerms, RemovalGrace};
use crate::rules::MinuteOfDay;
use crate::serving::Serving;
use crate::store::{
    Key, RecordBatch, StoreAnswer, StoreCache, StoreResult, Versioned, WriteOutcome, WriteQueue, WriteRequest,
};
use crate::time::Time;
use crate::upstream::{UpstreamChanges, UpstreamList};
use crate::upstream_paths::UpstreamPaths;

/// State machine of one process.
#[derive(Debug)]
pub struct Node {
    cfg: NodeConfig,
    minute_of_day: MinuteOfDay,
    document: Arc<Document>,
    cache: StoreCache,
    upstreams: UpstreamList,
    list: ListKnowledge,
    removal_grace: RemovalGrace,
    counters: Counters,
    rng: SmallRng,
    write_queue: WriteQueue,
    control: Control,
    loading: Loading,
    serving: Serving,
    paths: UpstreamPaths,
    /// The era of the key-value service, once it is known.
    era: Option<StoreEra>,
    shutdown: Shutdown,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Shutdown {
    NotRequested,
    /// Requests are still accepted, because callers may use a cached address of this host until `until`.
    AwaitingAddressExpiry {
        until: Time,
    },
    /// No new connections and requests are accepted, and queued requests are refused. The process exits once
    /// its running requests are completed, its engines handed over if possible, and its lease ended.
    Draining,
    Exited,
}

/// Subsystems that an event handler may modify, alongside its context.
struct Parts<'a> {
    write_queue: &'a mut WriteQueue,
    control: &'a mut Control,
    loading: &'a mut Loading,
    serving: &'a mut Serving,
    paths: &'a mut UpstreamPaths,
}

impl Node {
    /// Creates the state of a process and returns it with its initial effects.
    pub fn start(cfg: NodeConfig, now: Time) -> (Self, Vec<Effect>) {
        let mut node = Self {
            minute_of_day: MinuteOfDay::default(),
            document: Arc::new(Document { rules: cfg.default_rules.clone(), ..Document::default() }),
            cache: StoreCache::default(),
            upstreams: UpstreamList::default(),
            list: ListKnowledge::default(),
            removal_grace: RemovalGrace::new(),
            counters: Counters::default(),
            rng: SmallRng::seed_from_u64(cfg.seed),
            write_queue: WriteQueue::default(),
            control: Control::new(&cfg),
            loading: Loading::new(&cfg),
            serving: Serving::new(&cfg),
            paths: UpstreamPaths::new(),
            era: None,
            shutdown: Shutdown::NotRequested,
            cfg,
        };
        let mut effects = Vec::new();
        node.with_cx(now, &mut effects, |cx, parts| parts.control.start(cx));
        (node, effects)
    }

    /// Handles an event and returns the effects to execute.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        let switched = self.with_cx(now, &mut effects, |cx, parts| {
            let switched = parts.paths.observe(cx, &event);
            parts.serving.follow_links(parts.paths.links());
            switched
        });
        self.dispatch(now, event, &mut effects);
        self.adopt_start();
        self.list.on_complete(self.control.complete_at(), self.cfg.is_first_start);
        if switched.is_some() {
            self.with_cx(now, &mut effects, |cx, parts| parts.serving.on_paths_switched(cx));
        }
        self.apply_ownership_changes(now, &mut effects);
        self.deliver_messages_to_self(now, &mut effects);
        self.remove_pools(&mut effects);
        self.choose_paths(now, effects)
    }

    /// Returns the active operator document (rules and catalogue).
    pub fn document(&self) -> &Arc<Document> {
        &self.document
    }

    /// Returns the process's configuration.
    pub const fn config(&self) -> &NodeConfig {
        &self.cfg
    }

    /// Returns the local cache of the shared keys: every [`Key`] but [`Key::Once`].
    pub const fn cache(&self) -> &StoreCache {
        &self.cache
    }

    /// Returns the time of which no earlier change of a shared key is missing here; `None` while that isn't known.
    pub const fn complete_at(&self) -> Option<Time> {
        self.control.complete_at()
    }

    /// Returns up to when the host list is known, and since when nothing of it was missed.
    pub const fn list_knowledge(&self) -> ListKnowledge {
        self.list
    }

    /// Returns the upstreams (engines and service replicas), which the host list names.
    pub const fn upstreams(&self) -> &UpstreamList {
        &self.upstreams
    }

    /// Reports whether shutdown has been requested.
    pub fn is_leaving(&self) -> bool {
        self.shutdown != Shutdown::NotRequested
    }

    /// Reports whether another process acts, or may act, under this host's name.
    pub fn is_on_standby(&self) -> bool {
        self.control.is_on_standby()
    }

    /// Reports whether the process has a document and upstreams, isn't shutting down and is the only one of
    /// its host.
    pub fn is_ready(&self) -> bool {
        !self.is_leaving()
            && !self.is_on_standby()
            && self.document.is_configured()
            && !self.upstreams.is_empty()
    }

    /// Returns the state dump.
    pub fn dump(&mut self, now: Time) -> Vec<DumpEntry> {
        self.with_cx(now, &mut Vec::new(), |cx, parts| {
            let mut entries = parts.control.dump(cx);
            entries.extend(parts.loading.dump(cx));
            entries.extend(parts.serving.dump(cx));
            entries
        })
    }

    /// Returns the current gauge metrics.
    pub fn gauges(&mut self, now: Time) -> Vec<Gauge> {
        self.with_cx(now, &mut Vec::new(), |cx, parts| {
            let mut gauges = parts.control.gauges(cx);
            gauges.extend(parts.loading.gauges(cx));
            gauges.extend(parts.serving.gauges(cx));
            gauges
        })
    }

    fn dispatch(&mut self, now: Time, event: Event, effects: &mut Vec<Effect>) {
        match event {
            Event::Tick { at } => self.on_tick(now, at, effects),
            Event::Settings(settings) => {
                self.cfg.timings = settings.timings;
                self.cfg.limits = settings.limits;
                self.control.configure(&self.cfg);
            }
            Event::Shutdown => self.on_shutdown(now, effects),
            Event::HostList(list) => {
                self.list.on_list(now, self.cfg.is_first_start);
                let terms = self.grace_terms();
                let changes = self.removal_grace.changes_for_list(now, terms, list, &self.upstreams);
                self.apply_upstream_changes(now, changes, effects);
            }
            Event::Upstreams(changes) => {
                let terms = self.grace_terms();
                let changes = self.removal_grace.filter_changes(now, terms, changes, &self.upstreams);
                self.apply_upstream_changes(now, changes, effects);
            }
            Event::Store { call, result } => self.on_store_result(now, call, &result, effects),
            Event::Watched { changes, upto } => {
                self.apply_records(now, changes.clone(), effects);
                self.with_cx(now, effects, |cx, parts| parts.control.on_watched(cx, changes, upto));
            }
            Event::NewsRead(news) => {
                self.removal_grace.record_store_answer(now, now, self.grace_terms());
                self.with_cx(now, effects, |cx, parts| parts.control.on_news_read(cx, &news));
            }
            Event::NewsSkipped(news) => {
                self.with_cx(now, effects, |cx, parts| parts.control.on_news_skipped(cx, &news));
            }
            Event::State { upto, records } => {
                self.apply_snapshot(now, upto, records, effects);
                self.with_cx(now, effects, |cx, parts| parts.control.on_snapshot(cx, upto));
            }
            Event::UnknownPeer { host } => {
                self.with_cx(now, effects, |cx, parts| parts.control.on_unknown_peer(cx, &host));
            }
            Event::NewsMissed { lasts } => {
                self.with_cx(now, effects, |cx, parts| parts.control.on_news_gap(cx, lasts));
            }
            Event::StoreEra(era) => self.observe_era(now, era, effects),
            Event::WatchTimedOut => {
                self.removal_grace.record_store_failure();
                self.control.on_watch_timed_out();
            }
            Event::WatchBroken => {
                self.removal_grace.record_store_failure();
                self.with_cx(now, effects, |cx, parts| parts.control.on_watch_broken(cx));
            }
            Event::Peer { from, message } => self.on_peer(now, &from, message, effects),
            Event::PeerConnectionRefused { host, incarnation } => {
                self.with_cx(now, effects, |cx, parts| {
                    parts.control.on_peer_connection_refused(cx, &host, incarnation);
                });
            }
            Event::Order { upstream, order, answer } => {
                self.with_cx(now, effects, |cx, parts| {
                    parts.loading.on_order(cx, &*parts.control, &upstream, order, &answer);
                });
            }
            Event::Report { upstream, asked, report } => self.with_cx(now, effects, |cx, parts| {
                parts.control.on_report(cx, &upstream, report.is_some());
                parts.loading.on_report(cx, &*parts.control, &upstream, asked, report.as_ref());
            }),
            Event::Arrived { request, arrival } => {
                self.with_cx(now, effects, |cx, parts| parts.serving.on_arrived(cx, request, arrival));
            }
            Event::CallerGone { request } => {
                self.with_cx(now, effects, |cx, parts| parts.serving.on_caller_gone(cx, request));
            }
            // Where this host's links are lost, the result says nothing of the upstream.
            Event::UpstreamProbed { upstream, reached } => {
                self.with_cx(now, effects, |cx, parts| {
                    if parts.paths.reaches_directly(&upstream) {
                        parts.serving.on_probed(cx, &upstream, reached);
                    }
                });
            }
            Event::UpstreamNoticed { upstream, incarnation, via, notice } => {
                self.with_cx(now, effects, |cx, parts| {
                    parts.serving.on_noticed(cx, &upstream, incarnation, via.as_ref(), &notice);
                    if notice.is_leaving {
                        parts.loading.on_upstream_leaving(&upstream);
                    }
                });
            }
            Event::AnswerStarted { attempt } => {
                self.with_cx(now, effects, |cx, parts| parts.serving.on_answer_started(cx, attempt));
            }
            Event::AttemptEnded { attempt, end } => {
                self.with_cx(now, effects, |cx, parts| parts.serving.on_attempt_ended(cx, attempt, end));
            }
        }
    }

    /// Takes over what is known of earlier starts of this host: its number must be above theirs, and the
    /// system has run before.
    fn adopt_start(&mut self) {
        if let Some(incarnation) = self.control.raised_incarnation(self.cfg.incarnation) {
            self.cfg.incarnation = incarnation;
            self.control.configure(&self.cfg);
        }
        if self.cfg.is_first_start && self.control.has_earlier_start() {
            self.cfg.is_first_start = false;
            self.list.on_earlier_start();
        }
    }

    /// Takes note of the service's era; with a new one begins what was decided by the earlier ones anew.
    fn observe_era(&mut self, now: Time, era: StoreEra, effects: &mut Vec<Effect>) {
        let Some(before) = self.era.replace(self.era.map_or(era, |known| known.max(era))) else { return };
        if era <= before {
            return;
        }
        // Upstreams that the copy lacks register again.
        self.removal_grace.record_lost_entries(now);
        self.with_cx(now, effects, |cx, parts| {
            cx.log_event("store_era_begun", era, format!("before={before}"));
            parts.control.on_new_era(cx, era);
            parts.serving.on_new_era();
        });
    }

    fn on_store_result(&mut self, now: Time, call: CallId, result: &StoreResult, effects: &mut Vec<Effect>) {
        match result {
            Ok(_) => self.removal_grace.record_store_answer(now, now, self.grace_terms()),
            Err(_failure) => self.removal_grace.record_store_failure(),
        }
        if let Ok(StoreAnswer::Shared { revision, records }) = result {
            self.apply_snapshot(now, *revision, records.clone(), effects);
        }
        // The cache holds only shared keys; `Key::Once` belongs to a single request.
        if let Ok(StoreAnswer::One(found)) = result
            && !matches!(found.key, Key::Once(_))
        {
            self.apply_records(now, vec![found.clone()], effects);
        }
        let outcome = self.with_cx(now, effects, |cx, parts| {
            parts.control.on_store_result(cx, call, result);
            parts.serving.on_store(cx, call, result);
            parts.write_queue.on_result(cx, call, result)
        });
        if let Some((key, outcome)) = outcome {
            self.on_write_outcome(now, &key, &outcome, effects);
        }
    }

    fn on_tick(&mut self, now: Time, minute_of_day: MinuteOfDay, effects: &mut Vec<Effect>) {
        self.minute_of_day = minute_of_day;
        let outcomes = self.with_cx(now, effects, |cx, parts| parts.write_queue.on_tick(cx));
        for (key, outcome) in outcomes {
            self.on_write_outcome(now, &key, &outcome, effects);
        }
        self.remove_missing_upstreams(now, effects);
        self.with_cx(now, effects, |cx, parts| {
            parts.control.on_tick(cx, &*parts.loading);
            parts.loading.on_tick(cx, &*parts.control);
            let is_stranded = parts.paths.is_stranded(cx);
            parts.serving.set_stranded(cx, is_stranded);
            parts.serving.set_on_standby(cx, parts.control.is_on_standby());
            parts.serving.on_tick(cx);
        });
        self.exit_when_done(now, effects);
    }

    fn on_shutdown(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if self.is_leaving() {
            return;
        }
        self.shutdown = Shutdown::AwaitingAddressExpiry { until: now.after(self.cfg.timings.entry_kept) };
        self.with_cx(now, effects, |cx, parts| {
            parts.control.on_shutdown(cx);
            parts.serving.on_shutdown(cx);
        });
    }

    /// Stops accepting requests when callers' cached addresses have expired, and exits when no request is in
    /// progress and this process is deregistered.
    fn exit_when_done(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if let Shutdown::AwaitingAddressExpiry { until } = self.shutdown
            && until.is_due(now)
        {
            self.shutdown = Shutdown::Draining;
            effects.push(Effect::CloseIntake);
            self.with_cx(now, effects, |cx, parts| parts.serving.on_intake_closed(cx));
        }
        if self.shutdown != Shutdown::Draining || !self.serving.is_idle() {
            return;
        }
        self.with_cx(now, effects, |cx, parts| parts.control.on_drained(cx));
        if self.control.has_deregistered() {
            self.shutdown = Shutdown::Exited;
            effects.push(Effect::Exit);
        }
    }

    const fn grace_terms(&self) -> GraceTerms {
        let timings = &self.cfg.timings;
        GraceTerms { grace: timings.list_grace, heartbeat: timings.upstream_heartbeat }
    }

    fn remove_missing_upstreams(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let gone = self.removal_grace.take_expired(now, self.grace_terms());
        let gone = gone.into_iter().collect();
        self.apply_upstream_changes(now, UpstreamChanges { changed: Vec::new(), gone }, effects);
    }

    fn apply_upstream_changes(&mut self, now: Time, changes: UpstreamChanges, effects: &mut Vec<Effect>) {
        let updated = self.upstreams.apply(changes);
        if updated.is_empty() {
            return;
        }
        if self.document.catalogue.has_namesakes() {
            self.assign_all_homes(now, effects);
        }
        self.with_cx(now, effects, |cx, parts| {
            parts.control.on_host_list(cx, &updated);
            parts.serving.on_host_list(cx, &updated);
        });
    }

    fn on_peer(&mut self, now: Time, from: &HostId, mut message: PeerMessage, effects: &mut Vec<Effect>) {
        // A process that was replaced must neither lend, grant nor forward anything.
        if self.control.is_superseded() {
            return;
        }
        self.add_pools(&mut message);
        if let PeerMessage::Heartbeat { store, .. } = &message
            && *store > StoreRevision(0)
        {
            self.observe_era(now, store.era(), effects);
        }
        if let PeerMessage::Records(batch) = message {
            self.apply_batch(now, from, batch, effects);
            return;
        }
        if let PeerMessage::UpstreamsReached { reached } = message {
            let switched = self.with_cx(now, effects, |cx, parts| {
                let switched = parts.paths.on_notice(cx, from, reached);
                parts.serving.follow_links(parts.paths.links());
                switched
            });
            if switched.is_some() {
                self.with_cx(now, effects, |cx, parts| parts.serving.on_paths_switched(cx));
            }
            return;
        }
        // Only the platform adapter can decode news; the changes return in `Event::Watched`.
        if let PeerMessage::News(news) = &message {
            // A peer that has read everything relays what it found as news without an age.
            match news.age {
                Some(age) => {
                    self.removal_grace.record_store_answer(now, now.before(age), self.grace_terms());
                }
                None => self.list.on_replaced(),
            }
            effects.push(Effect::ApplyNews(news.clone()));
        }
        // Control relays a broadcast; its inner message is then handled as if it came from the origin.
        if let PeerMessage::Spread { origin, message: inner } = &message {
            let is_from_self = *origin == self.cfg.host;
            let inner = (**inner).clone();
            self.with_cx(now, effects, |cx, parts| parts.control.on_peer(cx, from, &message));
            if !is_from_self {
                self.on_peer(now, &origin.clone(), inner, effects);
            }
            return;
        }
        self.with_cx(now, effects, |cx, parts| {
            parts.control.on_peer(cx, from, &message);
            parts.loading.on_peer(cx, &*parts.control, from, &message);
            parts.serving.on_peer(cx, from, &message);
        });
    }

    fn apply_batch(&mut self, now: Time, from: &HostId, batch: RecordBatch, effects: &mut Vec<Effect>) {
        let RecordBatch { after, upto, records } = batch;
        // Without `after`, the batch holds every shared key.
        if after.is_some() {
            self.apply_records(now, records, effects);
        } else {
            self.apply_snapshot(now, upto, records, effects);
        }
        self.with_cx(now, effects, |cx, parts| parts.control.on_records(cx, from, after, upto));
    }

    fn apply_snapshot(
        &mut self,
        now: Time,
        revision: StoreRevision,
        records: Vec<Versioned>,
        effects: &mut Vec<Effect>,
    ) {
        self.list.on_replaced();
        let changed = self.cache.apply_snapshot(revision, records);
        self.notify_changed_keys(now, &changed, effects);
    }

    fn apply_records(&mut self, now: Time, records: Vec<Versioned>, effects: &mut Vec<Effect>) {
        let mut changed = Vec::new();
        for record in records {
            let key = record.key.clone();
            if self.cache.apply(record) {
                changed.push(key);
            }
        }
        self.notify_changed_keys(now, &changed, effects);
    }

    fn on_write_outcome(&mut self, now: Time, key: &Key, outcome: &WriteOutcome, effects: &mut Vec<Effect>) {
        if matches!(key, Key::Once(_)) {
            self.with_cx(now, effects, |cx, parts| parts.serving.on_write(cx, key, outcome));
            return;
        }
        if let WriteOutcome::Done(found) | WriteOutcome::Conflict(found) = outcome {
            self.apply_records(now, vec![found.clone()], effects);
        }
        self.with_cx(now, effects, |cx, parts| parts.control.on_write_outcome(cx, key, outcome));
    }

    fn notify_changed_keys(&mut self, now: Time, changed: &[Key], effects: &mut Vec<Effect>) {
        for key in changed {
            match key {
                Key::Document | Key::Catalogue => {
                    self.activate_newer_document(now, effects);
                    self.assign_all_homes(now, effects);
                    self.notify_key(now, key, effects);
                }
                Key::Homes(named) => self.assign_homes(now, named, effects),
                _ => self.notify_key(now, key, effects),
            }
        }
        if self.control.is_superseded() {
            self.write_queue.discard_shared();
        }
    }

    fn notify_key(&mut self, now: Time, key: &Key, effects: &mut Vec<Effect>) {
        self.with_cx(now, effects, |cx, parts| {
            parts.control.on_key_change(cx, key);
            parts.serving.on_change(cx, key);
        });
    }

    fn apply_ownership_changes(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let changes: Vec<OwnershipChange> = self.control.take_changes();
        for change in changes {
            self.with_cx(now, effects, |cx, parts| parts.loading.on_ownership(cx, &change));
        }
    }

    fn deliver_messages_to_self(&mut self, now: Time, effects: &mut Vec<Effect>) {
        loop {
            self.with_cx(now, effects, |cx, parts| parts.serving.report_slots(cx));
            let to_self = |effect: &mut Effect| matches!(effect, Effect::Peer(e) if e.to == self.cfg.host);
            let local: Vec<Effect> = effects.extract_if(.., to_self).collect();
            if local.is_empty() {
                return;
            }
            let from = self.cfg.host.clone();
            for effect in local {
                if let Effect::Peer(Envelope { message, .. }) = effect {
                    self.on_peer(now, &from, message, effects);
                }
            }
        }
    }

    fn with_cx<T>(
        &mut self,
        now: Time,
        effects: &mut Vec<Effect>,
        f: impl FnOnce(&mut Cx<'_>, Parts<'_>) -> T,
    ) -> T {
        let mut write_requests: Vec<WriteRequest> = Vec::new();
        let mut cx = Cx {
            now,
            at: self.minute_of_day,
            cfg: &self.cfg,
            document: &self.document,
            cache: &self.cache,
            upstreams: &self.upstreams,
            list: self.list,
            effects,
            writes: &mut write_requests,
            counters: &mut self.counters,
            rng: &mut self.rng,
        };
        let parts = Parts {
            write_queue: &mut self.write_queue,
            control: &mut self.control,
            loading: &mut self.loading,
            serving: &mut self.serving,
            paths: &mut self.paths,
        };
        let value = f(&mut cx, parts);
        for req in std::mem::take(cx.writes) {
            self.write_queue.begin(&mut cx, req);
        }
        value
    }
}
