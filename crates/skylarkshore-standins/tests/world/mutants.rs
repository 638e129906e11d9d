//! Mutation tests of the world's invariant checks: each broken decision must be caught.

use std::time::Duration;

use skylarkshore_core::effect::{Effect, Refusal, RefusalOutcome};
use skylarkshore_core::id::{AttemptId, Fence, HostId, OrderId, UpstreamId};
use skylarkshore_core::time::Time;
use skylarkshore_core::upstream::Order;
use skylarkshore_standins::world::{Ask, Faults, NoFaults, Strike, World};

use crate::support::{ACTIVE_WATTS, SLEEP_WATTS, ask_model, ask_once, at_secs, document, name, setup, world};

/// A deliberate fault in the decisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BrokenDecision {
    /// Loads a model on an engine that isn't its home as well.
    LoadsOutsideHomes,
    /// Loads a model on an engine without granted power.
    LoadsWithoutPower,
    /// Loads a second model into memory that is in use.
    LoadsWithoutMemory,
    /// Unloads a model while requests run on it.
    UnloadsInUse,
    /// Drops refusals.
    DropsRefusals,
    /// Refuses a request as not run right after sending it.
    RefusesRunningRequest,
    /// Sends an at-most-once request twice.
    SendsTwice,
    /// Sends two final answers per request.
    AnswersTwice,
    /// Corrupts the answers, as if they belonged to other requests.
    CorruptsAnswers,
}

#[derive(Debug)]
struct Mutant {
    broken: BrokenDecision,
    engine: UpstreamId,
    next: u64,
}

impl Mutant {
    fn order(&mut self, engine: UpstreamId, action: Order) -> Effect {
        self.next += 1;
        Effect::Order {
            after: None,
            upstream: engine,
            order: OrderId(1_000_000 + self.next),
            fence: Fence(1_000_000),
            not_after: Time::NEVER,
            action,
        }
    }

    /// Returns the effects of the broken decision in place of the given one.
    fn mutate(&mut self, effect: Effect) -> Vec<Effect> {
        match (self.broken, &effect) {
            (
                BrokenDecision::LoadsOutsideHomes | BrokenDecision::LoadsWithoutPower,
                Effect::Order { upstream, action, .. },
            ) if matches!(action, Order::Load { .. }) => {
                let other = if *upstream == self.engine { name("engine-0") } else { self.engine.clone() };
                let more = self.order(other, action.clone());
                vec![effect, more]
            }
            (
                BrokenDecision::LoadsWithoutMemory,
                Effect::Order { upstream, action: Order::Load { version, memory, .. }, .. },
            ) => {
                let load = Order::Load { model: name("extra"), version: version.clone(), memory: *memory };
                let more = self.order(upstream.clone(), load);
                vec![effect, more]
            }
            (BrokenDecision::UnloadsInUse, Effect::Send { upstream, .. })
                if upstream.as_str().starts_with("engine") =>
            {
                let unload = Order::Unload { model: name("summary") };
                let more = self.order(upstream.clone(), unload);
                vec![effect, more]
            }
            (BrokenDecision::DropsRefusals, Effect::Refuse { .. }) => Vec::new(),
            (
                BrokenDecision::SendsTwice,
                Effect::Send { request, upstream, deadline, order, hold: true, .. },
            ) => {
                let again = Effect::Send {
                    request: *request,
                    attempt: AttemptId(1_000_000),
                    upstream: upstream.clone(),
                    deadline: *deadline,
                    order: *order,
                    resume: false,
                    hold: true,
                    once: true,
                    keep_failure: false,
                    withhold: false,
                    via: None,
                };
                vec![effect, again]
            }
            (BrokenDecision::AnswersTwice, Effect::Answer { .. } | Effect::Refuse { .. }) => {
                vec![effect.clone(), effect]
            }
            (BrokenDecision::RefusesRunningRequest, Effect::Send { request, .. }) => {
                let refusal = Refusal {
                    outcome: RefusalOutcome::NotRun,
                    reason: skylarkshore_core::effect::RefusalReason::NoUpstream,
                    retry_after: None,
                };
                vec![effect.clone(), Effect::Refuse { request: *request, refusal }]
            }
            (BrokenDecision::CorruptsAnswers, Effect::Answer { request, answer }) => {
                let mut answer = answer.clone();
                answer.body[0] ^= 1;
                vec![Effect::Answer { request: *request, answer }]
            }
            _ => vec![effect],
        }
    }
}

impl Faults for Mutant {
    fn strike(&mut self, _serial: u64, _host: &HostId, _effect: &Effect) -> Strike {
        Strike::None
    }

    fn rewrite(&mut self, _host: &HostId, effects: Vec<Effect>) -> Vec<Effect> {
        effects.into_iter().flat_map(|effect| self.mutate(effect)).collect()
    }
}

/// Sends some requests with a broken decision and returns the violations found.
fn run(broken: BrokenDecision, cap: u64, engine: &str) -> String {
    let mut setup = setup(3, 1);
    setup.document = document(cap);
    let mutant = Mutant { broken, engine: name(engine), next: 0 };
    let mut world = world(setup, mutant);
    world.run_until(at_secs(10));
    world.ask(0, &ask_model("summary", 1));
    world.ask(1, &ask_once(100, 100));
    let short_timeout = Ask { timeout: Duration::from_millis(500), ..ask_model("draft", 2) };
    world.ask(2, &short_timeout);
    world.run_until(at_secs(40));
    violations(&mut world)
}

fn violations(world: &mut World) -> String {
    world.finish();
    let texts: Vec<&str> = world.checks.violations.iter().map(|violation| violation.what.as_str()).collect();
    texts.join("; ")
}

fn assert_detected(broken: BrokenDecision, expected: &str) {
    let found = run(broken, 4 * ACTIVE_WATTS, "engine-1");
    assert!(found.contains(expected), "{broken:?} isn't detected: '{found}'");
}

#[test]
fn a_load_on_an_engine_that_is_no_home_is_detected() {
    assert_detected(BrokenDecision::LoadsOutsideHomes, "more replicas than the rules allow");
}

#[test]
fn a_load_without_power_is_detected() {
    let found = run(BrokenDecision::LoadsWithoutPower, ACTIVE_WATTS + 3 * SLEEP_WATTS, "engine-1");
    assert!(found.contains("draws more than its cap"), "{found}");
}

#[test]
fn a_load_without_memory_is_detected() {
    assert_detected(BrokenDecision::LoadsWithoutMemory, "is overcommitted");
}

#[test]
fn an_unload_of_a_model_in_use_is_detected() {
    assert_detected(BrokenDecision::UnloadsInUse, "an unload cut off requests");
}

#[test]
fn a_request_without_a_final_answer_is_detected() {
    assert_detected(BrokenDecision::DropsRefusals, "got no final answer in time");
}

#[test]
fn a_wrong_not_run_refusal_is_detected() {
    assert_detected(BrokenDecision::RefusesRunningRequest, "not run");
}

#[test]
fn a_second_run_under_one_key_is_detected() {
    assert_detected(BrokenDecision::SendsTwice, "runs a second time under its key");
}

#[test]
fn a_second_final_answer_is_detected() {
    assert_detected(BrokenDecision::AnswersTwice, "a second final answer");
}

#[test]
fn an_answer_to_another_request_is_detected() {
    assert_detected(BrokenDecision::CorruptsAnswers, "gets another request's answer");
}

#[test]
fn new_work_for_a_leaving_upstream_is_detected() {
    let mut world = world(setup(3, 1), NoFaults);
    world.run_until(at_secs(10));
    let home = world.node(0).unwrap().cache().homes(&name("summary")).unwrap().1.engines[0].clone();
    // Only the checks learn of it, as if all processes ignored the host list's entry.
    let now = world.now();
    world.checks.marked_leaving(&home, now);
    for i in 0..10 {
        world.ask(0, &ask_model("summary", i));
        world.run_for(Duration::from_secs(1));
    }
    let found = violations(&mut world);
    assert!(found.contains("new work although it is leaving"), "{found}");
}

#[test]
fn rules_that_revert_to_an_older_revision_are_detected() {
    let mut world = world(setup(3, 1), NoFaults);
    world.run_until(at_secs(10));
    world.forget_rules(0);
    world.run_until(at_secs(11));
    let found = violations(&mut world);
    assert!(found.contains("the rules at host-0 went back"), "{found}");
}
