//! Broken decisions that the checks must catch; a check that lets one through proves nothing.

use std::time::Duration;

use skylarkshore_core::effect::{Effect, Refusal, RefusalOutcome};
use skylarkshore_core::id::{AttemptId, Fence, HostId, OrderId, UpstreamId};
use skylarkshore_core::time::Time;
use skylarkshore_core::upstream::Order;
use skylarkshore_standins::world::{Ask, Faults, NoFaults, Strike, World};

use crate::support::{ACTIVE, SLEEP, ask_model, ask_once, at_secs, document, name, setup, world};

/// A rule of decision that is broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Broken {
    /// A model is also loaded where it has no home.
    LoadsBesideHomes,
    /// A model is loaded whether or not its engine is granted power.
    LoadsWithoutPower,
    /// A second model is loaded where the memory is taken.
    LoadsWithoutMemory,
    /// A model is unloaded as soon as its load has been ordered and requests run.
    UnloadsInUse,
    /// Refusals are lost.
    LosesRefusals,
    /// A request is refused as not run right after it was sent.
    RefusesWhatRuns,
    /// A request that may not be repeated is sent twice.
    SendsTwice,
    /// Every request gets two final answers.
    AnswersTwice,
    /// Kept answers are mixed up.
    MixesAnswers,
}

#[derive(Debug)]
struct Mutant {
    broken: Broken,
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

    /// Returns what the broken rule does beside, or instead of, what was decided.
    fn mutate(&mut self, effect: Effect) -> Vec<Effect> {
        match (self.broken, &effect) {
            (
                Broken::LoadsBesideHomes | Broken::LoadsWithoutPower,
                Effect::Order { upstream, action, .. },
            ) if matches!(action, Order::Load { .. }) => {
                let other = if *upstream == self.engine { name("engine-0") } else { self.engine.clone() };
                let more = self.order(other, action.clone());
                vec![effect, more]
            }
            (
                Broken::LoadsWithoutMemory,
                Effect::Order { upstream, action: Order::Load { version, memory, .. }, .. },
            ) => {
                let load = Order::Load { model: name("extra"), version: version.clone(), memory: *memory };
                let more = self.order(upstream.clone(), load);
                vec![effect, more]
            }
            (Broken::UnloadsInUse, Effect::Send { upstream, .. })
                if upstream.as_str().starts_with("engine") =>
            {
                let unload = Order::Unload { model: name("summary") };
                let more = self.order(upstream.clone(), unload);
                vec![effect, more]
            }
            (Broken::LosesRefusals, Effect::Refuse { .. }) => Vec::new(),
            (Broken::SendsTwice, Effect::Send { request, upstream, deadline, order, hold: true, .. }) => {
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
                };
                vec![effect, again]
            }
            (Broken::AnswersTwice, Effect::Answer { .. } | Effect::Refuse { .. }) => {
                vec![effect.clone(), effect]
            }
            (Broken::RefusesWhatRuns, Effect::Send { request, .. }) => {
                let refusal = Refusal {
                    outcome: RefusalOutcome::NotRun,
                    reason: skylarkshore_core::effect::RefusalReason::NoUpstream,
                    retry_after: None,
                };
                vec![effect.clone(), Effect::Refuse { request: *request, refusal }]
            }
            (Broken::MixesAnswers, Effect::Answer { request, answer }) => {
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

/// Runs some requests with a broken rule and returns what the checks say.
fn run(broken: Broken, cap: u64, engine: &str) -> String {
    let mut setup = setup(3, 1);
    setup.document = document(cap);
    let mutant = Mutant { broken, engine: name(engine), next: 0 };
    let mut world = world(setup, mutant);
    world.run_until(at_secs(10));
    world.ask(0, &ask_model("summary", 1));
    world.ask(1, &ask_once(100, 100));
    let hasty = Ask { timeout: Duration::from_millis(500), ..ask_model("draft", 2) };
    world.ask(2, &hasty);
    world.run_until(at_secs(40));
    found(&mut world)
}

fn found(world: &mut World) -> String {
    world.finish();
    let texts: Vec<&str> = world.checks.violations.iter().map(|violation| violation.what.as_str()).collect();
    texts.join("; ")
}

fn assert_caught(broken: Broken, words: &str) {
    let found = run(broken, 4 * ACTIVE, "engine-1");
    assert!(found.contains(words), "{broken:?} isn't caught: '{found}'");
}

#[test]
fn a_load_beside_the_homes_is_caught() {
    assert_caught(Broken::LoadsBesideHomes, "more replicas than the rules allow");
}

#[test]
fn a_load_without_power_is_caught() {
    let found = run(Broken::LoadsWithoutPower, ACTIVE + 3 * SLEEP, "engine-1");
    assert!(found.contains("draws more than its cap"), "{found}");
}

#[test]
fn a_load_without_memory_is_caught() {
    assert_caught(Broken::LoadsWithoutMemory, "is overcommitted");
}

#[test]
fn an_unload_of_a_model_in_use_is_caught() {
    assert_caught(Broken::UnloadsInUse, "an unload cut off requests");
}

#[test]
fn a_request_without_an_end_is_caught() {
    assert_caught(Broken::LosesRefusals, "got no final answer in time");
}

#[test]
fn a_false_not_run_is_caught() {
    assert_caught(Broken::RefusesWhatRuns, "not run");
}

#[test]
fn a_second_run_under_one_key_is_caught() {
    assert_caught(Broken::SendsTwice, "runs a second time under its key");
}

#[test]
fn a_second_final_answer_is_caught() {
    assert_caught(Broken::AnswersTwice, "a second final answer");
}

#[test]
fn another_requests_answer_is_caught() {
    assert_caught(Broken::MixesAnswers, "gets another request's answer");
}

#[test]
fn new_work_for_a_leaving_upstream_is_caught() {
    let mut world = world(setup(3, 1), NoFaults);
    world.run_until(at_secs(10));
    let home = world.node(0).unwrap().cache().homes(&name("summary")).unwrap().1.engines[0].clone();
    // No process hears of it, as if all of them passed over the host list's word.
    let now = world.now();
    world.checks.marked_leaving(&home, now);
    for i in 0..10 {
        world.ask(0, &ask_model("summary", i));
        world.run_for(Duration::from_secs(1));
    }
    let found = found(&mut world);
    assert!(found.contains("new work although it is leaving"), "{found}");
}

#[test]
fn rules_that_go_back_are_caught() {
    let mut world = world(setup(3, 1), NoFaults);
    world.run_until(at_secs(10));
    world.forget_rules(0);
    world.run_until(at_secs(11));
    let found = found(&mut world);
    assert!(found.contains("the rules at host-0 went back"), "{found}");
}
