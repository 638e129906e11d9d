//! The rules document and its history in the key-value service.

use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

use http::Method;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use skylarkshore_core::id::RulesRevision;
use skylarkshore_wire::document::DocumentWire;
use skylarkshore_wire::etcd::{
    Bytes64, Compare, DeleteRangeRequest, ErrorResponse, Int64, KeyValue, PutRequest, RANGE_PATH,
    RangeRequest, RangeResponse, RequestOp, TXN_PATH, TxnRequest, TxnResponse,
};
use skylarkshore_wire::keys::{DOCUMENT_KEY, InvalidValue, WriterWire};

use crate::error::Error;
use crate::http::{CallError, call};

/// What the keys of earlier documents begin with.
pub(crate) const HISTORY_PREFIX: &str = "skylarkshore/history/";
/// How many earlier documents are kept.
const KEPT_REVISIONS: u64 = 200;

/// A document as it stands in the key-value service.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct StoredDocument {
    /// Who wrote it.
    pub(crate) writer: WriterWire,
    /// The document.
    pub(crate) value: DocumentWire,
}

impl StoredDocument {
    /// Returns when it was written, in seconds since the Unix epoch.
    ///
    /// The program's incarnation is the time at which it was started.
    pub(crate) const fn written_at(&self) -> u64 {
        self.writer.incarnation.0 / 1_000_000
    }
}

/// The document in force with the revision of its key.
#[derive(Clone, Debug)]
pub(crate) struct InForce {
    /// The revision of the key; 0 when there is no document.
    pub(crate) key_revision: Int64,
    /// The document.
    pub(crate) stored: Option<StoredDocument>,
}

impl InForce {
    /// Returns the document's revision; 0 when there is none.
    pub(crate) fn revision(&self) -> RulesRevision {
        RulesRevision(self.stored.as_ref().map_or(0, |stored| stored.value.revision))
    }
}

/// How a write ended.
#[derive(Debug)]
pub(crate) enum Written {
    /// It took effect.
    Done,
    /// Another one went ahead.
    Conflict,
    /// It can't have had an effect.
    NotSent(CallError),
    /// Its answer was lost.
    InDoubt,
}

/// Returns the microseconds since the Unix epoch.
pub(crate) fn unix_micros() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(now.as_micros()).unwrap_or(u64::MAX)
}

/// Returns the key of an earlier document; the digits keep the keys in their order.
pub(crate) fn history_key(revision: RulesRevision) -> Bytes64 {
    format!("{HISTORY_PREFIX}{:010}", revision.0).as_str().into()
}

/// Reads the document in force.
pub(crate) async fn in_force(store: SocketAddr) -> Result<InForce, Error> {
    let found = range(store, &one(DOCUMENT_KEY.into())).await?;
    let Some(kv) = found.kvs.first() else {
        return Ok(InForce { key_revision: Int64(0), stored: None });
    };
    Ok(InForce { key_revision: kv.mod_revision, stored: Some(stored(kv)?) })
}

/// Reads an earlier document, if it is kept.
pub(crate) async fn earlier(
    store: SocketAddr,
    revision: RulesRevision,
) -> Result<Option<StoredDocument>, Error> {
    let found = range(store, &one(history_key(revision))).await?;
    found.kvs.first().map(stored).transpose()
}

/// Reads the documents from a revision on, the oldest first.
pub(crate) async fn history(store: SocketAddr, from: RulesRevision) -> Result<Vec<StoredDocument>, Error> {
    let range_end = Bytes64::from(HISTORY_PREFIX).prefix_end();
    let req = RangeRequest { key: history_key(from), range_end, ..RangeRequest::default() };
    range(store, &req).await?.kvs.iter().map(stored).collect()
}

/// Writes a document and its place in the history, if the one in force is still `base`.
pub(crate) async fn replace(store: SocketAddr, base: &InForce, document: &StoredDocument) -> Written {
    let Ok(value) = serde_json::to_vec(document) else { return Written::InDoubt };
    let revision = RulesRevision(document.value.revision);
    let put = |key: Bytes64| RequestOp::Put(PutRequest { key, value: value.clone().into(), lease: Int64(0) });
    let mut success = vec![put(DOCUMENT_KEY.into()), put(history_key(revision))];
    if let Some(old) = revision.0.checked_sub(KEPT_REVISIONS) {
        let key = history_key(RulesRevision(old));
        success.push(RequestOp::DeleteRange(DeleteRangeRequest { key, range_end: Bytes64::default() }));
    }
    let compare = vec![Compare::unchanged_since(DOCUMENT_KEY.into(), base.key_revision.0)];
    let txn = TxnRequest { compare, success, failure: Vec::new() };
    match post::<_, TxnResponse>(store, TXN_PATH, &txn).await {
        Ok(response) if response.succeeded => Written::Done,
        Ok(_) => Written::Conflict,
        Err(Error::Call(err)) if err.is_not_sent() => Written::NotSent(err),
        Err(_) => Written::InDoubt,
    }
}

fn one(key: Bytes64) -> RangeRequest {
    RangeRequest { key, ..RangeRequest::default() }
}

fn stored(kv: &KeyValue) -> Result<StoredDocument, Error> {
    Ok(serde_json::from_slice(&kv.value.0).map_err(InvalidValue::from)?)
}

async fn range(store: SocketAddr, req: &RangeRequest) -> Result<RangeResponse, Error> {
    post(store, RANGE_PATH, req).await
}

async fn post<Q: Serialize, A: DeserializeOwned>(store: SocketAddr, path: &str, req: &Q) -> Result<A, Error> {
    let body = serde_json::to_vec(req).map_err(InvalidValue::from)?;
    let answer = call(Method::POST, store, path, body).await?;
    if answer.status.is_success() {
        return Ok(serde_json::from_slice(&answer.body).map_err(InvalidValue::from)?);
    }
    let message = serde_json::from_slice::<ErrorResponse>(&answer.body)
        .map_or_else(|_plain| answer.text(), |error| error.message);
    Err(Error::Store { message })
}
