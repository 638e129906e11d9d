//! Watch requests, answered by a stream of changes.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http::Response;
use skylarkshore_wire::etcd::{Streamed, WatchCreateRequest, WatchResponse};
use tokio::sync::watch as signal;
use tokio::time::timeout;

use crate::http::{Body, stream as streamed};
use crate::lock;
use crate::store::Shared;

/// Idle time after which a watch sends a progress notification.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

struct Watch {
    shared: Arc<Shared>,
    req: WatchCreateRequest,
    changed: signal::Receiver<()>,
    next: u64,
    created: bool,
}

pub(super) fn answer(shared: &Arc<Shared>, req: WatchCreateRequest) -> Response<Body> {
    let start = req.start_revision.0;
    let next = if start == 0 { lock(&shared.state).kv.revision() + 1 } else { start };
    let changed = shared.changed.subscribe();
    let watch = Watch { shared: Arc::clone(shared), req, changed, next, created: false };
    streamed(
        "application/json",
        stream::unfold(watch, |mut watch| async move {
            let part = watch.next_part().await;
            Some((part, watch))
        }),
    )
}

impl Watch {
    /// Waits for the next part of the answer; an error closes the connection.
    async fn next_part(&mut self) -> io::Result<Bytes> {
        if !self.created {
            self.created = true;
            let header = lock(&self.shared.state).kv.header();
            return line(WatchResponse { header, created: true, ..WatchResponse::default() });
        }
        let mut idle = false;
        loop {
            self.changed.mark_unchanged();
            if let Some(response) = self.next_response(idle)? {
                return line(response);
            }
            let waited = timeout(PROGRESS_INTERVAL, self.changed.changed()).await;
            idle = waited.is_err() && self.req.progress_notify;
        }
    }

    /// Returns the changes that weren't sent yet, or just the revision when `idle`.
    fn next_response(&mut self, idle: bool) -> io::Result<Option<WatchResponse>> {
        let state = lock(&self.shared.state);
        if state.faults.down {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let events = state.kv.changes(&self.req.key, &self.req.range_end, self.next);
        if events.is_empty() && !idle {
            return Ok(None);
        }
        self.next = self.next.max(state.kv.revision() + 1);
        Ok(Some(WatchResponse { header: state.kv.header(), events, ..WatchResponse::default() }))
    }
}

fn line(result: WatchResponse) -> io::Result<Bytes> {
    let mut line = serde_json::to_vec(&Streamed { result }).map_err(io::Error::other)?;
    line.push(b'\n');
    Ok(line.into())
}
