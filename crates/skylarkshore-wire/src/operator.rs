//! What operators get from a process.

use serde::{Deserialize, Serialize};
use skylarkshore_core::dump::DumpEntry;
use skylarkshore_core::id::{HostId, Incarnation, RulesRevision, StoreRevision};
use skylarkshore_core::time::Time;

use crate::document::{OutcomeWire, RuleWire};

/// What a process believes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateDump {
    /// The host.
    pub host: HostId,
    /// Which life of its process.
    pub incarnation: Incarnation,
    /// The operators' revision of the document in force.
    pub document_revision: RulesRevision,
    /// The highest revision of the key-value service that it has seen.
    pub store_revision: StoreRevision,
    /// Whether it can serve.
    pub ready: bool,
    /// Whether it is about to go.
    pub leaving: bool,
    /// Everything it believes, in the order of its parts.
    pub beliefs: Vec<BeliefWire>,
}

/// One belief of a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BeliefWire {
    /// What kind of thing it is about, such as `engine` or `request`.
    pub kind: String,
    /// The thing's name.
    pub subject: String,
    /// What is believed of it.
    pub state: String,
    /// For how long, in milliseconds, where that is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub since_ms: Option<u64>,
}

/// Which rule decides for a model and why.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// The base model.
    pub model: String,
    /// The adapter, if one was named.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
    /// The operators' revision of the document in force.
    pub document_revision: RulesRevision,
    /// What was known when the rules were asked.
    pub facts: FactsWire,
    /// Each rule in order, up to the one that matched.
    pub tried: Vec<TriedRule>,
    /// The rule that matched first; absent where `otherwise` decides.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub matched: Option<RuleWire>,
    /// What is decided.
    pub outcome: OutcomeWire,
}

/// What was known when the rules were asked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FactsWire {
    /// The data centre of the process that was asked.
    pub data_centre: String,
    /// The time of day in UTC.
    pub at: String,
    /// The caller, if one was named.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub caller: Option<String>,
    /// The percentage of the site's power that is granted, if one was named.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub power_pressure: Option<u8>,
    /// The percentage of the engines' memory that is in use, if one was named.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub memory_pressure: Option<u8>,
    /// For how many seconds the model has had no request, if that was named.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub idle_for_s: Option<u64>,
    /// How many requests wait for the model, if that was named.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub queue: Option<u32>,
}

/// A rule that was looked at.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TriedRule {
    /// The operators' name for it.
    pub name: String,
    /// Whether its condition holds.
    pub holds: bool,
}

impl BeliefWire {
    /// Turns a belief into what operators get at `now`.
    pub fn new(belief: DumpEntry, now: Time) -> Self {
        let millis = |since: Time| u64::try_from(now.since(since).as_millis()).unwrap_or(u64::MAX);
        Self {
            kind: belief.kind.to_owned(),
            subject: belief.subject,
            state: belief.state,
            since_ms: belief.since.map(millis),
        }
    }
}

/// Which life of a process answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Health {
    /// The host.
    pub host: HostId,
    /// Which life of its process.
    pub incarnation: Incarnation,
}
