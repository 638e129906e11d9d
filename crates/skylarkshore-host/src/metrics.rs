//! Prometheus metrics for `/metrics`. Start with [`Metrics`].

mod process;

use std::time::Duration;

use prometheus::core::Collector;
use prometheus::{
    Counter, Encoder, Gauge, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder,
};
use skylarkshore_core::dump::Gauge as CoreGauge;
use skylarkshore_core::event::AttemptOutcome;
use skylarkshore_core::store::{StoreFailure, StoreResult};

const NAMESPACE: &str = "skylarkshore";

/// In seconds, from the overhead of a warm request to the longest cold start.
const LATENCY_BUCKETS: &[f64] =
    &[0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0, 120.0, 300.0];

/// The metrics that are recorded outside of the core.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    in_progress: IntGauge,
    duration: HistogramVec,
    first_byte: HistogramVec,
    attempts: IntCounterVec,
    log_events: IntCounterVec,
    store_calls: IntCounterVec,
    store_duration: Histogram,
    store_bytes: IntCounterVec,
    peer_messages: IntCounterVec,
    peer_bytes: IntCounterVec,
    peer_dropped: IntCounter,
    core_events: IntCounter,
    held_bytes: IntGaugeVec,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// An upstream's answer was forwarded completely.
    Answered,
    /// The request was invalid; nothing was sent upstream.
    Invalid,
    /// The request was refused with this outcome.
    Refused(&'static str),
    /// The answer was aborted after a part was forwarded.
    BrokenOff,
    /// The caller disconnected first.
    CallerGone,
}

impl RequestEnd {
    const fn label(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Invalid => "invalid",
            Self::Refused(outcome) => outcome,
            Self::BrokenOff => "broken_off",
            Self::CallerGone => "caller_gone",
        }
    }
}

/// The direction of a peer message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Direction {
    Sent,
    Received,
}

impl Direction {
    const fn label(self) -> &'static str {
        match self {
            Self::Sent => "sent",
            Self::Received => "received",
        }
    }
}

fn opts(name: &str, help: &str) -> Opts {
    Opts::new(name, help).namespace(NAMESPACE)
}

fn histogram(name: &str, help: &str) -> HistogramOpts {
    HistogramOpts::new(name, help).namespace(NAMESPACE).buckets(LATENCY_BUCKETS.to_vec())
}

impl Metrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    ///
    /// Two metrics have the same name.
    fn build() -> prometheus::Result<Self> {
        let this = Self {
            registry: Registry::new(),
            requests: IntCounterVec::new(
                opts("requests_total", "Requests that came to an end, by how."),
                &["target", "end"],
            )?,
            in_progress: IntGauge::with_opts(opts(
                "caller_requests",
                "Requests whose callers wait for the end of the answer.",
            ))?,
            duration: HistogramVec::new(
                histogram("request_duration_seconds", "From a request's head to the end of its answer."),
                &["target"],
            )?,
            first_byte: HistogramVec::new(
                histogram("request_first_byte_seconds", "From a request's head to the head of its answer."),
                &["target"],
            )?,
            attempts: IntCounterVec::new(
                opts("upstream_attempts_total", "Tries at upstreams that came to an end, by how."),
                &["end"],
            )?,
            log_events: IntCounterVec::new(
                opts("events_total", "Events that are also logged, by name."),
                &["event"],
            )?,
            store_calls: IntCounterVec::new(
                opts("store_calls_total", "Calls to the key-value service, by call and result."),
                &["call", "result"],
            )?,
            store_duration: Histogram::with_opts(histogram(
                "store_call_duration_seconds",
                "How long calls to the key-value service take.",
            ))?,
            store_bytes: IntCounterVec::new(
                opts("store_read_bytes_total", "Bytes of whole answers of the key-value service, by call."),
                &["call"],
            )?,
            peer_messages: IntCounterVec::new(
                opts("peer_messages_total", "Messages to and from peers."),
                &["direction"],
            )?,
            peer_bytes: IntCounterVec::new(
                opts("peer_bytes_total", "Bytes of messages to and from peers."),
                &["direction"],
            )?,
            peer_dropped: IntCounter::with_opts(opts(
                "peer_messages_dropped_total",
                "Messages to peers that were dropped because their queue was full or the peer unreachable.",
            ))?,
            core_events: IntCounter::with_opts(opts("core_events_total", "Events that the core has taken."))?,
            held_bytes: IntGaugeVec::new(
                opts(
                    "held_bytes",
                    "Bytes held for callers and upstreams that read slowly, by what they are.",
                ),
                &["what"],
            )?,
        };
        for collector in this.collectors() {
            this.registry.register(collector)?;
        }
        Ok(this)
    }

    /// Creates and registers the metrics.
    ///
    /// # Panics
    ///
    /// Never, as the names are constant and distinct.
    pub(crate) fn new() -> Self {
        Self::build().expect("the metrics' names are constant and distinct")
    }

    fn collectors(&self) -> Vec<Box<dyn Collector>> {
        vec![
            Box::new(self.requests.clone()),
            Box::new(self.in_progress.clone()),
            Box::new(self.duration.clone()),
            Box::new(self.first_byte.clone()),
            Box::new(self.attempts.clone()),
            Box::new(self.log_events.clone()),
            Box::new(self.store_calls.clone()),
            Box::new(self.store_duration.clone()),
            Box::new(self.store_bytes.clone()),
            Box::new(self.peer_messages.clone()),
            Box::new(self.peer_bytes.clone()),
            Box::new(self.peer_dropped.clone()),
            Box::new(self.core_events.clone()),
            Box::new(self.held_bytes.clone()),
        ]
    }

    pub(crate) fn request_begun(&self) {
        self.in_progress.inc();
    }

    pub(crate) fn answer_started(&self, target: &str, after: Duration) {
        self.first_byte.with_label_values(&[target]).observe(after.as_secs_f64());
    }

    pub(crate) fn request_ended(&self, target: &str, end: RequestEnd, after: Duration) {
        self.in_progress.dec();
        self.requests.with_label_values(&[target, end.label()]).inc();
        self.duration.with_label_values(&[target]).observe(after.as_secs_f64());
    }

    /// Counts an invalid request.
    pub fn request_invalid(&self) {
        self.requests.with_label_values(&["none", RequestEnd::Invalid.label()]).inc();
    }

    pub(crate) fn attempt_ended(&self, end: &AttemptOutcome) {
        let label = match end {
            AttemptOutcome::Completed { .. }
            | AttemptOutcome::CompletedUnframed
            | AttemptOutcome::ForwardedFailure
            | AttemptOutcome::CompletedTooLarge => "whole",
            AttemptOutcome::CompletedWithFailure => "failed",
            AttemptOutcome::NotSent => "not_sent",
            AttemptOutcome::NoPath => "no_path",
            AttemptOutcome::Rejected(_) => "rejected",
            AttemptOutcome::Lost { died: true, .. } => "upstream_died",
            AttemptOutcome::Lost { died: false, .. } => "lost",
        };
        self.attempts.with_label_values(&[label]).inc();
    }

    /// Counts a logged event.
    pub fn count_event(&self, event: &str) {
        self.log_events.with_label_values(&[event]).inc();
    }

    /// Counts a call to the key-value service.
    pub fn store_call(&self, call: &str, result: &StoreResult, took: Duration) {
        let label = match result {
            Ok(_) => "answered",
            Err(StoreFailure::NotDone) => "not_done",
            Err(StoreFailure::Unknown) => "unknown",
        };
        self.store_calls.with_label_values(&[call, label]).inc();
        self.store_duration.observe(took.as_secs_f64());
    }

    /// Counts the bytes of an answer of the key-value service.
    pub fn store_bytes_read(&self, call: &str, len: usize) {
        let len = u64::try_from(len).unwrap_or(u64::MAX);
        self.store_bytes.with_label_values(&[call]).inc_by(len);
    }

    pub(crate) fn peer_message(&self, direction: Direction, len: usize) {
        self.peer_messages.with_label_values(&[direction.label()]).inc();
        let len = u64::try_from(len).unwrap_or(u64::MAX);
        self.peer_bytes.with_label_values(&[direction.label()]).inc_by(len);
    }

    pub(crate) fn peer_message_dropped(&self) {
        self.peer_dropped.inc();
    }

    /// Returns the gauge of the bytes that are held of one kind.
    pub(crate) fn held_bytes(&self, what: &str) -> IntGauge {
        self.held_bytes.with_label_values(&[what])
    }

    pub(crate) fn core_event_handled(&self) {
        self.core_events.inc();
    }

    /// Renders all metrics, including the core's, in the Prometheus text format.
    pub(crate) fn render(&self, core_gauges: &[CoreGauge]) -> String {
        let mut families = self.registry.gather();
        families.extend(core_gauges.iter().filter_map(metric_family));
        let mut buf = Vec::new();
        // Encoding to a buffer fails only for an empty family, and there is none.
        _ = TextEncoder::new().encode(&families, &mut buf);
        let mut text = String::from_utf8_lossy(&buf).into_owned();
        text.push_str(&process::render());
        text
    }
}

fn metric_family(core_gauge: &CoreGauge) -> Option<prometheus::proto::MetricFamily> {
    let opts = opts(core_gauge.name, "See the page OPERATIONS.");
    if core_gauge.name.ends_with("_total") {
        let counter = Counter::with_opts(opts).ok()?;
        counter.inc_by(core_gauge.value);
        return counter.collect().into_iter().next();
    }
    let gauge = Gauge::with_opts(opts).ok()?;
    gauge.set(core_gauge.value);
    gauge.collect().into_iter().next()
}
