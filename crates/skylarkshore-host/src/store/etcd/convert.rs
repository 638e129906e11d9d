//! Converts between the core's store types and the gateway's JSON bodies.

use std::time::Duration;

use derive_more::{Display, Error, From};
use skylarkshore_core::id::{LeaseId, StoreRevision};
use skylarkshore_core::store::{Expect, Key, Record, StoreAnswer, Versioned, Writer};
use skylarkshore_wire::etcd::{
    Bytes64, Compare, DeleteRangeRequest, Int64, KeyValue, LeaseResponse, PutRequest, RangeRequest,
    RangeResponse, RequestOp, ResponseOp, TxnRequest, TxnResponse, WatchEvent, WatchEventKind,
};
use skylarkshore_wire::keys::{InvalidKey, InvalidValue, KeyText, StoredValue};
use slog::{Logger, warn};

/// Why an answer is invalid.
#[derive(Debug, Display, Error, From)]
pub(super) enum InvalidAnswer {
    /// A key isn't one of the system's.
    #[display("{_0}")]
    Key(InvalidKey),
    /// A value has a wrong shape.
    #[display("{_0}")]
    Value(InvalidValue),
    /// A failed transaction didn't return the current value.
    #[display(
        "the key-value service didn't return the current value; check that it is an etcd v3 JSON gateway"
    )]
    MissingCurrentValue,
}

fn key_bytes(key: &Key) -> Bytes64 {
    Bytes64::from(KeyText::from(key).as_str())
}

pub(super) fn range_of(key: &Key) -> RangeRequest {
    RangeRequest { key: key_bytes(key), ..RangeRequest::default() }
}

pub(super) fn write(
    key: &Key,
    expect: Expect,
    record: Option<Record>,
    writer: Writer,
    lease: Option<LeaseId>,
) -> TxnRequest {
    let expected = match expect {
        Expect::Absent => 0,
        Expect::At(revision) => revision.0,
    };
    let success = match record {
        Some(record) => RequestOp::Put(PutRequest {
            key: key_bytes(key),
            value: Bytes64(StoredValue { writer, record }.to_json().into_bytes()),
            lease: Int64(lease.map_or(0, |lease| lease.0)),
        }),
        None => {
            RequestOp::DeleteRange(DeleteRangeRequest { key: key_bytes(key), range_end: Bytes64::default() })
        }
    };
    TxnRequest {
        compare: vec![Compare::unchanged_since(key_bytes(key), expected)],
        success: vec![success],
        failure: vec![RequestOp::Range(range_of(key))],
    }
}

pub(super) fn write_result(key: &Key, response: TxnResponse) -> Result<StoreAnswer, InvalidAnswer> {
    let revision = StoreRevision(response.header.revision.0);
    if response.succeeded {
        return Ok(StoreAnswer::Written(revision));
    }
    let Some(ResponseOp::Range(mut range)) = response.responses.into_iter().next() else {
        return Err(InvalidAnswer::MissingCurrentValue);
    };
    // The steps of a transaction may omit their own header.
    range.header = response.header;
    Ok(StoreAnswer::Conflict(single_record(key, range)?))
}

pub(super) fn single_record(key: &Key, response: RangeResponse) -> Result<Versioned, InvalidAnswer> {
    let revision = StoreRevision(response.header.revision.0);
    match response.kvs.into_iter().next() {
        Some(kv) => versioned(&kv),
        None => Ok(Versioned { key: key.clone(), revision, writer: None, record: None }),
    }
}

/// Converts the answer to a read of all shared keys. Invalid entries are logged and skipped, so
/// that they don't hide the others.
pub(super) fn shared(response: RangeResponse, log: &Logger) -> StoreAnswer {
    let revision = StoreRevision(response.header.revision.0);
    let records = response.kvs.into_iter().filter_map(|kv| log_if_invalid(versioned(&kv), log)).collect();
    StoreAnswer::Shared { revision, records }
}

pub(super) fn changes(events: Vec<WatchEvent>, log: &Logger) -> Vec<Versioned> {
    events.into_iter().filter_map(|event| log_if_invalid(change(&event), log)).collect()
}

pub(super) fn lease(response: &LeaseResponse) -> StoreAnswer {
    if response.ttl.0 == 0 {
        return StoreAnswer::LeaseGone;
    }
    StoreAnswer::Lease { lease: LeaseId(response.id.0), ttl: Duration::from_secs(response.ttl.0) }
}

fn change(event: &WatchEvent) -> Result<Versioned, InvalidAnswer> {
    match event.kind {
        WatchEventKind::Put => versioned(&event.kv),
        WatchEventKind::Delete => {
            let revision = StoreRevision(event.kv.mod_revision.0);
            Ok(Versioned { key: key_of(&event.kv.key)?, revision, writer: None, record: None })
        }
    }
}

fn versioned(kv: &KeyValue) -> Result<Versioned, InvalidAnswer> {
    let key = key_of(&kv.key)?;
    let stored = StoredValue::from_json(&key, &kv.value.0)?;
    Ok(Versioned {
        key,
        revision: StoreRevision(kv.mod_revision.0),
        writer: Some(stored.writer),
        record: Some(stored.record),
    })
}

fn key_of(bytes: &Bytes64) -> Result<Key, InvalidAnswer> {
    let text = KeyText::from(String::from_utf8_lossy(&bytes.0).into_owned());
    Ok(Key::try_from(&text)?)
}

fn log_if_invalid(found: Result<Versioned, InvalidAnswer>, log: &Logger) -> Option<Versioned> {
    found.inspect_err(|err| warn!(log, "stored_value_left_out"; "reason" => err.to_string())).ok()
}
