//! The operators' document and its history in the key-value service; see [`StoredDocument`].

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

/// Prefix of the keys of the history.
pub(crate) const HISTORY_PREFIX: &str = "skylarkshore/history/";
/// Number of revisions kept in the history.
const MAX_HISTORY_LEN: u64 = 200;

/// A document as stored in the key-value service.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct StoredDocument {
    /// The writer of the document.
    pub(crate) writer: WriterWire,
    /// The document.
    pub(crate) value: DocumentWire,
}

impl StoredDocument {
    /// Returns the time of the write in seconds since the Unix epoch.
    ///
    /// The writer's incarnation is the start time of the program in microseconds.
    pub(crate) const fn written_at(&self) -> u64 {
        self.writer.incarnation.0 / 1_000_000
    }
}

/// The document in force and the revision of its key.
#[derive(Clone, Debug)]
pub(crate) struct CurrentDocument {
    /// Revision of the key; 0 if there is no document.
    pub(crate) key_revision: Int64,
    /// The document.
    pub(crate) stored: Option<StoredDocument>,
}

impl CurrentDocument {
    /// Returns the document's revision; 0 if there is none.
    pub(crate) fn revision(&self) -> RulesRevision {
        RulesRevision(self.stored.as_ref().map_or(0, |stored| stored.value.revision))
    }
}

/// Outcome of a write.
#[derive(Debug)]
pub(crate) enum WriteOutcome {
    /// The write took effect.
    Done,
    /// The document had already been changed by another write.
    Conflict,
    /// The write can't have had an effect.
    NotSent(CallError),
    /// It is unknown whether the write took effect.
    InDoubt,
}

/// Returns the microseconds since the Unix epoch.
pub(crate) fn unix_micros() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(now.as_micros()).unwrap_or(u64::MAX)
}

/// Returns the history key of a revision, zero-padded so that keys sort by revision.
pub(crate) fn history_key(revision: RulesRevision) -> Bytes64 {
    format!("{HISTORY_PREFIX}{:010}", revision.0).as_str().into()
}

/// Reads the document in force.
pub(crate) async fn read_current(store: SocketAddr) -> Result<CurrentDocument, Error> {
    let found = range(store, &single_key(DOCUMENT_KEY.into())).await?;
    let Some(kv) = found.kvs.first() else {
        return Ok(CurrentDocument { key_revision: Int64(0), stored: None });
    };
    Ok(CurrentDocument { key_revision: kv.mod_revision, stored: Some(parse_stored(kv)?) })
}

/// Reads a document from the history, if it is still kept.
pub(crate) async fn read_revision(
    store: SocketAddr,
    revision: RulesRevision,
) -> Result<Option<StoredDocument>, Error> {
    let found = range(store, &single_key(history_key(revision))).await?;
    found.kvs.first().map(parse_stored).transpose()
}

/// Reads the history from a revision on, oldest first.
pub(crate) async fn read_history(
    store: SocketAddr,
    from: RulesRevision,
) -> Result<Vec<StoredDocument>, Error> {
    let range_end = Bytes64::from(HISTORY_PREFIX).prefix_end();
    let req = RangeRequest { key: history_key(from), range_end, ..RangeRequest::default() };
    range(store, &req).await?.kvs.iter().map(parse_stored).collect()
}

/// Writes a document and its history entry if the document in force is still `base`.
pub(crate) async fn replace(
    store: SocketAddr,
    base: &CurrentDocument,
    document: &StoredDocument,
) -> WriteOutcome {
    let Ok(value) = serde_json::to_vec(document) else { return WriteOutcome::InDoubt };
    let revision = RulesRevision(document.value.revision);
    let put = |key: Bytes64| RequestOp::Put(PutRequest { key, value: value.clone().into(), lease: Int64(0) });
    let mut success = vec![put(DOCUMENT_KEY.into()), put(history_key(revision))];
    if let Some(old) = revision.0.checked_sub(MAX_HISTORY_LEN) {
        let key = history_key(RulesRevision(old));
        success.push(RequestOp::DeleteRange(DeleteRangeRequest { key, range_end: Bytes64::default() }));
    }
    let compare = vec![Compare::unchanged_since(DOCUMENT_KEY.into(), base.key_revision.0)];
    let txn = TxnRequest { compare, success, failure: Vec::new() };
    match post::<_, TxnResponse>(store, TXN_PATH, &txn).await {
        Ok(response) if response.succeeded => WriteOutcome::Done,
        Ok(_) => WriteOutcome::Conflict,
        Err(Error::Call(err)) if err.is_not_sent() => WriteOutcome::NotSent(err),
        Err(_) => WriteOutcome::InDoubt,
    }
}

fn single_key(key: Bytes64) -> RangeRequest {
    RangeRequest { key, ..RangeRequest::default() }
}

fn parse_stored(kv: &KeyValue) -> Result<StoredDocument, Error> {
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
        .map_or_else(|_not_json| answer.text(), |error| error.message);
    Err(Error::Store { message })
}
