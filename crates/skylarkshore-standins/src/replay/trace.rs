//! A trace's lines, from text to checked types and back.

use std::fmt::Write;
use std::str::FromStr;
use std::time::Duration;

use derive_more::{Display, Error};
use skylarkshore_core::id::{CallerId, ServiceName};

use super::deployment::Deployment;

/// The first line's text: the kind of file and its version.
const HEADER: &str = "skylarkshore-trace 1";

/// What a request is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Wanted {
    /// A model or an adapter, by its name.
    Model(String),
    /// A plain service.
    Service(ServiceName),
    /// A call of a plain service that may not be repeated, under a key.
    Once {
        /// The service.
        service: ServiceName,
        /// The key; the same key twice is the same call.
        key: u64,
    },
}

/// One request of a trace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The line where it stands in its file.
    pub line: usize,
    /// When it arrives, from the trace's start.
    pub at: Duration,
    /// The number of the entry host, from 1.
    pub host: usize,
    /// Who asks.
    pub caller: CallerId,
    /// What it is for.
    pub wanted: Wanted,
    /// How long the caller waits.
    pub timeout: Duration,
    /// How long it runs once it has begun.
    pub run: Duration,
}

/// A recorded run of a deployment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trace {
    /// The file, beside the trace, that describes the deployment.
    pub deployment: String,
    /// Where all randomness starts.
    pub seed: u64,
    /// How long the trace lasts.
    pub span: Duration,
    /// The requests, the earliest first.
    pub entries: Vec<Entry>,
}

/// A line that can't be understood.
#[derive(Debug, Display, Error, PartialEq, Eq)]
#[display("line {line}: {problem}")]
pub struct InvalidTrace {
    line: usize,
    problem: String,
}

impl Trace {
    /// Reads a trace.
    ///
    /// # Errors
    ///
    /// Names the first line that can't be understood, and what to write there.
    pub fn parse(text: &str) -> Result<Self, InvalidTrace> {
        let mut lines = Lines::new(text);
        lines.header()?;
        let deployment = lines.setting("deployment", "the file that describes the deployment")?;
        let seed = lines.setting("seed", "a whole number")?;
        let span: u64 = lines.setting("span", "the trace's length in seconds")?;
        let span = Duration::from_secs(span);
        let mut entries: Vec<Entry> = Vec::new();
        while let Some((line, text)) = lines.next() {
            let entry = entry(line, text).map_err(|problem| InvalidTrace { line, problem })?;
            let earliest = entries.last().map_or(Duration::ZERO, |last| last.at);
            let problem = match entry.at {
                at if at < earliest => "it lies before the line above; sort the lines by time",
                at if at >= span => "it lies after the trace's end; raise the span or drop the line",
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
    /// Names the first line that asks for something that isn't there.
    pub fn check(&self, deployment: &Deployment) -> Result<(), InvalidTrace> {
        for entry in &self.entries {
            entry.check(deployment).map_err(|problem| InvalidTrace { line: entry.line, problem })?;
        }
        Ok(())
    }

    /// Writes the trace as text.
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
        let (kind, name) = match &self.wanted {
            Wanted::Model(name) if catalogue.resolve(name).is_some() => return Ok(()),
            Wanted::Service(name) | Wanted::Once { service: name, .. }
                if catalogue.services.contains_key(name) =>
            {
                return Ok(());
            }
            Wanted::Model(name) => ("model or adapter", name.as_str()),
            Wanted::Service(name) | Wanted::Once { service: name, .. } => ("service", name.as_str()),
        };
        Err(format!("the deployment has no {kind} '{name}'; correct the name or add it to the deployment"))
    }
}

impl std::fmt::Display for Entry {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} {} {} ", self.at.as_millis(), self.host, self.caller)?;
        match &self.wanted {
            Wanted::Model(model) => f.write_str(model)?,
            Wanted::Service(service) => write!(f, "service={service}")?,
            Wanted::Once { service, key } => write!(f, "once={service}/{key}")?,
        }
        write!(f, " {} {}", self.timeout.as_millis(), self.run.as_millis())
    }
}

/// The lines that are neither empty nor comments, with their numbers.
struct Lines<'a> {
    lines: std::iter::Enumerate<std::str::Lines<'a>>,
    at: usize,
}

impl<'a> Lines<'a> {
    fn new(text: &'a str) -> Self {
        Self { lines: text.lines().enumerate(), at: 1 }
    }

    fn next(&mut self) -> Option<(usize, &'a str)> {
        loop {
            let (i, line) = self.lines.next()?;
            self.at = i + 1;
            let text = line.trim();
            if !text.is_empty() && !text.starts_with('#') {
                return Some((self.at, text));
            }
        }
    }

    fn header(&mut self) -> Result<(), InvalidTrace> {
        match self.next() {
            Some((_, HEADER)) => Ok(()),
            _ => Err(self.invalid(format!("it is no trace that this version reads; begin with '{HEADER}'"))),
        }
    }

    fn setting<T: FromStr>(&mut self, name: &str, what: &str) -> Result<T, InvalidTrace> {
        let found = self.next().and_then(|(_, text)| text.strip_prefix(name)).map(str::trim);
        let value = found.and_then(|value| value.parse().ok());
        value.ok_or_else(|| self.invalid(format!("here stands '{name}' with {what}; write it")))
    }

    const fn invalid(&self, problem: String) -> InvalidTrace {
        InvalidTrace { line: self.at, problem }
    }
}

const FIELDS: usize = 6;

fn entry(line: usize, text: &str) -> Result<Entry, String> {
    let fields: Vec<&str> = text.split_whitespace().collect();
    if fields.len() != FIELDS {
        let found = fields.len();
        return Err(format!(
            "it has {found} fields; write at_ms, host, caller, target, timeout_ms and run_ms"
        ));
    }
    let host = number(fields[1], "the number of an entry host")?;
    Ok(Entry {
        line,
        at: millis(fields[0])?,
        host: usize::try_from(host).ok().filter(|host| *host > 0).ok_or("hosts are counted from 1")?,
        caller: fields[2].parse().map_err(|err| format!("the caller: {err}"))?,
        wanted: wanted(fields[3])?,
        timeout: millis(fields[4])?,
        run: millis(fields[5])?,
    })
}

fn wanted(text: &str) -> Result<Wanted, String> {
    let service = |name: &str| name.parse().map_err(|err| format!("the service: {err}"));
    if let Some(name) = text.strip_prefix("service=") {
        return Ok(Wanted::Service(service(name)?));
    }
    let Some(once) = text.strip_prefix("once=") else { return Ok(Wanted::Model(text.to_owned())) };
    let (name, key) =
        once.split_once('/').ok_or("a call that may not be repeated needs a key; write once=SERVICE/KEY")?;
    Ok(Wanted::Once { service: service(name)?, key: number(key, "a key")? })
}

fn millis(text: &str) -> Result<Duration, String> {
    number(text, "a time in milliseconds").map(Duration::from_millis)
}

fn number(text: &str, what: &str) -> Result<u64, String> {
    text.parse().map_err(|_invalid| format!("'{text}' is not {what}; write a whole number"))
}
