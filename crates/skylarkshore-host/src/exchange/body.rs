//! Reads request bodies within limits of size and time. Start with [`read`].

use std::future::poll_fn;
use std::pin::Pin;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::HeaderMap;
use http::header::CONTENT_LENGTH;
use tokio::time::timeout;
use xitca_web::body::{Body, Frame, RequestBody};

use crate::byte_budget::{ByteBudget, Held};
use crate::config::Intake;
use crate::connections::Connection;

/// How long the rest of a refused body is read, so that the sender can read the answer.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);
/// How many bytes of a refused body are read.
const MAX_DRAIN_LEN: usize = 8 * 1024 * 1024;

/// Why a body can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFault {
    /// It exceeds the size limit.
    TooLarge {
        /// The limit in bytes.
        limit: usize,
    },
    /// It didn't arrive in time.
    Slow {
        /// The time limit.
        limit: Duration,
    },
    /// It ended early or is encoded wrongly.
    Broken,
    /// The bodies of the requests in progress leave no room for it.
    NoRoom,
}

/// A body that is counted until the last reference to it is dropped.
struct CountedBody {
    bytes: Bytes,
    _held: Held,
}

impl AsRef<[u8]> for CountedBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Reads the whole body, which counts in `bodies` for as long as it is used.
///
/// # Errors
///
/// See [`BodyFault`].
pub async fn read(
    body: &mut RequestBody,
    intake: &Intake,
    headers: &HeaderMap,
    bodies: &ByteBudget,
) -> Result<Bytes, BodyFault> {
    let too_large = BodyFault::TooLarge { limit: intake.body_len };
    let declared_len =
        headers.get(CONTENT_LENGTH).and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    if declared_len.is_some_and(|len| len > intake.body_len) {
        return Err(too_large);
    }
    // Only what has arrived counts: a caller could state a length and send nothing.
    let mut held = bodies.hold(0);
    let all = async {
        let mut buf = BytesMut::new();
        while let Some(data) = next(body).await? {
            buf.extend_from_slice(&data);
            if buf.len() > intake.body_len {
                return Err(too_large);
            }
            if !held.try_grow(buf.len().saturating_sub(held.len())) {
                return Err(BodyFault::NoRoom);
            }
        }
        if Connection::current().is_some_and(|connection| connection.is_body_cut()) {
            return Err(BodyFault::Broken);
        }
        if buf.is_empty() {
            return Ok(Bytes::new());
        }
        Ok(Bytes::from_owner(CountedBody { bytes: buf.freeze(), _held: held }))
    };
    let limit = intake.body_timeout;
    timeout(limit, all).await.unwrap_or(Err(BodyFault::Slow { limit }))
}

/// Drains the rest of a refused body, within limits.
///
/// Closing a connection with unread bytes makes the kernel reset it, and the
/// sender could lose the answer that states the error.
pub async fn read_off(body: &mut RequestBody) {
    let rest = async {
        let mut len = 0;
        while let Ok(Some(data)) = next(body).await {
            len += data.len();
            if len > MAX_DRAIN_LEN {
                return;
            }
        }
    };
    // After the time-out the connection is closed.
    _ = timeout(DRAIN_TIMEOUT, rest).await;
}

async fn next(body: &mut RequestBody) -> Result<Option<Bytes>, BodyFault> {
    loop {
        match poll_fn(|cx| Pin::new(&mut *body).poll_frame(cx)).await {
            Some(Ok(Frame::Data(data))) => return Ok(Some(data)),
            Some(Ok(Frame::Trailers(_))) => {}
            Some(Err(_broken)) => return Err(BodyFault::Broken),
            None => return Ok(None),
        }
    }
}
