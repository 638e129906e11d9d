//! A client of the etcd v3 JSON gateway. Start with [`EtcdStore`].

mod convert;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{Method, StatusCode};
use http_body_util::BodyExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use skylarkshore_core::id::{LeaseId, StoreRevision};
use skylarkshore_core::store::{StoreAnswer, StoreCall, StoreFailure, StoreResult};
use skylarkshore_wire::etcd::{
    Bytes64, ErrorResponse, Int64, LEASE_GRANT_PATH, LEASE_KEEPALIVE_PATH, LEASE_REVOKE_PATH,
    LeaseGrantRequest, LeaseRequest, LeaseResponse, RANGE_PATH, RangeRequest, RangeResponse, Streamed,
    TXN_PATH, TxnResponse, WATCH_PATH, WatchCreateRequest, WatchRequest, WatchResponse,
};
use skylarkshore_wire::keys::SHARED_PREFIX;
use slog::{Logger, debug, warn};
use tokio::time::Instant;

use crate::call_error::chain;
use crate::config::HttpUrl;
use crate::http::{Answer, CallError, MAX_STORE_ANSWER_LEN, PooledClient, call, client, json_request};
use crate::metrics::Metrics;
use crate::store::{BoxFuture, ChangeBatch, Store, WatchSink};

/// The largest line of a watch, in bytes: a value of a mebibyte in Base64 together with a few others.
const MAX_WATCH_LINE_LEN: usize = 16 * 1024 * 1024;

/// A client of the etcd v3 JSON gateway.
pub(crate) struct EtcdStore {
    client: PooledClient,
    endpoints: Vec<HttpUrl>,
    /// The endpoint to try first, modulo their number: the one that answered last, or its successor after a
    /// failure.
    current: AtomicUsize,
    timeout: Duration,
    metrics: Arc<Metrics>,
    log: Logger,
}

/// Why a call has no usable answer.
enum CallFailure {
    /// See [`StoreFailure`].
    Store(StoreFailure),
    /// The lease doesn't exist.
    NoSuchLease,
}

impl EtcdStore {
    pub(crate) fn new(
        endpoints: Vec<HttpUrl>,
        timeout: Duration,
        metrics: Arc<Metrics>,
        log: Logger,
    ) -> Self {
        Self { client: client(), endpoints, current: AtomicUsize::new(0), timeout, metrics, log }
    }

    async fn execute(&self, request: StoreCall) -> Result<StoreAnswer, CallFailure> {
        match request {
            StoreCall::ReadShared => {
                let range = RangeRequest {
                    key: Bytes64::from(SHARED_PREFIX),
                    range_end: Bytes64::from(SHARED_PREFIX).prefix_end(),
                    ..RangeRequest::default()
                };
                let response: RangeResponse = self.post(RANGE_PATH, &range).await?;
                Ok(convert::shared(response, &self.log))
            }
            StoreCall::Read(key) => {
                let response: RangeResponse = self.post(RANGE_PATH, &convert::range_of(&key)).await?;
                let found = convert::single_record(&key, response).map_err(|err| self.unreadable(&err))?;
                Ok(StoreAnswer::One(found))
            }
            StoreCall::Write { key, expect, record, writer, lease } => {
                let txn = convert::write(&key, expect, record, writer, lease);
                let response: TxnResponse = self.post(TXN_PATH, &txn).await?;
                convert::write_result(&key, response).map_err(|err| self.unreadable(&err))
            }
            StoreCall::GrantLease { ttl } => {
                // The service takes whole seconds; a lease may live longer than requested, never shorter.
                let secs = ttl.as_secs() + u64::from(ttl.subsec_nanos() > 0);
                let request = LeaseGrantRequest { ttl: Int64(secs) };
                let response: LeaseResponse = self.post(LEASE_GRANT_PATH, &request).await?;
                Ok(convert::lease(&response))
            }
            StoreCall::RenewLease(lease) => {
                let request = LeaseRequest { id: Int64(lease.0) };
                let response: Streamed<LeaseResponse> = self.post(LEASE_KEEPALIVE_PATH, &request).await?;
                Ok(convert::lease(&response.result))
            }
            StoreCall::RevokeLease(LeaseId(id)) => {
                let request = LeaseRequest { id: Int64(id) };
                let _revoked: serde_json::Value = self.post(LEASE_REVOKE_PATH, &request).await?;
                Ok(StoreAnswer::LeaseGone)
            }
        }
    }

    /// Posts to the endpoint that answered last; tries the next ones if no connection can be made.
    async fn post<A: Serialize + Sync, B: DeserializeOwned>(
        &self,
        path: &str,
        body: &A,
    ) -> Result<B, CallFailure> {
        let body = Bytes::from(serde_json::to_vec(body).map_err(|err| self.unreadable(&err))?);
        let deadline = Instant::now() + self.timeout;
        let first = self.current.load(Ordering::Relaxed);
        for i in 0..self.endpoints.len() {
            let index = (first + i) % self.endpoints.len();
            let url = &self.endpoints[index];
            let req = json_request(Method::POST, url.address, &format!("{}{path}", url.path), body.clone());
            match call(&self.client, req, MAX_STORE_ANSWER_LEN, deadline).await {
                Ok(answer) => {
                    self.current.store(index, Ordering::Relaxed);
                    return self.parse_answer(path, &answer);
                }
                Err(CallError::NotConnected { reason }) => {
                    debug!(self.log, "store_not_connected"; "endpoint" => %url, "reason" => reason);
                }
                Err(CallError::Lost { reason }) => {
                    debug!(self.log, "store_answer_lost"; "endpoint" => %url, "path" => path, "reason" => reason);
                    self.current.store(index + 1, Ordering::Relaxed);
                    return Err(CallFailure::Store(StoreFailure::Unknown));
                }
            }
        }
        Err(CallFailure::Store(StoreFailure::NotDone))
    }

    fn parse_answer<B: DeserializeOwned>(&self, path: &str, answer: &Answer) -> Result<B, CallFailure> {
        if answer.status == StatusCode::OK {
            return serde_json::from_slice(&answer.body).map_err(|err| self.unreadable(&err));
        }
        let error: ErrorResponse = serde_json::from_slice(&answer.body).unwrap_or_default();
        if error.code == ErrorResponse::NOT_FOUND {
            return Err(CallFailure::NoSuchLease);
        }
        warn!(self.log, "store_refuses"; "path" => path, "status" => answer.status.as_u16(), "message" => error.message);
        Err(CallFailure::Store(StoreFailure::Unknown))
    }

    /// Logs a body that can't be converted; whether the call took effect is unknown.
    fn unreadable(&self, err: &dyn std::error::Error) -> CallFailure {
        warn!(self.log, "store_unreadable"; "reason" => err.to_string());
        CallFailure::Store(StoreFailure::Unknown)
    }

    /// Watches until the watch breaks, and returns the reason as the error.
    async fn watch_once(&self, from: StoreRevision, sink: &dyn WatchSink) -> Result<(), String> {
        let index = self.current.load(Ordering::Relaxed) % self.endpoints.len();
        let url = &self.endpoints[index];
        let req =
            json_request(Method::POST, url.address, &format!("{}{WATCH_PATH}", url.path), watch_body(from));
        let begin = tokio::time::timeout(self.timeout, self.client.request(req));
        let res = begin.await.map_err(|_elapsed| "timed out".to_owned())?.map_err(|err| {
            self.current.store(index + 1, Ordering::Relaxed);
            chain(&err)
        })?;
        if res.status() != StatusCode::OK {
            return Err(format!("status {}", res.status()));
        }
        let mut body = res.into_body();
        let mut lines = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|err| err.to_string())?;
            let Ok(data) = frame.into_data() else { continue };
            lines.extend_from_slice(&data);
            while let Some(end) = lines.iter().position(|byte| *byte == b'\n') {
                let line = lines.split_to(end + 1);
                self.handle_line(&line, sink).await?;
            }
            if lines.len() > MAX_WATCH_LINE_LEN {
                return Err("a line is too long".to_owned());
            }
        }
        Err("ended".to_owned())
    }

    async fn handle_line(&self, line: &[u8], sink: &dyn WatchSink) -> Result<(), String> {
        if line.trim_ascii().is_empty() {
            return Ok(());
        }
        let streamed: Streamed<WatchResponse> =
            serde_json::from_slice(line).map_err(|err| err.to_string())?;
        let response = streamed.result;
        if response.canceled || response.compact_revision.0 > 0 {
            return Err("cancelled by the service".to_owned());
        }
        if response.events.is_empty() && response.created {
            return Ok(());
        }
        let upto = StoreRevision(response.header.revision.0);
        let changes = convert::changes(response.events, &self.log);
        sink.on_changes(ChangeBatch { changes, upto }).await;
        Ok(())
    }
}

fn watch_body(from: StoreRevision) -> Bytes {
    let request = WatchRequest {
        create_request: WatchCreateRequest {
            key: Bytes64::from(SHARED_PREFIX),
            range_end: Bytes64::from(SHARED_PREFIX).prefix_end(),
            start_revision: Int64(from.0),
            progress_notify: true,
        },
    };
    Bytes::from(serde_json::to_vec(&request).unwrap_or_default())
}

impl Store for EtcdStore {
    fn call(&self, call: StoreCall) -> BoxFuture<'_, StoreResult> {
        Box::pin(async move {
            let name = call.name();
            let started = Instant::now();
            let result = match self.execute(call).await {
                Ok(answer) => Ok(answer),
                Err(CallFailure::NoSuchLease) => Ok(StoreAnswer::LeaseGone),
                Err(CallFailure::Store(failure)) => Err(failure),
            };
            self.metrics.store_call(name, &result, started.elapsed());
            result
        })
    }

    fn watch<'a>(&'a self, from: StoreRevision, sink: &'a dyn WatchSink) -> BoxFuture<'a, ()> {
        Box::pin(async move {
            if let Err(reason) = self.watch_once(from, sink).await {
                debug!(self.log, "store_watch_ended"; "reason" => reason);
            }
        })
    }
}
