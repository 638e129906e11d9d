//! Generates traces from a seed, modelled on the workloads of two users.

use std::str::FromStr;
use std::time::Duration;

use derive_more::{Display, Error};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use skylarkshore_core::id::{CallerId, ServiceName};

use super::deployment::Deployment;
use super::trace::{Entry, RequestTarget, Trace};

/// A workload to generate.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Profile {
    /// Daytime browsing, with bursts for models that were idle.
    #[display("lagerraum")]
    Lagerraum,
    /// Overnight batches, followed by interactive load on the morning of a deadline.
    #[display("huon")]
    Huon,
}

/// An unknown workload name.
#[derive(Debug, Display, Error, PartialEq, Eq)]
#[display("unknown workload '{name}'; use lagerraum or huon")]
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
/// When the interactive load on the morning of the deadline starts.
const MORNING_START_SECS: f64 = 2.5 * 3600.0;

/// Generates a trace; the same seed gives the same trace.
pub fn generate(profile: Profile, file: &str, deployment: &Deployment, seed: u64) -> Trace {
    let mut generator =
        Generator { rng: SmallRng::seed_from_u64(seed), deployment, callers: 0, entries: Vec::new() };
    match profile {
        Profile::Lagerraum => lagerraum(&mut generator),
        Profile::Huon => huon(&mut generator),
    }
    let mut entries = generator.entries;
    entries.retain(|entry| entry.at < SPAN);
    entries.sort_by_key(|entry| entry.at);
    Trace { deployment: file.to_owned(), seed, span: SPAN, entries }
}

fn lagerraum(generator: &mut Generator<'_>) {
    let summaries = generator.models("summary-");
    for (rank, model) in summaries.iter().enumerate() {
        // A few popular models get most of the sessions.
        let sessions = 30 / (rank + 2) + 2;
        for _ in 0..sessions {
            let at = generator.uniform(0.0, SPAN.as_secs_f64());
            generator.session(model, at, 4..14, 15.0, &BROWSING);
        }
    }
    let quiet: Vec<String> = summaries[8..].iter().cloned().chain(generator.models("relief-")).collect();
    for _ in 0..18 {
        let model = generator.pick(&quiet);
        let at = generator.uniform(600.0, SPAN.as_secs_f64());
        generator.session(&model, at, 10..26, 0.2, &BURST);
    }
    for model in generator.models("lease-") {
        for _ in 0..2 {
            let at = generator.uniform(0.0, SPAN.as_secs_f64());
            generator.session(&model, at, 2..7, 60.0, &COMPARISON);
        }
    }
    for (i, model) in generator.models("classify-").iter().enumerate() {
        let period = 600.0 + 240.0 * (i % 7) as f64;
        generator.periodic(model, period, 0.03, 1..4, &CLASSIFYING);
    }
    generator.service_calls("market", 150, 60, 0.0);
}

fn huon(generator: &mut Generator<'_>) {
    for model in generator.models("voucher-") {
        let at = generator.uniform(600.0, MORNING_START_SECS - 1200.0);
        generator.session(&model, at, 15..40, 7.0, &BATCH);
        if generator.chance(0.5) {
            let at = generator.uniform(MORNING_START_SECS, SPAN.as_secs_f64());
            generator.session(&model, at, 3..10, 20.0, &DRAFTING);
        }
    }
    for model in generator.models("minutes-") {
        for _ in 0..2 {
            let at = generator.uniform(MORNING_START_SECS, SPAN.as_secs_f64());
            generator.session(&model, at, 4..10, 25.0, &DRAFTING);
        }
    }
    for (i, model) in generator.models("entitlement-").iter().enumerate() {
        if i < 4 {
            generator.periodic(model, 900.0 + 300.0 * i as f64, 0.02, 1..3, &CHECK);
        }
        for _ in 0..6 {
            let at = generator.uniform(MORNING_START_SECS, SPAN.as_secs_f64());
            generator.session(model, at, 3..12, 4.0, &CHECK);
        }
    }
    generator.service_calls("register", 180, 70, MORNING_START_SECS);
}

/// The parameters of a class of requests.
struct RequestKind {
    timeout: Duration,
    /// The minimum and maximum run time, in seconds.
    run_secs: (f64, f64),
    /// The probability that a session uses an adapter, if the model has any.
    adapter_probability: f64,
}

const BROWSING: RequestKind =
    RequestKind { timeout: Duration::from_secs(45), run_secs: (1.0, 3.5), adapter_probability: 0.7 };
const BURST: RequestKind =
    RequestKind { timeout: Duration::from_mins(1), run_secs: (1.0, 3.0), adapter_probability: 0.3 };
const COMPARISON: RequestKind =
    RequestKind { timeout: Duration::from_mins(4), run_secs: (8.0, 25.0), adapter_probability: 0.0 };
const CLASSIFYING: RequestKind =
    RequestKind { timeout: Duration::from_mins(5), run_secs: (0.5, 2.0), adapter_probability: 0.0 };
const BATCH: RequestKind =
    RequestKind { timeout: Duration::from_mins(30), run_secs: (3.0, 9.0), adapter_probability: 0.8 };
const DRAFTING: RequestKind =
    RequestKind { timeout: Duration::from_mins(1), run_secs: (2.0, 6.0), adapter_probability: 0.6 };
const CHECK: RequestKind =
    RequestKind { timeout: Duration::from_secs(30), run_secs: (0.3, 0.8), adapter_probability: 0.0 };

struct Generator<'a> {
    rng: SmallRng,
    deployment: &'a Deployment,
    callers: u32,
    entries: Vec<Entry>,
}

impl Generator<'_> {
    fn models(&self, prefix: &str) -> Vec<String> {
        let names = self.deployment.document.catalogue.models.keys().map(ToString::to_string);
        names.filter(|name| name.starts_with(prefix)).collect()
    }

    fn uniform(&mut self, from: f64, to: f64) -> f64 {
        self.rng.random_range(from..to)
    }

    fn chance(&mut self, p: f64) -> bool {
        self.rng.random_bool(p)
    }

    fn pick(&mut self, names: &[String]) -> String {
        names.choose(&mut self.rng).cloned().expect("the deployment has models with each prefix")
    }

    /// Returns an exponentially distributed time in seconds.
    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rng.random::<f64>()).ln()
    }

    /// Adds sequential requests of one caller for one model at random hosts.
    fn session(&mut self, model: &str, at: f64, count: std::ops::Range<u32>, gap: f64, kind: &RequestKind) {
        self.callers += 1;
        let target = self.target(model, kind);
        let count = self.rng.random_range(count);
        let mut at = at;
        for _ in 0..count {
            self.request(at, RequestTarget::Model(target.clone()), kind.timeout, kind.run_secs);
            at += self.exponential(gap);
        }
    }

    fn target(&mut self, model: &str, kind: &RequestKind) -> String {
        let name = model.parse().expect("the name comes from the catalogue");
        let adapters = self.deployment.document.catalogue.models.get(&name).map(|model| &model.adapters);
        let names: Vec<String> =
            adapters.into_iter().flat_map(|a| a.keys()).map(ToString::to_string).collect();
        if names.is_empty() || !self.chance(kind.adapter_probability) {
            model.to_owned()
        } else {
            self.pick(&names)
        }
    }

    fn periodic(
        &mut self,
        model: &str,
        period: f64,
        jitter: f64,
        count: std::ops::Range<u32>,
        kind: &RequestKind,
    ) {
        let mut at = self.uniform(0.0, period);
        while at < SPAN.as_secs_f64() {
            self.session(model, at, count.clone(), 1.0, kind);
            at += period * self.uniform(1.0 - jitter, 1.0 + jitter);
        }
    }

    /// Adds lookups and at-most-once calls; some callers send the latter twice.
    fn service_calls(&mut self, service: &str, lookups: u32, once: u32, from: f64) {
        let service: ServiceName = service.parse().expect("the name is valid");
        let timeout = Duration::from_secs(5);
        for _ in 0..lookups {
            let at = self.uniform(from, SPAN.as_secs_f64());
            self.request(at, RequestTarget::Service(service.clone()), timeout, (0.02, 0.2));
        }
        for key in 1..=u64::from(once) {
            let at = self.uniform(from, SPAN.as_secs_f64());
            let target = RequestTarget::Once { service: service.clone(), key };
            self.callers += 1;
            self.request(at, target.clone(), timeout, (0.05, 0.4));
            if self.chance(0.05) {
                self.request(at + 8.0, target, timeout, (0.05, 0.4));
            }
        }
    }

    fn request(&mut self, at: f64, target: RequestTarget, timeout: Duration, run_secs: (f64, f64)) {
        const CALLERS: u32 = 60;
        let caller: CallerId = format!("c{}", self.callers % CALLERS).parse().expect("the name is valid");
        let host = self.rng.random_range(1..=self.deployment.hosts.len());
        let run = millis(self.rng.random_range(run_secs.0..run_secs.1));
        self.entries.push(Entry { line: 0, at: millis(at), host, caller, target, timeout, run });
    }
}

/// Truncates to milliseconds, the resolution of a trace.
fn millis(secs: f64) -> Duration {
    Duration::from_millis(u64::try_from(Duration::from_secs_f64(secs).as_millis()).unwrap_or(u64::MAX))
}
