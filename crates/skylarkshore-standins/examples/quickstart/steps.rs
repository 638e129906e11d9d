//! The requests of the quick start and the checks of their answers.

use std::time::{Duration, Instant};

use serde_json::{Value, json};
use skylarkshore_standins::census::Counts;
use skylarkshore_standins::client::{Answer, Call};
use skylarkshore_standins::engine::expected_text;
use skylarkshore_standins::fleet::CENSUS_PATH;
use skylarkshore_wire::caller::{EntryAnswer, IDEMPOTENCY_HEADER, ModelsAnswer};
use tokio::time::sleep;

use crate::deployment::Deployment;

const TOKENS: u32 = 12;
const RULES_TIMEOUT: Duration = Duration::from_secs(20);
const BOOKING_KEY: &str = "booking-4711";

/// The details of a correct answer, or the problem of a wrong one.
type CheckResult = Result<String, String>;

struct Steps<'a> {
    deployment: &'a Deployment,
    all_right: bool,
}

/// Sends every request and reports whether all answers were right.
pub(crate) async fn run(deployment: &Deployment) -> bool {
    let mut steps = Steps { deployment, all_right: true };
    steps.models().await;
    steps.entry_hosts().await;
    steps.chats().await;
    steps.service().await;
    steps.bad_requests().await;
    steps.counts().await;
    steps.all_right
}

impl Steps<'_> {
    fn report(&mut self, what: &str, begun: Instant, result: CheckResult) {
        let ms = begun.elapsed().as_millis();
        let (mark, detail) = match result {
            Ok(detail) => ("ok   ", detail),
            Err(problem) => {
                self.all_right = false;
                ("WRONG", problem)
            }
        };
        println!("{mark} {ms:>6} ms  {what}: {detail}");
    }

    fn get(&self, host: usize, path: &str) -> Call {
        Call::get(self.deployment.entries[host].caller_address(), path)
    }

    fn post(&self, host: usize, path: &str, body: &Value) -> Call {
        Call::post(self.deployment.entries[host].caller_address(), path, body.to_string())
    }

    /// Waits until every host has the rules.
    async fn models(&mut self) {
        let begun = Instant::now();
        let mut result = Err("the rules aren't in force everywhere".to_owned());
        while result.is_err() && begun.elapsed() < RULES_TIMEOUT {
            let mut counts = Vec::new();
            for host in 0..self.deployment.entries.len() {
                let answer = self.get(host, "/v1/models").send().await;
                let models = answer.and_then(|answer| answer.json::<ModelsAnswer>());
                counts.push(models.map_or(0, |models| models.data.len()));
            }
            if counts.iter().all(|count| *count == 5) {
                result = Ok("3 models and 2 adapters at each host".to_owned());
            } else {
                sleep(Duration::from_millis(50)).await;
            }
        }
        self.report("the rules are in force everywhere", begun, result);
    }

    async fn entry_hosts(&mut self) {
        let begun = Instant::now();
        let answer = self.get(1, "/v1/entry").send().await;
        let result = match answer.and_then(|answer| answer.json::<EntryAnswer>()) {
            Ok(entry) if entry.hosts.len() == 3 => {
                let names: Vec<&str> = entry.hosts.iter().map(|h| h.data_centre.as_str()).collect();
                Ok(format!("{} for {} s", names.join(", "), entry.max_age_s))
            }
            Ok(entry) => Err(format!("{} hosts instead of 3", entry.hosts.len())),
            Err(err) => Err(err.to_string()),
        };
        self.report("the list of entry hosts", begun, result);
    }

    async fn chats(&mut self) {
        self.chat("a cold model", 0, "listing-summary").await;
        self.chat("the same model, now warm", 0, "listing-summary").await;
        self.chat("the same model through another host", 1, "listing-summary").await;
        self.chat("a cold adapter on the warm model", 2, "listing-summary-fr").await;
        self.chat("the adapter, now warm", 1, "listing-summary-fr").await;
        self.chat("a model that the rules keep warm", 2, "offer-classifier").await;
        self.streamed("a stream from another cold model", 1, "lease-comparison").await;
    }

    async fn chat(&mut self, what: &str, host: usize, model: &str) {
        let begun = Instant::now();
        let prompt = format!("a question to {model} about: {what}");
        let messages = json!([{"role": "user", "content": prompt}]);
        let body = json!({"model": model, "messages": messages, "max_tokens": TOKENS});
        let result = match self.post(host, "/v1/chat/completions", &body).send().await {
            Ok(answer) => check_chat(&answer, &expected_text(model, &prompt, TOKENS)),
            Err(err) => Err(err.to_string()),
        };
        self.report(what, begun, result);
    }

    async fn streamed(&mut self, what: &str, host: usize, model: &str) {
        let begun = Instant::now();
        let prompt = format!("a question to {model} about: {what}");
        let body = json!({"model": model, "prompt": prompt, "max_tokens": TOKENS, "stream": true});
        let result = match self.post(host, "/v1/completions", &body).send().await {
            Ok(answer) => check_stream(&answer, &expected_text(model, &prompt, TOKENS)),
            Err(err) => Err(err.to_string()),
        };
        self.report(what, begun, result);
    }

    async fn service(&mut self) {
        let begun = Instant::now();
        let answer = self.get(0, "/services/marketplace/availability/hall-7").send().await;
        let expected = json!({"space": "hall-7", "free": true});
        self.report("an availability lookup", begun, check_json(answer, &expected));
        for (host, what) in
            [(0, "a booking, which may run only once"), (2, "the same booking through another host")]
        {
            let begun = Instant::now();
            let call = self.post(host, "/services/marketplace/bookings", &json!({"space": "hall-7"}));
            let answer = call.header(IDEMPOTENCY_HEADER, BOOKING_KEY).send().await;
            let expected = json!({"booking": BOOKING_KEY, "run": 1});
            self.report(what, begun, check_json(answer, &expected));
        }
    }

    async fn bad_requests(&mut self) {
        let begun = Instant::now();
        let body = json!({"model": "no-such-model", "prompt": "hello"});
        let answer = self.post(1, "/v1/completions", &body).send().await;
        self.report("an unknown model", begun, check_refused(answer, 404));
        let begun = Instant::now();
        let answer = self.post(1, "/services/marketplace/bookings", &json!({})).send().await;
        self.report("a booking without an idempotency key", begun, check_refused(answer, 400));
    }

    async fn counts(&mut self) {
        let begun = Instant::now();
        let answer = Call::get(self.deployment.platform.census, CENSUS_PATH).send().await;
        let result = match answer.and_then(|answer| answer.json::<Counts>()) {
            Ok(counts) => check_counts(&counts),
            Err(err) => Err(err.to_string()),
        };
        self.report("the counts of the upstreams", begun, result);
    }
}

fn format_answer(answer: &Answer) -> String {
    format!("{} {}", answer.status.as_u16(), answer.text())
}

fn check_chat(answer: &Answer, expected: &str) -> CheckResult {
    let body: Value = answer.json().unwrap_or_default();
    if body["choices"][0]["message"]["content"] == *expected {
        return Ok(format!("{TOKENS} tokens"));
    }
    Err(format_answer(answer))
}

fn check_stream(answer: &Answer, expected: &str) -> CheckResult {
    let text = answer.text();
    let events: Vec<&str> = text.lines().filter_map(|line| line.strip_prefix("data: ")).collect();
    let Some(("[DONE]", events)) = events.split_last().map(|(last, rest)| (*last, rest)) else {
        return Err(format_answer(answer));
    };
    let token = |event: &&str| {
        let event: Value = serde_json::from_str(event).unwrap_or_default();
        event["choices"][0]["text"].as_str().unwrap_or_default().to_owned()
    };
    let streamed: String = events.iter().map(token).collect();
    if streamed == expected { Ok(format!("{TOKENS} tokens, complete")) } else { Err(format_answer(answer)) }
}

fn check_json(
    answer: Result<Answer, skylarkshore_standins::client::CallError>,
    expected: &Value,
) -> CheckResult {
    let answer = answer.map_err(|err| err.to_string())?;
    let body: Value = answer.json().unwrap_or_default();
    if body == *expected { Ok(body.to_string()) } else { Err(format_answer(&answer)) }
}

fn check_refused(
    answer: Result<Answer, skylarkshore_standins::client::CallError>,
    status: u16,
) -> CheckResult {
    let answer = answer.map_err(|err| err.to_string())?;
    let body: Value = answer.json().unwrap_or_default();
    if answer.status.as_u16() != status || body["outcome"] != "not_run" {
        return Err(format_answer(&answer));
    }
    Ok(format!("{status} not_run, {}; {}", body["error"]["message"], body["error"]["remedy"]))
}

fn check_counts(counts: &Counts) -> CheckResult {
    let runs = counts.runs.get(BOOKING_KEY).copied().unwrap_or_default();
    let loaded_twice =
        counts.loads.iter().find(|(model, loads)| model.as_str() != "offer-classifier" && **loads > 1);
    if runs != 1 || loaded_twice.is_some() || counts.overcommits > 0 {
        return Err(format!("{counts:?}"));
    }
    let loads: u64 = counts.loads.values().sum();
    Ok(format!("{loads} loads, {} answers, 1 booking", counts.answered))
}
