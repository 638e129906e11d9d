//! One process's state, and the order in which its parts hear of an event.

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
use crate::id::{HostId, StoreRevision};
use crate::listing::Listing;
use crate::loading::Loading;
use crate::peer::{Envelope, PeerMessage};
use crate::rules::MinuteOfDay;
use crate::serving::Serving;
use crate::store::{
    Key, Record, RecordBatch, StoreAnswer, StoreCache, Versioned, WriteOutcome, WriteQueue, WriteRequest,
};
use crate::time::Time;
use crate::upstream::{UpstreamChanges, UpstreamList};

/// One process's state.
#[derive(Debug)]
pub struct Node {
    cfg: NodeConfig,
    at: MinuteOfDay,
    document: Arc<Document>,
    cache: StoreCache,
    upstreams: UpstreamList,
    listing: Listing,
    counters: Counters,
    rng: SmallRng,
    writes: WriteQueue,
    control: Control,
    loading: Loading,
    serving: Serving,
    shutdown: Shutdown,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Shutdown {
    No,
    /// Callers may still hold this host's address until the time.
    Draining {
        until: Time,
    },
    /// No new requests come in any more.
    Closed,
    Exited,
}

/// The parts that a decision changes, beside the surroundings that it reads.
struct Parts<'a> {
    writes: &'a mut WriteQueue,
    control: &'a mut Control,
    loading: &'a mut Loading,
    serving: &'a mut Serving,
}

impl Node {
    /// Makes a process's state and the effects with which it starts.
    pub fn start(cfg: NodeConfig, now: Time) -> (Self, Vec<Effect>) {
        let mut node = Self {
            at: MinuteOfDay::default(),
            document: Arc::new(Document { rules: cfg.default_rules.clone(), ..Document::default() }),
            cache: StoreCache::default(),
            upstreams: UpstreamList::default(),
            listing: Listing::new(),
            counters: Counters::default(),
            rng: SmallRng::seed_from_u64(cfg.seed),
            writes: WriteQueue::default(),
            control: Control::new(&cfg),
            loading: Loading::new(&cfg),
            serving: Serving::new(&cfg),
            shutdown: Shutdown::No,
            cfg,
        };
        let mut effects = Vec::new();
        node.with(now, &mut effects, |cx, parts| parts.control.start(cx));
        (node, effects)
    }

    /// Takes an event and returns what has to be done.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.dispatch(now, event, &mut effects);
        self.hand_over_ownership(now, &mut effects);
        self.take_own_messages(now, &mut effects);
        effects
    }

    /// Returns the operators' document in force.
    pub fn document(&self) -> &Arc<Document> {
        &self.document
    }

    /// Returns what the process was told about itself.
    pub const fn config(&self) -> &NodeConfig {
        &self.cfg
    }

    /// Returns the shared keys as this process knows them.
    pub const fn cache(&self) -> &StoreCache {
        &self.cache
    }

    /// Returns the host list as last read.
    pub const fn upstreams(&self) -> &UpstreamList {
        &self.upstreams
    }

    /// Tells whether the process has been asked to end.
    pub fn is_leaving(&self) -> bool {
        self.shutdown != Shutdown::No
    }

    /// Tells whether the process knows enough to serve.
    pub fn is_ready(&self) -> bool {
        !self.is_leaving() && self.document.is_configured() && !self.upstreams.is_empty()
    }

    /// Tells what the process believes.
    pub fn dump(&mut self, now: Time) -> Vec<DumpEntry> {
        self.with(now, &mut Vec::new(), |cx, parts| {
            let mut beliefs = parts.control.dump(cx);
            beliefs.extend(parts.loading.dump(cx));
            beliefs.extend(parts.serving.dump(cx));
            beliefs
        })
    }

    /// Returns the numbers for the metrics.
    pub fn gauges(&mut self, now: Time) -> Vec<Gauge> {
        self.with(now, &mut Vec::new(), |cx, parts| {
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
                let grace = self.cfg.timings.list_grace;
                let changes = self.listing.compare(now, grace, list, &self.upstreams);
                self.change_upstreams(now, changes, effects);
            }
            Event::Upstreams(changes) => {
                let grace = self.cfg.timings.list_grace;
                let changes = self.listing.weigh(now, grace, changes, &self.upstreams);
                self.change_upstreams(now, changes, effects);
            }
            Event::Store { call, result } => {
                match &result {
                    Ok(_) => self.listing.answered(now),
                    Err(_failure) => self.listing.silent(),
                }
                if let Ok(StoreAnswer::Shared { revision, records }) = &result {
                    self.take_snapshot(now, *revision, records.clone(), effects);
                }
                if let Ok(StoreAnswer::Members(records)) = &result {
                    self.take_records(now, records.clone(), effects);
                }
                if let Ok(StoreAnswer::One(found)) = &result
                    && !matches!(found.key, Key::Once(_))
                {
                    self.take_records(now, vec![found.clone()], effects);
                }
                let ended = self.with(now, effects, |cx, parts| {
                    parts.control.on_store_result(cx, call, &result);
                    parts.serving.on_store(cx, call, &result);
                    parts.writes.on_result(cx, call, &result)
                });
                if let Some((key, outcome)) = ended {
                    self.on_written(now, &key, &outcome, effects);
                }
            }
            Event::Watched { changes, upto } => {
                self.take_records(now, changes.clone(), effects);
                self.with(now, effects, |cx, parts| parts.control.on_watched(cx, changes, upto));
            }
            Event::NewsRead(news) => {
                self.with(now, effects, |cx, parts| parts.control.on_news_read(cx, &news));
            }
            Event::State { upto, records } => {
                self.take_snapshot(now, upto, records, effects);
                self.with(now, effects, |cx, parts| parts.control.on_snapshot(cx, upto));
            }
            Event::UnknownPeer => {
                self.with(now, effects, |cx, parts| parts.control.on_unknown_peer(cx));
            }
            Event::NewsMissed { lasts } => {
                self.with(now, effects, |cx, parts| parts.control.on_news_gap(cx, lasts));
            }
            Event::WatchTimedOut => {
                self.listing.silent();
                self.control.on_watch_timed_out();
            }
            Event::WatchBroken => {
                self.listing.silent();
                self.with(now, effects, |cx, parts| parts.control.on_watch_broken(cx));
            }
            Event::Peer { from, message } => self.on_peer(now, &from, message, effects),
            Event::PeerConnectionRefused { host, incarnation } => {
                self.with(now, effects, |cx, parts| {
                    parts.control.on_peer_connection_refused(cx, &host, incarnation);
                });
            }
            Event::Order { upstream, order, answer } => {
                self.with(now, effects, |cx, parts| {
                    parts.loading.on_order(cx, &*parts.control, &upstream, order, &answer);
                });
            }
            Event::Report { upstream, asked, report } => self.with(now, effects, |cx, parts| {
                parts.control.on_report(cx, &upstream, report.is_some());
                parts.loading.on_report(cx, &*parts.control, &upstream, asked, report.as_ref());
            }),
            Event::Arrived { request, arrival } => {
                self.with(now, effects, |cx, parts| parts.serving.on_arrived(cx, request, arrival));
            }
            Event::CallerGone { request } => {
                self.with(now, effects, |cx, parts| parts.serving.on_caller_gone(cx, request));
            }
            Event::LoadReported { upstream, load } => {
                self.with(now, effects, |cx, parts| parts.serving.on_load_reported(cx, &upstream, load));
            }
            Event::AnswerStarted { attempt } => {
                self.with(now, effects, |cx, parts| parts.serving.on_answer_started(cx, attempt));
            }
            Event::AttemptEnded { attempt, end } => {
                self.with(now, effects, |cx, parts| parts.serving.on_attempt_ended(cx, attempt, end));
            }
        }
    }

    fn on_tick(&mut self, now: Time, at: MinuteOfDay, effects: &mut Vec<Effect>) {
        self.at = at;
        let ended = self.with(now, effects, |cx, parts| parts.writes.on_tick(cx));
        for (key, outcome) in ended {
            self.on_written(now, &key, &outcome, effects);
        }
        self.drop_gone_upstreams(now, effects);
        self.with(now, effects, |cx, parts| {
            parts.control.on_tick(cx, &*parts.loading);
            parts.loading.on_tick(cx, &*parts.control);
            parts.serving.on_tick(cx);
        });
        self.exit_when_done(now, effects);
    }

    fn on_shutdown(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if self.is_leaving() {
            return;
        }
        self.shutdown = Shutdown::Draining { until: now.after(self.cfg.timings.entry_kept) };
        self.with(now, effects, |cx, parts| {
            parts.control.on_shutdown(cx);
            parts.serving.on_shutdown(cx);
        });
    }

    /// Ends the process once callers' answers have run out, nothing is in progress and nothing is owned.
    fn exit_when_done(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if let Shutdown::Draining { until } = self.shutdown
            && until.is_due(now)
        {
            self.shutdown = Shutdown::Closed;
            effects.push(Effect::CloseIntake);
            self.with(now, effects, |cx, parts| parts.serving.on_intake_closed(cx));
        }
        if self.shutdown != Shutdown::Closed || !self.serving.is_idle() {
            return;
        }
        self.with(now, effects, |cx, parts| parts.control.on_drained(cx));
        if self.control.has_deregistered() {
            self.shutdown = Shutdown::Exited;
            effects.push(Effect::Exit);
        }
    }

    fn drop_gone_upstreams(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let gone = self.listing.take_gone(now, self.cfg.timings.list_grace);
        let gone = gone.into_iter().collect();
        self.change_upstreams(now, UpstreamChanges { changed: Vec::new(), gone }, effects);
    }

    fn change_upstreams(&mut self, now: Time, changes: UpstreamChanges, effects: &mut Vec<Effect>) {
        let touched = self.upstreams.apply(changes);
        if touched.is_empty() {
            return;
        }
        self.with(now, effects, |cx, parts| {
            parts.control.on_host_list(cx, &touched);
            parts.serving.on_host_list(cx, &touched);
        });
    }

    fn on_peer(&mut self, now: Time, from: &HostId, message: PeerMessage, effects: &mut Vec<Effect>) {
        if let PeerMessage::Records(batch) = message {
            self.take_batch(now, from, batch, effects);
            return;
        }
        if let PeerMessage::News(news) = &message {
            effects.push(Effect::ApplyNews(news.clone()));
        }
        if let PeerMessage::Spread { origin, message: inner } = &message {
            let is_own = *origin == self.cfg.host;
            let inner = (**inner).clone();
            self.with(now, effects, |cx, parts| parts.control.on_peer(cx, from, &message));
            if !is_own {
                self.on_peer(now, &origin.clone(), inner, effects);
            }
            return;
        }
        self.with(now, effects, |cx, parts| {
            parts.control.on_peer(cx, from, &message);
            parts.loading.on_peer(cx, &*parts.control, from, &message);
            parts.serving.on_peer(cx, from, &message);
        });
    }

    fn take_batch(&mut self, now: Time, from: &HostId, batch: RecordBatch, effects: &mut Vec<Effect>) {
        let RecordBatch { after, upto, records } = batch;
        if after.is_some() {
            self.take_records(now, records, effects);
        } else {
            self.take_snapshot(now, upto, records, effects);
        }
        self.with(now, effects, |cx, parts| parts.control.on_records(cx, from, after, upto));
    }

    fn take_snapshot(
        &mut self,
        now: Time,
        revision: StoreRevision,
        records: Vec<Versioned>,
        effects: &mut Vec<Effect>,
    ) {
        let changed = self.cache.apply_snapshot(revision, records);
        self.announce(now, &changed, effects);
    }

    fn take_records(&mut self, now: Time, records: Vec<Versioned>, effects: &mut Vec<Effect>) {
        let mut changed = Vec::new();
        for record in records {
            let key = record.key.clone();
            if self.cache.apply(record) {
                changed.push(key);
            }
        }
        self.announce(now, &changed, effects);
    }

    fn on_written(&mut self, now: Time, key: &Key, outcome: &WriteOutcome, effects: &mut Vec<Effect>) {
        if matches!(key, Key::Once(_)) {
            self.with(now, effects, |cx, parts| parts.serving.on_write(cx, key, outcome));
            return;
        }
        if let WriteOutcome::Done(found) | WriteOutcome::Conflict(found) = outcome {
            self.take_records(now, vec![found.clone()], effects);
        }
        self.with(now, effects, |cx, parts| parts.control.on_write_outcome(cx, key, outcome));
    }

    fn announce(&mut self, now: Time, changed: &[Key], effects: &mut Vec<Effect>) {
        for key in changed {
            if matches!(key, Key::Document | Key::Catalogue) {
                self.adopt_document();
            }
            self.with(now, effects, |cx, parts| {
                parts.control.on_key_change(cx, key);
                parts.serving.on_change(cx, key);
            });
        }
    }

    /// Puts the cached document and catalogue into force where their revisions are higher.
    ///
    /// A restored or stale key-value service can show an older document under a
    /// newer store revision. Operators would see refused rules act again; so
    /// the operators' own revision has to rise too.
    fn adopt_document(&mut self) {
        let mut document = Arc::clone(&self.document);
        if let Some(Record::Document(newer)) = self.record(&Key::Document)
            && newer.revision > document.revision
        {
            document = Arc::new(document.with_rules_of(newer));
        }
        if let Some(Record::Catalogue(newer)) = self.record(&Key::Catalogue)
            && newer.revision > document.catalogue_revision
        {
            document = Arc::new(document.with_catalogue(newer));
        }
        self.document = document;
    }

    fn record(&self, key: &Key) -> Option<&Record> {
        self.cache.get(key)?.record.as_ref()
    }

    fn hand_over_ownership(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let changes: Vec<OwnershipChange> = self.control.take_changes();
        for change in changes {
            self.with(now, effects, |cx, parts| parts.loading.on_ownership(cx, &change));
        }
    }

    fn take_own_messages(&mut self, now: Time, effects: &mut Vec<Effect>) {
        loop {
            let to_self = |effect: &mut Effect| matches!(effect, Effect::Peer(e) if e.to == self.cfg.host);
            let own: Vec<Effect> = effects.extract_if(.., to_self).collect();
            if own.is_empty() {
                return;
            }
            let from = self.cfg.host.clone();
            for effect in own {
                if let Effect::Peer(Envelope { message, .. }) = effect {
                    self.on_peer(now, &from, message, effects);
                }
            }
        }
    }

    fn with<T>(
        &mut self,
        now: Time,
        effects: &mut Vec<Effect>,
        f: impl FnOnce(&mut Cx<'_>, Parts<'_>) -> T,
    ) -> T {
        let mut wanted: Vec<WriteRequest> = Vec::new();
        let mut cx = Cx {
            now,
            at: self.at,
            cfg: &self.cfg,
            document: &self.document,
            cache: &self.cache,
            upstreams: &self.upstreams,
            effects,
            writes: &mut wanted,
            counters: &mut self.counters,
            rng: &mut self.rng,
        };
        let parts = Parts {
            writes: &mut self.writes,
            control: &mut self.control,
            loading: &mut self.loading,
            serving: &mut self.serving,
        };
        let value = f(&mut cx, parts);
        for req in std::mem::take(cx.writes) {
            self.writes.begin(&mut cx, req);
        }
        value
    }
}
