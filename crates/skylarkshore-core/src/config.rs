//! What a process is told about itself, and the times it keeps.

use std::net::SocketAddr;
use std::time::Duration;

use crate::id::{DataCentre, Digest, HostId, Incarnation};

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
}

/// How long things take and may take.
#[derive(Clone, Debug)]
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
    /// How long an order of unknown outcome keeps its memory when reports don't settle it.
    pub order_settle: Duration,
    /// How long routers are given to stop sending before a model is unloaded.
    pub close_grace: Duration,
    /// How long a caller may keep an answer to the question which hosts to use.
    pub entry_ttl: Duration,
    /// How long an engine that the host list no longer names keeps its homes.
    pub gone_after: Duration,
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
            order_settle: Duration::from_secs(30),
            close_grace: Duration::from_secs(2),
            entry_ttl: Duration::from_secs(10),
            gone_after: Duration::from_secs(30),
        }
    }
}

/// How much a process takes on.
#[derive(Clone, Debug)]
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
        }
    }
}
