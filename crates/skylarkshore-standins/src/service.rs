//! Stand-in for a plain service: lookups, which may be repeated, and bookings, which may not.
//! Start with [`Service`].

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Method, Request, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;
use skylarkshore_core::id::{DataCentre, ServiceName, SiteName, UpstreamId};
use skylarkshore_wire::engine::{NotRun, NotRunReason, REQUEST_ID_HEADER};
use skylarkshore_wire::hostlist::{HostEntry, HostKind, HostState};
use tokio::time::sleep;

use crate::census::Census;
use crate::http::{Answered, Cut, Server, json as json_answer, text, unknown};
use crate::lock;

/// Path prefix of availability lookups.
pub const AVAILABILITY_PATH: &str = "/availability/";
/// Path of booking confirmations, which must not be repeated.
pub const BOOKINGS_PATH: &str = "/bookings";
/// Header that identifies a request that must not be repeated.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// Identity and location of a replica.
#[derive(Clone, Debug)]
pub struct ServiceSettings {
    /// Replica name.
    pub id: UpstreamId,
    /// Name of the service.
    pub service: ServiceName,
    /// Data centre of the replica.
    pub data_centre: DataCentre,
    /// Site of the replica.
    pub site: SiteName,
}

/// Faults injected into a replica.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Delay before each call, in milliseconds.
    pub slow_ms: u64,
    /// Close the connection of this many calls after they ran.
    pub lose_answers: u32,
    /// Close the connection of this many calls in the middle of their answer.
    pub cut_answers: u32,
    /// Refuse calls because the replica is leaving.
    pub leaving: bool,
}

#[derive(Debug)]
struct Shared {
    settings: ServiceSettings,
    faults: Mutex<ServiceFaults>,
    census: Arc<Census>,
}

/// A replica of a plain service and its server.
#[derive(Debug)]
pub struct Service {
    shared: Arc<Shared>,
    server: Server,
}

impl Service {
    /// Starts a replica.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is free.
    pub async fn start(settings: ServiceSettings, census: Arc<Census>) -> io::Result<Self> {
        let shared = Arc::new(Shared { settings, faults: Mutex::default(), census });
        let state = Arc::clone(&shared);
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = Server::start(address, move |req| answer(Arc::clone(&state), req)).await?;
        Ok(Self { shared, server })
    }

    /// Returns the replica's host list entry.
    pub fn host_entry(&self) -> HostEntry {
        let settings = &self.shared.settings;
        HostEntry {
            id: settings.id.clone(),
            address: self.server.address(),
            data_centre: settings.data_centre.clone(),
            site: settings.site.clone(),
            kind: HostKind::Service { service: settings.service.clone() },
            state: HostState::Live,
            software: None,
        }
    }

    /// Returns the replica's name.
    pub fn id(&self) -> &UpstreamId {
        &self.shared.settings.id
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: ServiceFaults) {
        *lock(&self.shared.faults) = faults;
    }
}

async fn answer(shared: Arc<Shared>, req: Request<Bytes>) -> Answered {
    let path = req.uri().path().to_owned();
    let faults = consume_faults(&shared);
    if faults.leaving {
        let body = NotRun { error: NotRunReason::Leaving };
        let mut response = json_answer(StatusCode::CONFLICT, &body);
        if let Some(id) = req.headers().get(REQUEST_ID_HEADER) {
            response.headers_mut().insert(REQUEST_ID_HEADER, id.clone());
        }
        return Ok(response);
    }
    sleep(Duration::from_millis(faults.slow_ms)).await;
    let mut response = match req.method() {
        &Method::GET if path.starts_with(AVAILABILITY_PATH) => {
            let space = path.trim_start_matches(AVAILABILITY_PATH);
            json_answer(StatusCode::OK, &json!({"space": space, "free": true}))
        }
        &Method::POST if path == BOOKINGS_PATH => {
            let Some(key) = req.headers().get(IDEMPOTENCY_HEADER).and_then(|key| key.to_str().ok()) else {
                return Ok(text(StatusCode::BAD_REQUEST, "the idempotency-key header is missing; add it"));
            };
            let run = shared.census.record_run(key);
            json_answer(StatusCode::OK, &json!({"booking": key, "run": run}))
        }
        method => unknown(method, &path),
    };
    if faults.lose_answers > 0 {
        return Err(Cut);
    }
    if faults.cut_answers > 0 {
        let length = response.headers().get(http::header::CONTENT_LENGTH).cloned();
        let (mut parts, _) = response.into_parts();
        parts.headers.insert(http::header::CONTENT_LENGTH, length.unwrap_or(HeaderValue::from_static("64")));
        let cut = crate::http::stream(
            "application/json",
            futures_util::stream::iter([
                Ok(Bytes::from_static(b"{\"")),
                Err(io::Error::from(io::ErrorKind::ConnectionReset)),
            ]),
        );
        return Ok(http::Response::from_parts(parts, cut.into_body()));
    }
    if let Some(id) = req.headers().get(REQUEST_ID_HEADER) {
        response.headers_mut().insert(REQUEST_ID_HEADER, id.clone());
    }
    Ok(response)
}

/// Returns the faults for this call and decrements their counts.
fn consume_faults(shared: &Shared) -> ServiceFaults {
    let mut faults = lock(&shared.faults);
    let active = faults.clone();
    faults.lose_answers = faults.lose_answers.saturating_sub(1);
    faults.cut_answers = faults.cut_answers.saturating_sub(1);
    active
}
