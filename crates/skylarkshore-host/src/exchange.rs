//! Connects a platform's caller interface with the core. Start with [`Exchange::run`].

mod body;
mod reply;

use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use skylarkshore_core::Event;
use skylarkshore_core::event::Arrival;
use skylarkshore_core::id::{DataCentre, HostId};
use tokio::sync::watch;
use tokio::time::Instant;
use xitca_web::body::RequestBody;
use xitca_web::http::WebResponse;

use crate::answer_buffer::AnswerBuffer;
use crate::byte_budget::ByteBudget;
use crate::config::{BufferLimits, Intake};
use crate::connections::{Connection, Connections};
use crate::driver::Snapshot;
use crate::env::Env;
use crate::pending::{Outgoing, PendingRequest, RefusalFormat};

pub use body::{BodyFault, read as read_body, read_off};

use reply::{ReadingLimits, RequestGuard};

/// How long after its deadline a request without an answer is refused.
///
/// The core answers by the deadline. Without this limit, a fault of the core
/// would leave the caller waiting forever.
const ANSWER_GRACE: Duration = Duration::from_secs(5);

/// The state shared by caller interfaces; cheap to clone.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// The shared environment.
    pub env: Env,
    /// The latest snapshot of the core's state.
    pub snapshots: watch::Receiver<Arc<Snapshot>>,
    /// The callers' connections.
    pub connections: Arc<Connections>,
    /// Limits on what callers send.
    pub intake: Intake,
    /// Limits on what is held for callers and upstreams.
    pub buffers: BufferLimits,
    /// The parts of answers that callers haven't read yet.
    pub answers: ByteBudget,
    /// The bodies of the requests in progress.
    pub bodies: ByteBudget,
    /// The host's name.
    pub host: HostId,
    /// The host's data centre.
    pub data_centre: DataCentre,
    /// How long callers may cache the list of entry hosts.
    pub entry_ttl: Duration,
}

/// A validated request, ready for the core.
#[expect(missing_debug_implementations, reason = "the refusal format has no useful debug output")]
pub struct CheckedRequest {
    /// When its head arrived.
    pub begun: Instant,
    /// The kind of target, as a metrics label.
    pub target: &'static str,
    /// The request as it is passed to the core.
    pub arrival: Arrival,
    /// The request as it is sent upstream.
    pub outgoing: Outgoing,
    /// The format of refusals.
    pub refusals: Arc<dyn RefusalFormat>,
}

impl Exchange {
    /// Returns the latest snapshot of the core's state.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        Arc::clone(&self.snapshots.borrow())
    }

    /// Submits a request to the core and waits for the head of its answer.
    ///
    /// The intake can close while the body of a request is read.
    pub async fn run(&self, checked: CheckedRequest) -> WebResponse {
        let CheckedRequest { begun, target, arrival, outgoing, refusals } = checked;
        if self.connections.is_closed() {
            return reply::refusal_of_leaving_host(&*refusals);
        }
        let label = outgoing.label.clone();
        let buffer = AnswerBuffer::new(self.answers.clone(), self.buffers.answer);
        let (pending, reply) = PendingRequest::new(outgoing, Arc::clone(&refusals), buffer.clone());
        let hard_deadline = self.env.clock.instant(arrival.deadline.after(ANSWER_GRACE));
        let request = self.env.requests.insert(pending);
        let connection = Connection::current();
        let guard = RequestGuard::begin(self.env.clone(), request, target, label, begun, connection, buffer);
        self.env.inbox.event(Event::Arrived { request, arrival }).await;
        let limits = ReadingLimits { hard_deadline, stall: self.buffers.stall };
        guard.respond(reply, limits, &*refusals).await
    }

    /// Reads the whole body of a request.
    ///
    /// # Errors
    ///
    /// See [`BodyFault`].
    pub async fn read_body(
        &self,
        body: &mut RequestBody,
        headers: &HeaderMap,
    ) -> Result<bytes::Bytes, BodyFault> {
        let read = read_body(body, &self.intake, headers, &self.bodies).await;
        if read == Err(BodyFault::NoRoom) {
            self.env.metrics.count_event("request_memory_full");
        }
        read
    }
}
