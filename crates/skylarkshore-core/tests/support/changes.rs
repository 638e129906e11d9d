//! Reads of changes at the key-value service by the followers.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use skylarkshore_core::Event;
use skylarkshore_core::follower::{AfterRead, ChangesPage, ChangesRead, ReadOutcome};
use skylarkshore_core::id::{HostId, StoreRevision};
use skylarkshore_core::peer::News;

use super::network::Network;
use super::pages::ITEMS_PER_PAGE;
use super::{Answer, PendingRead, RelayFleet, STEP, StoreAccess};

impl RelayFleet {
    pub(super) fn begin_read(&mut self, name: &HostId, read: ChangesRead) {
        let now = self.now;
        let answer_at = now.after(self.request_delay());
        let host = self.host(name);
        let ends_at = match host.access {
            StoreAccess::Served => now.after(read.wait).max(answer_at),
            StoreAccess::Resets | StoreAccess::Refuses => now.after(STEP),
            StoreAccess::Silent => now.after(read.timeout),
        };
        host.read =
            Some(PendingRead { read, sent_at: now, access: host.access, answer_at, ends_at, answer: None });
    }

    /// Returns the time until the service takes a read of changes; without links, until its answer is there.
    pub(super) fn request_delay(&mut self) -> Duration {
        match self.network {
            Network::Unlimited => Duration::from_millis(self.rng.random_range(10..60)),
            Network::Limited(_) => STEP,
        }
    }

    /// Sends the page of changes that a read waits for, and returns its last revision once it has arrived.
    pub(super) fn answer_read(&mut self, name: &HostId, pending: PendingRead) -> Option<StoreRevision> {
        if matches!(self.network, Network::Unlimited) {
            return Some(self.store.revision());
        }
        if let Some(answer) = pending.answer {
            return answer.arrives_at.is_due(self.now).then_some(answer.upto);
        }
        let upto = self.page_end(pending.read.after);
        let items = usize::try_from(upto.0 - pending.read.after.0).expect("a page has a size");
        let arrives_at = self.now.after(self.answer_delay(name, items));
        let timeout_at = pending.ends_at.after(pending.read.timeout.saturating_sub(pending.read.wait));
        let answer = Some(Answer { upto, arrives_at, timeout_at });
        self.host(name).read = Some(PendingRead { answer, ..pending });
        None
    }

    pub(super) fn run_read(&mut self, name: &HostId) {
        let (now, revision) = (self.now, self.store.revision());
        let Some(host) = self.hosts.get_mut(name) else { return };
        let Some(pending) = host.read else { return };
        let is_served = pending.access == StoreAccess::Served && host.access == StoreAccess::Served;
        let has_changes = is_served && revision > pending.read.after && pending.answer_at.is_due(now);
        let is_late = pending.answer.is_some_and(|answer| answer.timeout_at.is_due(now));
        if !has_changes && !pending.ends_at.is_due(now) {
            return;
        }
        if !is_served || is_late {
            return self.end_unanswered(name, pending.access);
        }
        let upto = if has_changes { self.answer_read(name, pending) } else { Some(revision) };
        let Some(upto) = upto else { return };
        self.host(name).read = None;
        let after = pending.read.after;
        if self.is_history_gone(after) {
            return self.end_watch(name);
        }
        let body: Arc<[u8]> = if has_changes { Vec::from([1]).into() } else { Arc::default() };
        let page = self.page(after, upto, has_changes);
        // After a full page, changes are still missing.
        let age = (page != ChangesPage::Full).then(|| now.since(pending.sent_at));
        self.handle(name, Event::NewsRead(News { after, upto, age, body }));
        if has_changes {
            let changes = self.changes(after, upto);
            self.handle(name, Event::Watched { changes, upto });
        }
        let outcome = ReadOutcome::Answered { upto, page };
        let next = self.host(name).follower.on_read(now, outcome);
        self.go_on(name, next);
    }

    /// Returns how many changes an answer to a read holds.
    pub(super) fn page(&self, after: StoreRevision, upto: StoreRevision, has_changes: bool) -> ChangesPage {
        let is_limited = matches!(self.network, Network::Limited(_));
        match upto.0 - after.0 {
            _ if !has_changes => ChangesPage::Empty,
            changes if is_limited && changes >= ITEMS_PER_PAGE as u64 => ChangesPage::Full,
            _ => ChangesPage::Partial,
        }
    }

    pub(super) fn end_unanswered(&mut self, name: &HostId, access: StoreAccess) {
        let now = self.now;
        let host = self.host(name);
        host.read = None;
        let outcome = match access {
            StoreAccess::Refuses => ReadOutcome::Refused,
            _ => ReadOutcome::Unanswered,
        };
        let next = host.follower.on_read(now, outcome);
        self.go_on(name, next);
    }

    /// Reports whether the service has discarded the changes after a revision.
    pub(super) fn is_history_gone(&self, after: StoreRevision) -> bool {
        matches!(self.network, Network::Limited(_))
            && self.history.front().is_some_and(|(_, first)| after < *first)
    }

    pub(super) fn go_on(&mut self, name: &HostId, next: AfterRead) {
        match next {
            AfterRead::Continue => {}
            AfterRead::ReportUnanswered { asks_peer } => {
                if asks_peer {
                    self.handle(name, Event::NewsMissed { lasts: true });
                }
                self.handle(name, Event::WatchTimedOut);
            }
            AfterRead::ReadState => self.end_watch(name),
        }
    }

    pub(super) fn end_watch(&mut self, name: &HostId) {
        self.host(name).is_watching = false;
        self.handle(name, Event::WatchBroken);
    }
}
