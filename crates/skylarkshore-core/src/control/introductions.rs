//! Reads the member keys of processes that connect before they are known. Start reading at [`Introductions`].

use std::time::Duration;

use crate::collections::OrderedMap;
use crate::config::Watchers;
use crate::cx::Cx;
use crate::effect::Effect;
use crate::id::HostId;
use crate::store::{Key, StoreCall};
use crate::time::Time;

/// Minimum interval between two reads of one member key.
const READ_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of member keys read in that interval; any process can claim to be any host.
const MAX_READS: usize = 64;

/// The unknown processes whose member keys were read.
#[derive(Debug, Default)]
pub(super) struct Introductions {
    read_at: OrderedMap<HostId, Time>,
}

impl Introductions {
    /// Reads the member key of the host that an unknown process claims to be.
    ///
    /// A single key costs the service the same however many members there are.
    pub(super) fn on_unknown_peer(&mut self, cx: &mut Cx<'_>, host: &HostId) {
        if cx.cfg.watchers != Watchers::Relayed {
            return;
        }
        self.read_at.retain(|_, at| !at.after(READ_INTERVAL).is_due(cx.now));
        if self.read_at.contains_key(host) || self.read_at.len() >= MAX_READS {
            return;
        }
        self.read_at.insert(host.clone(), cx.now);
        let call = cx.next_call();
        cx.push(Effect::Store { call, request: StoreCall::Read(Key::Member(host.clone())) });
    }
}
