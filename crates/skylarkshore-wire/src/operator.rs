//! Bodies of the operator endpoints: [`StateDump`], [`Explanation`] and [`Health`].

use serde::{Deserialize, Serialize};
use skylarkshore_core::dump::DumpEntry;
use skylarkshore_core::id::{HostId, Incarnation, RulesRevision, StoreRevision};
use skylarkshore_core::time::Time;

use crate::document::{OutcomeWire, RuleWire};

/// The current state of a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateDump {
    /// The host.
    pub host: HostId,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Revision of the operators' document in force.
    pub document_revision: RulesRevision,
    /// Highest revision of the key-value service that the process has seen.
    pub store_revision: StoreRevision,
    /// Whether the process can serve requests.
    pub ready: bool,
    /// Whether the process is shutting down.
    pub leaving: bool,
    /// Entries of the state dump, grouped by component.
    pub beliefs: Vec<BeliefWire>,
}

/// One entry of a state dump.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BeliefWire {
    /// Kind of the subject, such as `engine` or `request`.
    pub kind: String,
    /// Name of the subject.
    pub subject: String,
    /// State of the subject.
    pub state: String,
    /// Milliseconds since the subject entered this state, if known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub since_ms: Option<u64>,
}

/// Which rule applies to a model, and why.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// The base model.
    pub model: String,
    /// The adapter, if the request named one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
    /// Revision of the operators' document in force.
    pub document_revision: RulesRevision,
    /// Input of the rules.
    pub facts: FactsWire,
    /// The evaluated rules in order, up to the first match.
    pub tried: Vec<TriedRule>,
    /// The first matching rule; absent if `otherwise` applies.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub matched: Option<RuleWire>,
    /// The resulting outcome.
    pub outcome: OutcomeWire,
}

/// Input of the rules.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FactsWire {
    /// Data centre of the answering process.
    pub data_centre: String,
    /// The time of day in UTC.
    pub at: String,
    /// The caller, if given.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub caller: Option<String>,
    /// Percentage of the site's power that is granted, if given.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub power_pressure: Option<u8>,
    /// Percentage of the engines' memory that is in use, if given.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub memory_pressure: Option<u8>,
    /// Seconds since the model's last request, if given.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub idle_for_s: Option<u64>,
    /// Number of requests queued for the model, if given.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub queue: Option<u32>,
}

/// A rule that was evaluated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TriedRule {
    /// Name given by the operators.
    pub name: String,
    /// Whether its condition is met.
    pub holds: bool,
}

impl BeliefWire {
    /// Converts an entry to its wire form, with its age at `now`.
    pub fn new(entry: DumpEntry, now: Time) -> Self {
        let millis = |since: Time| u64::try_from(now.since(since).as_millis()).unwrap_or(u64::MAX);
        Self {
            kind: entry.kind.to_owned(),
            subject: entry.subject,
            state: entry.state,
            since_ms: entry.since.map(millis),
        }
    }
}

/// Identity of the answering process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Health {
    /// The host.
    pub host: HostId,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
}
