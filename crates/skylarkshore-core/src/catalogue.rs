//! What a deployment serves: models with their adapters, plain services and routes.
//! Start with [`Catalogue`]; [`Document`] adds power caps and rules.

use std::time::Duration;

use crate::accounts::Accounts;
use crate::collections::OrderedMap;
use crate::id::{
    AdapterName, CatalogueRevision, ModelName, ModelVersion, RouteName, RulesRevision, ServiceName, SiteName,
};
use crate::rules::Rules;
use crate::units::{LoadRate, Mebibytes, Watts};

/// A base model that engines can load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Model {
    /// The version of the weights to serve.
    pub version: ModelVersion,
    /// The memory that the weights take.
    pub weights: Mebibytes,
    /// The memory reserved for the attention KV cache of running requests.
    pub kv_cache: Mebibytes,
    /// The expected duration of a load until one has been measured.
    pub load_time: Duration,
    /// The duration of a load from a weight copy, if engines keep copies.
    pub copy_load_times: Option<CopyLoadTimes>,
    /// The pool of engines that may hold it; none if every engine may.
    pub pool: Option<ServiceName>,
    /// The adapters of this base model, each with the memory it takes.
    pub adapters: OrderedMap<AdapterName, Mebibytes>,
}

/// The durations of loads from weight copies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CopyLoadTimes {
    /// From the host's memory.
    pub from_memory: Duration,
    /// From the host's disk.
    pub from_disk: Duration,
}

impl Model {
    /// Returns the memory that a replica takes without adapters.
    pub fn footprint(&self) -> Mebibytes {
        self.weights + self.kv_cache
    }
}

/// A plain service, which isn't a model engine and only has requests forwarded to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Path prefixes, after the service's name, of at-most-once calls.
    pub once_paths: Vec<String>,
    /// How many requests one replica handles at a time, unless the replica states its own number.
    pub concurrency: u32,
}

impl Service {
    /// Reports whether calls of this path run at most once.
    pub fn is_at_most_once(&self, path: &str) -> bool {
        self.once_paths.iter().any(|prefix| path.starts_with(prefix.as_str()))
    }
}

/// The model or adapter that a request's `model` field names.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ModelTarget {
    /// The base model.
    pub model: ModelName,
    /// The adapter on it, if one was named.
    pub adapter: Option<AdapterName>,
}

/// How a request may be retried when its outcome is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// It may run more than once.
    Repeatable,
    /// It may run at most once.
    AtMostOnce,
    /// The answer is a stream of events.
    Stream {
        /// Whether another upstream may resume an interrupted stream.
        resumable: bool,
    },
}

/// A weighted destination of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Destination {
    /// A plain service or a pool of engines.
    pub service: ServiceName,
    /// Its weight relative to the other destinations.
    pub weight: u32,
}

/// How requests for a host name and path prefix are handled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Its name.
    pub name: RouteName,
    /// The host name that the request must name.
    pub host: String,
    /// The path prefix.
    pub prefix: String,
    /// How its requests may be retried.
    pub kind: RouteKind,
    /// The longest time that a request may take.
    pub timeout: Duration,
    /// The latency up to which an answer has its full value.
    pub target_latency: Duration,
    /// The longest gap between two events at which a stream has its full value; none for other answers.
    pub target_gap: Option<Duration>,
    /// The priority of its requests; 0 is the most urgent.
    pub priority: u8,
    /// The most upstreams on which a request may run.
    pub tries: u32,
    /// The destinations.
    pub destinations: Vec<Destination>,
    /// Whether callers without a client account may use it.
    pub is_public: bool,
}

/// Limits on the size and duration of callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// The largest request head (request line and headers) in bytes.
    pub head_len: usize,
    /// The largest request body in bytes.
    pub body_len: usize,
    /// The time-out for receiving a request head.
    pub head_timeout: Duration,
    /// The time-out of an idle connection.
    pub idle_timeout: Duration,
}

/// Everything that a deployment serves.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Catalogue {
    /// The base models.
    pub models: OrderedMap<ModelName, Model>,
    /// The plain services.
    pub services: OrderedMap<ServiceName, Service>,
    /// The routes, if requests are distinguished by host and path.
    pub routes: Vec<Route>,
    /// The limits on callers' requests, if configured.
    pub caller_limits: Option<CallerLimits>,
    /// The rate at which loads may start, if configured.
    pub load_rate: Option<LoadRate>,
    /// The client accounts; if there are none, callers need no key.
    pub accounts: Accounts,
}

impl std::fmt::Display for ModelTarget {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match &self.adapter {
            Some(adapter) => write!(f, "{}/{adapter}", self.model),
            None => write!(f, "{}", self.model),
        }
    }
}

impl Catalogue {
    /// Returns the route of a request: the one with the longest matching prefix for its host.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let of_host = self.routes.iter().filter(|route| route.host == host);
        of_host.filter(|route| path.starts_with(&route.prefix)).max_by_key(|route| route.prefix.len())
    }

    /// Returns the models that have the name of a model, in any pool or none.
    pub fn namesakes(&self, model: &ModelName) -> impl Iterator<Item = &ModelName> {
        // The name without a pool comes before those with one.
        let named = self.models.range(model.without_pool()..).map(|(known, _)| known);
        named.take_while(|known| known.as_str() == model.as_str())
    }

    /// Returns the only model of a name; `None` if several pools list one, or none does.
    pub fn only_namesake(&self, model: &ModelName) -> Option<&ModelName> {
        let mut namesakes = self.namesakes(model);
        namesakes.next().filter(|_| namesakes.next().is_none())
    }

    /// Reports whether two pools list models of the same name.
    pub fn has_namesakes(&self) -> bool {
        self.models.keys().zip(self.models.keys().skip(1)).any(|(one, next)| one.as_str() == next.as_str())
    }

    /// Resolves `name` to a model, or to an adapter with its base model.
    ///
    /// A model that several pools list is named POOL/MODEL.
    pub fn resolve(&self, name: &str) -> Option<ModelTarget> {
        if let Some(model) = self.resolve_model(name) {
            return Some(ModelTarget { model, adapter: None });
        }
        let adapter = name.parse::<AdapterName>().ok()?;
        let (model, _) = self.models.iter().find(|(_, m)| m.adapters.contains_key(&adapter))?;
        Some(ModelTarget { model: model.clone(), adapter: Some(adapter) })
    }

    fn resolve_model(&self, name: &str) -> Option<ModelName> {
        if let Some(only) = self.only_namesake(&name.parse().ok()?) {
            return Some(only.clone());
        }
        let (pool, name) = name.rsplit_once('/')?;
        let model = name.parse::<ModelName>().ok()?.in_pool(&pool.parse().ok()?);
        self.models.contains_key(&model).then_some(model)
    }
}

/// The operators' document: the catalogue, the power caps and the rules.
///
/// It is replaced as a whole, so that a rule and the model it names always arrive
/// together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Document {
    /// The number of accepted changes; a process only applies a higher one.
    pub revision: RulesRevision,
    /// The revision of a catalogue that is configured separately; 0 if there is none.
    pub catalogue_revision: CatalogueRevision,
    /// The most power that all upstreams of a site may draw together.
    pub power_caps: OrderedMap<SiteName, Watts>,
    /// What is served.
    pub catalogue: Catalogue,
    /// The ordered when-then rules.
    pub rules: Rules,
}

impl Document {
    /// Reports whether anything has been configured yet.
    pub const fn is_configured(&self) -> bool {
        self.revision.0 > 0 || self.catalogue_revision.0 > 0
    }

    /// Returns `newer`, with this document's catalogue if that is configured separately.
    #[must_use]
    pub fn with_rules_of(&self, newer: &Self) -> Self {
        let mut document = newer.clone();
        if self.catalogue_revision.0 > 0 {
            document.catalogue = self.catalogue.clone();
            document.catalogue_revision = self.catalogue_revision;
        }
        document
    }

    /// Returns this document with another catalogue.
    #[must_use]
    pub fn with_catalogue(&self, newer: &ConfiguredCatalogue) -> Self {
        Self {
            catalogue: newer.catalogue.clone(),
            catalogue_revision: newer.revision,
            revision: self.revision,
            power_caps: self.power_caps.clone(),
            rules: self.rules.clone(),
        }
    }
}

/// A catalogue that is configured separately from the rules.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConfiguredCatalogue {
    /// The number of accepted changes; a process only applies a higher one.
    pub revision: CatalogueRevision,
    /// What is served.
    pub catalogue: Catalogue,
}
