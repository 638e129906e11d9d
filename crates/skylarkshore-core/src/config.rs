//! The configuration of a process: identity, time-outs and limits. Start with [`NodeConfig`].

use std::net::SocketAddr;
use std::time::Duration;

use crate::id::{DataCentre, Digest, HostId, Incarnation};
use crate::rules::Rules;
use crate::units::{Capacity, Credits};

/// The configuration that a process starts with.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// The host's name.
    pub host: HostId,
    /// The incarnation of the process; higher than any earlier one on this host.
    pub incarnation: Incarnation,
    /// The data centre that the host runs in.
    pub data_centre: DataCentre,
    /// The address for callers.
    pub caller_address: SocketAddr,
    /// The address for peers.
    pub peer_address: SocketAddr,
    /// The SHA-256 digest of its certificate.
    pub fingerprint: Digest,
    /// The seed of its random numbers.
    pub seed: u64,
    /// Intervals and time-outs.
    pub timings: Timings,
    /// Sizes and counts.
    pub limits: Limits,
    /// The rules that apply until operators configure their own.
    pub default_rules: Rules,
    /// Which processes watch the key-value service.
    pub watchers: Watchers,
    /// The host's capacity relative to the others.
    pub capacity: Capacity,
    /// Whether the whole system starts for the first time, so that no stream can have begun before.
    pub is_first_start: bool,
}

/// Which processes watch the key-value service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Watchers {
    /// One process of each data centre, which forwards changes to the others.
    #[default]
    OnePerDataCentre,
    /// Every process, so that changes don't depend on any other one.
    All,
    /// Every process that receives no changes from another one of its data centre.
    Relayed,
}

/// The settings that may change while a process runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Intervals and time-outs.
    pub timings: Timings,
    /// Sizes and counts.
    pub limits: Limits,
}

/// Intervals, time-outs and grace periods.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Timings {
    /// The time to live of the member lease.
    pub lease_ttl: Duration,
    /// How often the lease is renewed.
    pub renew_every: Duration,
    /// How long after the last confirmed renewal of its lease a process may still send
    /// orders to engines that ignore fences; never longer than the lease.
    pub hold: Duration,
    /// How much longer than `hold` a successor waits, to allow for clock drift.
    pub hold_margin: Duration,
    /// The time-out of a call to the key-value service.
    pub store_timeout: Duration,
    /// The interval of heartbeats to peers.
    pub heartbeat_every: Duration,
    /// How long without a heartbeat until a peer counts as unreachable.
    pub peer_timeout: Duration,
    /// The interval at which an owner requests reports from its engines.
    pub report_every: Duration,
    /// How long without a report until an engine counts as unreachable.
    pub engine_timeout: Duration,
    /// The interval at which a router repeats its demand for a model that requests wait for.
    pub wanted_every: Duration,
    /// How long after its last demand a router receives updates on a model.
    pub interest: Duration,
    /// The interval at which a router reports how many requests for a model arrived.
    pub usage_every: Duration,
    /// How long an order of unknown outcome reserves memory if reports don't show its outcome.
    pub order_settle: Duration,
    /// How long routers get to stop sending requests before a model is unloaded.
    pub close_grace: Duration,
    /// How long callers may cache the entry list, which names the hosts to use.
    pub entry_ttl: Duration,
    /// How long callers may still connect after this host has left the entry list.
    pub entry_kept: Duration,
    /// How long after the request to shut down the process is killed; `None` if it is given the time that it
    /// needs.
    pub shutdown_grace: Option<Duration>,
    /// How long an engine that left the host list remains a home of its models.
    pub gone_after: Duration,
    /// The minimum time between the last order of an engine's former owner on another
    /// host and the first order of its new owner.
    pub order_gap: Duration,
    /// The interval at which upstreams renew their entries on the host list.
    pub upstream_heartbeat: Duration,
    /// How long an upstream that went missing from the host list during an outage still
    /// counts as live after the list can be read again.
    pub list_grace: Duration,
}

impl Default for Timings {
    fn default() -> Self {
        Self {
            lease_ttl: Duration::from_secs(10),
            renew_every: Duration::from_secs(3),
            hold: Duration::from_secs(9),
            hold_margin: Duration::from_secs(2),
            store_timeout: Duration::from_millis(1500),
            heartbeat_every: Duration::from_secs(1),
            peer_timeout: Duration::from_secs(4),
            report_every: Duration::from_millis(500),
            engine_timeout: Duration::from_secs(5),
            wanted_every: Duration::from_millis(500),
            interest: Duration::from_mins(1),
            usage_every: Duration::from_secs(30),
            order_settle: Duration::from_secs(30),
            close_grace: Duration::from_secs(2),
            entry_ttl: Duration::from_secs(10),
            entry_kept: Duration::from_secs(10),
            shutdown_grace: None,
            gone_after: Duration::from_secs(30),
            order_gap: Duration::ZERO,
            upstream_heartbeat: Duration::from_millis(1500),
            list_grace: Duration::ZERO,
        }
    }
}

/// Limits on queues, loads, retries and quotas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Queued requests of all callers.
    pub queue_total: usize,
    /// Queued requests of one caller.
    pub queue_per_caller: usize,
    /// The largest answer that is recorded for at-most-once requests, in bytes.
    pub recorded_answer: usize,
    /// Concurrent loads in the whole deployment.
    pub loads_at_once: u32,
    /// Loads that may start per second in the whole deployment.
    pub loads_per_second: u32,
    /// Attempts for one request, including the first.
    pub attempts: u32,
    /// How many homes each model has in advance, as far as the rules allow; a home is an
    /// engine on which the model may be loaded.
    ///
    /// With a home in place, a further replica is loaded as soon as it is needed. Without
    /// one, the load waits for a write and for other processes to receive it.
    pub homes_ahead: usize,
    /// How retries are limited.
    pub retries: RetryLimits,
    /// How requests that may crash upstreams are detected.
    pub suspects: SuspectPolicy,
    /// The tolerance on the limits of client accounts.
    pub quota: QuotaPolicy,
}

/// The tolerance on the limits of client accounts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaPolicy {
    /// The window in which use is counted.
    pub window: Duration,
    /// How far the limit may be exceeded within a window, in percent.
    pub overage_percent: u32,
    /// How much may be used in addition, as an absolute amount.
    pub slack: Credits,
}

impl Default for QuotaPolicy {
    fn default() -> Self {
        Self { window: Duration::from_secs(10), overage_percent: 10, slack: Credits(0) }
    }
}

/// How retries are limited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryLimits {
    /// Each process keeps a retry budget of its own.
    PerProcess,
    /// All processes together limit retries, whatever their cause, to a share of the
    /// requests for a service within any window.
    Shared {
        /// Retries per hundred requests.
        percent: u32,
        /// Retries that are allowed in addition.
        slack: u32,
        /// The window.
        window: Duration,
    },
}

/// How requests that may crash upstreams are detected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectPolicy {
    /// A request that was in progress when an upstream died is retried alone on an upstream.
    RunAlone,
    /// Counts, for each request and each part of its prompt, the upstreams that terminated while it ran.
    ///
    /// If upstreams often lose connections without dying, running every suspect alone
    /// would block an engine for all other requests each time.
    CountEnds,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            queue_total: 4096,
            queue_per_caller: 512,
            recorded_answer: 512 * 1024,
            loads_at_once: 4,
            loads_per_second: 3,
            attempts: 3,
            homes_ahead: 1,
            retries: RetryLimits::PerProcess,
            suspects: SuspectPolicy::RunAlone,
            quota: QuotaPolicy::default(),
        }
    }
}
