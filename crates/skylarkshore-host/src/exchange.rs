//! Has requests answered: between whoever faces callers and the core.

mod connections;
mod intake;
mod reply;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use skylarkshore_core::Event;
use skylarkshore_core::event::Arrival;
use skylarkshore_core::id::{DataCentre, HostId, Incarnation};
use tokio::sync::watch;
use tokio::time::Instant;
use xitca_web::body::RequestBody;
use xitca_web::http::WebResponse;

use crate::config::Intake;
use crate::driver::Snapshot;
use crate::env::Env;
use crate::pending::{Outgoing, PendingRequest, RefusalFormat};

pub use connections::{Connections, WatchedListener};
pub use intake::{BodyFault, read as read_body, read_off};

use reply::RequestGuard;

/// How much later than its deadline a request gets its answer at the latest.
///
/// The core answers by the deadline. If it didn't, by a fault of its own, the
/// caller would wait for ever; this makes it a visible refusal instead.
const OVERDUE: Duration = Duration::from_secs(5);

/// What those who face callers need; cheap to clone.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// What nearly every part needs.
    pub env: Env,
    /// The core's state as of the last change.
    pub snapshots: watch::Receiver<Arc<Snapshot>>,
    /// The callers' connections.
    pub connections: Arc<Connections>,
    /// How much callers may send.
    pub intake: Intake,
    /// The host's name.
    pub host: HostId,
    /// Which life of the process.
    pub incarnation: Incarnation,
    /// Where the host stands.
    pub data_centre: DataCentre,
    /// How long callers may keep the answer to the question which hosts to use.
    pub entry_ttl: Duration,
}

/// A checked request with all that is needed to have it answered.
#[expect(missing_debug_implementations, reason = "the way in which refusals are told shows nothing")]
pub struct CheckedRequest {
    /// Where the caller connects from.
    pub caller: SocketAddr,
    /// When its head came.
    pub begun: Instant,
    /// What kind of target it is for, for the metrics.
    pub target: &'static str,
    /// What the core is told.
    pub arrival: Arrival,
    /// What is sent upstream.
    pub outgoing: Outgoing,
    /// How refusals are told.
    pub refusals: Arc<dyn RefusalFormat>,
}

impl Exchange {
    /// Returns the core's state as of the last change.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        Arc::clone(&self.snapshots.borrow())
    }

    /// Hands a checked request to the core and waits for the head of its answer.
    pub async fn run(&self, checked: CheckedRequest) -> WebResponse {
        let CheckedRequest { caller, begun, target, arrival, outgoing, refusals } = checked;
        let label = outgoing.label.clone();
        let (pending, reply) = PendingRequest::new(outgoing, Arc::clone(&refusals));
        let overdue = self.env.clock.instant(arrival.deadline.after(OVERDUE));
        let request = self.env.requests.insert(pending);
        let watched = self.connections.get(caller);
        let guard = RequestGuard::begin(self.env.clone(), request, target, label, begun, watched);
        self.env.inbox.event(Event::Arrived { request, arrival }).await;
        guard.respond(reply, overdue, &*refusals).await
    }

    /// Reads the whole body of a request.
    ///
    /// # Errors
    ///
    /// It is too large, too slow or broken.
    pub async fn read_body(
        &self,
        body: &mut RequestBody,
        headers: &HeaderMap,
    ) -> Result<bytes::Bytes, BodyFault> {
        read_body(body, &self.intake, headers).await
    }
}
