//! What the system keeps in the platform's key-value service, and how it is written.

mod cache;
mod writes;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::catalogue::{ConfiguredCatalogue, Document};
use crate::collections::OrderedMap;
use crate::id::{
    CallId, DataCentre, Digest, Fence, HostId, Incarnation, LeaseId, ModelName, SiteName, StoreRevision,
    UpstreamId,
};
use crate::units::{Capacity, Watts};

pub use cache::StoreCache;
pub use writes::{WriteOutcome, WriteQueue, WriteRequest};

/// A key of the system's own in the key-value service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Key {
    /// The operators' document.
    Document,
    /// What is served, where that is configured apart from the document.
    Catalogue,
    /// A live process, bound to its lease.
    Member(HostId),
    /// Who owns an engine.
    Owner(UpstreamId),
    /// The engines on which a model may be loaded.
    Homes(ModelName),
    /// How a site's power is shared out.
    Power(SiteName),
    /// A request that may not be repeated, by its key's digest.
    Once(Digest),
}

/// Who wrote a record, so that a lost answer can be settled by reading back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Writer {
    /// The host.
    pub host: HostId,
    /// Which life of its process.
    pub incarnation: Incarnation,
    /// The write within that life.
    pub call: CallId,
}

/// A live process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberRecord {
    /// Which life of the process; a later one has a higher number.
    pub incarnation: Incarnation,
    /// Where callers reach it.
    pub caller_address: SocketAddr,
    /// Where peers reach it.
    pub peer_address: SocketAddr,
    /// Where it runs.
    pub data_centre: DataCentre,
    /// The SHA-256 of the certificate that its peers accept.
    pub fingerprint: Digest,
    /// Whether it is about to go: no new ownership, not in the entry list.
    pub leaving: bool,
    /// What the host can do beside the others.
    pub capacity: Capacity,
}

/// Who owns an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerRecord {
    /// The owning host.
    pub host: HostId,
    /// Which life of its process.
    pub incarnation: Incarnation,
    /// Rises with every change of owner.
    pub fence: Fence,
}

/// The engines on which a model may be loaded.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HomesRecord {
    /// The engines, the preferred one first.
    pub engines: Vec<UpstreamId>,
    /// The engines that the model left last for want of memory, the latest one last.
    pub evicted_from: Vec<UpstreamId>,
}

/// How a site's power is shared out among its engines.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PowerRecord {
    /// The watts that each engine may draw; an absent engine may only sleep.
    pub grants: OrderedMap<UpstreamId, Watts>,
}

/// An answer that is kept to be given again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The value of the `content-type` header.
    pub content_type: Option<String>,
    /// The whole body.
    pub body: Vec<u8>,
}

/// How far a request that may not be repeated has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OnceState {
    /// A host holds it; it may have run.
    Claimed,
    /// It has run, and this was the answer.
    Answered(RecordedAnswer),
    /// It has run, but the answer was too large to keep or was lost.
    AnswerNotKept,
}

/// A request that may not be repeated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OnceRecord {
    /// The digest of method, path and body; another one under the same key is a conflict.
    pub request: Digest,
    /// The host that claimed it.
    pub host: HostId,
    /// Which life of its process.
    pub incarnation: Incarnation,
    /// How far it has come.
    pub state: OnceState,
}

/// The value of a key.
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
    /// Under [`Key::Once`].
    Once(OnceRecord),
}

/// A key's state at a revision of the key-value service.
#[derive(Clone, Debug, PartialEq)]
pub struct Versioned {
    /// The key.
    pub key: Key,
    /// The revision of its last change; of the read, where the key is absent.
    pub revision: StoreRevision,
    /// Who wrote it; absent where the key is absent.
    pub writer: Option<Writer>,
    /// The value; absent where the key is absent.
    pub record: Option<Record>,
}

/// Changes of shared keys that one process passes on to another.
///
/// Single changes may come in any order, so that the highest revision that a
/// process has met says nothing about what it missed. A batch therefore tells
/// over which revisions it is complete.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordBatch {
    /// The revision after which the batch holds the last change of every changed
    /// key; none when it holds every key that has a value.
    pub after: Option<StoreRevision>,
    /// The revision up to which nothing is missing.
    pub upto: StoreRevision,
    /// The keys, deleted ones included where `after` is given.
    pub records: Vec<Versioned>,
}

/// What a write expects to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expect {
    /// No value under the key.
    Absent,
    /// The value last changed at this revision.
    At(StoreRevision),
}

/// A call to the key-value service.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreCall {
    /// Read every key but [`Key::Once`] ones.
    ReadShared,
    /// Read every [`Key::Member`].
    ReadMembers,
    /// Read one key.
    Read(Key),
    /// Write one key if it is as expected.
    Write {
        /// The key.
        key: Key,
        /// What has to stand there.
        expect: Expect,
        /// The new value, or none to delete it.
        record: Option<Record>,
        /// Who writes.
        writer: Writer,
        /// The lease with which the key vanishes.
        lease: Option<LeaseId>,
    },
    /// Begin a lease.
    GrantLease {
        /// How long it lives without being renewed.
        ttl: Duration,
    },
    /// Renew a lease.
    RenewLease(LeaseId),
    /// End a lease and delete its keys.
    RevokeLease(LeaseId),
}

impl StoreCall {
    /// Returns the call's name for logs and metrics.
    pub const fn name(&self) -> &'static str {
        match self {
            Self::ReadShared => "read_shared",
            Self::ReadMembers => "read_members",
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
    /// To [`StoreCall::ReadMembers`].
    Members(Vec<Versioned>),
    /// To [`StoreCall::Read`].
    One(Versioned),
    /// The write took effect at this revision.
    Written(StoreRevision),
    /// The write did nothing; this stood there.
    Conflict(Versioned),
    /// The lease lives.
    Lease {
        /// Its number.
        lease: LeaseId,
        /// How long it lives from when the service got the call.
        ttl: Duration,
    },
    /// There is no such lease any more.
    LeaseGone,
}

/// Why there is no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFailure {
    /// The call can't have had an effect: it never reached the service.
    NotDone,
    /// The call may have had its effect, or may yet have it.
    Unknown,
}

/// What became of a call.
pub type StoreResult = Result<StoreAnswer, StoreFailure>;
