//! The records in the platform's key-value service, and the calls that read and write them.
//! Start with [`Key`] and [`Record`].

mod cache;
mod writes;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::catalogue::{ConfiguredCatalogue, Document};
use crate::collections::OrderedMap;
use crate::id::{
    CallId, DataCentre, Digest, Fence, HostId, Incarnation, LeaseId, ModelName, SiteName, StoreEra,
    StoreRevision, UpstreamId,
};
use crate::units::{Capacity, Watts};

pub(crate) use cache::HomesContext;
pub use cache::StoreCache;
pub use writes::{WriteOutcome, WriteQueue, WriteRequest};

/// A key of this system in the key-value service.
///
/// All keys but [`Key::Once`] are shared: every process keeps a copy of them in its
/// [`StoreCache`].
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Key {
    /// The operators' document.
    Document,
    /// The catalogue, if it is configured separately from the document.
    Catalogue,
    /// A live process; the key is attached to its lease.
    Member(HostId),
    /// The owner of an engine.
    Owner(UpstreamId),
    /// The homes of a model: the engines on which it may be loaded.
    Homes(ModelName),
    /// The power grants of a site.
    Power(SiteName),
    /// The process of a data centre that reads the service for the others; see [`RelayRootRecord`].
    RelayRoot(DataCentre),
    /// A request with an idempotency key, which runs at most once; by the digest of that key,
    /// the caller and the service.
    Once(Digest),
}

/// The origin of one write, stored with the record.
///
/// If the answer to a write is lost, the process reads the key and recognises its own write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Writer {
    /// The host.
    pub host: HostId,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// The write within that incarnation.
    pub call: CallId,
}

/// A live process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberRecord {
    /// The incarnation of the process; it rises with every start.
    pub incarnation: Incarnation,
    /// The address for callers.
    pub caller_address: SocketAddr,
    /// The address for peers.
    pub peer_address: SocketAddr,
    /// The data centre that it runs in.
    pub data_centre: DataCentre,
    /// The SHA-256 digest of its certificate, which peers accept.
    pub fingerprint: Digest,
    /// Whether it is shutting down: it becomes the owner of no further engine and is left out
    /// of the entry list, which tells callers the hosts to use.
    pub leaving: bool,
    /// The host's capacity relative to the others.
    pub capacity: Capacity,
}

/// The owner of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerRecord {
    /// The owning host.
    pub host: HostId,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// The fencing token, which rises with every change of owner.
    pub fence: Fence,
}

impl OwnerRecord {
    /// Reports whether the engine was taken over in an era of the key-value service, or in a later one.
    pub fn is_of_era(&self, era: StoreEra) -> bool {
        self.fence >= Fence::first_of(era)
    }
}

/// The homes of a model: the engines on which it may be loaded.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HomesRecord {
    /// The engines in order of preference.
    pub engines: Vec<UpstreamId>,
    /// The engines that the model last moved away from for lack of memory, the most recent last.
    pub evicted_from: Vec<UpstreamId>,
}

/// How a site's power is divided among its engines.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PowerRecord {
    /// The watts that each engine may draw; an engine without a grant may only draw
    /// its [`sleep_watts`](crate::upstream::EngineSpec::sleep_watts).
    pub grants: OrderedMap<UpstreamId, Watts>,
}

/// The process of a data centre that reads the shared keys for those that start after it.
///
/// The key isn't attached to a lease: a process that starts while no other runs still learns from it
/// how many there are.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayRootRecord {
    /// The host.
    pub host: HostId,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// The number of members that it knew; none while it hasn't read the shared keys yet.
    pub members: Option<u32>,
}

/// An answer that is recorded and replayed when the request is repeated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The value of the `content-type` header.
    pub content_type: Option<String>,
    /// The whole body.
    pub body: Vec<u8>,
}

/// The progress of an at-most-once request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OnceState {
    /// A host has claimed it; it may have run.
    Claimed,
    /// It ran and returned this answer.
    Answered(RecordedAnswer),
    /// It ran, but the answer was too large to record or was lost.
    AnswerNotKept,
}

/// The record of an at-most-once request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OnceRecord {
    /// The digest of method, path and body; a different one under the same key is a conflict.
    pub request: Digest,
    /// The host that claimed it.
    pub host: HostId,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// Its progress.
    pub state: OnceState,
}

/// The value of a key, one variant for each kind of [`Key`].
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// Under [`Key::Document`].
    Document(Arc<Document>),
    /// Under [`Key::Catalogue`].
    Catalogue(Arc<ConfiguredCatalogue>),
    /// Under [`Key::Member`].
    Member(MemberRecord),
    /// Under [`Key::Owner`].
    Owner(OwnerRecord),
    /// Under [`Key::Homes`].
    Homes(HomesRecord),
    /// Under [`Key::Power`].
    Power(PowerRecord),
    /// Under [`Key::RelayRoot`].
    RelayRoot(RelayRootRecord),
    /// Under [`Key::Once`].
    Once(OnceRecord),
}

/// A key's state at a revision of the key-value service.
#[derive(Clone, Debug, PartialEq)]
pub struct Versioned {
    /// The key.
    pub key: Key,
    /// The revision of its last change, which may be a deletion; the revision of the read if
    /// a read showed that the key is absent.
    pub revision: StoreRevision,
    /// The write that set the value; none if the key is absent.
    pub writer: Option<Writer>,
    /// The value; none if the key is absent.
    pub record: Option<Record>,
}

/// Changes of shared keys that one process forwards to another.
///
/// Single changes can arrive in any order, so the highest revision that a process has
/// received doesn't show what it missed. A batch therefore states the range of revisions
/// for which it is complete.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordBatch {
    /// The exclusive start of the range: the batch holds the latest state of every key that
    /// changed after it. None if the batch is a snapshot of every key that has a value.
    pub after: Option<StoreRevision>,
    /// The inclusive end of the range.
    pub upto: StoreRevision,
    /// The keys, including deleted ones if `after` is given.
    pub records: Vec<Versioned>,
}

/// The precondition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expect {
    /// The key has no value.
    Absent,
    /// The key has a value that last changed at this revision.
    At(StoreRevision),
}

/// A call to the key-value service.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreCall {
    /// Read every key but [`Key::Once`] ones.
    ReadShared,
    /// Read one key.
    Read(Key),
    /// Write one key if its precondition holds.
    Write {
        /// The key.
        key: Key,
        /// The precondition.
        expect: Expect,
        /// The new value; none deletes the key.
        record: Option<Record>,
        /// The origin of this write.
        writer: Writer,
        /// The lease that the key is attached to.
        lease: Option<LeaseId>,
    },
    /// Grant a lease.
    GrantLease {
        /// How long it lives without a renewal.
        ttl: Duration,
    },
    /// Renew a lease.
    RenewLease(LeaseId),
    /// Revoke a lease, which deletes its keys.
    RevokeLease(LeaseId),
}

impl StoreCall {
    /// Returns the call's name for logs and metrics.
    pub const fn name(&self) -> &'static str {
        match self {
            Self::ReadShared => "read_shared",
            Self::Read(_) => "read",
            Self::Write { .. } => "write",
            Self::GrantLease { .. } => "grant_lease",
            Self::RenewLease(_) => "renew_lease",
            Self::RevokeLease(_) => "revoke_lease",
        }
    }
}

/// The key-value service's answer.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreAnswer {
    /// To [`StoreCall::ReadShared`].
    Shared {
        /// The revision of the read.
        revision: StoreRevision,
        /// Every key that has a value.
        records: Vec<Versioned>,
    },
    /// To [`StoreCall::Read`].
    One(Versioned),
    /// The write took effect at this revision.
    Written(StoreRevision),
    /// The precondition didn't hold; this was found.
    Conflict(Versioned),
    /// The lease is alive.
    Lease {
        /// Its number.
        lease: LeaseId,
        /// Its remaining time, counted from when the service received the call.
        ttl: Duration,
    },
    /// The lease no longer exists.
    LeaseGone,
}

/// Why a call got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFailure {
    /// The call never reached the service, so it had no effect.
    NotDone,
    /// The call may have taken effect, or may still do so.
    Unknown,
}

/// The result of a call.
pub type StoreResult = Result<StoreAnswer, StoreFailure>;
