//! The share of a process in the retry budget of all hosts.

use std::ops::Range;
use std::time::Duration;

use skylarkshore_core::config::{Limits, RetryLimits};
use skylarkshore_core::event::{AttemptOutcome, Rejection};
use skylarkshore_core::peer::PeerMessage;
use skylarkshore_core::view::{EngineView, Readiness};

use crate::support::serving::*;

const PERCENT: u32 = 20;
const SLACK: u32 = 30;
/// Hosts in the deployment of [`Process`].
const HOSTS: usize = 3;
const SHARED: RetryLimits =
    RetryLimits::Shared { percent: PERCENT, slack: SLACK, window: Duration::from_secs(10) };

/// A model with its home and the owner of that engine, as in the deployment of [`Process`].
#[derive(Clone, Copy)]
struct Place<'a> {
    model: &'a str,
    engine: &'a str,
    owner: &'a str,
}

const PLACES: [Place<'static>; 2] =
    [Place { model: "m", engine: "e1", owner: "b" }, Place { model: "n", engine: "e2", owner: "c" }];

fn process() -> Process {
    Process::with_limits("a", 1, Limits { retries: SHARED, attempts: 4, ..Limits::default() })
}

/// Publishes the state of a model on an engine with room for many requests.
fn publish(p: &mut Process, at: &Place<'_>, version: u64, readiness: Readiness) {
    let state = EngineView { concurrency: 64, ..view(at.engine, version, at.model, readiness) };
    p.peer(at.owner, &PeerMessage::View(state));
}

/// Sends requests whose callers wait for two minutes.
fn arrive(p: &mut Process, at: &Place<'_>, ids: Range<u64>) {
    for id in ids {
        let mut patient = arrival(p, model(at.model), 1);
        patient.deadline = p.now.after(Duration::from_mins(2));
        patient.policy.soft_deadline = patient.deadline;
        p.arrive(id, patient);
    }
}

/// Returns how many retries the process may send within a window.
const fn allowed(requests: usize) -> usize {
    requests * PERCENT as usize / 100 + SLACK as usize / HOSTS
}

/// Guards against a new process that takes the whole budget, as it doesn't know the other hosts yet.
#[test]
fn a_new_process_does_not_take_the_retries_of_all_hosts() {
    let mut p = process();
    let [at, _] = PLACES;
    publish(&mut p, &at, 1, Readiness::Ready);
    arrive(&mut p, &at, 0..40);
    for sent in p.take_sent() {
        p.end(sent.attempt, AttemptOutcome::Rejected(Rejection::Busy));
    }
    p.advance(3000);
    let retries = p.take_sent().len();
    assert!(retries <= allowed(40), "{retries} retries, {} are allowed", allowed(40));
}

/// Guards against retries that wait for an upstream and are all sent when it is back.
#[test]
fn retries_that_waited_for_an_upstream_keep_to_the_budget_when_they_are_sent() {
    let mut p = process();
    p.advance(20_000);
    for (at, first) in PLACES.iter().zip([0, 10]) {
        publish(&mut p, at, 1, Readiness::Ready);
        arrive(&mut p, at, first..first + 10);
        publish(&mut p, at, 2, Readiness::Loading { remaining: Duration::from_secs(11) });
        for sent in p.take_sent() {
            p.end(sent.attempt, AttemptOutcome::Lost { passed_on: false, died: false });
        }
        p.advance(10_500);
    }
    for at in &PLACES {
        publish(&mut p, at, 3, Readiness::Ready);
    }
    let sent = p.take_sent().len();
    assert!(sent <= allowed(20), "{sent} retries are sent at once, {} are allowed", allowed(20));
}

/// Guards against retries for many models that wait for longer than a window and are sent together.
#[test]
fn retries_that_waited_for_many_models_keep_to_the_budget_when_they_are_sent() {
    const ROUNDS: u64 = 8;
    let mut p = process();
    let known = p.document.catalogue.models[&name("m")].clone();
    let names: Vec<String> = (0..ROUNDS).map(|round| format!("m-{round}")).collect();
    for added in &names {
        p.document.catalogue.models.insert(name(added), known.clone());
    }
    p.advance(20_000);
    for (round, model) in (0..).zip(&names) {
        let at = Place { model, ..PLACES[0] };
        publish(&mut p, &at, 100 * round + 1, Readiness::Ready);
        arrive(&mut p, &at, 10 * round..10 * round + 10);
        // The next view of the engine doesn't list this model any more.
        let sent = p.take_sent();
        publish(&mut p, &PLACES[0], 100 * (round + 1), Readiness::Ready);
        for sent in sent {
            p.end(sent.attempt, AttemptOutcome::Lost { passed_on: false, died: false });
        }
        p.advance(3000);
    }
    let mut all = view(PLACES[0].engine, 10_000, "m", Readiness::Ready);
    all.concurrency = 64;
    all.models.extend(names.iter().flat_map(|model| view("e1", 1, model, Readiness::Ready).models));
    p.peer(PLACES[0].owner, &PeerMessage::View(all));
    let sent = p.take_sent().len();
    // Rounds of the last ten seconds.
    let recent = 40;
    assert!(sent <= allowed(recent), "{sent} retries are sent at once, {} are allowed", allowed(recent));
}
