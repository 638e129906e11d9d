//! The operators' document: models, services, power caps and rules, as JSON with comments.
//!
//! It is stored under one key of the key-value service, which all hosts share.
//! Start with [`DocumentWire`].

mod check;

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::{Display, Error, From};
use jsonc_parser::errors::ParseError;
use serde::{Deserialize, Serialize};
use skylarkshore_core::catalogue::{Catalogue, CopyLoadTimes, Document, Model, Service};
use skylarkshore_core::collections::OrderedSet;
use skylarkshore_core::id::{
    AccountName, AdapterName, CallerId, CatalogueRevision, DataCentre, ModelName, ModelVersion,
    RulesRevision, ServiceName, SiteName,
};
use skylarkshore_core::rules::{
    Condition, Hours, IdleAfter, InvalidMinuteOfDay, InvalidPercent, Rule, RuleOutcome, Rules, ServiceOrder,
};
use skylarkshore_core::units::{Mebibytes, Watts};

use crate::accounts::{AccountWire, InvalidAccount, accounts_from_wire, accounts_to_wire};
use crate::peer::millis;

pub use check::{Finding, Severity, check};

/// Maximum size of a document in bytes; the key-value service limits a write to a mebibyte, including keys
/// and metadata.
pub const MAX_DOCUMENT_LEN: usize = 1_000_000;

/// The operators' document in its JSON form.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DocumentWire {
    /// Revision of the whole document, incremented by each successful `rules apply`. In a file to be
    /// applied: the revision that the file was edited from.
    #[serde(default)]
    pub revision: u64,
    /// Power cap of each site in watts.
    pub power_caps: BTreeMap<SiteName, u64>,
    /// The base models.
    pub models: BTreeMap<ModelName, ModelWire>,
    /// Services other than models.
    #[serde(default)]
    pub services: BTreeMap<ServiceName, ServiceWire>,
    /// Client accounts; if there are none, callers need no API key.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub accounts: BTreeMap<AccountName, AccountWire>,
    /// The rules in order of precedence.
    #[serde(default)]
    pub rules: Vec<RuleWire>,
    /// The outcome if no rule matches.
    #[serde(default)]
    pub otherwise: OutcomeWire,
}

/// A base model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelWire {
    /// Version of the weights.
    pub version: ModelVersion,
    /// Memory for the weights in MiB.
    pub weights_mib: u64,
    /// Memory reserved for the KV cache in MiB.
    pub kv_cache_mib: u64,
    /// Typical duration of a load.
    pub load_time_ms: u64,
    /// Typical duration of a load from a local copy of the weights, if engines keep copies.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub copy_load_times_ms: Option<CopyLoadTimesWire>,
    /// Pool of engines that may load the model; any engine if absent. It is compared with the pool of
    /// each engine, not with the keys of `services`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pool: Option<ServiceName>,
    /// Adapters with their memory in MiB.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub adapters: BTreeMap<AdapterName, u64>,
}

/// Duration of loads from a local copy of the weights, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CopyLoadTimesWire {
    /// From the host's memory.
    pub from_memory: u64,
    /// From the host's disk.
    pub from_disk: u64,
}

impl From<CopyLoadTimesWire> for CopyLoadTimes {
    fn from(wire: CopyLoadTimesWire) -> Self {
        Self {
            from_memory: Duration::from_millis(wire.from_memory),
            from_disk: Duration::from_millis(wire.from_disk),
        }
    }
}

impl From<CopyLoadTimes> for CopyLoadTimesWire {
    fn from(times: CopyLoadTimes) -> Self {
        Self { from_memory: millis(times.from_memory), from_disk: millis(times.from_disk) }
    }
}

/// A service other than a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceWire {
    /// Path prefixes of calls that must run at most once.
    #[serde(default)]
    pub once_paths: Vec<String>,
    /// Number of requests that one replica handles concurrently.
    pub concurrency: u32,
}

/// The rules without models, services or accounts: the form of a host's `default_rules` setting,
/// which holds until operators apply a document.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RulesWire {
    /// The rules in order of precedence.
    pub rules: Vec<RuleWire>,
    /// The outcome if no rule matches.
    pub otherwise: OutcomeWire,
}

impl TryFrom<RulesWire> for Rules {
    type Error = InvalidDocument;

    fn try_from(wire: RulesWire) -> Result<Self, Self::Error> {
        let list = wire.rules.into_iter().map(Rule::try_from).collect::<Result<_, _>>()?;
        Ok(Self { list, otherwise: wire.otherwise.into() })
    }
}

/// One when-then rule.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RuleWire {
    /// Name given by the operators.
    pub name: String,
    /// Condition under which the rule matches.
    #[serde(default)]
    pub when: ConditionWire,
    /// Outcome if the rule matches.
    pub then: OutcomeWire,
}

/// The condition of a rule; an absent field always matches.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ConditionWire {
    /// The base model is one of these.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub models: Option<Vec<ModelName>>,
    /// The adapter is one of these.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub adapters: Option<Vec<AdapterName>>,
    /// The caller is one of these.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub callers: Option<Vec<CallerId>>,
    /// The service is one of these.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub services: Option<Vec<ServiceName>>,
    /// The process that evaluates the rule runs in one of these data centres.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub data_centres: Option<Vec<DataCentre>>,
    /// The time of day in UTC.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub hours: Option<HoursWire>,
    /// At least this percentage of the site's power is granted to engines. It isn't measured yet, so a
    /// rule with this condition never matches.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub power_pressure: Option<u64>,
    /// At least this percentage of the engines' memory is in use.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub memory_pressure: Option<u64>,
    /// No request for at least this many seconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub idle_for_s: Option<u64>,
    /// At least this many requests are queued.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub queue_at_least: Option<u32>,
}

/// A daily time interval.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HoursWire {
    /// Start of the interval, inclusive, such as `07:30`.
    pub from: String,
    /// End of the interval, exclusive.
    pub to: String,
}

/// The outcome of a rule; an absent field has the value of [`RuleOutcome::default`], except that an
/// absent `replicas_max` is raised to `replicas_min`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OutcomeWire {
    /// Minimum number of replicas to keep loaded.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub replicas_min: Option<u32>,
    /// Maximum number of replicas.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub replicas_max: Option<u32>,
    /// When an unused replica is unloaded.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub idle_after: Option<IdleAfterWire>,
    /// Service order; lower values are served first.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub order: Option<u16>,
    /// Refuses requests with this reason.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub refuse: Option<String>,
    /// Weight of one second of cold start in the costs that [`IdleAfterWire::Adaptive`] compares.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cold_start_weight: Option<u32>,
    /// Weight of one second of an idle accelerator in the costs that [`IdleAfterWire::Adaptive`] compares.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub idle_weight: Option<u32>,
}

/// When an unused replica is unloaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum IdleAfterWire {
    /// When keeping it loaded costs more than it is expected to save.
    Adaptive,
    /// Never.
    Never,
    /// After this many idle seconds.
    Seconds(u64),
}

/// Why the condition of a rule isn't valid.
#[derive(Debug, Display, Error, From)]
pub enum InvalidCondition {
    /// Invalid time of day.
    #[display("{_0}")]
    Time(InvalidMinuteOfDay),
    /// Invalid percentage.
    #[display("{_0}")]
    Percent(InvalidPercent),
}

/// Why a document isn't valid.
#[derive(Debug, Display, Error)]
pub enum InvalidDocument {
    /// The text isn't JSON with comments.
    #[display("the document is not JSON with comments: {_0}; correct the text at that position")]
    Syntax(#[error(not(source))] Box<ParseError>),
    /// A key or value doesn't fit the schema.
    #[display(
        "the document does not match the schema: {_0}; see the page OPERATIONS for the keys and their values"
    )]
    Shape(serde_json::Error),
    /// The text exceeds [`MAX_DOCUMENT_LEN`].
    #[display("the document has {len} bytes; shorten it to at most {MAX_DOCUMENT_LEN}")]
    TooLarge {
        /// Size in bytes.
        len: usize,
    },
    /// Invalid client account.
    #[display("{_0}")]
    Account(InvalidAccount),
    /// A rule has an invalid value.
    #[display("rule '{rule}': {reason}")]
    Rule {
        /// Name of the rule.
        rule: String,
        /// The invalid value.
        reason: InvalidCondition,
    },
}

impl DocumentWire {
    /// Parses JSON with comments.
    ///
    /// # Errors
    ///
    /// The text is too large, isn't JSON with comments, or has missing or
    /// unknown keys.
    pub fn parse(text: &str) -> Result<Self, InvalidDocument> {
        if text.len() > MAX_DOCUMENT_LEN {
            return Err(InvalidDocument::TooLarge { len: text.len() });
        }
        let value = jsonc_parser::parse_to_serde_value::<serde_json::Value>(
            text,
            &jsonc_parser::ParseOptions::default(),
        )
        .map_err(|err| InvalidDocument::Syntax(Box::new(err)))?;
        Self::deserialize(value).map_err(InvalidDocument::Shape)
    }

    /// Serializes the document as compact JSON.
    ///
    /// # Panics
    ///
    /// Never: names and numbers always serialize.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("names and numbers always serialize as JSON")
    }

    /// Serializes the document as indented JSON for reading and editing.
    ///
    /// # Panics
    ///
    /// Never: names and numbers always serialize.
    pub fn to_pretty_json(&self) -> String {
        serde_json::to_string_pretty(self).expect("names and numbers always serialize as JSON")
    }
}

impl TryFrom<DocumentWire> for Document {
    type Error = InvalidDocument;

    fn try_from(wire: DocumentWire) -> Result<Self, Self::Error> {
        let rules = RulesWire { rules: wire.rules, otherwise: wire.otherwise };
        let models = wire.models.into_iter().map(|(name, model)| (name, model.into())).collect();
        let services = wire.services.into_iter().map(|(name, service)| (name, service.into())).collect();
        let accounts = accounts_from_wire(wire.accounts).map_err(InvalidDocument::Account)?;
        Ok(Self {
            revision: RulesRevision(wire.revision),
            power_caps: wire.power_caps.into_iter().map(|(site, watts)| (site, Watts(watts))).collect(),
            catalogue: Catalogue { models, services, accounts, ..Catalogue::default() },
            catalogue_revision: CatalogueRevision::default(),
            rules: rules.try_into()?,
        })
    }
}

impl From<&Document> for DocumentWire {
    fn from(document: &Document) -> Self {
        let models = &document.catalogue.models;
        let services = &document.catalogue.services;
        Self {
            revision: document.revision.0,
            power_caps: document.power_caps.iter().map(|(site, watts)| (site.clone(), watts.0)).collect(),
            models: models.iter().map(|(name, model)| (name.clone(), model.into())).collect(),
            services: services.iter().map(|(name, service)| (name.clone(), service.into())).collect(),
            accounts: accounts_to_wire(&document.catalogue.accounts),
            rules: document.rules.list.iter().map(RuleWire::from).collect(),
            otherwise: (&document.rules.otherwise).into(),
        }
    }
}

impl From<ModelWire> for Model {
    fn from(wire: ModelWire) -> Self {
        Self {
            version: wire.version,
            weights: Mebibytes(wire.weights_mib),
            kv_cache: Mebibytes(wire.kv_cache_mib),
            load_time: Duration::from_millis(wire.load_time_ms),
            copy_load_times: wire.copy_load_times_ms.map(Into::into),
            pool: wire.pool,
            adapters: wire.adapters.into_iter().map(|(name, mib)| (name, Mebibytes(mib))).collect(),
        }
    }
}

impl From<&Model> for ModelWire {
    fn from(model: &Model) -> Self {
        Self {
            version: model.version.clone(),
            weights_mib: model.weights.0,
            kv_cache_mib: model.kv_cache.0,
            load_time_ms: millis(model.load_time),
            copy_load_times_ms: model.copy_load_times.map(Into::into),
            pool: model.pool.clone(),
            adapters: model.adapters.iter().map(|(name, memory)| (name.clone(), memory.0)).collect(),
        }
    }
}

impl From<ServiceWire> for Service {
    fn from(wire: ServiceWire) -> Self {
        Self { once_paths: wire.once_paths, concurrency: wire.concurrency }
    }
}

impl From<&Service> for ServiceWire {
    fn from(service: &Service) -> Self {
        Self { once_paths: service.once_paths.clone(), concurrency: service.concurrency }
    }
}

impl TryFrom<RuleWire> for Rule {
    type Error = InvalidDocument;

    fn try_from(wire: RuleWire) -> Result<Self, Self::Error> {
        let name = wire.name;
        match Condition::try_from(wire.when) {
            Ok(when) => Ok(Self { name, when, then: wire.then.into() }),
            Err(reason) => Err(InvalidDocument::Rule { rule: name, reason }),
        }
    }
}

impl From<&Rule> for RuleWire {
    fn from(rule: &Rule) -> Self {
        Self { name: rule.name.clone(), when: (&rule.when).into(), then: (&rule.then).into() }
    }
}

fn to_set<T: Ord>(list: Option<Vec<T>>) -> Option<OrderedSet<T>> {
    list.map(|list| list.into_iter().collect())
}

fn to_list<T: Clone>(set: Option<&OrderedSet<T>>) -> Option<Vec<T>> {
    set.map(|set| set.iter().cloned().collect())
}

impl TryFrom<ConditionWire> for Condition {
    type Error = InvalidCondition;

    fn try_from(wire: ConditionWire) -> Result<Self, Self::Error> {
        Ok(Self {
            models: to_set(wire.models),
            adapters: to_set(wire.adapters),
            callers: to_set(wire.callers),
            services: to_set(wire.services),
            data_centres: to_set(wire.data_centres),
            hours: wire.hours.map(Hours::try_from).transpose()?,
            power_pressure: wire.power_pressure.map(TryInto::try_into).transpose()?,
            memory_pressure: wire.memory_pressure.map(TryInto::try_into).transpose()?,
            idle_for: wire.idle_for_s.map(Duration::from_secs),
            queue_at_least: wire.queue_at_least,
        })
    }
}

impl From<&Condition> for ConditionWire {
    fn from(condition: &Condition) -> Self {
        Self {
            models: to_list(condition.models.as_ref()),
            adapters: to_list(condition.adapters.as_ref()),
            callers: to_list(condition.callers.as_ref()),
            services: to_list(condition.services.as_ref()),
            data_centres: to_list(condition.data_centres.as_ref()),
            hours: condition.hours.map(HoursWire::from),
            power_pressure: condition.power_pressure.map(|p| p.get().into()),
            memory_pressure: condition.memory_pressure.map(|p| p.get().into()),
            idle_for_s: condition.idle_for.map(|d| d.as_secs()),
            queue_at_least: condition.queue_at_least,
        }
    }
}

impl TryFrom<HoursWire> for Hours {
    type Error = InvalidMinuteOfDay;

    fn try_from(wire: HoursWire) -> Result<Self, Self::Error> {
        Ok(Self { from: wire.from.parse()?, to: wire.to.parse()? })
    }
}

impl From<Hours> for HoursWire {
    fn from(hours: Hours) -> Self {
        Self { from: hours.from.to_string(), to: hours.to.to_string() }
    }
}

impl From<OutcomeWire> for RuleOutcome {
    fn from(wire: OutcomeWire) -> Self {
        let default = Self::default();
        let replicas_min = wire.replicas_min.unwrap_or(default.replicas_min);
        Self {
            replicas_min,
            replicas_max: wire.replicas_max.unwrap_or(default.replicas_max.max(replicas_min)),
            idle_after: wire.idle_after.map_or(default.idle_after, IdleAfter::from),
            order: wire.order.map_or(default.order, ServiceOrder),
            refuse: wire.refuse,
            cold_start_weight: wire.cold_start_weight.unwrap_or(default.cold_start_weight),
            idle_weight: wire.idle_weight.unwrap_or(default.idle_weight),
        }
    }
}

impl From<&RuleOutcome> for OutcomeWire {
    fn from(outcome: &RuleOutcome) -> Self {
        Self {
            replicas_min: Some(outcome.replicas_min),
            replicas_max: Some(outcome.replicas_max),
            idle_after: Some(outcome.idle_after.into()),
            order: Some(outcome.order.0),
            refuse: outcome.refuse.clone(),
            cold_start_weight: Some(outcome.cold_start_weight),
            idle_weight: Some(outcome.idle_weight),
        }
    }
}

impl From<IdleAfterWire> for IdleAfter {
    fn from(wire: IdleAfterWire) -> Self {
        match wire {
            IdleAfterWire::Adaptive => Self::Adaptive,
            IdleAfterWire::Never => Self::Never,
            IdleAfterWire::Seconds(s) => Self::Fixed(Duration::from_secs(s)),
        }
    }
}

impl From<IdleAfter> for IdleAfterWire {
    fn from(idle_after: IdleAfter) -> Self {
        match idle_after {
            IdleAfter::Adaptive => Self::Adaptive,
            IdleAfter::Never => Self::Never,
            IdleAfter::Fixed(d) => Self::Seconds(d.as_secs()),
        }
    }
}
