//! A catalogue that is configured separately from the rules and shared between processes.
//!
//! Start with [`CatalogueWire`].

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use skylarkshore_core::catalogue::{
    CallerLimits, Catalogue, ConfiguredCatalogue, Destination, Model, Route, RouteKind,
};
use skylarkshore_core::id::{AccountName, CatalogueRevision, ModelName, RouteName, ServiceName};
use skylarkshore_core::units::LoadRate;

use crate::accounts::{AccountWire, InvalidAccount, accounts_from_wire, accounts_to_wire};
use crate::document::{ModelWire, ServiceWire};
use crate::peer::millis;

/// A catalogue with its revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CatalogueWire {
    /// Number of accepted changes.
    pub revision: CatalogueRevision,
    /// The base models, by their names. Of those that several pools list, the one of the last pool, as
    /// processes of earlier versions have it.
    pub models: BTreeMap<ModelName, ModelWire>,
    /// The other models of these names, which differ in their pools.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub namesakes: Vec<(ModelName, ModelWire)>,
    /// Services other than models.
    pub services: BTreeMap<ServiceName, ServiceWire>,
    /// Routes by which requests are classified.
    pub routes: Vec<RouteWire>,
    /// Limits on callers' requests and connections.
    pub caller_limits: Option<CallerLimitsWire>,
    /// Maximum number of loads from the weight store that may start in a thousand seconds.
    pub load_rate: Option<LoadRate>,
    /// The client accounts.
    #[serde(default)]
    pub accounts: BTreeMap<AccountName, AccountWire>,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteWire {
    /// Name of the route.
    pub name: RouteName,
    /// Host name that a request must carry.
    pub host: String,
    /// Path prefix.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub kind: RouteKindWire,
    /// Maximum duration of a request.
    pub timeout_ms: u64,
    /// Latency up to which an answer has its full value.
    pub target_latency_ms: u64,
    /// Longest gap between two events of an answer up to which it has its full value.
    pub target_gap_ms: Option<u64>,
    /// Priority of requests on this route.
    pub priority: u8,
    /// Maximum number of upstreams on which a request may run.
    pub tries: u32,
    /// Destination services with their weights.
    pub destinations: Vec<(ServiceName, u32)>,
    /// Whether the route is open to callers without a client account.
    #[serde(default)]
    pub is_public: bool,
}

/// How a request whose outcome is unknown may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKindWire {
    /// It may run more than once.
    Repeatable,
    /// It may run at most once.
    AtMostOnce,
    /// A stream that can't be resumed.
    Stream,
    /// A stream that can be resumed.
    ResumableStream,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimitsWire {
    /// Maximum size of a request head in bytes.
    pub head_len: usize,
    /// Maximum size of a request body in bytes.
    pub body_len: usize,
    /// Maximum time to receive a request head.
    pub head_timeout_ms: u64,
    /// Maximum idle time of a connection.
    pub idle_timeout_ms: u64,
}

impl From<RouteKind> for RouteKindWire {
    fn from(kind: RouteKind) -> Self {
        match kind {
            RouteKind::Repeatable => Self::Repeatable,
            RouteKind::AtMostOnce => Self::AtMostOnce,
            RouteKind::Stream { resumable: false } => Self::Stream,
            RouteKind::Stream { resumable: true } => Self::ResumableStream,
        }
    }
}

impl From<RouteKindWire> for RouteKind {
    fn from(wire: RouteKindWire) -> Self {
        match wire {
            RouteKindWire::Repeatable => Self::Repeatable,
            RouteKindWire::AtMostOnce => Self::AtMostOnce,
            RouteKindWire::Stream => Self::Stream { resumable: false },
            RouteKindWire::ResumableStream => Self::Stream { resumable: true },
        }
    }
}

impl From<&Route> for RouteWire {
    fn from(route: &Route) -> Self {
        Self {
            name: route.name.clone(),
            host: route.host.clone(),
            prefix: route.prefix.clone(),
            kind: route.kind.into(),
            timeout_ms: millis(route.timeout),
            target_latency_ms: millis(route.target_latency),
            target_gap_ms: route.target_gap.map(millis),
            priority: route.priority,
            tries: route.tries,
            destinations: route.destinations.iter().map(|d| (d.service.clone(), d.weight)).collect(),
            is_public: route.is_public,
        }
    }
}

impl From<RouteWire> for Route {
    fn from(wire: RouteWire) -> Self {
        let destination = |(service, weight)| Destination { service, weight };
        Self {
            name: wire.name,
            host: wire.host,
            prefix: wire.prefix,
            kind: wire.kind.into(),
            timeout: Duration::from_millis(wire.timeout_ms),
            target_latency: Duration::from_millis(wire.target_latency_ms),
            target_gap: wire.target_gap_ms.map(Duration::from_millis),
            priority: wire.priority,
            tries: wire.tries,
            destinations: wire.destinations.into_iter().map(destination).collect(),
            is_public: wire.is_public,
        }
    }
}

impl From<CallerLimits> for CallerLimitsWire {
    fn from(limits: CallerLimits) -> Self {
        Self {
            head_len: limits.head_len,
            body_len: limits.body_len,
            head_timeout_ms: millis(limits.head_timeout),
            idle_timeout_ms: millis(limits.idle_timeout),
        }
    }
}

impl From<CallerLimitsWire> for CallerLimits {
    fn from(wire: CallerLimitsWire) -> Self {
        Self {
            head_len: wire.head_len,
            body_len: wire.body_len,
            head_timeout: Duration::from_millis(wire.head_timeout_ms),
            idle_timeout: Duration::from_millis(wire.idle_timeout_ms),
        }
    }
}

impl From<&ConfiguredCatalogue> for CatalogueWire {
    fn from(configured: &ConfiguredCatalogue) -> Self {
        let catalogue = &configured.catalogue;
        let mut models = BTreeMap::new();
        let mut namesakes = Vec::new();
        for (name, model) in &catalogue.models {
            let unpooled = name.without_pool();
            if let Some(other) = models.insert(unpooled.clone(), ModelWire::from(model)) {
                namesakes.push((unpooled, other));
            }
        }
        Self {
            revision: configured.revision,
            models,
            namesakes,
            services: catalogue.services.iter().map(|(name, s)| (name.clone(), s.into())).collect(),
            routes: catalogue.routes.iter().map(RouteWire::from).collect(),
            caller_limits: catalogue.caller_limits.map(Into::into),
            load_rate: catalogue.load_rate,
            accounts: accounts_to_wire(&catalogue.accounts),
        }
    }
}

/// Returns a model under its name in its pool.
fn in_its_pool(name: &ModelName, model: Model) -> (ModelName, Model) {
    let name = model.pool.as_ref().map_or_else(|| name.clone(), |pool| name.in_pool(pool));
    (name, model)
}

impl TryFrom<CatalogueWire> for ConfiguredCatalogue {
    type Error = InvalidAccount;

    fn try_from(wire: CatalogueWire) -> Result<Self, Self::Error> {
        let accounts = accounts_from_wire(wire.accounts)?;
        let models = wire.models.into_iter().chain(wire.namesakes);
        let catalogue = Catalogue {
            models: models.map(|(name, model)| in_its_pool(&name, model.into())).collect(),
            services: wire.services.into_iter().map(|(name, service)| (name, service.into())).collect(),
            routes: wire.routes.into_iter().map(Route::from).collect(),
            caller_limits: wire.caller_limits.map(Into::into),
            load_rate: wire.load_rate,
            accounts,
        };
        Ok(Self { revision: wire.revision, catalogue })
    }
}
