//! Executes the core's effects; those that wait for I/O run in tasks of their own.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use skylarkshore_core::collections::HashMap;
use skylarkshore_core::effect::{Decision, LogEvent, Refusal};
use skylarkshore_core::id::{AttemptId, CallId, HostId, Incarnation, RequestId, StoreRevision, UpstreamId};
use skylarkshore_core::peer::{Envelope, News, PeerMessage, StatePart};
use skylarkshore_core::store::{StoreCall, Versioned};
use skylarkshore_core::upstream::{OrderAnswer, Upstream, UpstreamList};
use skylarkshore_core::{Effect, Event};
use slog::{debug, info};
use tokio::task::AbortHandle;

use crate::connections::Connections;
use crate::driver::Inbox;
use crate::engines::{EngineOrder, EngineProtocol};
use crate::env::Env;
use crate::peers::Peers;
use crate::probe;
use crate::store::{BoxFuture, ChangeBatch, Store, WatchSink};
use crate::upstream_path::UpstreamPath;
use crate::upstreams::{Dispatch, Upstreams};

/// Executes the core's effects.
pub(crate) struct EffectExecutor {
    env: Env,
    store: Arc<dyn Store>,
    engines: Arc<dyn EngineProtocol>,
    upstreams: Upstreams,
    peers: Peers,
    connections: Arc<Connections>,
    /// The task that watches the key-value service.
    watch: Option<AbortHandle>,
    /// The tasks of the running attempts.
    attempts: HashMap<AttemptId, AbortHandle>,
}

struct InboxSink(Inbox);

impl WatchSink for InboxSink {
    fn on_changes(&self, batch: ChangeBatch) -> BoxFuture<'_, ()> {
        Box::pin(self.0.event(Event::Watched { changes: batch.changes, upto: batch.upto }))
    }

    fn on_own_read(&self, news: News) -> BoxFuture<'_, ()> {
        Box::pin(self.0.event(Event::NewsRead(news)))
    }

    fn on_peer_state(&self, upto: StoreRevision, records: Vec<Versioned>) -> BoxFuture<'_, ()> {
        Box::pin(self.0.event(Event::State { upto, records }))
    }

    fn on_news_gap(&self, lasts: bool) -> BoxFuture<'_, ()> {
        Box::pin(self.0.event(Event::NewsMissed { lasts }))
    }

    fn on_unanswered(&self) -> BoxFuture<'_, ()> {
        Box::pin(self.0.event(Event::WatchTimedOut))
    }
}

impl EffectExecutor {
    pub(crate) fn new(
        env: Env,
        store: Arc<dyn Store>,
        engines: Arc<dyn EngineProtocol>,
        upstreams: Upstreams,
        peers: Peers,
        connections: Arc<Connections>,
    ) -> Self {
        Self { env, store, engines, upstreams, peers, connections, watch: None, attempts: HashMap::default() }
    }

    /// Removes an attempt that has ended from the running ones, before the core handles the event.
    pub(crate) fn before_event(&mut self, event: &Event) {
        if let Event::AttemptEnded { attempt, .. } = event {
            self.attempts.remove(attempt);
        }
    }

    /// Executes one effect.
    pub(crate) fn execute(&mut self, effect: Effect, upstreams: &UpstreamList) {
        match effect {
            Effect::Store { call, request } => self.call_store(call, request),
            Effect::Watch { from } => self.watch(from),
            Effect::Unwatch => self.stop_watch(),
            Effect::ApplyNews(news) => self.store.queue_news(news),
            Effect::ApplyStatePart(part) => self.store.queue_state(part),
            Effect::ExtendStateWait => self.store.extend_state_wait(),
            Effect::ReadMissedNews => self.store.read_missed(),
            Effect::SendState { to, series, upto, age, records } => {
                let parts = self.store.state(series, upto, &records);
                self.send_state(&to, age, parts);
            }
            Effect::ReadNewsForOthers(is_wanted) => self.store.read_for_peers(is_wanted),
            Effect::Peer(envelope) => self.peers.send(envelope),
            Effect::Probe { host, incarnation, address } => self.probe(host, incarnation, address),
            Effect::Order { upstream, order, fence, not_after, after, action } => {
                let engine = upstreams.get(&upstream).cloned();
                self.order(upstream, engine, EngineOrder { order, fence, not_after, after, action });
            }
            Effect::RequestReport { upstream, via } => {
                let engine = upstreams.get(&upstream).cloned();
                self.request_report(upstream, engine, via);
            }
            Effect::ProbeUpstream { upstream } => {
                let address = upstreams.get(&upstream).map(|listed| listed.address);
                self.probe_upstream(upstream, address);
            }
            Effect::Send {
                request,
                attempt,
                upstream,
                deadline,
                order,
                resume,
                hold,
                once,
                keep_failure,
                withhold,
                via,
            } => {
                let Some(upstream) = upstreams.get(&upstream).cloned() else {
                    self.report_not_sent(attempt);
                    return;
                };
                self.send(Dispatch {
                    request,
                    attempt,
                    upstream,
                    deadline,
                    order,
                    resume,
                    hold,
                    once,
                    keep_failure,
                    withhold,
                    via,
                });
            }
            Effect::ForwardAnswer { request, attempt } => {
                if let Some(pending) = self.env.requests.get(request) {
                    pending.release(attempt);
                }
            }
            // The held answer is a stored failure; see `PendingRequest::store_failure`.
            Effect::ForwardHeldAnswer { request } => {
                if let Some(pending) = self.env.requests.get(request) {
                    pending.forward_failure();
                }
            }
            Effect::Cancel { attempt } => self.cancel(attempt),
            Effect::Answer { request, answer } => {
                if let Some(pending) = self.env.requests.get(request) {
                    pending.send_recorded_answer(answer);
                }
            }
            Effect::Refuse { request, refusal } | Effect::Abort { request, refusal } => {
                self.refuse(request, &refusal);
            }
            Effect::LogEvent(entry) => self.log_event(&entry),
            Effect::Decision(decision) => self.log_decision(&decision),
            Effect::CloseIntake => {
                info!(self.env.log, "intake_closed"; "requests_in_progress" => self.env.requests.len());
                self.connections.close();
            }
            // Handled by the driver.
            Effect::Exit => {}
        }
    }

    fn send_state(&self, to: &[HostId], age: Option<Duration>, parts: Vec<StatePart>) {
        for part in parts {
            let part = StatePart { age, ..part };
            for host in to {
                let message = PeerMessage::State(part.clone());
                self.peers.send(Envelope { to: host.clone(), message });
            }
        }
    }

    fn call_store(&self, call: CallId, request: StoreCall) {
        let store = Arc::clone(&self.store);
        let inbox = self.env.inbox.clone();
        tokio::spawn(async move {
            let result = store.call(request).await;
            inbox.event(Event::Store { call, result }).await;
        });
    }

    fn watch(&mut self, from: StoreRevision) {
        self.stop_watch();
        let store = Arc::clone(&self.store);
        let inbox = self.env.inbox.clone();
        let task = tokio::spawn(async move {
            store.watch(from, &InboxSink(inbox.clone())).await;
            inbox.event(Event::WatchBroken).await;
        });
        self.watch = Some(task.abort_handle());
    }

    fn stop_watch(&mut self) {
        if let Some(task) = self.watch.take() {
            task.abort();
        }
    }

    fn probe(&self, host: HostId, incarnation: Incarnation, address: SocketAddr) {
        let inbox = self.env.inbox.clone();
        tokio::spawn(async move {
            if probe::has_ended(&host, incarnation, address).await {
                inbox.event(Event::PeerConnectionRefused { host, incarnation }).await;
            }
        });
    }

    fn order(&self, upstream: UpstreamId, engine: Option<Upstream>, engine_order: EngineOrder) {
        let engines = Arc::clone(&self.engines);
        let inbox = self.env.inbox.clone();
        let order = engine_order.order;
        debug!(self.env.log, "order"; "engine" => %upstream, "order" => %order,
            "fence" => %engine_order.fence, "action" => ?engine_order.action);
        tokio::spawn(async move {
            let answer = match &engine {
                Some(engine) => engines.give(engine, engine_order).await,
                None => OrderAnswer::NotSent,
            };
            inbox.event(Event::Order { upstream, order, answer }).await;
        });
    }

    fn probe_upstream(&self, upstream: UpstreamId, address: Option<SocketAddr>) {
        let inbox = self.env.inbox.clone();
        tokio::spawn(async move {
            let reached = match address {
                Some(address) => probe::accepts_connections(address).await,
                None => false,
            };
            inbox.event(Event::UpstreamProbed { upstream, reached }).await;
        });
    }

    fn request_report(&self, upstream: UpstreamId, engine: Option<Upstream>, via: Option<HostId>) {
        let path = UpstreamPath::new(self.peers.clone(), via);
        let engines = Arc::clone(&self.engines);
        let inbox = self.env.inbox.clone();
        let asked = self.env.clock.now();
        tokio::spawn(async move {
            let report = match &engine {
                Some(engine) => engines.ask(engine, &path).await,
                None => None,
            };
            inbox.event(Event::Report { upstream, asked, report }).await;
        });
    }

    fn send(&mut self, dispatch: Dispatch) {
        let upstreams = self.upstreams.clone();
        let inbox = self.env.inbox.clone();
        let attempt = dispatch.attempt;
        let task = tokio::spawn(async move {
            let end = upstreams.send(dispatch).await;
            inbox.event(Event::AttemptEnded { attempt, end }).await;
        });
        self.attempts.insert(attempt, task.abort_handle());
    }

    fn report_not_sent(&self, attempt: AttemptId) {
        let end = skylarkshore_core::event::AttemptOutcome::NotSent;
        self.env.inbox.event_later(Event::AttemptEnded { attempt, end });
    }

    /// Aborts an attempt; this closes its connection, which stops the upstream's work.
    fn cancel(&mut self, attempt: AttemptId) {
        if let Some(task) = self.attempts.remove(&attempt) {
            task.abort();
        }
    }

    fn refuse(&self, request: RequestId, refusal: &Refusal) {
        let Some(pending) = self.env.requests.get(request) else { return };
        pending.refuse(refusal);
    }

    /// Logs a decision on a request together with the request id that the caller chose.
    fn log_decision(&self, decision: &Decision) {
        if !self.env.may_log(decision.event) {
            return;
        }
        let id = self.env.requests.label(decision.request);
        info!(self.env.log, "{}", decision.event;
            "detail" => &decision.detail, "request" => %decision.request,
            "id" => id.as_deref().unwrap_or("unknown"));
    }

    fn log_event(&self, entry: &LogEvent) {
        self.env.metrics.count_event(entry.event);
        // The logger writes pairs in reverse order; `subject` comes first in the line.
        info!(self.env.log, "{}", entry.event; "detail" => &entry.detail, "subject" => &entry.subject);
    }
}
