//! Reads of many keys, which the service answers in pages.

use std::time::Duration;

use skylarkshore_core::Event;
use skylarkshore_core::id::{CallId, HostId, StoreRevision};
use skylarkshore_core::store::{StoreAnswer, StoreFailure, StoreResult};

use super::{Arrival, RelayFleet, StoreAccess};

/// Items of a page, which the service limits.
pub const ITEMS_PER_PAGE: usize = 500;
/// Size of an item in an answer of the service.
pub const ITEM_BYTES: usize = 600;
/// Time-out of the call for one page.
const PAGE_TIMEOUT: Duration = Duration::from_millis(700);

/// A read that has some of its pages.
#[derive(Clone, Debug)]
pub struct PagedRead {
    pub call: CallId,
    /// The result once all pages are there.
    pub result: StoreResult,
    /// The items that haven't been read yet.
    pub left: usize,
}

impl PagedRead {
    pub fn new(call: CallId, answer: StoreAnswer) -> Self {
        let left = match &answer {
            StoreAnswer::Shared { records, .. } => records.len(),
            _ => 1,
        };
        Self { call, result: Ok(answer), left }
    }
}

impl RelayFleet {
    pub(super) fn request_page(&mut self, name: &HostId, read: PagedRead) {
        let items = read.left.min(ITEMS_PER_PAGE);
        let delay = self.answer_delay(name, items);
        if delay > PAGE_TIMEOUT {
            let event = Event::Store { call: read.call, result: Err(StoreFailure::Unknown) };
            return self.send_event(name, event, PAGE_TIMEOUT);
        }
        self.send_arrival(name, Arrival::Page(read), delay);
    }

    pub(super) fn on_page(&mut self, name: &HostId, mut read: PagedRead) {
        let Some(host) = self.hosts.get(name) else { return };
        if host.access != StoreAccess::Served {
            return self.handle(name, Event::Store { call: read.call, result: Err(StoreFailure::Unknown) });
        }
        read.left = read.left.saturating_sub(ITEMS_PER_PAGE);
        if read.left == 0 {
            return self.handle(name, Event::Store { call: read.call, result: read.result });
        }
        self.request_page(name, read);
    }

    /// Returns how long an answer with items takes.
    pub(super) fn answer_delay(&mut self, name: &HostId, items: usize) -> Duration {
        let bytes = u64::try_from(items * ITEM_BYTES).expect("a page has a size");
        self.network.answer_delay(self.now, name, bytes, &mut self.rng)
    }

    /// Returns the last revision of the page of changes after a revision.
    pub(super) fn page_end(&self, after: StoreRevision) -> StoreRevision {
        let items = u64::try_from(ITEMS_PER_PAGE).expect("a page has a size");
        self.store.revision().min(StoreRevision(after.0 + items))
    }
}
