//! What a deployment serves: models, their adapters and plain services.

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
    /// The version whose weights are to be served.
    pub version: ModelVersion,
    /// The memory that the weights take.
    pub weights: Mebibytes,
    /// The memory that is reserved for the KV cache of running requests.
    pub kv_cache: Mebibytes,
    /// How long a load usually takes, before it has been measured.
    pub load_time: Duration,
    /// How long a load from a copy takes, where engines keep copies.
    pub copy_load_times: Option<CopyLoadTimes>,
    /// The pool of engines that may hold it; none where every engine may.
    pub pool: Option<ServiceName>,
    /// The adapters on this base, each with the memory it takes.
    pub adapters: OrderedMap<AdapterName, Mebibytes>,
}

/// How long loads from copies take.
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
    pub fn is_at_most_once(&self, path: &str) -> bool {
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

/// What may be done with a request whose outcome isn't known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// It may run more than once.
    Repeatable,
    /// It may run at most once.
    AtMostOnce,
    /// Its answer is a stream of events.
    Stream {
        /// Whether another upstream may go on where one broke off.
        resumable: bool,
    },
}

/// Where a part of a route's requests goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Destination {
    /// A plain service or a pool of engines.
    pub service: ServiceName,
    /// Its share, relative to the other destinations'.
    pub weight: u32,
}

/// How requests of one kind are handled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Its name.
    pub name: RouteName,
    /// The host name that requests name.
    pub host: String,
    /// What the path begins with.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// How long a request may be kept at most.
    pub timeout: Duration,
    /// Within which time an answer has its full value.
    pub target_latency: Duration,
    /// The longest pause between two events of an answer that has its full value; none for other answers.
    pub target_gap: Option<Duration>,
    /// How urgent it is; 0 is the most urgent.
    pub priority: u8,
    /// On how many upstreams a request may run at most.
    pub tries: u32,
    /// Where it goes.
    pub destinations: Vec<Destination>,
    /// Whether it is open to callers without a client account.
    pub is_public: bool,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// The largest head in bytes.
    pub head_len: usize,
    /// The largest body in bytes.
    pub body_len: usize,
    /// How long a head may take.
    pub head_timeout: Duration,
    /// How long a connection may stay idle.
    pub idle_timeout: Duration,
}

/// Everything that a deployment serves.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Catalogue {
    /// The base models.
    pub models: OrderedMap<ModelName, Model>,
    /// The plain services.
    pub services: OrderedMap<ServiceName, Service>,
    /// The routes, where requests are told apart by host and path.
    pub routes: Vec<Route>,
    /// What callers may send, where the configuration says.
    pub caller_limits: Option<CallerLimits>,
    /// How many loads may begin, where the configuration says.
    pub load_rate: Option<LoadRate>,
    /// The client accounts; where there are none, callers need no key.
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
    /// Finds the route of a request: of those of its host, the one with the longest prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let of_host = self.routes.iter().filter(|route| route.host == host);
        of_host.filter(|route| path.starts_with(&route.prefix)).max_by_key(|route| route.prefix.len())
    }

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
    /// Counts the changes of a catalogue that is configured apart from the rules; 0 if there is none.
    pub catalogue_revision: CatalogueRevision,
    /// The most that all upstreams of a site may draw together.
    pub power_caps: OrderedMap<SiteName, Watts>,
    /// What is served.
    pub catalogue: Catalogue,
    /// The ordered when-then rules.
    pub rules: Rules,
}

impl Document {
    /// Tells whether anything has been configured yet.
    pub const fn is_configured(&self) -> bool {
        self.revision.0 > 0 || self.catalogue_revision.0 > 0
    }

    /// Returns this document with everything of `newer` that isn't configured apart.
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

/// A catalogue that is configured apart from the rules.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConfiguredCatalogue {
    /// Counts the accepted changes; a process takes only a higher one.
    pub revision: CatalogueRevision,
    /// What is served.
    pub catalogue: Catalogue,
}
