//! Sends the shared keys to members that request them. Start reading at [`StateProvider`].

use std::time::Duration;

use super::relay_tree::fan_out;
use super::store_sync::StoreSync;
use crate::collections::OrderedMap;
use crate::cx::Cx;
use crate::effect::Effect;
use crate::id::{HostId, StoreRevision};
use crate::peer::PeerMessage;
use crate::time::Time;

/// How soon the state is sent again to a member that repeats its request.
const RESEND_INTERVAL: Duration = Duration::from_secs(4);
/// How long a state counts as on its way if its receiver doesn't confirm it.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(3);
/// Divisor of the number of hosts that a host serves at once; a state is far larger than other messages.
const FAN_OUT_DIVISOR: usize = 4;
const MIN_TRANSFERS: usize = 2;

/// A state that was sent to a member.
#[derive(Clone, Copy, Debug)]
struct Transfer {
    sent_at: Time,
    is_confirmed: bool,
}

/// The members to which the state was sent.
#[derive(Debug, Default)]
pub(super) struct StateProvider {
    transfers: OrderedMap<HostId, Transfer>,
    sent: u64,
    refused: u64,
}

impl StateProvider {
    /// Sends the state to a member, if this process knows it and its link has room.
    ///
    /// A request that isn't served gets no answer; its sender asks another member. Reports whether it is served.
    pub(super) fn on_request(&mut self, cx: &mut Cx<'_>, sync: &StoreSync, from: &HostId) -> bool {
        if !sync.is_synced() {
            self.refused += 1;
            return false;
        }
        self.transfers.retain(|_, transfer| !transfer.sent_at.after(RESEND_INTERVAL).is_due(cx.now));
        if self.transfers.contains_key(from) {
            cx.send(from, PeerMessage::StateComing);
            return true;
        }
        let running = self.transfers.values().filter(|transfer| transfer.is_running(cx.now)).count();
        if running >= (fan_out(cx.cfg.capacity) / FAN_OUT_DIVISOR).max(MIN_TRANSFERS) {
            self.refused += 1;
            cx.log_event("state_not_sent", from, format!("it is on its way to {running} others"));
            return false;
        }
        self.transfers.insert(from.clone(), Transfer { sent_at: cx.now, is_confirmed: false });
        self.sent += 1;
        cx.send(from, PeerMessage::StateComing);
        send_state(cx, sync, from);
        true
    }

    /// Returns how many states were sent since the start.
    pub(super) const fn sent(&self) -> u64 {
        self.sent
    }

    /// Returns how many requests for the state weren't served since the start.
    pub(super) const fn refused(&self) -> u64 {
        self.refused
    }

    /// Records that a member knows the shared keys.
    pub(super) fn on_heartbeat(&mut self, from: &HostId, store: StoreRevision) {
        if store > StoreRevision(0)
            && let Some(transfer) = self.transfers.get_mut(from)
        {
            transfer.is_confirmed = true;
        }
    }
}

impl Transfer {
    fn is_running(&self, now: Time) -> bool {
        !self.is_confirmed && !self.sent_at.after(TRANSFER_TIMEOUT).is_due(now)
    }
}

fn send_state(cx: &mut Cx<'_>, sync: &StoreSync, to: &HostId) {
    let all_entries = cx.cache.changes_after(StoreRevision(0));
    let records: Vec<_> = all_entries.filter(|entry| entry.record.is_some()).cloned().collect();
    let series = rand::Rng::random(cx.rng);
    cx.log_event("state_sent", to, format!("revision={} shared_keys={}", sync.frontier(), records.len()));
    let age = sync.complete_at().map(|at| cx.now.since(at));
    cx.push(Effect::SendState { to: vec![to.clone()], series, upto: sync.frontier(), age, records });
}
