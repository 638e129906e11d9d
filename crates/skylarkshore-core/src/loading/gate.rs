//! The weight-store gate: grants load slots for all processes and limits concurrent
//! loads. One process hosts it at a time.

use std::time::Duration;

use derive_more::Display;

use crate::collections::OrderedMap;
use crate::cx::Cx;
use crate::dump::DumpEntry;
use crate::id::{HostId, ModelName, UpstreamId};
use crate::loading::concurrency_limit::ConcurrencyLimit;
use crate::peer::PeerMessage;
use crate::rules::ServiceOrder;
use crate::time::Time;
use crate::units::LoadRate;

/// How often the process that was granted a slot, its holder, renews it.
pub(crate) const RENEW_INTERVAL: Duration = Duration::from_secs(2);
/// After how long a slot that is not renewed is given to others. Two renewals in a row may be lost.
///
/// The holder may be gone, or its release lost. If the limit is one load at a time,
/// such a slot blocks the store for all: held for 35 s, it kept every model from
/// being fetched until long after a fault, and callers of models without a copy on
/// disk were refused. If the holder was only paused for longer, its load and the
/// next one run at the same time.
const SLOT_TTL: Duration = RENEW_INTERVAL.saturating_mul(3).saturating_add(Duration::from_secs(1));
/// Time without a renewal after which the measured length of the slot's load is invalid.
const HOLDER_TIMEOUT: Duration = RENEW_INTERVAL.saturating_mul(2).saturating_add(Duration::from_millis(500));
/// Gap between two checks above which this process is taken to have been paused.
const OWN_PAUSE_THRESHOLD: Duration = Duration::from_secs(2);
/// How long a queued load stays in the queue without a new request.
pub(crate) const QUEUE_TTL: Duration = Duration::from_secs(2);
/// Identifies a load.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display("{model}@{engine}")]
pub(crate) struct LoadKey {
    /// The engine that loads.
    pub engine: UpstreamId,
    /// The model, or the base model of the adapter.
    pub model: ModelName,
}

/// The urgency of the requests that wait for a load.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Urgency {
    /// Their service order.
    pub service_order: ServiceOrder,
    /// Their longest remaining wait.
    pub max_wait: Duration,
}

/// Returns the rate at which loads may start in the whole deployment.
pub(crate) fn rate(cx: &Cx<'_>) -> LoadRate {
    let by_settings = LoadRate(cx.cfg.limits.loads_per_second.saturating_mul(1000));
    cx.document.catalogue.load_rate.unwrap_or(by_settings)
}

/// A load that waits for a slot.
#[derive(Clone, Debug)]
struct QueuedLoad {
    from: HostId,
    service_order: ServiceOrder,
    deadline: Time,
    since: Time,
    expires: Time,
}

/// A load that holds a slot.
#[derive(Clone, Debug)]
struct GrantedSlot {
    from: HostId,
    since: Time,
    /// When the slot was last renewed.
    renewed: Time,
    /// Whether the holder or this process was paused meanwhile.
    ///
    /// The end of the load is then noticed late. With the time until then as its
    /// length, the store would seem slow and callers would be refused.
    was_paused: bool,
    /// How many other loads ran when the slot was granted.
    ///
    /// Loads that start later do not slow this one down, since the store sets a load's
    /// rate at its start. With the maximum during the load instead, a load that
    /// started alone and ended in time doubled the limit on a store that sustains one.
    concurrent_at_start: usize,
    expires: Time,
}

/// State of the weight-store gate.
#[derive(Debug, Default)]
pub(crate) struct Gate {
    /// When running loads were last checked.
    last_checked: Time,
    queue: OrderedMap<LoadKey, QueuedLoad>,
    granted: OrderedMap<LoadKey, GrantedSlot>,
    /// Start times of recent loads within the rate's window.
    starts: Vec<Time>,
    concurrency_limit: ConcurrencyLimit,
}

impl Gate {
    /// Queues a load, or grants its slot again if the sender holds it already.
    pub(crate) fn request(&mut self, cx: &mut Cx<'_>, from: &HostId, key: &LoadKey, urgency: Urgency) {
        if self.granted.get(key).is_some_and(|granted| granted.from == *from) {
            self.renew(cx, from, key);
            send_granted(cx, from, key);
            return;
        }
        let since = self.queue.get(key).map_or(cx.now, |queued| queued.since);
        let queued = QueuedLoad {
            from: from.clone(),
            service_order: urgency.service_order,
            deadline: cx.now.after(urgency.max_wait),
            since,
            expires: cx.now.after(QUEUE_TTL),
        };
        self.queue.insert(key.clone(), queued);
        self.grant_due(cx);
        if let Some(entry) = self.queue.get(key) {
            let ahead = self.queue.values().filter(|other| rank(other) < rank(entry)).count();
            let wait = self.expected_wait(cx, ahead);
            let (upstream, model) = (key.engine.clone(), key.model.clone());
            cx.send(from, PeerMessage::LoadSlotQueued { upstream, model, wait });
        }
    }

    /// Records that a load is in progress, whoever granted its slot.
    pub(crate) fn renew(&mut self, cx: &Cx<'_>, from: &HostId, key: &LoadKey) {
        self.queue.remove(key);
        let granted = self.granted.entry(key.clone()).or_insert_with(|| GrantedSlot {
            from: from.clone(),
            since: cx.now,
            renewed: cx.now,
            // The load started earlier, so its measured length is invalid.
            was_paused: true,
            concurrent_at_start: 0,
            expires: cx.now,
        });
        granted.was_paused |= granted.renewed.after(HOLDER_TIMEOUT).is_due(cx.now);
        granted.from.clone_from(from);
        granted.renewed = cx.now;
        granted.expires = cx.now.after(SLOT_TTL);
    }

    /// Removes a load from the queue, or ends its slot if the sender holds it.
    pub(crate) fn release(&mut self, cx: &mut Cx<'_>, from: &HostId, key: &LoadKey) {
        self.detect_own_pause(cx.now);
        if self.granted.get(key).is_some_and(|granted| granted.from == *from) {
            self.record_end(cx, key);
        }
        if self.queue.get(key).is_some_and(|queued| queued.from == *from) {
            self.queue.remove(key);
        }
        self.grant_due(cx);
    }

    /// Marks running loads as unmeasurable if this process was paused.
    ///
    /// Messages received during the pause are handled before the next tick. A slot
    /// released meanwhile would seem used until now, the store would seem slow, and
    /// callers would be refused.
    fn detect_own_pause(&mut self, now: Time) {
        if self.last_checked.after(OWN_PAUSE_THRESHOLD).is_due(now) {
            self.granted.values_mut().for_each(|granted| granted.was_paused = true);
        }
        self.last_checked = now;
    }

    /// Updates the concurrency limit from loads in progress.
    pub(crate) fn update_concurrency_limit(&mut self, cx: &mut Cx<'_>) {
        self.detect_own_pause(cx.now);
        for (key, granted) in &self.granted {
            let Some(model) = cx.document.catalogue.models.get(&key.model) else { continue };
            // The load is known to run only until its last renewal.
            let so_far = granted.renewed.since(granted.since);
            if !granted.was_paused {
                self.concurrency_limit.record_running(
                    cx,
                    model.load_time,
                    so_far,
                    granted.concurrent_at_start,
                );
            }
        }
    }

    /// Estimates how long a load with `ahead` loads before it waits for a slot.
    fn expected_wait(&self, cx: &Cx<'_>, ahead: usize) -> Duration {
        let limit = self.concurrency_limit.limit(cx);
        let mut ends: Vec<Duration> = self
            .granted
            .iter()
            .filter_map(|(key, granted)| {
                let model = cx.document.catalogue.models.get(&key.model)?;
                Some(granted.since.after(model.load_time).remaining(cx.now))
            })
            .collect();
        ends.sort_unstable();
        let spare = limit.saturating_sub(ends.len());
        let Some(behind) = ahead.checked_sub(spare) else { return Duration::ZERO };
        let first = ends.get(behind % ends.len().max(1)).copied().unwrap_or_default();
        let longest = cx.document.catalogue.models.values().map(|model| model.load_time).max();
        let rounds = u32::try_from(behind / limit).unwrap_or(u32::MAX);
        first + longest.unwrap_or_default() * rounds
    }

    /// Removes a granted slot and adjusts the concurrency limit by its load's length.
    fn record_end(&mut self, cx: &mut Cx<'_>, key: &LoadKey) {
        let Some(granted) = self.granted.remove(key) else { return };
        let Some(model) = cx.document.catalogue.models.get(&key.model) else { return };
        let (listed, took) = (model.load_time, cx.now.since(granted.since));
        // A slot released earlier was not used for a load.
        if took * 2 > listed && !granted.was_paused {
            self.concurrency_limit.record_end(cx, listed, took, granted.concurrent_at_start);
        }
    }

    /// Returns the granted slots and the queue for the state dump.
    pub(crate) fn dump_entries(&self) -> impl Iterator<Item = DumpEntry> {
        let granted = self.granted.iter().map(|(key, granted)| {
            let state = format!("let through for {}", granted.from);
            DumpEntry { kind: "store_slot", subject: key.to_string(), state, since: Some(granted.renewed) }
        });
        let queued = self.queue.iter().map(|(key, queued)| {
            let state = format!("waits for {}", queued.from);
            DumpEntry { kind: "store_slot", subject: key.to_string(), state, since: Some(queued.since) }
        });
        granted.chain(queued)
    }

    /// Grants slots to queued loads as far as the rate and the concurrency limit allow.
    pub(crate) fn grant_due(&mut self, cx: &mut Cx<'_>) {
        self.queue.retain(|_, queued| !queued.expires.is_due(cx.now));
        self.granted.retain(|_, granted| !granted.expires.is_due(cx.now));
        let (span, starts) = rate(cx).window();
        self.starts.retain(|start| !start.after(span).is_due(cx.now));
        let limit = self.concurrency_limit.limit(cx);
        while self.granted.len() < limit && self.starts.len() < starts {
            let first = self.queue.iter().min_by_key(|(_, queued)| rank(queued));
            let Some(key) = first.map(|(key, _)| key.clone()) else { return };
            let Some(queued) = self.queue.remove(&key) else { return };
            self.starts.push(cx.now);
            let concurrent_at_start = self.granted.len();
            let (to, waiting) = (&queued.from, self.queue.len());
            let detail = format!("to={to} running={concurrent_at_start} of={limit} waiting={waiting}");
            cx.log_event("load_slot_granted", &key, detail);
            send_granted(cx, &queued.from, &key);
            self.granted.insert(
                key,
                GrantedSlot {
                    from: queued.from,
                    since: cx.now,
                    renewed: cx.now,
                    was_paused: false,
                    concurrent_at_start,
                    expires: cx.now.after(SLOT_TTL),
                },
            );
        }
    }
}

/// Returns the sort key of a queued load: service order, then deadline, then age.
const fn rank(queued: &QueuedLoad) -> (ServiceOrder, Time, Time) {
    (queued.service_order, queued.deadline, queued.since)
}

fn send_granted(cx: &mut Cx<'_>, to: &HostId, key: &LoadKey) {
    let granted = PeerMessage::LoadSlotGranted { upstream: key.engine.clone(), model: key.model.clone() };
    cx.send(to, granted);
}
