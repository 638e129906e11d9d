//! Reads the body of a request, which may be too large, too slow or broken.

use std::future::poll_fn;
use std::pin::Pin;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::HeaderMap;
use http::header::CONTENT_LENGTH;
use tokio::time::timeout;
use xitca_web::body::{Body, Frame, RequestBody};

use crate::config::Intake;

/// How long the rest of a body that isn't wanted is read, so that its sender gets to read the answer.
const READ_OFF_TIMEOUT: Duration = Duration::from_secs(1);
/// How much of it is read.
const READ_OFF_LEN: usize = 8 * 1024 * 1024;

/// Why a body can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFault {
    /// It is larger than what is taken.
    TooLarge {
        /// The most bytes that are taken.
        limit: usize,
    },
    /// It took too long.
    Slow {
        /// The longest time.
        limit: Duration,
    },
    /// It ended early or isn't encoded as it says.
    Broken,
}

/// Reads the whole body.
///
/// # Errors
///
/// See [`BodyFault`].
pub async fn read(body: &mut RequestBody, intake: &Intake, headers: &HeaderMap) -> Result<Bytes, BodyFault> {
    let too_large = BodyFault::TooLarge { limit: intake.body_len };
    let announced = headers.get(CONTENT_LENGTH).and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    if announced.is_some_and(|len| len > intake.body_len) {
        return Err(too_large);
    }
    let all = async {
        let mut buf = BytesMut::new();
        while let Some(data) = next(body).await? {
            buf.extend_from_slice(&data);
            if buf.len() > intake.body_len {
                return Err(too_large);
            }
        }
        Ok(buf.freeze())
    };
    let limit = intake.body_timeout;
    timeout(limit, all).await.unwrap_or(Err(BodyFault::Slow { limit }))
}

/// Reads the rest of a body that was refused, within limits.
///
/// If the connection were closed with bytes unread, the system would reset it,
/// and the sender could lose the answer that tells it what is wrong.
pub async fn read_off(body: &mut RequestBody) {
    let rest = async {
        let mut len = 0;
        while let Ok(Some(data)) = next(body).await {
            len += data.len();
            if len > READ_OFF_LEN {
                return;
            }
        }
    };
    // A sender that goes on for longer loses the connection.
    _ = timeout(READ_OFF_TIMEOUT, rest).await;
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
