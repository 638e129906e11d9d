//! Invariants of the whole system, checked against the simulated state. Start with [`Checks`].

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

/// How long after a change of rules the state may still match the previous rules.
const RULES_GRACE: Duration = Duration::from_mins(1);
/// How long after its deadline a final answer is still accepted.
const ANSWER_GRACE: Duration = Duration::from_secs(1);
/// How long an upstream marked as leaving may still receive new work.
pub(crate) const LEAVING_GRACE: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ProcessKey {
    host: usize,
    life: u64,
}

/// Period in which a host's process was paused and couldn't answer.
#[derive(Clone, Copy, Debug)]
struct Pause {
    host: usize,
    from: Time,
    to: Time,
}

#[derive(Debug)]
struct AcceptedDocument {
    document: Document,
    replaced_at: Time,
}

/// Invariant checks and the violations they found.
#[derive(Debug, Default)]
pub struct Checks {
    /// Violations found, without duplicates.
    pub violations: Vec<Violation>,
    /// Highest power draw of each site.
    pub peak_watts: OrderedMap<SiteName, Watts>,
    accepted: Vec<AcceptedDocument>,
    revisions: OrderedMap<ProcessKey, RulesRevision>,
    leaving: OrderedMap<UpstreamId, Time>,
    pauses: Vec<Pause>,
    reported: OrderedSet<String>,
}

impl Checks {
    pub(crate) fn record_document(&mut self, document: &Document, now: Time) {
        if let Some(last) = self.accepted.last_mut() {
            last.replaced_at = now;
        }
        self.accepted.push(AcceptedDocument { document: document.clone(), replaced_at: Time::NEVER });
    }

    /// Records that an upstream is leaving; after a grace period it may get no new work.
    pub fn marked_leaving(&mut self, id: &UpstreamId, now: Time) {
        self.leaving.entry(id.clone()).or_insert(now);
    }

    pub(crate) fn record_pause(&mut self, host: usize, from: Time, to: Time) {
        self.pauses.push(Pause { host, from, to });
    }

    /// Returns the time by which a request must have its final answer.
    ///
    /// A paused process can't answer, so its pauses extend that time.
    fn answer_due(&self, host: usize, arrived: Time, deadline: Time) -> Time {
        let mut answer_due = deadline.after(ANSWER_GRACE);
        for pause in self.pauses.iter().filter(|pause| pause.host == host) {
            if pause.from <= answer_due && pause.to >= arrived {
                answer_due = answer_due.max(pause.to.after(ANSWER_GRACE));
            }
        }
        answer_due
    }

    pub(crate) fn check_new_work(&mut self, id: &UpstreamId, now: Time) {
        let since = self.leaving.get(id).copied();
        if since.is_some_and(|since| now.since(since) > LEAVING_GRACE) {
            self.report(now, format!("{id} gets new work although it is leaving"));
        }
    }

    pub(crate) fn report(&mut self, now: Time, what: String) {
        if self.reported.insert(what.clone()) {
            self.violations.push(Violation::new(now, what));
        }
    }

    /// Checks the engines' memory, replicas and power draw.
    pub(crate) fn check_engines(&mut self, now: Time, engines: &OrderedMap<UpstreamId, Engine>) {
        self.check_memory(now, engines);
        self.check_replicas(now, engines);
        self.check_power(now, engines);
    }

    fn check_memory(&mut self, now: Time, engines: &OrderedMap<UpstreamId, Engine>) {
        for engine in engines.values() {
            if engine.used() > engine.spec.memory {
                self.report(now, format!("the memory of {} is overcommitted", engine.id));
            }
            if engine.cut_off > 0 {
                self.report(now, format!("an unload cut off requests on {}", engine.id));
            }
        }
    }

    fn check_replicas(&mut self, now: Time, engines: &OrderedMap<UpstreamId, Engine>) {
        let mut replicas: OrderedMap<&ModelName, u32> = OrderedMap::new();
        for model in engines.values().flat_map(Engine::models) {
            *replicas.entry(model).or_default() += 1;
        }
        for (model, count) in replicas {
            let allowed = self.in_force(now).map(|document| max_replicas(document, model)).max();
            if count > allowed.unwrap_or(0) {
                self.report(now, format!("{model} has more replicas than the rules allow"));
            }
        }
    }

    fn check_power(&mut self, now: Time, engines: &OrderedMap<UpstreamId, Engine>) {
        let mut power_draw: OrderedMap<&SiteName, Watts> = OrderedMap::new();
        for engine in engines.values() {
            *power_draw.entry(&engine.site).or_default() += engine.draws();
        }
        for (site, watts) in power_draw {
            let caps = self.in_force(now).filter_map(|document| document.power_caps.get(site).copied());
            if caps.max().is_some_and(|cap| watts > cap) {
                self.report(now, format!("the site {site} draws more than its cap"));
            }
            let peak = self.peak_watts.entry(site.clone()).or_default();
            *peak = watts.max(*peak);
        }
    }

    /// Checks that the rules revision of a host's process never decreases.
    pub(crate) fn check_rules(&mut self, now: Time, host: &Host) {
        let Some(node) = &host.node else { return };
        let revision = node.document().revision;
        let process = ProcessKey { host: host.index, life: host.life };
        let previous = self.revisions.insert(process, revision);
        if previous.is_some_and(|previous| previous > revision) {
            self.report(now, format!("the rules at {} went back", host.id));
        }
    }

    fn in_force(&self, now: Time) -> impl Iterator<Item = &Document> {
        let live = move |a: &&AcceptedDocument| {
            a.replaced_at == Time::NEVER || now.since(a.replaced_at) < RULES_GRACE
        };
        self.accepted.iter().filter(live).map(|a| &a.document)
    }

    pub(crate) fn check_at_end(&mut self, now: Time, callers: &Callers) {
        for violation in &callers.violations {
            self.report(violation.at, violation.what.clone());
        }
        for (key, log) in &callers.requests {
            let answer_due = self.answer_due(key.host, log.arrived, log.deadline);
            let late = log.ended.as_ref().is_some_and(|ended| ended.at > answer_due);
            if !log.abandoned && (late || (log.ended.is_none() && answer_due.is_due(now))) {
                self.report(now, format!("{key:?} got no final answer in time"));
            }
        }
    }
}

fn max_replicas(document: &Document, model: &ModelName) -> u32 {
    let rules = &document.rules;
    let applies =
        |models: &Option<OrderedSet<ModelName>>| models.as_ref().is_none_or(|set| set.contains(model));
    let by_rules =
        rules.list.iter().filter(|rule| applies(&rule.when.models)).map(|rule| rule.then.replicas_max);
    by_rules.chain([rules.otherwise.replicas_max]).max().unwrap_or(0)
}
