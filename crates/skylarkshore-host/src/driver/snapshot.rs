//! Snapshots of the core's state for the caller, peer and operator interfaces.

use std::net::SocketAddr;
use std::sync::Arc;

use skylarkshore_core::catalogue::Document;
use skylarkshore_core::id::{DataCentre, Digest, HostId, Incarnation, StoreRevision};
use skylarkshore_core::{Node, Time};

/// A live process of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The host's name.
    pub host: HostId,
    /// The address for callers.
    pub caller_address: SocketAddr,
    /// The address for peers.
    pub peer_address: SocketAddr,
    /// The host's data centre.
    pub data_centre: DataCentre,
    /// The SHA-256 of the certificate that it uses towards peers.
    pub fingerprint: Digest,
    /// Whether it is shutting down.
    pub leaving: bool,
}

/// The part of the core's state that the interfaces read, at one moment.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The incarnation of this process, which may rise before it registers.
    pub incarnation: Incarnation,
    /// The operators' document in force.
    pub document: Arc<Document>,
    /// The highest revision of the key-value service seen so far.
    pub store_revision: StoreRevision,
    /// The live processes.
    pub members: Arc<Vec<Member>>,
    /// The version of `members`; see `StoreCache::members_version`.
    members_version: u64,
    /// The time of which no earlier change is missing in the document; `None` while that isn't known.
    pub complete_at: Option<Time>,
    /// Whether the process has the document and upstreams that it needs to serve.
    pub ready: bool,
    /// Whether the process is shutting down.
    pub leaving: bool,
    /// Whether another process acts, or may act, under this host's name.
    pub on_standby: bool,
}

impl Snapshot {
    /// Creates the snapshot of a process that has just started.
    pub(crate) fn at_start(incarnation: Incarnation) -> Self {
        Self { incarnation, ..Self::default() }
    }

    /// Takes a snapshot of a node; reuses the previous member list if it is unchanged.
    pub(crate) fn of(node: &Node, before: &Self) -> Self {
        let version = node.cache().members_version();
        let is_unchanged = version == before.members_version;
        let members =
            if is_unchanged { Arc::clone(&before.members) } else { Arc::new(collect_members(node)) };
        Self {
            incarnation: node.config().incarnation,
            document: Arc::clone(node.document()),
            store_revision: node.cache().latest_revision(),
            members,
            members_version: version,
            complete_at: node.complete_at(),
            ready: node.is_ready(),
            leaving: node.is_leaving(),
            on_standby: node.is_on_standby(),
        }
    }

    /// Reports whether a change is visible by a cheap comparison.
    ///
    /// A late change of a single member may be missed; the next periodic snapshot
    /// includes it.
    pub(crate) fn is_outdated(&self, node: &Node) -> bool {
        !Arc::ptr_eq(&self.document, node.document())
            || self.store_revision != node.cache().latest_revision()
            || self.members_version != node.cache().members_version()
            || self.complete_at != node.complete_at()
            || self.ready != node.is_ready()
            || self.leaving != node.is_leaving()
            || self.on_standby != node.is_on_standby()
            || self.incarnation != node.config().incarnation
    }
}

fn collect_members(node: &Node) -> Vec<Member> {
    let members = node.cache().members().map(|(host, record)| Member {
        host: host.clone(),
        caller_address: record.caller_address,
        peer_address: record.peer_address,
        data_centre: record.data_centre.clone(),
        fingerprint: record.fingerprint,
        leaving: record.leaving,
    });
    members.collect()
}
