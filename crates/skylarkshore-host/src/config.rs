//! The settings of a host: JSON with comments, validated completely before use. Start with [`Config`].

pub(crate) mod invalid;
mod limits;
mod platform;
mod section;
mod timings;
mod url;

use std::net::SocketAddr;
use std::path::Path;
use std::str::FromStr;
use std::time::Duration;

use derive_more::{Display, Error};
use jsonc_parser::ast::Value;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use serde::Deserialize;
use skylarkshore_core::config::{Limits, Timings, Watchers};
use skylarkshore_core::id::{DataCentre, HostId};
use skylarkshore_core::rules::Rules;
use skylarkshore_core::units::Capacity;
use skylarkshore_wire::document::RulesWire;
use slog::Level;

use crate::error::Error as ProgramError;

pub use invalid::InvalidSettings;
pub use section::Fault;
pub use url::{HttpUrl, InvalidHttpUrl};

use section::{Report, Section, boolean, json_of, text};

/// The settings of a host.
#[derive(Clone, Debug)]
pub struct Config {
    /// The host's name, which stays the same across restarts.
    pub host: HostId,
    /// The host's data centre.
    pub data_centre: DataCentre,
    /// The address for callers.
    pub caller_address: SocketAddr,
    /// The address for peers.
    pub peer_address: SocketAddr,
    /// The address for operators.
    pub operator_address: SocketAddr,
    /// The platform and its addresses.
    pub platform: PlatformSettings,
    /// The rules in force until operators apply a document.
    pub default_rules: Rules,
    /// Which hosts watch the key-value service.
    pub watchers: Watchers,
    /// Whether the whole system starts for the first time.
    pub is_first_start: bool,
    /// The host's capacity relative to the others.
    pub capacity: Capacity,
    /// The lowest level that is logged.
    pub log_level: LogLevel,
    /// Limits on the size and duration of callers' requests.
    pub intake: Intake,
    /// Limits on what is held for callers and upstreams that read slowly.
    pub buffers: BufferLimits,
    /// Limits on the work that the process accepts.
    pub limits: Limits,
    /// Intervals and time-outs.
    pub timings: Timings,
}

/// The platform on which a host runs, and its addresses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformSettings {
    /// An etcd v3 JSON gateway and a host list.
    Etcd(EtcdSettings),
    /// A key-value service with self-registered upstreams.
    Registry(RegistrySettings),
}

/// The addresses of an etcd v3 JSON gateway and a host list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EtcdSettings {
    /// The key-value service's endpoints, tried in turn.
    pub store_endpoints: Vec<HttpUrl>,
    /// The URL of the host list.
    pub hosts_url: HttpUrl,
}

/// The address of a registry, and the addresses that this host serves for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegistrySettings {
    /// The address of the key-value service.
    pub address: SocketAddr,
    /// The address on which callers request the list of hosts.
    pub directory_address: SocketAddr,
    /// The address of the readiness check.
    pub readiness_address: SocketAddr,
    /// Whether engines reject orders with outdated fences.
    pub checks_fences: bool,
    /// How long upstreams keep serving after they announce that they leave.
    ///
    /// The announcement has to arrive here within that time; every poll for
    /// changes costs a call.
    pub leaving_notice: Duration,
    /// The shortest lease that the service grants.
    pub least_lease: Duration,
    /// How soon a new configuration has to be in force; `None` if callers are denied however long ago this
    /// host has heard of the service.
    pub configuration_limit: Option<Duration>,
}

/// Limits on the size and duration of callers' requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Intake {
    /// The largest body of a request, in bytes.
    pub body_len: usize,
    /// Time-out for the head of a request.
    pub head_timeout: Duration,
    /// Time-out for the body of a request.
    pub body_timeout: Duration,
}

impl Default for Intake {
    fn default() -> Self {
        Self {
            body_len: 1024 * 1024,
            head_timeout: Duration::from_secs(5),
            body_timeout: Duration::from_secs(10),
        }
    }
}

/// Limits on the memory for what callers and upstreams read slowly.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BufferLimits {
    /// The unread part of one answer, in bytes.
    pub answer: usize,
    /// The unread parts of all answers, in bytes. Each may have one piece beyond it.
    pub answers: usize,
    /// The bodies of all requests in progress, in bytes.
    pub bodies: usize,
    /// How long a caller may read nothing of an answer; without a limit if absent.
    pub stall: Option<Duration>,
}

/// The lowest level that is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogLevel(pub Level);

/// A text that isn't a log level.
#[derive(Debug, Display, Error)]
#[display("'{text}' is no level; use one of error, warning, info, debug, trace")]
pub struct InvalidLogLevel {
    text: String,
}

impl FromStr for LogLevel {
    type Err = InvalidLogLevel;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let level = match s {
            "error" => Level::Error,
            "warning" => Level::Warning,
            "info" => Level::Info,
            "debug" => Level::Debug,
            "trace" => Level::Trace,
            _ => return Err(InvalidLogLevel { text: s.to_owned() }),
        };
        Ok(Self(level))
    }
}

impl Config {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// The file can't be read or its settings are invalid.
    pub fn read(path: &Path) -> Result<Self, ProgramError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| ProgramError::ReadSettings { path: path.to_owned(), source })?;
        Ok(text.parse()?)
    }
}

impl FromStr for Config {
    type Err = InvalidSettings;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut report = Report::new(text);
        let config = parse(text, &mut report);
        let faults = report.into_faults();
        config.filter(|_| faults.is_empty()).ok_or(InvalidSettings { faults })
    }
}

/// JSON with comments and trailing commas; the parser's other extensions are disabled.
const SYNTAX: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_trailing_commas: true,
    allow_loose_object_property_names: false,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

fn parse(text: &str, report: &mut Report<'_>) -> Option<Config> {
    let parsed = match parse_to_ast(text, &CollectOptions::default(), &SYNTAX) {
        Ok(parsed) => parsed,
        Err(err) => {
            let problem = format!("is no JSON with comments: {}; mend it", err.kind());
            report.add("the file", err.line_display(), problem);
            return None;
        }
    };
    let Some(Value::Object(object)) = &parsed.value else {
        report.add("the file", 1, "does not contain an object; write { ... }");
        return None;
    };
    read_root(Section::root(report, object), report)
}

fn read_root(mut root: Section<'_>, report: &mut Report<'_>) -> Option<Config> {
    let host = root.required(report, "host", "\"entry-1\"", text);
    let data_centre = root.required(report, "data_centre", "\"bern-a\"", text);
    let caller_address = root.required(report, "caller_address", "\"10.0.0.1:8080\"", address);
    let peer_address = root.required(report, "peer_address", "\"10.0.0.1:8081\"", address);
    let operator_address = root.required(report, "operator_address", "\"10.0.0.1:8082\"", address);
    let platform = platform::read(&mut root, report);
    let default_rules = read_rules(&mut root, report);
    let everyone_watches = root.optional(report, "everyone_watches", false, boolean);
    let news_relayed = root.optional(report, "news_relayed", false, boolean);
    let is_first_start = root.optional(report, "first_start", false, boolean);
    let capacity = root.optional(report, "cores", Capacity::default(), limits::capacity);
    let log_level = read_log(&mut root, report);
    let memory = root.optional(report, "memory_mb", limits::DEFAULT_MEMORY, limits::memory);
    let (intake, buffers, limits) = limits::read_limits(&mut root, report, memory);
    let timings = timings::read(&mut root, report);
    root.finish(report);
    Some(Config {
        host: host?,
        data_centre: data_centre?,
        caller_address: caller_address?,
        peer_address: peer_address?,
        operator_address: operator_address?,
        platform: platform?,
        default_rules,
        is_first_start,
        watchers: match (everyone_watches, news_relayed) {
            (false, _) => Watchers::OnePerDataCentre,
            (true, false) => Watchers::All,
            (true, true) => Watchers::Relayed,
        },
        capacity,
        log_level,
        intake,
        buffers,
        limits,
        timings,
    })
}

fn address(value: &Value<'_>) -> Result<SocketAddr, String> {
    let address = text::<SocketAddr>(value).map_err(|_invalid| {
        "is no address; write an IP number and a port in double quotes, for example \"10.0.0.1:8080\""
            .to_owned()
    })?;
    if address.ip().is_unspecified() {
        return Err("is told to others, who can't connect to it; write the host's own IP number".to_owned());
    }
    Ok(address)
}

/// Reads the rules in force until operators apply a document.
fn read_rules(root: &mut Section<'_>, report: &mut Report<'_>) -> Rules {
    let read = |value: &Value<'_>| {
        let wire =
            RulesWire::deserialize(json_of(value)).map_err(|err| format!("has a wrong shape: {err}"))?;
        Rules::try_from(wire).map_err(|err| err.to_string())
    };
    root.optional(report, "default_rules", Rules::default(), read)
}

fn read_log(root: &mut Section<'_>, report: &mut Report<'_>) -> LogLevel {
    let mut log = root.optional_section(report, "log");
    let level = log.optional(report, "level", LogLevel(Level::Info), text);
    log.finish(report);
    level
}
