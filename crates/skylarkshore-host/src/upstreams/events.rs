//! Cuts a stream of server-sent events into whole events.

use bytes::{Bytes, BytesMut};
use http::HeaderValue;
use skylarkshore_wire::engine::STREAM_END;

use crate::pending::Delivered;

/// The largest single event in bytes.
const MAX_EVENT_LEN: usize = 4 * 1024 * 1024;

/// Whole events that can be passed on together.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct Events {
    pub(super) bytes: Bytes,
    /// How many of them carry data, the end marker not counted, and the last id.
    pub(super) delivered: Delivered,
    /// Whether the last one is the end marker.
    pub(super) ends: bool,
}

/// An event is larger than any engine sends.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct EventTooLarge;

/// Cuts a stream into whole events.
///
/// Only whole events are passed on. If half an event were, and the stream then
/// broke off, the resumed stream would go on in the middle of it and the caller
/// would read a garbled event.
#[derive(Debug, Default)]
pub(super) struct Splitter {
    buf: BytesMut,
    scanned: usize,
}

impl Splitter {
    /// Takes bytes in and returns the whole events that they complete, if any.
    pub(super) fn push(&mut self, bytes: &[u8]) -> Result<Option<Events>, EventTooLarge> {
        self.buf.extend_from_slice(bytes);
        let (mut end, mut ends) = (0, false);
        let mut delivered = Delivered::default();
        while !ends {
            let Some(len) = event_len(&self.buf[end..], self.scanned.saturating_sub(end)) else { break };
            let event = &self.buf[end..end + len];
            match kind(event) {
                Kind::Data => delivered.events += 1,
                Kind::End => ends = true,
                Kind::Other => {}
            }
            delivered.last_id = id_of(event).or(delivered.last_id);
            end += len;
        }
        self.scanned = self.buf.len() - end;
        if end == 0 {
            return if self.buf.len() > MAX_EVENT_LEN { Err(EventTooLarge) } else { Ok(None) };
        }
        Ok(Some(Events { bytes: self.buf.split_to(end).freeze(), delivered, ends }))
    }

    /// Tells whether an event has begun and not ended.
    pub(super) fn is_within_event(&self) -> bool {
        !self.buf.is_empty()
    }
}

/// Returns the id that an event carries.
fn id_of(event: &[u8]) -> Option<HeaderValue> {
    let mut lines = event.split(|byte| matches!(byte, b'\n' | b'\r'));
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?.trim_ascii();
    HeaderValue::from_bytes(id).ok()
}

/// Returns the length of the first event with its blank line; `scanned` bytes hold none.
fn event_len(buf: &[u8], scanned: usize) -> Option<usize> {
    const LONGEST_END: usize = 4;

    let from = scanned.saturating_sub(LONGEST_END);
    (from..buf.len()).find_map(|i| {
        let rest = &buf[i..];
        let ends: [&[u8]; 3] = [b"\n\n", b"\r\n\r\n", b"\r\r"];
        ends.iter().find(|end| rest.starts_with(end)).map(|end| i + end.len())
    })
}

enum Kind {
    Data,
    End,
    Other,
}

fn kind(event: &[u8]) -> Kind {
    let mut lines = event.split(|byte| matches!(byte, b'\n' | b'\r'));
    let Some(data) = lines.find_map(|line| line.strip_prefix(b"data:")) else { return Kind::Other };
    if data.trim_ascii() == STREAM_END.as_bytes() { Kind::End } else { Kind::Data }
}
