//! What those who face callers and operators need to know of the core's state.

use std::net::SocketAddr;
use std::sync::Arc;

use skylarkshore_core::Node;
use skylarkshore_core::catalogue::Document;
use skylarkshore_core::id::{DataCentre, Digest, HostId, StoreRevision};

/// A live process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Member {
    pub(crate) host: HostId,
    pub(crate) caller_address: SocketAddr,
    pub(crate) peer_address: SocketAddr,
    pub(crate) data_centre: DataCentre,
    pub(crate) fingerprint: Digest,
    pub(crate) leaving: bool,
}

/// A part of the core's state at a moment.
#[derive(Clone, Debug, Default)]
pub(crate) struct Snapshot {
    pub(crate) document: Arc<Document>,
    pub(crate) store_revision: StoreRevision,
    pub(crate) members: Vec<Member>,
    pub(crate) ready: bool,
    pub(crate) leaving: bool,
}

impl Snapshot {
    pub(crate) fn of(node: &Node) -> Self {
        let members = node.cache().members().map(|(host, record)| Member {
            host: host.clone(),
            caller_address: record.caller_address,
            peer_address: record.peer_address,
            data_centre: record.data_centre.clone(),
            fingerprint: record.fingerprint,
            leaving: record.leaving,
        });
        Self {
            document: Arc::clone(node.document()),
            store_revision: node.cache().newest(),
            members: members.collect(),
            ready: node.is_ready(),
            leaving: node.is_leaving(),
        }
    }

    /// Tells whether something that can be seen at once has changed.
    ///
    /// A late change of a single member may not show; it is taken over with the
    /// next regular look.
    pub(crate) fn is_outdated(&self, node: &Node) -> bool {
        !Arc::ptr_eq(&self.document, node.document())
            || self.store_revision != node.cache().newest()
            || self.ready != node.is_ready()
            || self.leaving != node.is_leaving()
    }
}
