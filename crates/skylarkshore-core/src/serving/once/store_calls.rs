//! Store calls for idempotency keys.

use std::time::Duration;

use crate::cx::Cx;
use crate::effect::Effect;
use crate::id::{CallId, Digest, StoreRevision};
use crate::store::{Expect, Key, OnceRecord, OnceState, StoreCall, WriteRequest};

/// How long recording an answer or releasing a claim is retried.
pub(super) const SETTLE_TIMEOUT: Duration = Duration::from_mins(1);

/// Reads a key.
pub(super) fn read(cx: &mut Cx<'_>, key: Digest) -> CallId {
    let call = cx.next_call();
    cx.push(Effect::Store { call, request: StoreCall::Read(Key::Once(key)) });
    call
}

/// Deletes a claim if it is unchanged since it was written.
pub(super) fn delete(cx: &mut Cx<'_>, key: Digest, revision: StoreRevision) {
    cx.write(WriteRequest {
        key: Key::Once(key),
        expect: Expect::At(revision),
        record: None,
        lease: None,
        deadline: cx.now.after(SETTLE_TIMEOUT),
    });
}

/// Builds a record of this process.
pub(super) fn once_record(cx: &Cx<'_>, request: Digest, state: OnceState) -> OnceRecord {
    OnceRecord { request, host: cx.cfg.host.clone(), incarnation: cx.cfg.incarnation, state }
}

/// Reports whether a record is a claim of this incarnation of this process.
pub(super) fn is_own_claim(cx: &Cx<'_>, record: &OnceRecord) -> bool {
    record.state == OnceState::Claimed
        && record.host == cx.cfg.host
        && record.incarnation == cx.cfg.incarnation
}
