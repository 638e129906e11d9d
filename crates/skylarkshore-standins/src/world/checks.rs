//! What must always hold, compared with what truly happened.

use std::time::Duration;

use skylarkshore_core::catalogue::Document;
use skylarkshore_core::collections::{OrderedMap, OrderedSet};
use skylarkshore_core::id::{ModelName, RulesRevision, SiteName, UpstreamId};
use skylarkshore_core::time::Time;
use skylarkshore_core::units::Watts;

use super::callers::Callers;
use super::engine::Engine;
use super::host::Host;
use super::violation::Violation;

/// How long after a change of rules what the former ones allowed may still stand.
const RULES_GRACE: Duration = Duration::from_mins(1);
/// How long after its deadline a request's final answer may come.
const ANSWER_GRACE: Duration = Duration::from_secs(1);
/// How long an upstream that is marked as leaving may still get new work.
pub(crate) const LEAVING_GRACE: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Life {
    host: usize,
    life: u64,
}

/// When a host's process stood still; it can answer nobody meanwhile.
#[derive(Clone, Copy, Debug)]
struct PauseLog {
    host: usize,
    from: Time,
    to: Time,
}

#[derive(Debug)]
struct Accepted {
    document: Document,
    replaced: Time,
}

/// The checks and what they found.
#[derive(Debug, Default)]
pub struct Checks {
    /// What was found, each thing once.
    pub violations: Vec<Violation>,
    /// The most that each site drew at any time.
    pub peak_watts: OrderedMap<SiteName, Watts>,
    accepted: Vec<Accepted>,
    revisions: OrderedMap<Life, RulesRevision>,
    leaving: OrderedMap<UpstreamId, Time>,
    pauses: Vec<PauseLog>,
    seen: OrderedSet<String>,
}

impl Checks {
    pub(crate) fn document_accepted(&mut self, document: &Document, now: Time) {
        if let Some(last) = self.accepted.last_mut() {
            last.replaced = now;
        }
        self.accepted.push(Accepted { document: document.clone(), replaced: Time::NEVER });
    }

    /// Notes from when on an upstream may get no new work, but for a short grace.
    pub fn marked_leaving(&mut self, id: &UpstreamId, now: Time) {
        self.leaving.entry(id.clone()).or_insert(now);
    }

    pub(crate) fn paused(&mut self, host: usize, from: Time, to: Time) {
        self.pauses.push(PauseLog { host, from, to });
    }

    /// Returns by when a request has to have its final answer.
    ///
    /// A process that is paused can't answer; it has to once it goes on.
    fn due(&self, host: usize, arrived: Time, deadline: Time) -> Time {
        let mut due = deadline.after(ANSWER_GRACE);
        for pause in self.pauses.iter().filter(|pause| pause.host == host) {
            if pause.from <= due && pause.to >= arrived {
                due = due.max(pause.to.after(ANSWER_GRACE));
            }
        }
        due
    }

    pub(crate) fn new_work(&mut self, id: &UpstreamId, now: Time) {
        let since = self.leaving.get(id).copied();
        if since.is_some_and(|since| now.since(since) > LEAVING_GRACE) {
            self.violate(now, format!("{id} gets new work although it is leaving"));
        }
    }

    pub(crate) fn violate(&mut self, now: Time, what: String) {
        if self.seen.insert(what.clone()) {
            self.violations.push(Violation::new(now, what));
        }
    }

    /// Checks what the engines hold and draw.
    pub(crate) fn engines(&mut self, now: Time, engines: &OrderedMap<UpstreamId, Engine>) {
        self.check_memory(now, engines);
        self.check_replicas(now, engines);
        self.check_power(now, engines);
    }

    fn check_memory(&mut self, now: Time, engines: &OrderedMap<UpstreamId, Engine>) {
        for engine in engines.values() {
            if engine.used() > engine.spec.memory {
                self.violate(now, format!("the memory of {} is overcommitted", engine.id));
            }
            if engine.cut_off > 0 {
                self.violate(now, format!("an unload cut off requests on {}", engine.id));
            }
        }
    }

    fn check_replicas(&mut self, now: Time, engines: &OrderedMap<UpstreamId, Engine>) {
        let mut replicas: OrderedMap<&ModelName, u32> = OrderedMap::new();
        for model in engines.values().flat_map(Engine::models) {
            *replicas.entry(model).or_default() += 1;
        }
        for (model, count) in replicas {
            let allowed = self.in_force(now).map(|document| most_replicas(document, model)).max();
            if count > allowed.unwrap_or(0) {
                self.violate(now, format!("{model} has more replicas than the rules allow"));
            }
        }
    }

    fn check_power(&mut self, now: Time, engines: &OrderedMap<UpstreamId, Engine>) {
        let mut drawn: OrderedMap<&SiteName, Watts> = OrderedMap::new();
        for engine in engines.values() {
            *drawn.entry(&engine.site).or_default() += engine.draws();
        }
        for (site, watts) in drawn {
            let caps = self.in_force(now).filter_map(|document| document.power_caps.get(site).copied());
            if caps.max().is_some_and(|cap| watts > cap) {
                self.violate(now, format!("the site {site} draws more than its cap"));
            }
            let peak = self.peak_watts.entry(site.clone()).or_default();
            *peak = watts.max(*peak);
        }
    }

    /// Checks the rules in force at a host.
    pub(crate) fn rules(&mut self, now: Time, host: &Host) {
        let Some(node) = &host.node else { return };
        let revision = node.document().revision;
        let life = Life { host: host.index, life: host.life };
        let known = self.revisions.insert(life, revision);
        if known.is_some_and(|known| known > revision) {
            self.violate(now, format!("the rules at {} went back", host.id));
        }
    }

    fn in_force(&self, now: Time) -> impl Iterator<Item = &Document> {
        let live = move |a: &&Accepted| a.replaced == Time::NEVER || now.since(a.replaced) < RULES_GRACE;
        self.accepted.iter().filter(live).map(|a| &a.document)
    }

    pub(crate) fn at_end(&mut self, now: Time, callers: &Callers) {
        for violation in &callers.violations {
            self.violate(violation.at, violation.what.clone());
        }
        for (key, log) in &callers.requests {
            let due = self.due(key.host, log.arrived, log.deadline);
            let late = log.ended.as_ref().is_some_and(|ended| ended.at > due);
            if !log.abandoned && (late || (log.ended.is_none() && due.is_due(now))) {
                self.violate(now, format!("{key:?} got no final answer in time"));
            }
        }
    }
}

fn most_replicas(document: &Document, model: &ModelName) -> u32 {
    let rules = &document.rules;
    let about =
        |models: &Option<OrderedSet<ModelName>>| models.as_ref().is_none_or(|set| set.contains(model));
    let by_rules =
        rules.list.iter().filter(|rule| about(&rule.when.models)).map(|rule| rule.then.replicas_max);
    by_rules.chain([rules.otherwise.replicas_max]).max().unwrap_or(0)
}
