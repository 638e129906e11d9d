//! What a process is told about itself, and the times it keeps.

use std::net::SocketAddr;
use std::time::Duration;

use crate::id::{DataCentre, Digest, HostId, Incarnation};
use crate::rules::Rules;
use crate::units::{Capacity, Credits};

/// What a process is told about itself when it starts.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// The host's name.
    pub host: HostId,
    /// Which life of the process; higher than any before on this host.
    pub incarnation: Incarnation,
    /// Where the host stands.
    pub data_centre: DataCentre,
    /// Where callers reach it.
    pub caller_address: SocketAddr,
    /// Where peers reach it.
    pub peer_address: SocketAddr,
    /// The SHA-256 of its certificate.
    pub fingerprint: Digest,
    /// Where its randomness starts.
    pub seed: u64,
    /// The times it keeps.
    pub timings: Timings,
    /// The sizes it keeps to.
    pub limits: Limits,
    /// The rules in force until operators write their own.
    pub default_rules: Rules,
    /// Who watches the key-value service.
    pub watchers: Watchers,
    /// What the host can do beside the others.
    pub capacity: Capacity,
}

/// Who watches the key-value service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Watchers {
    /// One process of each data centre, which tells the others.
    #[default]
    OnePerDataCentre,
    /// Every process, so that news doesn't depend on any other one.
    All,
    /// Every process that hears no news from another one of its data centre.
    Relayed,
}

/// What may change while a process runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The times it keeps.
    pub timings: Timings,
    /// The sizes it keeps to.
    pub limits: Limits,
}

/// How long things take and may take.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Timings {
    /// How long the member lease lives without being renewed.
    pub lease_ttl: Duration,
    /// How often the lease is renewed.
    pub renew_every: Duration,
    /// How long after its last confirmed renewal a process may still give orders
    /// to engines that ignore fences; never longer than the lease.
    pub hold: Duration,
    /// How much longer than `hold` a successor waits, for clocks that run at
    /// different speeds.
    pub hold_margin: Duration,
    /// How long a call to the key-value service may take.
    pub store_timeout: Duration,
    /// How often a process tells its peers that it lives.
    pub heartbeat_every: Duration,
    /// After how long without a heartbeat a peer counts as unreachable.
    pub peer_timeout: Duration,
    /// How often an owner asks its engines how they stand.
    pub report_every: Duration,
    /// After how long without a report an engine counts as unreachable.
    pub engine_timeout: Duration,
    /// How often a router asks again for a model that requests wait for.
    pub wanted_every: Duration,
    /// How long a router hears of a model after it last asked.
    pub interest: Duration,
    /// How often a router tells how many requests for a model arrived.
    pub usage_every: Duration,
    /// How long an order of unknown outcome keeps its memory when reports don't settle it.
    pub order_settle: Duration,
    /// How long routers are given to stop sending before a model is unloaded.
    pub close_grace: Duration,
    /// How long a caller may keep an answer to the question which hosts to use.
    pub entry_ttl: Duration,
    /// How long callers may still come after this host has left the answers to that question.
    pub entry_kept: Duration,
    /// How long an engine that the host list no longer names keeps its homes.
    pub gone_after: Duration,
    /// How long after the last order of an engine's former owner, on another
    /// host, the first one of the new owner comes at the earliest.
    pub order_gap: Duration,
    /// How long an upstream that the host list lost during an outage is still
    /// taken for living after the list can be read again.
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
            gone_after: Duration::from_secs(30),
            order_gap: Duration::ZERO,
            list_grace: Duration::ZERO,
        }
    }
}

/// How much a process takes on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Requests that wait, over all callers.
    pub queue_total: usize,
    /// Requests that wait for one caller.
    pub queue_per_caller: usize,
    /// The largest answer that is recorded for requests that may not be repeated, in bytes.
    pub recorded_answer: usize,
    /// Loads that may run at once over the whole deployment.
    pub loads_at_once: u32,
    /// Loads that may begin within a second over the whole deployment.
    pub loads_per_second: u32,
    /// Tries for one request, the first included.
    pub attempts: u32,
    /// How many homes each model has ahead of need, as far as the rules allow.
    ///
    /// A further replica is loaded as soon as it is needed where a home stands
    /// already; else it waits for a write and for other processes to hear of it.
    pub homes_ahead: usize,
    /// How retries are held down.
    pub retries: RetryLimits,
    /// How requests that may crash upstreams are found out.
    pub suspects: SuspectPolicy,
    /// How closely the limits of client accounts are kept.
    pub quota: QuotaPolicy,
}

/// How closely the limits of client accounts are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaPolicy {
    /// Over which time use is counted.
    pub window: Duration,
    /// How much more than the limit may be used within a window, in percent.
    pub overage_percent: u32,
    /// How much may be used beside.
    pub slack: Credits,
}

impl Default for QuotaPolicy {
    fn default() -> Self {
        Self { window: Duration::from_secs(10), overage_percent: 10, slack: Credits(0) }
    }
}

/// How retries are held down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryLimits {
    /// Each process saves retries up for itself.
    PerProcess,
    /// All processes together keep to a share of the requests for a service in
    /// any window, whatever a retry is for.
    Shared {
        /// Retries for a hundred requests.
        percent: u32,
        /// Retries that are allowed beside.
        slack: u32,
        /// The window.
        window: Duration,
    },
}

/// How requests that may crash upstreams are found out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectPolicy {
    /// A request that was in progress when an upstream died runs alone.
    RunAlone,
    /// Requests are counted with the upstreams that ended while they ran.
    ///
    /// Where upstreams often lose connections without dying, running every
    /// suspect alone would keep an engine from all others for each of them.
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
