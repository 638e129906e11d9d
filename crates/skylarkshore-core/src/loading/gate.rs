//! The weight store's gate: which loads may run, in use at one process at a time.

use std::time::Duration;

use derive_more::Display;

use crate::collections::OrderedMap;
use crate::cx::Cx;
use crate::dump::DumpEntry;
use crate::id::{HostId, ModelName, UpstreamId};
use crate::loading::crowd::Crowd;
use crate::peer::PeerMessage;
use crate::rules::ServiceOrder;
use crate::time::Time;
use crate::units::LoadRate;

/// How often the holder of a slot renews it.
pub(crate) const RENEW_EVERY: Duration = Duration::from_secs(2);
/// After how long a slot that isn't renewed is given to others; two renewals in
/// a row may be lost.
///
/// Its holder may be gone, or what gave it back be lost. With one load at a time
/// that slot is the whole store: held for 35 s, nothing was fetched until long
/// after a fault, and callers of models that lie on no disk were refused. A
/// holder that is paused for longer goes on loading, beside one load more.
const SLOT_LIFE: Duration = RENEW_EVERY.saturating_mul(3).saturating_add(Duration::from_secs(1));
/// After how long without its holder's word a slot tells nothing about its load.
const HOLDER_SILENT: Duration = RENEW_EVERY.saturating_mul(2).saturating_add(Duration::from_millis(500));
/// After how long between two looks this process has stood still.
const OWN_PAUSE: Duration = Duration::from_secs(2);
/// After how long a load that isn't asked for any more leaves the queue.
pub(crate) const QUEUE_LIFE: Duration = Duration::from_secs(2);
/// A load, as the gate knows it.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display("{model}@{engine}")]
pub(crate) struct LoadKey {
    /// The engine that loads.
    pub engine: UpstreamId,
    /// The model, or the base of the adapter.
    pub model: ModelName,
}

/// Who waits for a load.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Urgency {
    /// The order of service.
    pub order: ServiceOrder,
    /// How long those who wait can still wait.
    pub patience: Duration,
}

/// Returns how many loads may begin over the whole deployment.
pub(crate) fn rate(cx: &Cx<'_>) -> LoadRate {
    let by_settings = LoadRate(cx.cfg.limits.loads_per_second.saturating_mul(1000));
    cx.document.catalogue.load_rate.unwrap_or(by_settings)
}

/// A load in the gate's queue.
#[derive(Clone, Debug)]
struct Queued {
    from: HostId,
    order: ServiceOrder,
    deadline: Time,
    since: Time,
    expires: Time,
}

/// A load that may run.
#[derive(Clone, Debug)]
struct Granted {
    from: HostId,
    since: Time,
    /// When its holder was last heard of.
    renewed: Time,
    /// Whether its holder or this process has stood still meanwhile.
    ///
    /// The end of the load is noticed late then. Were that taken for its length,
    /// the store would seem slow, and callers be refused for want of a load.
    was_paused: bool,
    /// How many others ran when it was let through.
    ///
    /// The store sets a load's pace at its beginning; what begins later takes
    /// longer itself. Counted by the most that ever ran beside it, a load that had
    /// begun alone and ended in time doubled the number let through on a store
    /// that carries one.
    beside: usize,
    expires: Time,
}

/// The weight store's gate, in use at one process at a time.
#[derive(Debug, Default)]
pub(crate) struct Gate {
    /// When it last looked at what runs.
    looked: Time,
    queue: OrderedMap<LoadKey, Queued>,
    granted: OrderedMap<LoadKey, Granted>,
    /// When loads were let through within the last second.
    starts: Vec<Time>,
    crowd: Crowd,
}

impl Gate {
    pub(crate) fn wanted(&mut self, cx: &mut Cx<'_>, from: &HostId, key: &LoadKey, urgency: Urgency) {
        if self.granted.get(key).is_some_and(|granted| granted.from == *from) {
            self.held(cx, from, key);
            tell_granted(cx, from, key);
            return;
        }
        let since = self.queue.get(key).map_or(cx.now, |queued| queued.since);
        let queued = Queued {
            from: from.clone(),
            order: urgency.order,
            deadline: cx.now.after(urgency.patience),
            since,
            expires: cx.now.after(QUEUE_LIFE),
        };
        self.queue.insert(key.clone(), queued);
        self.grant_due(cx);
        if let Some(own) = self.queue.get(key) {
            let ahead = self.queue.values().filter(|other| rank(other) < rank(own)).count();
            let wait = self.wait(cx, ahead);
            let (upstream, model) = (key.engine.clone(), key.model.clone());
            cx.send(from, PeerMessage::LoadSlotQueued { upstream, model, wait });
        }
    }

    /// Takes note that a load is in progress, whoever let it through.
    pub(crate) fn held(&mut self, cx: &Cx<'_>, from: &HostId, key: &LoadKey) {
        self.queue.remove(key);
        let granted = self.granted.entry(key.clone()).or_insert_with(|| Granted {
            from: from.clone(),
            since: cx.now,
            renewed: cx.now,
            // It began some time ago; what seems its length tells nothing.
            was_paused: true,
            beside: 0,
            expires: cx.now,
        });
        granted.was_paused |= granted.renewed.after(HOLDER_SILENT).is_due(cx.now);
        granted.from.clone_from(from);
        granted.renewed = cx.now;
        granted.expires = cx.now.after(SLOT_LIFE);
    }

    pub(crate) fn returned(&mut self, cx: &mut Cx<'_>, from: &HostId, key: &LoadKey) {
        self.note_own_pause(cx.now);
        if self.granted.get(key).is_some_and(|granted| granted.from == *from) {
            self.note_end(cx, key);
        }
        if self.queue.get(key).is_some_and(|queued| queued.from == *from) {
            self.queue.remove(key);
        }
        self.grant_due(cx);
    }

    /// Takes note that this process may have stood still, and the ends of loads with it.
    ///
    /// What came meanwhile is read before the next tick. A slot given back in that
    /// time would seem to have been in use until now, the store to be slow, and
    /// callers would be refused for want of a load.
    fn note_own_pause(&mut self, now: Time) {
        if self.looked.after(OWN_PAUSE).is_due(now) {
            self.granted.values_mut().for_each(|granted| granted.was_paused = true);
        }
        self.looked = now;
    }

    /// Learns from the loads that are in progress.
    pub(crate) fn look_at_running(&mut self, cx: &mut Cx<'_>) {
        self.note_own_pause(cx.now);
        for (key, granted) in &self.granted {
            let Some(model) = cx.document.catalogue.models.get(&key.model) else { continue };
            // What counts is when its holder last said that it lasts.
            let so_far = granted.renewed.since(granted.since);
            if !granted.was_paused {
                self.crowd.lasts(cx, model.load_time, so_far, granted.beside);
            }
        }
    }

    /// Estimates how long the load that has so many before it waits for its slot.
    fn wait(&self, cx: &Cx<'_>, ahead: usize) -> Duration {
        let at_once = self.crowd.most(cx);
        let mut ends: Vec<Duration> = self
            .granted
            .iter()
            .filter_map(|(key, granted)| {
                let model = cx.document.catalogue.models.get(&key.model)?;
                Some(granted.since.after(model.load_time).remaining(cx.now))
            })
            .collect();
        ends.sort_unstable();
        let spare = at_once.saturating_sub(ends.len());
        let Some(behind) = ahead.checked_sub(spare) else { return Duration::ZERO };
        let first = ends.get(behind % ends.len().max(1)).copied().unwrap_or_default();
        let longest = cx.document.catalogue.models.values().map(|model| model.load_time).max();
        let rounds = u32::try_from(behind / at_once).unwrap_or(u32::MAX);
        first + longest.unwrap_or_default() * rounds
    }

    fn note_end(&mut self, cx: &mut Cx<'_>, key: &LoadKey) {
        let Some(granted) = self.granted.remove(key) else { return };
        let Some(model) = cx.document.catalogue.models.get(&key.model) else { return };
        let (listed, took) = (model.load_time, cx.now.since(granted.since));
        // A slot that was given back sooner wasn't used for a load.
        if took * 2 > listed && !granted.was_paused {
            self.crowd.ended(cx, listed, took, granted.beside);
        }
    }

    /// Tells which loads hold a share of the weight store and which wait for one.
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

    pub(crate) fn grant_due(&mut self, cx: &mut Cx<'_>) {
        self.queue.retain(|_, queued| !queued.expires.is_due(cx.now));
        self.granted.retain(|_, granted| !granted.expires.is_due(cx.now));
        let (span, starts) = rate(cx).window();
        self.starts.retain(|start| !start.after(span).is_due(cx.now));
        let at_once = self.crowd.most(cx);
        while self.granted.len() < at_once && self.starts.len() < starts {
            let first = self.queue.iter().min_by_key(|(_, queued)| rank(queued));
            let Some(key) = first.map(|(key, _)| key.clone()) else { return };
            let Some(queued) = self.queue.remove(&key) else { return };
            self.starts.push(cx.now);
            let beside = self.granted.len();
            let (to, waiting) = (&queued.from, self.queue.len());
            let detail = format!("to={to} running={beside} of={at_once} waiting={waiting}");
            cx.log_event("load_slot_granted", &key, detail);
            tell_granted(cx, &queued.from, &key);
            self.granted.insert(
                key,
                Granted {
                    from: queued.from,
                    since: cx.now,
                    renewed: cx.now,
                    was_paused: false,
                    beside,
                    expires: cx.now.after(SLOT_LIFE),
                },
            );
        }
    }
}

/// Returns what decides which load goes first: order of service, then deadline, then age.
const fn rank(queued: &Queued) -> (ServiceOrder, Time, Time) {
    (queued.order, queued.deadline, queued.since)
}

fn tell_granted(cx: &mut Cx<'_>, to: &HostId, key: &LoadKey) {
    let granted = PeerMessage::LoadSlotGranted { upstream: key.engine.clone(), model: key.model.clone() };
    cx.send(to, granted);
}
