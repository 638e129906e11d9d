//! Requests in progress at this process, from arrival to their single final answer.
//!
//! Open [`Serving`] first: it owns the request table and dispatches events to the submodules.
//!
//! Terms used in all of them:
//!
//! - Each host runs one process, also called *router*, that serves requests; its *peers* are those
//!   of the other hosts.
//! - A *target* is what a request asks for: a model, one of its adapters or a service. An
//!   *upstream* runs requests; it is an *engine*, which loads models and adapters, or a *replica*
//!   of a service.
//! - The *owner* of an engine is the host that decides what the engine loads. It publishes *views*
//!   of the engine's state to the hosts that use its models. The *homes* of a model are the engines
//!   on which it may be loaded.
//! - A request with an idempotency key runs at most once under this key. Before it is sent, its
//!   host *claims* the key by a record in the key-value service.
//! - The *order of service* is a number; requests with lower numbers are dispatched first.
//! - An answer after the *soft deadline* has reduced value. A request that isn't answered by its
//!   *deadline* is refused.
//! - *Loss*, *crash*, *suspect* and *convicted* are defined in the module `suspect`, *termination*, *held
//!   back* and *trial* in the module `evidence` of the crate.

mod admission;
mod arrival;
mod attempt;
mod budget;
mod counters;
mod counting_hosts;
mod credit;
mod demand;
mod departure;
mod disposition;
mod expected_retries;
mod isolation;
mod lease;
mod leaving;
mod newcomers;
mod notice_events;
mod notice_inquiry;
mod notices;
mod once;
mod others_load;
mod permits;
mod pinned_requests;
mod published_views;
mod queue;
mod request;
mod request_limits;
mod rests;
mod routing;
mod run_times;
mod served_versions;
mod slot_leases;
mod slot_lender;
mod state_dump;
mod stream_origins;
mod supply;
mod suspect;
mod take_up;
mod version_pin;
mod wait_estimate;

use std::time::Duration;

use crate::collections::{HashMap, OrderedMap, OrderedSet};
use crate::config::NodeConfig;
use crate::cx::Cx;
use crate::dump::{DumpEntry, Gauge};
use crate::effect::RefusalReason;
use crate::event::{Arrival, AttemptOutcome, Target};
use crate::evidence::{Evidence, Loss, SentTo};
use crate::id::{AttemptId, CallId, HostId, RequestId, UpstreamId};
use crate::peer::PeerMessage;
use crate::quota::Quota;
use crate::store::{Key, StoreResult, WriteOutcome};
use crate::time::Time;
use crate::upstream_paths::Links;

use budget::RetryBudget;
use counters::RequestCounters;
use demand::Demand;
use departure::Departure;
use disposition::Disposition;
use once::OnceClaims;
use permits::Permits;
use pinned_requests::PinnedRequests;
use queue::Queue;
use request::{Caller, Due, Request, RunHistory, State};
use routing::Routes;
use run_times::DestinationRunTimes;
use served_versions::ServedVersions;
use slot_lender::SlotLender;
use stream_origins::StreamOrigins;
use suspect::Suspects;
use wait_estimate::WaitEstimator;

/// Interval between the scans of [`Serving::run_housekeeping`].
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_secs(1);

/// The requests, queues and routes of one process.
#[derive(Debug)]
pub struct Serving {
    requests: OrderedMap<RequestId, Request>,
    attempts: HashMap<AttemptId, RequestId>,
    timers: OrderedSet<Due>,
    queue: Queue,
    /// The requests that wait for an upstream of one software version.
    pinned: PinnedRequests,
    /// The versions that began streams.
    origins: StreamOrigins,
    served_versions: ServedVersions,
    routes: Routes,
    /// The models that requests here need, and which owners are asked to load them.
    demand: Demand,
    /// The claims on idempotency keys.
    once_claims: OnceClaims,
    /// Where suspects run alone.
    suspects: Suspects,
    /// Where the upstreams are counted that ended under suspects.
    evidence: Evidence,
    budget: RetryBudget,
    waits: WaitEstimator,
    run_times: DestinationRunTimes,
    /// Grants requests credit, which counts against the limits of their client accounts.
    quota: Quota,
    /// Permits for the requests of all hosts to upstreams that have named a limit.
    permits: Permits,
    /// Slots for the requests of all hosts to upstreams that withstand few rejections.
    slot_lender: SlotLender,
    counters: RequestCounters,
    housekeeping_due: Time,
    /// The shutdown of this process, once it is requested.
    departure: Option<Departure>,
    /// Whether callers have been redirected to other hosts, so that no request may wait any
    /// longer.
    is_closed: bool,
    /// Whether this host reaches no upstream, neither directly nor through a peer.
    is_stranded: bool,
    /// Whether another process may act under this host's name.
    is_on_standby: bool,
    /// The state of this host's own links to the upstreams.
    links: Links,
}

impl Serving {
    /// Creates the state of a process without requests.
    pub fn new(cfg: &NodeConfig) -> Self {
        Self {
            requests: OrderedMap::new(),
            attempts: HashMap::default(),
            timers: OrderedSet::new(),
            queue: Queue::default(),
            pinned: PinnedRequests::new(),
            origins: StreamOrigins::default(),
            served_versions: ServedVersions::default(),
            routes: Routes::default(),
            demand: Demand::default(),
            once_claims: OnceClaims::default(),
            suspects: Suspects::new(),
            evidence: Evidence::new(cfg.limits.suspects),
            budget: RetryBudget::new(cfg.limits.retries),
            waits: WaitEstimator::default(),
            run_times: DestinationRunTimes::default(),
            quota: Quota::new(),
            permits: Permits::default(),
            slot_lender: SlotLender::default(),
            counters: RequestCounters::default(),
            housekeeping_due: Time::START,
            departure: None,
            is_closed: false,
            is_stranded: false,
            is_on_standby: false,
            links: Links::default(),
        }
    }

    /// Admits, queues or refuses a caller's request.
    pub fn on_arrived(&mut self, cx: &mut Cx<'_>, request: RequestId, arrival: Arrival) {
        self.arrive(cx, request, arrival);
    }

    /// Records that the caller disconnected.
    ///
    /// A request with an idempotency key isn't cancelled once it was sent, because its caller
    /// will ask for the answer with the same key.
    pub fn on_caller_gone(&mut self, cx: &mut Cx<'_>, request: RequestId) {
        let Some(gone) = self.requests.get_mut(&request) else { return };
        gone.caller = Caller::Gone;
        let answer_is_needed = gone.idempotency_key().is_some()
            && (gone.run().is_some() || matches!(gone.state, State::RecordingAnswer { .. }));
        if !answer_is_needed {
            let disposition = Disposition::Refuse { reason: RefusalReason::CallerGone, retry_after: None };
            self.apply_disposition(cx, request, disposition);
            self.dispatch_waiting(cx);
        }
    }

    /// Gives up the lease for the records of idempotency keys: the key-value service may have lost it.
    pub fn on_new_era(&mut self) {
        self.once_claims.on_new_era();
    }

    /// Records that an answer has begun.
    pub fn on_answer_started(&mut self, cx: &mut Cx<'_>, attempt: AttemptId) {
        let Some(id) = self.attempts.get(&attempt) else {
            self.counters.late_events += 1;
            return;
        };
        let id = *id;
        if let Some(run) = self.requests.get(&id).and_then(Request::run).cloned() {
            self.evidence.on_alive(cx, &SentTo::from(&run));
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        if let State::Sent(run) = request.state.clone() {
            request.pin_to(&run);
            self.on_stream_begun(cx, id, &run);
            let Some(request) = self.requests.get_mut(&id) else { return };
            let is_late = request.arrival.policy.soft_deadline.is_due(cx.now);
            let waited = run.sent.since(request.arrived);
            // The engine caused the delay if most of the time passed after the request was sent.
            let engine_caused_delay = is_late && waited * 2 < cx.now.since(request.arrived);
            if let Target::Model(target) = &request.arrival.target
                && engine_caused_delay
            {
                self.demand.count_late(target);
            }
            request.set_state(State::Answering(run), cx.now);
        }
    }

    /// Handles the end of an attempt.
    pub fn on_attempt_ended(&mut self, cx: &mut Cx<'_>, attempt: AttemptId, end: AttemptOutcome) {
        let upstream = self.upstream_of(attempt);
        self.end_attempt(cx, attempt, end);
        if let Some(upstream) = upstream {
            self.dispatch_for_upstream(cx, &upstream);
        }
    }

    fn upstream_of(&self, attempt: AttemptId) -> Option<UpstreamId> {
        let request = self.requests.get(self.attempts.get(&attempt)?)?;
        request.run().map(|run| run.upstream.clone())
    }

    /// Runs all timers and periodic work that are due.
    pub fn on_tick(&mut self, cx: &mut Cx<'_>) {
        self.run_housekeeping(cx);
        self.routes.notices.inquiry.advance(cx);
        self.permits.on_tick(cx);
        for (upstream, term) in self.slot_lender.on_tick(cx) {
            self.routes.notices.slots.abandon(&upstream, &term);
        }
        self.routes.notices.leaving.on_tick(cx);
        for outcome in self.quota.on_tick(cx) {
            self.on_credit_decision(cx, outcome);
        }
        for progress in self.once_claims.on_tick(cx) {
            self.on_claim_progress(cx, progress);
        }
        for id in self.suspects.on_tick(cx) {
            self.retry_or_refuse_lost(cx, id);
        }
        self.evidence.on_tick(cx);
        self.run_stream_timers(cx);
        while let Some(due) = self.timers.first().copied().filter(|due| due.at.is_due(cx.now)) {
            self.timers.remove(&due);
            self.on_due(cx, due.request);
        }
        self.demand.retain_waiting_times(&self.waiting_models(cx));
        self.refuse_all_unservable(cx);
        self.dispatch_waiting(cx);
        self.refuse_unfinishable(cx);
        if self.is_closed {
            self.refuse_waiting(cx);
        }
    }

    /// Runs the work that scans all remembered state and is too expensive for every tick.
    fn run_housekeeping(&mut self, cx: &mut Cx<'_>) {
        if !self.housekeeping_due.is_due(cx.now) {
            return;
        }
        self.housekeeping_due = cx.now.after(HOUSEKEEPING_INTERVAL);
        self.routes.remove_expired(cx.now);
        self.routes.reapply_host_list(cx);
        self.once_claims.remove_expired(cx.now);
        self.suspects.remove_expired(cx);
        self.evidence.remove_expired(cx);
        self.remove_expired_streams(cx);
        self.run_times.remove_expired(cx.now);
        self.demand.send_usage(cx, &mut self.waits);
        self.report_refused_callers(cx);
        self.budget.record_host_count(cx.now, cx.cache.members().count());
    }

    /// Takes over the state of this host's own links.
    pub(crate) fn follow_links(&mut self, links: &Links) {
        if self.links != *links {
            self.links.clone_from(links);
        }
    }

    /// Tries upstreams again that failed before this host's links to them were lost, or came back.
    pub(crate) fn on_paths_switched(&mut self, cx: &mut Cx<'_>) {
        self.routes.clear_all_backoffs();
        self.evidence.on_links_lost(cx, &self.links);
        self.dispatch_waiting(cx);
    }

    /// Refuses requests for as long as this host reaches no upstream, neither directly nor through a peer.
    pub(crate) fn set_stranded(&mut self, cx: &mut Cx<'_>, is_stranded: bool) {
        if is_stranded && !self.is_stranded {
            self.refuse_queued(cx, &RefusalReason::NoUpstream, disposition::RETRY_AFTER);
        }
        self.is_stranded = is_stranded;
    }

    /// Refuses requests for as long as another process may act under this host's name.
    pub(crate) fn set_on_standby(&mut self, cx: &mut Cx<'_>, is_on_standby: bool) {
        self.is_on_standby = is_on_standby;
        if is_on_standby {
            self.refuse_queued(cx, &RefusalReason::Standby, disposition::RETRY_AFTER);
        }
    }

    /// Handles the result of a probe of an upstream over this host's own links.
    pub(crate) fn on_probed(&mut self, cx: &mut Cx<'_>, upstream: &UpstreamId, reached: bool) {
        if reached {
            return;
        }
        self.evidence.on_unreachable(cx, upstream);
        self.refuse_held_back(cx);
    }

    /// Handles changes to upstreams on the host list.
    pub fn on_host_list(&mut self, cx: &mut Cx<'_>, touched: &[UpstreamId]) {
        self.routes.on_host_list(cx, touched);
        self.served_versions.on_host_list(cx, touched);
        self.evidence.on_host_list(cx);
        self.refuse_held_back(cx);
        self.refuse_unservable_pinned(cx);
        self.refuse_all_unservable(cx);
        self.dispatch_waiting(cx);
    }

    /// Handles a change of a shared key in the cache.
    pub fn on_change(&mut self, cx: &mut Cx<'_>, key: &Key) {
        match key {
            // The operators' settings, which include client accounts, models and services.
            Key::Document | Key::Catalogue => {
                self.refuse_withdrawn_account_keys(cx);
                self.routes.reapply_host_list(cx);
                self.dispatch_waiting(cx);
            }
            // The owner of an engine, or the engines on which a model may be loaded.
            Key::Owner(_) | Key::Homes(_) => self.ask_new_owners(cx, key),
            // Hosts, the shares of a site's electrical power, and records of idempotency keys;
            // the last are read when a request needs them.
            Key::Member(_) | Key::Power(_) | Key::RelayRoot(_) | Key::Once(_) => {}
        }
    }

    /// Handles the result of a store call that isn't a write.
    pub fn on_store(&mut self, cx: &mut Cx<'_>, call: CallId, result: &StoreResult) {
        if let Some(progress) = self.once_claims.on_store(cx, call, result) {
            self.on_claim_progress(cx, progress);
            self.dispatch_waiting(cx);
        }
    }

    /// Handles the outcome of a write to the record of an idempotency key ([`Key::Once`]).
    pub fn on_write(&mut self, cx: &mut Cx<'_>, key: &Key, outcome: &WriteOutcome) {
        let Key::Once(key) = key else { return };
        if let Some(progress) = self.once_claims.on_write(cx, *key, outcome) {
            self.on_claim_progress(cx, progress);
            self.dispatch_waiting(cx);
        }
    }

    /// Handles a peer's message if it concerns requests.
    pub fn on_peer(&mut self, cx: &mut Cx<'_>, from: &HostId, message: &PeerMessage) {
        self.suspects.record_contact(cx.now, from);
        match message {
            PeerMessage::Credit(message) => {
                if let Some(outcome) = self.quota.on_peer(cx, from, message) {
                    self.on_credit_decision(cx, outcome);
                }
            }
            PeerMessage::PermitsWanted { upstream, limit, count } => {
                self.permits.on_wanted(cx, from, upstream, *limit, *count);
            }
            PeerMessage::Permits { upstream, count } => {
                self.routes.notices.limits.on_permits(cx.now, upstream, *count);
                self.dispatch_for_upstream(cx, upstream);
            }
            PeerMessage::Stream(message) => self.on_stream_message(cx, from, message),
            PeerMessage::View(view) => self.on_view(cx, view),
            PeerMessage::CannotLoad { target, reason, retry_after } => {
                self.on_cannot_load(cx, from, target, reason, *retry_after);
            }
            PeerMessage::Suspects { upstream, incarnation, requests: digests, alone: exclusive } => {
                self.on_suspects(cx, from, upstream, *incarnation, digests, *exclusive);
            }
            PeerMessage::SuspectsNoted { requests: digests } => {
                for id in self.suspects.on_acknowledged(from, digests) {
                    self.retry_or_refuse_lost(cx, id);
                }
                self.dispatch_waiting(cx);
            }
            PeerMessage::LossesNoted { upstream, incarnation, requests } => {
                self.evidence.on_acknowledged(from, Loss::of_each(upstream, *incarnation, requests));
            }
            PeerMessage::Cleared { request: digest } => {
                self.evidence.on_cleared(cx, *digest);
                if self.suspects.clear(*digest) {
                    self.requeue_cleared(cx, *digest);
                }
            }
            PeerMessage::UpstreamFull { upstream } => self.slot_lender.on_full(cx, from, upstream),
            PeerMessage::Slot(message) => self.on_slot_message(cx, from, message),
            PeerMessage::Notice(message) => self.on_notice_message(cx, from, message),
            PeerMessage::UpstreamRests { upstream, rest } => {
                self.routes.notices.rests.record(cx, upstream, *rest);
                self.on_takes_no_requests(cx);
            }
            PeerMessage::UpstreamLeaving { upstream } => {
                self.routes.notices.leaving.record_told(cx, upstream);
                self.on_takes_no_requests(cx);
            }
            _ => {}
        }
    }

    /// Begins shutdown; requests in progress continue.
    ///
    /// New requests that can end in time are still accepted, because callers cache the list of hosts
    /// for a while.
    pub fn on_shutdown(&mut self, cx: &mut Cx<'_>) {
        self.quota.on_shutdown(cx);
        self.departure = Some(Departure::begin(cx.now, &cx.cfg.timings));
        cx.log_event("serving_drains", self.requests.len(), "requests in progress will be completed");
        self.refuse_unfinishable(cx);
    }

    /// Refuses all waiting requests once callers have been redirected and the process ends
    /// soon.
    ///
    /// A waiting request, for example one whose model is being loaded, may outlast the process.
    /// Its caller would see a broken connection and could not tell whether the request had
    /// run. If it is refused now, another host serves it.
    pub fn on_intake_closed(&mut self, cx: &mut Cx<'_>) {
        self.is_closed = true;
        self.refuse_waiting(cx);
    }

    /// Reports whether no request is in progress.
    pub fn is_idle(&self) -> bool {
        self.requests.is_empty() && self.once_claims.is_idle()
    }

    /// Returns the entries for the state dump.
    pub fn dump(&self, cx: &Cx<'_>) -> Vec<DumpEntry> {
        self.dump_entries(cx)
    }

    /// Returns the gauges for the metrics.
    pub fn gauges(&self, _cx: &Cx<'_>) -> Vec<Gauge> {
        self.collect_gauges()
    }

    /// Checks a request whose timer is due: one of its two deadlines, a time-out of its state, or
    /// the time at which its credit becomes available.
    fn on_due(&mut self, cx: &mut Cx<'_>, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let passed = request.arrival.deadline.is_due(cx.now);
        match request.state.clone() {
            State::RecordingAnswer { timeout_at, answer } if passed || timeout_at.is_due(cx.now) => {
                self.finish_with_answer(cx, id, answer);
            }
            State::ReleasingClaim { timeout_at, refusal } if passed || timeout_at.is_due(cx.now) => {
                self.finish_refused(cx, id, refusal);
            }
            // The answer or refusal is already settled, or follows when the peers are
            // notified. The first two states were handled above if their time is up;
            // the notice has its own short time-out.
            State::RecordingAnswer { .. } | State::ReleasingClaim { .. } | State::NotifyingPeers => {}
            _ if passed => self.refuse_late(cx, id),
            State::AwaitingCredit { not_before: Some(not_before) } => {
                self.on_credit_due(cx, id, not_before);
            }
            State::Queued | State::QueuedForIsolation if request.queue_deadline().is_due(cx.now) => {
                self.refuse_late(cx, id);
            }
            _ => {}
        }
    }

    /// Refuses a request whose deadline, or longest time in the queue, has passed.
    fn refuse_late(&mut self, cx: &mut Cx<'_>, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let reason = if request.run().is_some() {
            RefusalReason::DeadlinePassedRunning
        } else if request.history == RunHistory::NeverRan {
            RefusalReason::DeadlinePassed
        } else {
            // An earlier attempt may have run, and the time for a retry is over.
            RefusalReason::UpstreamLost
        };
        self.apply_disposition(cx, id, Disposition::Refuse { reason, retry_after: None });
    }

    /// Removes a request and releases everything it holds.
    fn remove_request(&mut self, cx: &mut Cx<'_>, id: RequestId) -> Option<Request> {
        let request = self.requests.remove(&id)?;
        self.timers.remove(&Due { at: request.arrival.deadline, request: id });
        self.timers.remove(&Due { at: request.arrival.policy.first_byte_deadline, request: id });
        self.suspects.waiting.remove(&queue::QueuePosition::of(id, &request));
        self.pinned.remove(&queue::QueuePosition::of(id, &request));
        self.end_isolation(cx, id);
        self.settle_credit(cx, id, &request);
        if let Some(destination) = &request.unsent_retry {
            self.budget.give_back(destination);
        }
        Some(request)
    }
}
