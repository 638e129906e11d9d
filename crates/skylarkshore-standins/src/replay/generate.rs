//! Traces made from a seed, after the workloads of the two users.

use std::str::FromStr;
use std::time::Duration;

use derive_more::{Display, Error};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use skylarkshore_core::id::{CallerId, ServiceName};

use super::deployment::Deployment;
use super::trace::{Entry, Trace, Wanted};

/// A workload.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Profile {
    /// Browsing by day, with bursts after quiet spells.
    #[display("lagerraum")]
    Lagerraum,
    /// Overnight batches, then the morning of a deadline.
    #[display("huon")]
    Huon,
}

/// A name that is no workload.
#[derive(Debug, Display, Error, PartialEq, Eq)]
#[display("'{name}' is no workload; use lagerraum or huon")]
pub struct UnknownProfile {
    name: String,
}

impl FromStr for Profile {
    type Err = UnknownProfile;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        match name {
            "lagerraum" => Ok(Self::Lagerraum),
            "huon" => Ok(Self::Huon),
            _ => Err(UnknownProfile { name: name.to_owned() }),
        }
    }
}

const SPAN: Duration = Duration::from_hours(4);
/// When the deadline's morning begins.
const MORNING: f64 = 2.5 * 3600.0;

/// Makes a trace; the same seed makes the same trace.
pub fn generate(profile: Profile, file: &str, deployment: &Deployment, seed: u64) -> Trace {
    let mut draw = Draw { rng: SmallRng::seed_from_u64(seed), deployment, callers: 0, entries: Vec::new() };
    match profile {
        Profile::Lagerraum => lagerraum(&mut draw),
        Profile::Huon => huon(&mut draw),
    }
    let mut entries = draw.entries;
    entries.retain(|entry| entry.at < SPAN);
    entries.sort_by_key(|entry| entry.at);
    Trace { deployment: file.to_owned(), seed, span: SPAN, entries }
}

fn lagerraum(draw: &mut Draw<'_>) {
    let summaries = draw.models("summary-");
    for (rank, model) in summaries.iter().enumerate() {
        // A few models have most of the clients.
        let sessions = 30 / (rank + 2) + 2;
        for _ in 0..sessions {
            let at = draw.anywhere(0.0, SPAN.as_secs_f64());
            draw.session(model, at, 4..14, 15.0, &BROWSING);
        }
    }
    let quiet: Vec<String> = summaries[8..].iter().cloned().chain(draw.models("relief-")).collect();
    for _ in 0..18 {
        let model = draw.one_of(&quiet);
        let at = draw.anywhere(600.0, SPAN.as_secs_f64());
        draw.session(&model, at, 10..26, 0.2, &BURST);
    }
    for model in draw.models("lease-") {
        for _ in 0..2 {
            let at = draw.anywhere(0.0, SPAN.as_secs_f64());
            draw.session(&model, at, 2..7, 60.0, &COMPARISON);
        }
    }
    for (i, model) in draw.models("classify-").iter().enumerate() {
        let period = 600.0 + 240.0 * (i % 7) as f64;
        draw.periodic(model, period, 0.03, 1..4, &CLASSIFYING);
    }
    draw.calls("market", 150, 60, 0.0);
}

fn huon(draw: &mut Draw<'_>) {
    for model in draw.models("voucher-") {
        let at = draw.anywhere(600.0, MORNING - 1200.0);
        draw.session(&model, at, 15..40, 7.0, &BATCH);
        if draw.chance(0.5) {
            let at = draw.anywhere(MORNING, SPAN.as_secs_f64());
            draw.session(&model, at, 3..10, 20.0, &DRAFTING);
        }
    }
    for model in draw.models("minutes-") {
        for _ in 0..2 {
            let at = draw.anywhere(MORNING, SPAN.as_secs_f64());
            draw.session(&model, at, 4..10, 25.0, &DRAFTING);
        }
    }
    for (i, model) in draw.models("entitlement-").iter().enumerate() {
        if i < 4 {
            draw.periodic(model, 900.0 + 300.0 * i as f64, 0.02, 1..3, &CHECK);
        }
        for _ in 0..6 {
            let at = draw.anywhere(MORNING, SPAN.as_secs_f64());
            draw.session(model, at, 3..12, 4.0, &CHECK);
        }
    }
    draw.calls("register", 180, 70, MORNING);
}

/// What requests of a kind have in common.
struct Kind {
    timeout: Duration,
    /// The shortest and the longest run, in seconds.
    run: (f64, f64),
    /// How likely a session is for an adapter, where the model has any.
    adapter: f64,
}

const BROWSING: Kind = Kind { timeout: Duration::from_secs(45), run: (1.0, 3.5), adapter: 0.7 };
const BURST: Kind = Kind { timeout: Duration::from_mins(1), run: (1.0, 3.0), adapter: 0.3 };
const COMPARISON: Kind = Kind { timeout: Duration::from_mins(4), run: (8.0, 25.0), adapter: 0.0 };
const CLASSIFYING: Kind = Kind { timeout: Duration::from_mins(5), run: (0.5, 2.0), adapter: 0.0 };
const BATCH: Kind = Kind { timeout: Duration::from_mins(30), run: (3.0, 9.0), adapter: 0.8 };
const DRAFTING: Kind = Kind { timeout: Duration::from_mins(1), run: (2.0, 6.0), adapter: 0.6 };
const CHECK: Kind = Kind { timeout: Duration::from_secs(30), run: (0.3, 0.8), adapter: 0.0 };

struct Draw<'a> {
    rng: SmallRng,
    deployment: &'a Deployment,
    callers: u32,
    entries: Vec<Entry>,
}

impl Draw<'_> {
    fn models(&self, prefix: &str) -> Vec<String> {
        let names = self.deployment.document.catalogue.models.keys().map(ToString::to_string);
        names.filter(|name| name.starts_with(prefix)).collect()
    }

    fn anywhere(&mut self, from: f64, to: f64) -> f64 {
        self.rng.random_range(from..to)
    }

    fn chance(&mut self, p: f64) -> bool {
        self.rng.random_bool(p)
    }

    fn one_of(&mut self, names: &[String]) -> String {
        names.choose(&mut self.rng).cloned().expect("the deployment has models of each kind")
    }

    /// Returns an exponentially distributed time with the given mean, in seconds.
    fn after(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rng.random::<f64>()).ln()
    }

    /// Requests for one model, one after the other, at random hosts.
    fn session(&mut self, model: &str, at: f64, count: std::ops::Range<u32>, gap: f64, kind: &Kind) {
        self.callers += 1;
        let target = self.target(model, kind);
        let count = self.rng.random_range(count);
        let mut at = at;
        for _ in 0..count {
            self.request(at, Wanted::Model(target.clone()), kind.timeout, kind.run);
            at += self.after(gap);
        }
    }

    fn target(&mut self, model: &str, kind: &Kind) -> String {
        let name = model.parse().expect("the name comes from the catalogue");
        let adapters = self.deployment.document.catalogue.models.get(&name).map(|model| &model.adapters);
        let names: Vec<String> =
            adapters.into_iter().flat_map(|a| a.keys()).map(ToString::to_string).collect();
        if names.is_empty() || !self.chance(kind.adapter) { model.to_owned() } else { self.one_of(&names) }
    }

    fn periodic(&mut self, model: &str, period: f64, jitter: f64, count: std::ops::Range<u32>, kind: &Kind) {
        let mut at = self.anywhere(0.0, period);
        while at < SPAN.as_secs_f64() {
            self.session(model, at, count.clone(), 1.0, kind);
            at += period * self.anywhere(1.0 - jitter, 1.0 + jitter);
        }
    }

    /// Lookups, and calls that may not be repeated, of which some callers send one twice.
    fn calls(&mut self, service: &str, lookups: u32, once: u32, from: f64) {
        let service: ServiceName = service.parse().expect("the name is plain");
        let timeout = Duration::from_secs(5);
        for _ in 0..lookups {
            let at = self.anywhere(from, SPAN.as_secs_f64());
            self.request(at, Wanted::Service(service.clone()), timeout, (0.02, 0.2));
        }
        for key in 1..=u64::from(once) {
            let at = self.anywhere(from, SPAN.as_secs_f64());
            let wanted = Wanted::Once { service: service.clone(), key };
            self.callers += 1;
            self.request(at, wanted.clone(), timeout, (0.05, 0.4));
            if self.chance(0.05) {
                self.request(at + 8.0, wanted, timeout, (0.05, 0.4));
            }
        }
    }

    fn request(&mut self, at: f64, wanted: Wanted, timeout: Duration, run: (f64, f64)) {
        const CALLERS: u32 = 60;
        let caller: CallerId = format!("c{}", self.callers % CALLERS).parse().expect("the name is plain");
        let host = self.rng.random_range(1..=self.deployment.hosts.len());
        let run = millis(self.rng.random_range(run.0..run.1));
        self.entries.push(Entry { line: 0, at: millis(at), host, caller, wanted, timeout, run });
    }
}

/// Rounds to the milliseconds that a trace's lines can tell.
fn millis(secs: f64) -> Duration {
    Duration::from_millis(u64::try_from(Duration::from_secs_f64(secs).as_millis()).unwrap_or(u64::MAX))
}
