//! Splits a stream of server-sent events at event boundaries. Start with [`Splitter`].

use bytes::{Bytes, BytesMut};
use http::HeaderValue;
use skylarkshore_wire::engine::STREAM_END;

use crate::pending::Delivered;

/// The largest single event, in bytes.
const MAX_EVENT_LEN: usize = 256 * 1024;

/// Consecutive complete events.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct EventBatch {
    pub(super) bytes: Bytes,
    /// The number of data events, without the end marker, and the last id.
    pub(super) delivered: Delivered,
    /// Whether the last event is the end marker.
    pub(super) has_end_marker: bool,
}

/// An event exceeds [`MAX_EVENT_LEN`], which is more than any engine sends.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct EventTooLarge;

/// Buffers a stream and releases complete events.
///
/// If a partial event were forwarded before the stream broke, the resumed
/// stream would continue inside it and the caller would read a corrupt event.
#[derive(Debug, Default)]
pub(super) struct Splitter {
    buf: BytesMut,
    /// The number of bytes at the start of `buf` that hold no end of an event.
    scanned: usize,
}

impl Splitter {
    /// Adds bytes and returns the events that they complete, if any.
    pub(super) fn push(&mut self, bytes: &[u8]) -> Result<Option<EventBatch>, EventTooLarge> {
        self.buf.extend_from_slice(bytes);
        let (mut end, mut has_end_marker) = (0, false);
        let mut delivered = Delivered::default();
        while !has_end_marker {
            let Some(len) = event_len(&self.buf[end..], self.scanned.saturating_sub(end)) else { break };
            let event = &self.buf[end..end + len];
            match event_kind(event) {
                EventKind::Data => delivered.event_count += 1,
                EventKind::End => has_end_marker = true,
                EventKind::Other => {}
            }
            delivered.last_id = id_of(event).or(delivered.last_id);
            end += len;
        }
        self.scanned = self.buf.len() - end;
        if end == 0 {
            return if self.buf.len() > MAX_EVENT_LEN { Err(EventTooLarge) } else { Ok(None) };
        }
        Ok(Some(EventBatch { bytes: self.buf.split_to(end).freeze(), delivered, has_end_marker }))
    }

    /// Returns the length of the partial event in the buffer, in bytes.
    pub(super) fn len(&self) -> usize {
        self.buf.len()
    }

    /// Reports whether the buffer holds a partial event.
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

/// Returns the length of the first event with its blank line; the first `scanned` bytes hold no end.
fn event_len(buf: &[u8], scanned: usize) -> Option<usize> {
    const MAX_TERMINATOR_LEN: usize = 4;

    let from = scanned.saturating_sub(MAX_TERMINATOR_LEN);
    (from..buf.len()).find_map(|i| {
        let rest = &buf[i..];
        let terminators: [&[u8]; 3] = [b"\n\n", b"\r\n\r\n", b"\r\r"];
        terminators
            .iter()
            .find(|terminator| rest.starts_with(terminator))
            .map(|terminator| i + terminator.len())
    })
}

enum EventKind {
    Data,
    End,
    Other,
}

fn event_kind(event: &[u8]) -> EventKind {
    let mut lines = event.split(|byte| matches!(byte, b'\n' | b'\r'));
    let Some(data) = lines.find_map(|line| line.strip_prefix(b"data:")) else { return EventKind::Other };
    if data.trim_ascii() == STREAM_END.as_bytes() { EventKind::End } else { EventKind::Data }
}
