//! A catalogue that is configured apart from the rules, as processes pass it on to one another.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use skylarkshore_core::catalogue::{
    CallerLimits, Catalogue, ConfiguredCatalogue, Destination, Route, RouteKind,
};
use skylarkshore_core::id::{AccountName, CatalogueRevision, ModelName, RouteName, ServiceName};
use skylarkshore_core::units::LoadRate;

use crate::accounts::{AccountWire, InvalidAccount, accounts_from_wire, accounts_to_wire};
use crate::document::{ModelWire, ServiceWire};
use crate::peer::millis;

/// A catalogue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CatalogueWire {
    /// Counts the accepted changes.
    pub revision: CatalogueRevision,
    /// The base models.
    pub models: BTreeMap<ModelName, ModelWire>,
    /// The plain services.
    pub services: BTreeMap<ServiceName, ServiceWire>,
    /// How requests are told apart.
    pub routes: Vec<RouteWire>,
    /// What callers may send.
    pub caller_limits: Option<CallerLimitsWire>,
    /// How many loads from the weight store may begin in a thousand seconds.
    pub load_rate: Option<LoadRate>,
    /// The client accounts.
    #[serde(default)]
    pub accounts: BTreeMap<AccountName, AccountWire>,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteWire {
    /// Its name.
    pub name: RouteName,
    /// The host name that requests name.
    pub host: String,
    /// What the path begins with.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKindWire,
    /// How long a request may be kept.
    pub timeout_ms: u64,
    /// Within which time an answer has its full value.
    pub target_latency_ms: u64,
    /// The longest pause between two events of an answer that has its full value.
    pub target_gap_ms: Option<u64>,
    /// How urgent it is.
    pub priority: u8,
    /// On how many upstreams a request may run.
    pub tries: u32,
    /// Where it goes, with weights.
    pub destinations: Vec<(ServiceName, u32)>,
    /// Whether it needs no client account.
    #[serde(default)]
    pub is_public: bool,
}

/// What may be done with a request whose outcome isn't known.
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

/// What callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimitsWire {
    /// The largest head in bytes.
    pub head_len: usize,
    /// The largest body in bytes.
    pub body_len: usize,
    /// How long a head may take.
    pub head_timeout_ms: u64,
    /// How long a connection may stay idle.
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
        Self {
            revision: configured.revision,
            models: catalogue.models.iter().map(|(name, model)| (name.clone(), model.into())).collect(),
            services: catalogue.services.iter().map(|(name, s)| (name.clone(), s.into())).collect(),
            routes: catalogue.routes.iter().map(RouteWire::from).collect(),
            caller_limits: catalogue.caller_limits.map(Into::into),
            load_rate: catalogue.load_rate,
            accounts: accounts_to_wire(&catalogue.accounts),
        }
    }
}

impl TryFrom<CatalogueWire> for ConfiguredCatalogue {
    type Error = InvalidAccount;

    fn try_from(wire: CatalogueWire) -> Result<Self, Self::Error> {
        let accounts = accounts_from_wire(wire.accounts)?;
        let catalogue = Catalogue {
            models: wire.models.into_iter().map(|(name, model)| (name, model.into())).collect(),
            services: wire.services.into_iter().map(|(name, service)| (name, service.into())).collect(),
            routes: wire.routes.into_iter().map(Route::from).collect(),
            caller_limits: wire.caller_limits.map(Into::into),
            load_rate: wire.load_rate,
            accounts,
        };
        Ok(Self { revision: wire.revision, catalogue })
    }
}
