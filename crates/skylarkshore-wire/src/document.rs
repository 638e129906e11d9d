//! The operators' document: models, services, power caps and rules, as JSON with comments.

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

/// The largest document in bytes; the key-value service takes a mebibyte, keys and bookkeeping included.
pub const MAX_DOCUMENT_LEN: usize = 1_000_000;

/// The operators' document as it is written.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DocumentWire {
    /// Counts the accepted changes; the one that was edited.
    #[serde(default)]
    pub revision: u64,
    /// Watts for each site.
    pub power_caps: BTreeMap<SiteName, u64>,
    /// The base models.
    pub models: BTreeMap<ModelName, ModelWire>,
    /// The plain services.
    #[serde(default)]
    pub services: BTreeMap<ServiceName, ServiceWire>,
    /// The client accounts; where there are none, callers need no key.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub accounts: BTreeMap<AccountName, AccountWire>,
    /// The rules, the first one first.
    #[serde(default)]
    pub rules: Vec<RuleWire>,
    /// What holds where no rule matches.
    #[serde(default)]
    pub otherwise: OutcomeWire,
}

/// A base model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelWire {
    /// The version of the weights.
    pub version: ModelVersion,
    /// The memory of the weights.
    pub weights_mib: u64,
    /// The memory reserved for the KV cache.
    pub kv_cache_mib: u64,
    /// How long a load usually takes.
    pub load_time_ms: u64,
    /// How long loads from copies take, where engines keep copies.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub copy_load_times_ms: Option<CopyLoadTimesWire>,
    /// The pool of engines that may hold it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pool: Option<ServiceName>,
    /// The adapters with the memory each takes, in MiB.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub adapters: BTreeMap<AdapterName, u64>,
}

/// How long loads from copies take, in milliseconds.
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

/// A plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceWire {
    /// Path prefixes whose calls may not be repeated.
    #[serde(default)]
    pub once_paths: Vec<String>,
    /// How many requests one replica handles at a time.
    pub concurrency: u32,
}

/// Rules without anything else.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RulesWire {
    /// The rules, the first one first.
    pub rules: Vec<RuleWire>,
    /// What holds where no rule matches.
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
    /// The operators' name for it.
    pub name: String,
    /// When it matches.
    #[serde(default)]
    pub when: ConditionWire,
    /// What it decides.
    pub then: OutcomeWire,
}

/// What must hold; an absent part always holds.
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
    /// The deciding process runs in one of these data centres.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub data_centres: Option<Vec<DataCentre>>,
    /// The time of day in UTC.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub hours: Option<HoursWire>,
    /// At least this percentage of the site's power is granted.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub power_pressure: Option<u64>,
    /// At least this percentage of the engines' memory is in use.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub memory_pressure: Option<u64>,
    /// No request for at least this many seconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub idle_for_s: Option<u64>,
    /// At least this many requests wait.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub queue_at_least: Option<u32>,
}

/// A span of the day.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HoursWire {
    /// The first minute that belongs to it, such as `07:30`.
    pub from: String,
    /// The first minute that no longer belongs to it.
    pub to: String,
}

/// What a rule decides; an absent part has its default value.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OutcomeWire {
    /// Replicas that are kept loaded.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub replicas_min: Option<u32>,
    /// Replicas at most.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub replicas_max: Option<u32>,
    /// When an unused replica is unloaded.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub idle_after: Option<IdleAfterWire>,
    /// Whom to serve first; lower numbers come first.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub order: Option<u16>,
    /// The reason with which requests are refused.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub refuse: Option<String>,
    /// The weight of a second of cold start.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cold_start_weight: Option<u32>,
    /// The weight of a second of an idle accelerator.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub idle_weight: Option<u32>,
}

/// When an unused replica is unloaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum IdleAfterWire {
    /// When waiting longer costs more than it is expected to save.
    Adaptive,
    /// Never.
    Never,
    /// After this many seconds.
    Seconds(u64),
}

/// Why a part of the document isn't valid.
#[derive(Debug, Display, Error, From)]
pub enum InvalidPart {
    /// A time of day is wrong.
    #[display("{_0}")]
    Time(InvalidMinuteOfDay),
    /// A percentage is wrong.
    #[display("{_0}")]
    Percent(InvalidPercent),
}

/// Why a document isn't valid.
#[derive(Debug, Display, Error)]
pub enum InvalidDocument {
    /// It is no JSON with comments.
    #[display("the document is not JSON with comments: {_0}; mend the place named")]
    Syntax(#[error(not(source))] Box<ParseError>),
    /// It has a wrong shape.
    #[display("the document has a wrong shape: {_0}; see the page OPERATIONS for the keys and their values")]
    Shape(serde_json::Error),
    /// It is too large for the key-value service.
    #[display("the document has {len} bytes; shorten it to at most {MAX_DOCUMENT_LEN}")]
    TooLarge {
        /// Its size.
        len: usize,
    },
    /// A client account is wrong.
    #[display("{_0}")]
    Account(InvalidAccount),
    /// A rule has a wrong value.
    #[display("rule '{rule}': {reason}")]
    Rule {
        /// The rule's name.
        rule: String,
        /// What is wrong with it.
        reason: InvalidPart,
    },
}

impl DocumentWire {
    /// Reads JSON with comments.
    ///
    /// # Errors
    ///
    /// The text is too large, isn't JSON with comments, or lacks or has keys
    /// that the format doesn't.
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

    /// Writes plain JSON.
    ///
    /// # Panics
    ///
    /// Never, as names and numbers can always be written.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("names and numbers can always be written as JSON")
    }

    /// Writes JSON on many lines, to be read and edited.
    ///
    /// # Panics
    ///
    /// Never, as names and numbers can always be written.
    pub fn to_pretty_json(&self) -> String {
        serde_json::to_string_pretty(self).expect("names and numbers can always be written as JSON")
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

fn set<T: Ord>(list: Option<Vec<T>>) -> Option<OrderedSet<T>> {
    list.map(|list| list.into_iter().collect())
}

fn list<T: Clone>(set: Option<&OrderedSet<T>>) -> Option<Vec<T>> {
    set.map(|set| set.iter().cloned().collect())
}

impl TryFrom<ConditionWire> for Condition {
    type Error = InvalidPart;

    fn try_from(wire: ConditionWire) -> Result<Self, Self::Error> {
        Ok(Self {
            models: set(wire.models),
            adapters: set(wire.adapters),
            callers: set(wire.callers),
            services: set(wire.services),
            data_centres: set(wire.data_centres),
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
            models: list(condition.models.as_ref()),
            adapters: list(condition.adapters.as_ref()),
            callers: list(condition.callers.as_ref()),
            services: list(condition.services.as_ref()),
            data_centres: list(condition.data_centres.as_ref()),
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
