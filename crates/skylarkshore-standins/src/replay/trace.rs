//! Parses, validates and writes the text format of traces.

use std::fmt::Write;
use std::str::FromStr;
use std::time::Duration;

use derive_more::{Display, Error};
use skylarkshore_core::id::{CallerId, ServiceName};

use super::deployment::Deployment;

/// The first line of a trace file: the format and its version.
const HEADER: &str = "skylarkshore-trace 1";

/// The target of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestTarget {
    /// A model or an adapter, by its name.
    Model(String),
    /// A plain service.
    Service(ServiceName),
    /// An at-most-once call of a plain service.
    Once {
        /// The service.
        service: ServiceName,
        /// The idempotency key; requests with the same key are the same call.
        key: u64,
    },
}

/// One request of a trace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The line number in the trace file.
    pub line: usize,
    /// The arrival time, relative to the start of the trace.
    pub at: Duration,
    /// The number of the entry host, counted from 1.
    pub host: usize,
    /// The caller.
    pub caller: CallerId,
    /// The requested model or service.
    pub target: RequestTarget,
    /// The caller's time-out.
    pub timeout: Duration,
    /// The run time on the upstream.
    pub run: Duration,
}

/// The recorded requests to a deployment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trace {
    /// The name of the deployment file, in the same folder as the trace.
    pub deployment: String,
    /// The random seed of the replay.
    pub seed: u64,
    /// The duration of the trace.
    pub span: Duration,
    /// The requests, ordered by arrival time.
    pub entries: Vec<Entry>,
}

/// A trace line that can't be parsed or doesn't fit the deployment.
#[derive(Debug, Display, Error, PartialEq, Eq)]
#[display("line {line}: {problem}")]
pub struct InvalidTrace {
    line: usize,
    problem: String,
}

impl Trace {
    /// Parses a trace.
    ///
    /// # Errors
    ///
    /// Returns the first invalid line and its remedy.
    pub fn parse(text: &str) -> Result<Self, InvalidTrace> {
        let mut lines = Lines::new(text);
        lines.header()?;
        let deployment = lines.setting("deployment", "the file that describes the deployment")?;
        let seed = lines.setting("seed", "a whole number")?;
        let span: u64 = lines.setting("span", "the trace's length in seconds")?;
        let span = Duration::from_secs(span);
        let mut entries: Vec<Entry> = Vec::new();
        while let Some((line, text)) = lines.next() {
            let entry = parse_entry(line, text).map_err(|problem| InvalidTrace { line, problem })?;
            let earliest = entries.last().map_or(Duration::ZERO, |last| last.at);
            let problem = match entry.at {
                at if at < earliest => "it arrives before the line above; sort the lines by time",
                at if at >= span => "it arrives after the trace's end; raise the span or remove the line",
                _ => "",
            };
            if !problem.is_empty() {
                return Err(InvalidTrace { line, problem: problem.to_owned() });
            }
            entries.push(entry);
        }
        Ok(Self { deployment, seed, span, entries })
    }

    /// Checks that the deployment has every host, model and service that the trace names.
    ///
    /// # Errors
    ///
    /// Returns the first line with an unknown host, model or service.
    pub fn check(&self, deployment: &Deployment) -> Result<(), InvalidTrace> {
        for entry in &self.entries {
            entry.check(deployment).map_err(|problem| InvalidTrace { line: entry.line, problem })?;
        }
        Ok(())
    }

    /// Returns the trace in its text format.
    pub fn to_text(&self) -> String {
        let mut text = format!(
            "{HEADER}\ndeployment {}\nseed {}\nspan {}\n# at_ms host caller target timeout_ms run_ms\n",
            self.deployment,
            self.seed,
            self.span.as_secs()
        );
        for entry in &self.entries {
            // Writing to a string can't fail.
            _ = writeln!(text, "{entry}");
        }
        text
    }
}

impl Entry {
    fn check(&self, deployment: &Deployment) -> Result<(), String> {
        let hosts = deployment.hosts.len();
        if self.host > hosts {
            return Err(format!("there is no host {}; the deployment has 1 to {hosts}", self.host));
        }
        let catalogue = &deployment.document.catalogue;
        let (kind, name) = match &self.target {
            RequestTarget::Model(name) if catalogue.resolve(name).is_some() => return Ok(()),
            RequestTarget::Service(name) | RequestTarget::Once { service: name, .. }
                if catalogue.services.contains_key(name) =>
            {
                return Ok(());
            }
            RequestTarget::Model(name) => ("model or adapter", name.as_str()),
            RequestTarget::Service(name) | RequestTarget::Once { service: name, .. } => {
                ("service", name.as_str())
            }
        };
        Err(format!("the deployment has no {kind} '{name}'; correct the name or add it to the deployment"))
    }
}

impl std::fmt::Display for Entry {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} {} {} ", self.at.as_millis(), self.host, self.caller)?;
        match &self.target {
            RequestTarget::Model(model) => f.write_str(model)?,
            RequestTarget::Service(service) => write!(f, "service={service}")?,
            RequestTarget::Once { service, key } => write!(f, "once={service}/{key}")?,
        }
        write!(f, " {} {}", self.timeout.as_millis(), self.run.as_millis())
    }
}

/// Iterates over the numbered lines that are neither empty nor comments.
struct Lines<'a> {
    lines: std::iter::Enumerate<std::str::Lines<'a>>,
    line: usize,
}

impl<'a> Lines<'a> {
    fn new(text: &'a str) -> Self {
        Self { lines: text.lines().enumerate(), line: 1 }
    }

    fn next(&mut self) -> Option<(usize, &'a str)> {
        loop {
            let (i, line) = self.lines.next()?;
            self.line = i + 1;
            let text = line.trim();
            if !text.is_empty() && !text.starts_with('#') {
                return Some((self.line, text));
            }
        }
    }

    fn header(&mut self) -> Result<(), InvalidTrace> {
        match self.next() {
            Some((_, HEADER)) => Ok(()),
            _ => Err(self.invalid(format!("unsupported trace format; the first line must be '{HEADER}'"))),
        }
    }

    fn setting<T: FromStr>(&mut self, name: &str, what: &str) -> Result<T, InvalidTrace> {
        let found = self.next().and_then(|(_, text)| text.strip_prefix(name)).map(str::trim);
        let value = found.and_then(|value| value.parse().ok());
        value.ok_or_else(|| self.invalid(format!("missing or invalid '{name}'; write '{name}' and {what}")))
    }

    const fn invalid(&self, problem: String) -> InvalidTrace {
        InvalidTrace { line: self.line, problem }
    }
}

const FIELDS: usize = 6;

fn parse_entry(line: usize, text: &str) -> Result<Entry, String> {
    let fields: Vec<&str> = text.split_whitespace().collect();
    if fields.len() != FIELDS {
        let found = fields.len();
        return Err(format!(
            "it has {found} fields; write at_ms, host, caller, target, timeout_ms and run_ms"
        ));
    }
    let host = parse_number(fields[1], "the number of an entry host")?;
    Ok(Entry {
        line,
        at: parse_millis(fields[0])?,
        host: usize::try_from(host).ok().filter(|host| *host > 0).ok_or("hosts are counted from 1")?,
        caller: fields[2].parse().map_err(|err| format!("the caller: {err}"))?,
        target: parse_target(fields[3])?,
        timeout: parse_millis(fields[4])?,
        run: parse_millis(fields[5])?,
    })
}

fn parse_target(text: &str) -> Result<RequestTarget, String> {
    let service = |name: &str| name.parse().map_err(|err| format!("the service: {err}"));
    if let Some(name) = text.strip_prefix("service=") {
        return Ok(RequestTarget::Service(service(name)?));
    }
    let Some(once) = text.strip_prefix("once=") else { return Ok(RequestTarget::Model(text.to_owned())) };
    let (name, key) =
        once.split_once('/').ok_or("a call that may not be repeated needs a key; write once=SERVICE/KEY")?;
    Ok(RequestTarget::Once { service: service(name)?, key: parse_number(key, "a key")? })
}

fn parse_millis(text: &str) -> Result<Duration, String> {
    parse_number(text, "a time in milliseconds").map(Duration::from_millis)
}

fn parse_number(text: &str, what: &str) -> Result<u64, String> {
    text.parse().map_err(|_invalid| format!("'{text}' is not {what}; write a whole number"))
}
