//! Simulated entry host and the node process on it. Start with [`Host`].

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use skylarkshore_core::Node;
use skylarkshore_core::config::{NodeConfig, Watchers};
use skylarkshore_core::effect::Effect;
use skylarkshore_core::event::Event;
use skylarkshore_core::id::{Digest, HostId, Incarnation, RequestId};
use skylarkshore_core::rules::Rules;
use skylarkshore_core::time::Time;
use skylarkshore_core::units::Capacity;

use super::callers::RequestKey;
use super::crashes::CONTACT_TIME;
use super::meter::Meter;
use super::partitions::{HostCut, LinkLoss};
use super::schedule::Sender;
use super::{HostSetup, Setup};

/// One in so many requests finds a connection that is open.
const KEPT_CONNECTION_EVERY: u32 = 4;

/// How long after a cut connections are closed too late for a probe to notice.
const LATE_CLOSES: Duration = Duration::from_millis(500);

/// Effects and events that a paused process handles once it resumes.
#[derive(Debug, Default)]
pub(crate) struct Pause {
    pub(crate) deferred_effects: VecDeque<Effect>,
    pub(crate) held_events: VecDeque<Event>,
}

/// An entry host with its node, if that runs.
#[derive(Debug)]
pub(crate) struct Host {
    pub(crate) id: HostId,
    pub(crate) index: usize,
    cfg: NodeConfig,
    pub(crate) node: Option<Node>,
    pub(crate) life: u64,
    pub(crate) exited: bool,
    pub(crate) store_unreachable_until: Time,
    pub(crate) peers_unreachable_until: Time,
    /// Until when the host was last killed, started, frozen or cut off.
    disturbed_until: Time,
    pub(crate) upstreams_cut: Option<HostCut>,
    sends_while_cut: u32,
    pub(crate) meter: Meter,
    pause: Option<Pause>,
    requests: u64,
}

impl Host {
    pub(crate) fn new(index: usize, host: &HostSetup, setup: &Setup) -> Self {
        let port = |base: usize| ([127, 0, 0, 1], u16::try_from(base + index).unwrap_or(0)).into();
        let cfg = NodeConfig {
            host: host.host.clone(),
            incarnation: Incarnation(0),
            data_centre: host.data_centre.clone(),
            caller_address: port(7000),
            peer_address: port(8000),
            fingerprint: Digest([0; 32]),
            seed: setup.seed.wrapping_mul(1_000_003).wrapping_add(index as u64),
            timings: setup.timings.clone(),
            limits: setup.limits.clone(),
            default_rules: Rules::default(),
            watchers: Watchers::default(),
            capacity: Capacity::default(),
            is_first_start: false,
        };
        Self {
            id: host.host.clone(),
            index,
            cfg,
            node: None,
            life: 0,
            exited: false,
            store_unreachable_until: Time::START,
            peers_unreachable_until: Time::START,
            disturbed_until: Time::START,
            upstreams_cut: None,
            sends_while_cut: 0,
            meter: Meter::default(),
            pause: None,
            requests: 0,
        }
    }

    /// Records that the host is disturbed until a time.
    pub(crate) fn disturb(&mut self, until: Time) {
        self.disturbed_until = self.disturbed_until.max(until);
    }

    /// Reports whether the process has run undisturbed for the platform's contact time.
    pub(crate) fn is_in_touch(&self, now: Time) -> bool {
        self.is_up() && self.disturbed_until.after(CONTACT_TIME).is_due(now)
    }

    /// Returns how the links to the upstreams are lost, if they are.
    pub(crate) fn link_loss(&self, now: Time) -> Option<LinkLoss> {
        self.upstreams_cut.filter(|cut| !cut.until.is_due(now)).map(|cut| cut.loss)
    }

    /// Reports whether a probe takes a link that closes its connections for a whole one.
    pub(crate) fn deceives_probes(&self, now: Time) -> bool {
        let is_late = |cut: HostCut| cut.loss == LinkLoss::Closes && !cut.from.after(LATE_CLOSES).is_due(now);
        self.upstreams_cut.is_some_and(is_late)
    }

    /// Returns how a request that is sent now fails, if it does.
    pub(crate) fn send_failure(&mut self, now: Time) -> Option<LinkLoss> {
        let loss = self.link_loss(now)?;
        self.sends_while_cut += 1;
        let is_on_kept_connection = self.sends_while_cut.is_multiple_of(KEPT_CONNECTION_EVERY);
        (loss != LinkLoss::RefusesNew || !is_on_kept_connection).then_some(loss)
    }

    pub(crate) const fn sender(&self) -> Sender {
        Sender { host: self.index, life: self.life }
    }

    pub(crate) const fn is_up(&self) -> bool {
        self.node.is_some()
    }

    pub(crate) const fn is_frozen(&self) -> bool {
        self.pause.is_some()
    }

    /// Returns the incarnation of the current or last process.
    pub(crate) const fn incarnation(&self) -> Incarnation {
        self.cfg.incarnation
    }

    pub(crate) const fn next_request(&mut self) -> RequestKey {
        self.requests += 1;
        RequestKey { host: self.index, life: self.life, request: RequestId(self.requests) }
    }

    pub(crate) fn start(&mut self, now: Time) -> Vec<Effect> {
        self.life += 1;
        self.exited = false;
        self.cfg.incarnation = Incarnation(self.life);
        let (node, effects) = Node::start(self.cfg.clone(), now);
        self.node = Some(node);
        effects
    }

    pub(crate) fn reset_state(&mut self, now: Time) -> Vec<Effect> {
        let (node, effects) = Node::start(self.cfg.clone(), now);
        self.node = Some(node);
        effects
    }

    /// Ends the process and returns its identity if it was running.
    pub(crate) fn end_process(&mut self) -> Option<Sender> {
        self.pause = None;
        self.node.take().map(|_| self.sender())
    }

    pub(crate) fn freeze(&mut self) -> bool {
        if self.node.is_none() || self.pause.is_some() {
            return false;
        }
        self.pause = Some(Pause::default());
        true
    }

    pub(crate) fn defer(&mut self, effects: VecDeque<Effect>) {
        if let Some(pause) = &mut self.pause {
            pause.deferred_effects = effects;
        }
    }

    pub(crate) fn resume(&mut self) -> Option<Pause> {
        self.pause.take()
    }

    pub(crate) fn handle(&mut self, now: Time, event: Event) -> Vec<Effect> {
        if let Some(pause) = &mut self.pause {
            pause.held_events.push_back(event);
            return Vec::new();
        }
        let Some(node) = &mut self.node else { return Vec::new() };
        let begun = Instant::now();
        let effects = node.handle(now, event);
        self.meter.busy += begun.elapsed();
        self.meter.events += 1;
        effects
    }
}
