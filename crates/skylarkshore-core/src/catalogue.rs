//! What a deployment serves: models, their adapters and plain services.

use std::time::Duration;

use crate::collections::OrderedMap;
use crate::id::{AdapterName, ModelName, ModelVersion, RulesRevision, ServiceName, SiteName};
use crate::rules::Rules;
use crate::units::{Mebibytes, Watts};

/// A base model that engines can load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Model {
    /// The version whose weights are to be served.
    pub version: ModelVersion,
    /// The memory that the weights take.
    pub weights: Mebibytes,
    /// The memory that is reserved for the KV cache of running requests.
    pub kv_cache: Mebibytes,
    /// How long a load usually takes, before it has been measured.
    pub load_time: Duration,
    /// The adapters on this base, each with the memory it takes.
    pub adapters: OrderedMap<AdapterName, Mebibytes>,
}

impl Model {
    /// Returns the memory that a replica takes without adapters.
    pub fn footprint(&self) -> Mebibytes {
        self.weights + self.kv_cache
    }
}

/// A plain service that requests are passed on to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Path prefixes, after the service's name, whose calls may not be repeated.
    pub once_paths: Vec<String>,
    /// How many requests one replica handles at a time.
    pub concurrency: u32,
}

impl Service {
    /// Tells whether a call of this path may not be repeated.
    pub fn is_once(&self, path: &str) -> bool {
        self.once_paths.iter().any(|prefix| path.starts_with(prefix.as_str()))
    }
}

/// What a request's `model` field names.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ModelTarget {
    /// The base model.
    pub model: ModelName,
    /// The adapter on it, if one was named.
    pub adapter: Option<AdapterName>,
}

/// Everything that a deployment serves.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Catalogue {
    /// The base models.
    pub models: OrderedMap<ModelName, Model>,
    /// The plain services.
    pub services: OrderedMap<ServiceName, Service>,
}

impl Catalogue {
    /// Finds what `name` means: a model, or an adapter with its base.
    pub fn resolve(&self, name: &str) -> Option<ModelTarget> {
        if let Ok(model) = name.parse::<ModelName>()
            && self.models.contains_key(&model)
        {
            return Some(ModelTarget { model, adapter: None });
        }
        let adapter = name.parse::<AdapterName>().ok()?;
        let (model, _) = self.models.iter().find(|(_, m)| m.adapters.contains_key(&adapter))?;
        Some(ModelTarget { model: model.clone(), adapter: Some(adapter) })
    }
}

/// The operators' document: the catalogue, the power caps and the rules.
///
/// It is replaced as a whole, so that a rule and the model it names arrive
/// together everywhere.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Document {
    /// Counts the accepted changes; a process takes only a higher one.
    pub revision: RulesRevision,
    /// The most that all upstreams of a site may draw together.
    pub power_caps: OrderedMap<SiteName, Watts>,
    /// What is served.
    pub catalogue: Catalogue,
    /// The ordered when-then rules.
    pub rules: Rules,
}
