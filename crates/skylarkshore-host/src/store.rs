//! The key-value service behind a trait object, so that another platform is one more file.

mod etcd;

use std::pin::Pin;

use skylarkshore_core::id::StoreRevision;
use skylarkshore_core::peer::{News, StatePart};
use skylarkshore_core::store::{StoreCall, StoreResult, Versioned};

pub(crate) use etcd::EtcdStore;

/// A future that a trait object returns.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// The key-value service.
pub trait Store: Send + Sync {
    /// Makes a call, which ends within the time-out from the settings.
    ///
    /// `NotDone` is only returned when no connection could be made.
    fn call(&self, call: StoreCall) -> BoxFuture<'_, StoreResult>;

    /// Watches the shared keys and returns when the watch breaks.
    fn watch<'a>(&'a self, from: StoreRevision, sink: &'a dyn WatchSink) -> BoxFuture<'a, ()>;

    /// Takes news that a peer has read, in place of reading it here.
    fn take_news(&self, _news: News) {}

    /// Takes a part of all that a peer knows of the service, in place of reading it here.
    fn take_state(&self, _part: StatePart) {}

    /// Has the watch go on waiting for a peer's state.
    fn await_state(&self) {}

    /// Has the watch read for itself until peers tell something again.
    fn read_on(&self) {}

    /// Packs all that is known of the service for peers, given the shared keys.
    fn state(&self, _series: u64, _upto: StoreRevision, _records: &[Versioned]) -> Vec<StatePart> {
        Vec::new()
    }

    /// Has the watch read often, since others wait for what it reads.
    fn read_for_others(&self, _is_wanted: bool) {}
}

/// What the watch has seen.
#[derive(Debug)]
pub struct Seen {
    /// The changes in their order.
    pub changes: Vec<Versioned>,
    /// The revision up to which nothing is missing.
    pub upto: StoreRevision,
}

/// Where a watch puts what it sees.
pub trait WatchSink: Send + Sync {
    /// Takes what was seen.
    fn seen(&self, seen: Seen) -> BoxFuture<'_, ()>;

    /// Takes what others may want to know.
    fn read(&self, news: News) -> BoxFuture<'_, ()>;

    /// Takes all that a peer knows of the shared keys.
    fn state(&self, upto: StoreRevision, records: Vec<Versioned>) -> BoxFuture<'_, ()>;

    /// Takes note that news from peers doesn't go on where the last one ended.
    ///
    /// It `lasts` once it has been so for a while.
    fn missed(&self, lasts: bool) -> BoxFuture<'_, ()>;

    /// Takes note that no answer came in time.
    fn unanswered(&self) -> BoxFuture<'_, ()>;
}
