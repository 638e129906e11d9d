//! The share of the weight store that each load needs, kept by one process for all.
//!
//! Passing the weight store's rate makes loads slow but breaks nothing, so the
//! gate is soft: the process that rendezvous hashing picks among the live
//! members keeps it in memory, and whoever gets no answer from it goes on with
//! a small fixed share of its own.

use std::hash::BuildHasher;
use std::time::Duration;

use foldhash::fast::FixedState;

use crate::collections::OrderedMap;
use crate::cx::Cx;
use crate::id::{HostId, ModelName, UpstreamId};
use crate::peer::PeerMessage;
use crate::rules::ServiceOrder;
use crate::time::Time;
use crate::units::LoadRate;

/// How often a waiting load asks again.
const ASK_EVERY: Duration = Duration::from_millis(150);
/// After how long without the gate's word the fixed share is used.
const GATE_SILENT: Duration = Duration::from_millis(300);
/// How often a running load renews its slot.
const RENEW_EVERY: Duration = Duration::from_secs(10);
/// After how long a slot that isn't renewed is given to others.
const SLOT_LIFE: Duration = Duration::from_secs(35);
/// After how long a load that isn't asked for any more leaves the queue.
const QUEUE_LIFE: Duration = Duration::from_secs(2);
/// How far apart loads of the fixed share start at least.
const LOCAL_SPACING: Duration = Duration::from_secs(1);
/// For how many engines one load may run at once at most, however many the store carries.
///
/// An engine that loads from the store can't swap models for as long; half of
/// them have to go on serving those whose models lie on disks.
const ENGINES_PER_LOAD: usize = 2;
/// From how many times its listed length on a load counts as slowed down.
const SLOWED: f64 = 1.5;
/// Up to how many times its listed length a load counts as run at full speed.
const ON_TIME: f64 = 1.2;

/// A load, as the gate knows it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
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

/// Whether a load may begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Slot {
    /// It may.
    Granted,
    /// It has to wait.
    Waiting,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Share {
    None,
    /// Of the gate.
    Gate,
    /// Of the process's own fixed share.
    Local,
}

/// One load of this process.
#[derive(Clone, Copy, Debug)]
struct Ask {
    since: Time,
    /// When the caller last wanted it.
    wanted: Time,
    next: Time,
    /// When the gate was last heard of.
    heard: Option<Time>,
    /// When the gate is expected to grant it.
    granted_by: Time,
    share: Share,
    /// Whether the load has begun.
    started: bool,
    urgency: Urgency,
}

/// What the process asks of the gate, and the gate itself.
#[derive(Debug, Default)]
pub(crate) struct Pacing {
    asks: OrderedMap<LoadKey, Ask>,
    last_local: Option<Time>,
    /// Until when the weight store is taken, as the gate last told.
    busy_until: Time,
    gate: Gate,
}

impl Pacing {
    /// Asks for a slot, or learns whether it has been granted.
    pub(crate) fn request(&mut self, cx: &mut Cx<'_>, key: &LoadKey, urgency: Urgency) -> Slot {
        let now = cx.now;
        let ask = self.asks.entry(key.clone()).or_insert(Ask {
            since: now,
            wanted: now,
            next: now,
            heard: None,
            granted_by: now,
            share: Share::None,
            started: false,
            urgency,
        });
        ask.wanted = now;
        ask.urgency = urgency;
        if ask.share != Share::None {
            return Slot::Granted;
        }
        if ask.heard.unwrap_or(ask.since).after(GATE_SILENT).is_due(now) && self.take_local(cx, key) {
            return Slot::Granted;
        }
        self.ask_gate(cx, key);
        Slot::Waiting
    }

    /// Takes note that a load has begun.
    pub(crate) fn started(&mut self, key: &LoadKey) {
        if let Some(ask) = self.asks.get_mut(key) {
            ask.started = true;
        }
    }

    fn take_local(&mut self, cx: &Cx<'_>, key: &LoadKey) -> bool {
        let now = cx.now;
        let spacing = local_spacing(cx);
        let is_taken = self.asks.values().any(|ask| ask.share == Share::Local);
        let is_early = self.last_local.is_some_and(|last| !last.after(spacing).is_due(now));
        if is_taken || is_early {
            return false;
        }
        self.last_local = Some(now);
        if let Some(ask) = self.asks.get_mut(key) {
            ask.share = Share::Local;
        }
        true
    }

    fn ask_gate(&mut self, cx: &mut Cx<'_>, key: &LoadKey) {
        let Some(ask) = self.asks.get_mut(key).filter(|ask| ask.next.is_due(cx.now)) else { return };
        ask.next = cx.now.after(if ask.share == Share::None { ASK_EVERY } else { RENEW_EVERY });
        let Some(gate) = gate_host(cx) else { return };
        let wanted = PeerMessage::LoadSlotWanted {
            upstream: key.engine.clone(),
            model: key.model.clone(),
            order: ask.urgency.order,
            patience: ask.urgency.patience,
        };
        cx.tell(&gate, wanted);
    }

    /// Gives a slot back, or leaves the queue.
    pub(crate) fn release(&mut self, cx: &mut Cx<'_>, key: &LoadKey) {
        if self.asks.remove(key).is_none() {
            return;
        }
        if let Some(gate) = gate_host(cx) {
            let returned =
                PeerMessage::LoadSlotReturned { upstream: key.engine.clone(), model: key.model.clone() };
            cx.tell(&gate, returned);
        }
    }

    /// Gives back every slot of an engine.
    pub(crate) fn release_engine(&mut self, cx: &mut Cx<'_>, engine: &UpstreamId) {
        let keys: Vec<LoadKey> = self.asks.keys().filter(|key| key.engine == *engine).cloned().collect();
        for key in keys {
            self.release(cx, &key);
        }
    }

    /// Returns how long a load has to wait for its slot, as far as the gate has told.
    ///
    /// One that wasn't asked for yet waits as long at least as the last one that was.
    pub(crate) fn expected_wait(&self, cx: &Cx<'_>, key: &LoadKey) -> Duration {
        match self.asks.get(key) {
            Some(ask) if ask.share == Share::None => ask.granted_by.remaining(cx.now),
            Some(_) => Duration::ZERO,
            None => self.busy_until.remaining(cx.now),
        }
    }

    /// Renews slots, drops what isn't wanted any more and grants what can be granted.
    ///
    /// `running` names the loads that have begun.
    pub(crate) fn on_tick(&mut self, cx: &mut Cx<'_>, running: impl Fn(&LoadKey) -> bool) {
        let keys: Vec<LoadKey> = self.asks.keys().cloned().collect();
        for key in keys {
            let Some(ask) = self.asks.get(&key) else { continue };
            let stale = ask.wanted.after(QUEUE_LIFE).is_due(cx.now);
            match (ask.started, running(&key)) {
                (true, true) => self.ask_gate_to_renew(cx, &key),
                (true, false) => self.release(cx, &key),
                (false, _) if stale => self.release(cx, &key),
                (false, _) => {}
            }
        }
        self.gate.look_at_running(cx);
        self.gate.grant_due(cx);
    }

    fn ask_gate_to_renew(&mut self, cx: &mut Cx<'_>, key: &LoadKey) {
        if self.asks.get(key).is_some_and(|ask| ask.share == Share::Gate) {
            self.ask_gate(cx, key);
        }
    }

    /// Takes a peer's message about slots.
    pub(crate) fn on_peer(&mut self, cx: &mut Cx<'_>, from: &HostId, message: &PeerMessage) {
        match message {
            PeerMessage::LoadSlotWanted { upstream, model, order, patience } => {
                let key = LoadKey { engine: upstream.clone(), model: model.clone() };
                self.gate.wanted(cx, from, &key, Urgency { order: *order, patience: *patience });
            }
            PeerMessage::LoadSlotReturned { upstream, model } => {
                let key = LoadKey { engine: upstream.clone(), model: model.clone() };
                self.gate.returned(cx, from, &key);
            }
            PeerMessage::LoadSlotGranted { upstream, model } => {
                let key = LoadKey { engine: upstream.clone(), model: model.clone() };
                self.on_granted(cx, from, &key);
            }
            PeerMessage::LoadSlotQueued { upstream, model, wait } => {
                let key = LoadKey { engine: upstream.clone(), model: model.clone() };
                self.busy_until = cx.now.after(*wait);
                if let Some(ask) = self.asks.get_mut(&key) {
                    ask.heard = Some(cx.now);
                    ask.granted_by = cx.now.after(*wait);
                }
            }
            _ => {}
        }
    }

    fn on_granted(&mut self, cx: &mut Cx<'_>, from: &HostId, key: &LoadKey) {
        let Some(ask) = self.asks.get_mut(key) else {
            // The load isn't wanted any more; others could use the slot.
            let returned =
                PeerMessage::LoadSlotReturned { upstream: key.engine.clone(), model: key.model.clone() };
            cx.tell(from, returned);
            return;
        };
        ask.heard = Some(cx.now);
        if ask.share == Share::None {
            ask.share = Share::Gate;
            ask.next = cx.now.after(RENEW_EVERY);
        }
    }
}

/// Returns how many loads may begin over the whole deployment.
fn rate(cx: &Cx<'_>) -> LoadRate {
    let by_settings = LoadRate(cx.cfg.limits.loads_per_second.saturating_mul(1000));
    cx.document.catalogue.load_rate.unwrap_or(by_settings)
}

/// Returns how far apart loads begin while the gate is silent.
///
/// Every process may be without it at the same moment, and all of them together
/// have to keep to the rate.
fn local_spacing(cx: &Cx<'_>) -> Duration {
    let (span, starts) = rate(cx).window();
    let hosts = u32::try_from(cx.cache.members().count()).unwrap_or(u32::MAX).max(1);
    let starts = u32::try_from(starts).unwrap_or(u32::MAX).max(1);
    (span * hosts / starts).max(LOCAL_SPACING)
}

/// Returns the process that keeps the gate: the same at every process that knows the same members.
fn gate_host(cx: &Cx<'_>) -> Option<HostId> {
    let staying = cx.cache.members().filter(|(_, member)| !member.leaving);
    let gate =
        staying.max_by_key(|(host, _)| FixedState::default().hash_one(("weight-store", host.as_str())));
    gate.map(|(host, _)| host.clone())
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
    /// The most others that have run beside it.
    beside: usize,
    expires: Time,
}

/// How many loads the weight store runs at full speed, learned from how long they take.
///
/// Beyond that number each takes longer in proportion, so that more at once
/// bring nothing and keep every engine busy. One would see loads end late, all
/// at the same time, or none end at all: where the store runs one load of 13 s
/// at full speed, five at once took over a minute, and callers of twenty models
/// waited in vain for a day of 48 s. So the number begins as the settings say, and
/// doubles with each load that ends in time until the first doesn't.
#[derive(Debug, Default)]
struct Crowd {
    learned: Option<usize>,
    /// Whether a load has been slowed down.
    slowed: bool,
}

impl Crowd {
    fn most(&self, cx: &Cx<'_>) -> usize {
        self.learned.unwrap_or(cx.cfg.limits.loads_at_once as usize).min(most_at_once(cx))
    }

    /// Takes note of a load that is still in progress, beside which `others` have run.
    ///
    /// What its length tells by now is enough; its end may be far away.
    fn lasts(&mut self, cx: &mut Cx<'_>, listed: Duration, so_far: Duration, others: usize) {
        let ratio = so_far.as_secs_f64() / listed.as_secs_f64().max(f64::MIN_POSITIVE);
        let before = self.most(cx);
        if ratio <= SLOWED || others == 0 {
            return;
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss,
            reason = "a few loads at once"
        )]
        let carried = ((others + 1) as f64 / ratio) as usize;
        self.slowed = true;
        self.learn(cx, before, carried.clamp(1, before), listed, so_far);
    }

    /// Takes the length of a load beside which `others` have run.
    fn ended(&mut self, cx: &mut Cx<'_>, listed: Duration, took: Duration, others: usize) {
        let before = self.most(cx);
        let ratio = took.as_secs_f64() / listed.as_secs_f64().max(f64::MIN_POSITIVE);
        let now = if ratio > SLOWED {
            self.slowed = true;
            ((others + 1) * 2 / 3).clamp(1, before)
        } else if ratio <= ON_TIME && others + 1 >= before {
            let more = if self.slowed { before + 1 } else { before * 2 };
            more.min(most_at_once(cx))
        } else {
            before
        };
        self.learn(cx, before, now, listed, took);
    }

    fn learn(&mut self, cx: &mut Cx<'_>, before: usize, now: usize, listed: Duration, took: Duration) {
        if now == before {
            return;
        }
        self.learned = Some(now);
        let detail = format!("from={before} took_ms={} listed_ms={}", took.as_millis(), listed.as_millis());
        cx.note("loads_at_once", now, detail);
    }
}

/// Returns how many loads are let through at once where the weight store carries them.
fn most_at_once(cx: &Cx<'_>) -> usize {
    let engines = cx.upstreams.values().filter(|upstream| upstream.engine().is_some()).count();
    (engines / ENGINES_PER_LOAD).max(cx.cfg.limits.loads_at_once as usize)
}

/// The weight store's gate, in use at one process at a time.
#[derive(Debug, Default)]
struct Gate {
    queue: OrderedMap<LoadKey, Queued>,
    granted: OrderedMap<LoadKey, Granted>,
    /// When loads were let through within the last second.
    starts: Vec<Time>,
    crowd: Crowd,
}

impl Gate {
    fn wanted(&mut self, cx: &mut Cx<'_>, from: &HostId, key: &LoadKey, urgency: Urgency) {
        if let Some(granted) = self.granted.get_mut(key).filter(|granted| granted.from == *from) {
            granted.expires = cx.now.after(SLOT_LIFE);
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
            cx.tell(from, PeerMessage::LoadSlotQueued { upstream, model, wait });
        }
    }

    fn returned(&mut self, cx: &mut Cx<'_>, from: &HostId, key: &LoadKey) {
        if self.granted.get(key).is_some_and(|granted| granted.from == *from) {
            self.note_end(cx, key);
        }
        if self.queue.get(key).is_some_and(|queued| queued.from == *from) {
            self.queue.remove(key);
        }
        self.grant_due(cx);
    }

    /// Learns from the loads that are in progress.
    fn look_at_running(&mut self, cx: &mut Cx<'_>) {
        for (key, granted) in &self.granted {
            let Some(model) = cx.document.catalogue.models.get(&key.model) else { continue };
            self.crowd.lasts(cx, model.load_time, cx.now.since(granted.since), granted.beside);
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

    fn count_others(&mut self) {
        let others = self.granted.len().saturating_sub(1);
        for granted in self.granted.values_mut() {
            granted.beside = granted.beside.max(others);
        }
    }

    fn note_end(&mut self, cx: &mut Cx<'_>, key: &LoadKey) {
        let Some(granted) = self.granted.remove(key) else { return };
        let Some(model) = cx.document.catalogue.models.get(&key.model) else { return };
        let (listed, took) = (model.load_time, cx.now.since(granted.since));
        // A slot that was given back sooner wasn't used for a load.
        if took * 2 > listed {
            self.crowd.ended(cx, listed, took, granted.beside);
        }
    }

    fn grant_due(&mut self, cx: &mut Cx<'_>) {
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
            tell_granted(cx, &queued.from, &key);
            self.granted.insert(
                key,
                Granted { from: queued.from, since: cx.now, beside: 0, expires: cx.now.after(SLOT_LIFE) },
            );
            self.count_others();
        }
    }
}

/// Returns what decides which load goes first: order of service, then deadline, then age.
const fn rank(queued: &Queued) -> (ServiceOrder, Time, Time) {
    (queued.order, queued.deadline, queued.since)
}

fn tell_granted(cx: &mut Cx<'_>, to: &HostId, key: &LoadKey) {
    let granted = PeerMessage::LoadSlotGranted { upstream: key.engine.clone(), model: key.model.clone() };
    cx.tell(to, granted);
}
