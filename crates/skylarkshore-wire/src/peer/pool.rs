//! Messages about a model whose pool the receiver can't tell; see [`PeerMessageWire::InPool`].

use skylarkshore_core::catalogue::ModelTarget;
use skylarkshore_core::id::ServiceName;
use skylarkshore_core::peer::PeerMessage;

use super::{InvalidMessage, PeerMessageWire};

/// Converts a message to its wire form, with the pool of the model if the message names it.
pub(super) fn to_wire(message: &PeerMessage) -> PeerMessageWire {
    match split(message) {
        Some((pool, unpooled)) => PeerMessageWire::InPool { pool, message: Box::new((&unpooled).into()) },
        None => message.into(),
    }
}

/// Splits a message that names a model's pool into the pool and the message without it.
fn split(message: &PeerMessage) -> Option<(ServiceName, PeerMessage)> {
    let (PeerMessage::Wanted { target, .. }
    | PeerMessage::Used { target, .. }
    | PeerMessage::CannotLoad { target, .. }) = message
    else {
        return None;
    };
    let pool = target.model.pool()?.clone();
    let mut unpooled = message.clone();
    if let Some(target) = target_of(&mut unpooled) {
        target.model = target.model.without_pool();
    }
    Some((pool, unpooled))
}

/// Adds the pool to the model that a message is about.
pub(super) fn join(pool: &ServiceName, message: PeerMessageWire) -> Result<PeerMessage, InvalidMessage> {
    if matches!(message, PeerMessageWire::InPool { .. } | PeerMessageWire::Spread { .. }) {
        return Err(InvalidMessage::NoModel);
    }
    let mut message = PeerMessage::try_from(message)?;
    let target = target_of(&mut message).ok_or(InvalidMessage::NoModel)?;
    target.model = target.model.in_pool(pool);
    Ok(message)
}

const fn target_of(message: &mut PeerMessage) -> Option<&mut ModelTarget> {
    match message {
        PeerMessage::Wanted { target, .. }
        | PeerMessage::Used { target, .. }
        | PeerMessage::CannotLoad { target, .. } => Some(target),
        _ => None,
    }
}
