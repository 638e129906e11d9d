//! The interface to the key-value service, implemented once per platform. Start with [`Store`].

mod etcd;

use std::pin::Pin;

use skylarkshore_core::id::StoreRevision;
use skylarkshore_core::peer::{News, StatePart};
use skylarkshore_core::store::{StoreCall, StoreResult, Versioned};

pub(crate) use etcd::EtcdStore;

/// A boxed future, for object-safe traits.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// A client of the key-value service.
pub trait Store: Send + Sync {
    /// Makes a call; it ends within the configured time-out.
    ///
    /// `NotDone` is returned only if no connection could be made.
    fn call(&self, call: StoreCall) -> BoxFuture<'_, StoreResult>;

    /// Watches the shared keys; returns when the watch breaks.
    fn watch<'a>(&'a self, from: StoreRevision, sink: &'a dyn WatchSink) -> BoxFuture<'a, ()>;

    /// Queues news (changes of the service's state) that a peer has read, to apply it instead of reading it from
    /// the service.
    fn queue_news(&self, _news: News) {}

    /// Queues a part of a peer's copy of the service's state, to apply it instead of reading it from the service.
    fn queue_state(&self, _part: StatePart) {}

    /// Extends the watch's wait for a peer's state.
    fn extend_state_wait(&self) {}

    /// Makes the watch read from the service until news from peers resumes; what they have sent stays.
    fn read_missed(&self) {}

    /// Packs a copy of the service's state into messages for peers, given the records of the shared keys.
    fn state(&self, _series: u64, _upto: StoreRevision, _records: &[Versioned]) -> Vec<StatePart> {
        Vec::new()
    }

    /// Makes the watch read frequently, because peers depend on what it reads.
    fn read_for_peers(&self, _is_wanted: bool) {}
}

/// A batch of changes from the watch.
#[derive(Debug)]
pub struct ChangeBatch {
    /// The changes in order.
    pub changes: Vec<Versioned>,
    /// The revision up to which the changes are complete.
    pub upto: StoreRevision,
}

/// Receives the results of a watch.
pub trait WatchSink: Send + Sync {
    /// Receives a batch of changes.
    fn on_changes(&self, batch: ChangeBatch) -> BoxFuture<'_, ()>;

    /// Receives news that peers may need.
    fn on_own_read(&self, news: News) -> BoxFuture<'_, ()>;

    /// Receives a peer's copy of the shared keys.
    fn on_peer_state(&self, upto: StoreRevision, records: Vec<Versioned>) -> BoxFuture<'_, ()>;

    /// Reports a gap between the last news from peers and the next.
    ///
    /// `lasts` is set once the gap has persisted for a while.
    fn on_news_gap(&self, lasts: bool) -> BoxFuture<'_, ()>;

    /// Reports that the service didn't answer in time.
    fn on_unanswered(&self) -> BoxFuture<'_, ()>;
}
