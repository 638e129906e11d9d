//! Keeps the record of the process that reads the shared keys for those that start. Start reading at [`RelayRoot`].

use std::time::Duration;

use crate::config::Watchers;
use crate::cx::Cx;
use crate::id::StoreRevision;
use crate::store::{Expect, Key, Record, RelayRootRecord, WriteRequest};
use crate::time::Time;

/// The largest cluster whose processes all read the shared keys themselves when they start.
///
/// Each needs a few calls, so that the service, which bears about two thousand reads a second, answers all
/// of them within half a second. Reading through others takes longer.
pub(super) const MAX_READING_MEMBERS: u32 = 128;
/// Interval between two checks of the record.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
const WRITE_DEADLINE: Duration = Duration::from_secs(2);

/// The writes of the record by this process.
#[derive(Debug, Default)]
pub(super) struct RelayRoot {
    is_writing: bool,
    next_check: Time,
}

impl RelayRoot {
    /// Writes the record if it doesn't name the root of the tree, or a wrong kind of cluster.
    ///
    /// A process that has claimed the record at its start completes it, whether it is the root or not.
    pub(super) fn on_tick(&mut self, cx: &mut Cx<'_>, is_root: bool) {
        if cx.cfg.watchers != Watchers::Relayed || self.is_writing || !self.next_check.is_due(cx.now) {
            return;
        }
        self.next_check = cx.now.after(CHECK_INTERVAL);
        let members = u32::try_from(cx.cache.members().count()).unwrap_or(u32::MAX);
        let (expect, recorded) = recorded(cx);
        let is_own =
            recorded.is_some_and(|root| root.host == cx.cfg.host && root.incarnation == cx.cfg.incarnation);
        let is_right =
            recorded.and_then(|root| root.members).is_some_and(|known| is_small(known) == is_small(members));
        if is_own && is_right || !is_own && !is_root {
            return;
        }
        self.is_writing = true;
        let record = RelayRootRecord {
            host: cx.cfg.host.clone(),
            incarnation: cx.cfg.incarnation,
            members: Some(members),
        };
        cx.log_event("relay_root_recorded", cx.cfg.host.clone(), format!("members={members}"));
        cx.write(WriteRequest {
            key: Key::RelayRoot(cx.cfg.data_centre.clone()),
            expect,
            record: Some(Record::RelayRoot(record)),
            lease: None,
            deadline: cx.now.after(WRITE_DEADLINE),
        });
    }

    /// Handles the outcome of a write of the record.
    ///
    /// A conflict shows who else has written it; the next check decides by that.
    pub(super) const fn on_write(&mut self) {
        self.is_writing = false;
    }
}

const fn is_small(members: u32) -> bool {
    members <= MAX_READING_MEMBERS
}

/// Returns the precondition of the next write, and the record.
fn recorded<'a>(cx: &Cx<'a>) -> (Expect, Option<&'a RelayRootRecord>) {
    let entry = cx.cache.get(&Key::RelayRoot(cx.cfg.data_centre.clone()));
    match entry.map(|entry| (entry.revision, entry.record.as_ref())) {
        Some((revision, Some(Record::RelayRoot(root)))) if revision > StoreRevision(0) => {
            (Expect::At(revision), Some(root))
        }
        _ => (Expect::Absent, None),
    }
}
