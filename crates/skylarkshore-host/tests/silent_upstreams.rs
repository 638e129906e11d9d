//! Connections to upstreams that fall silent for a moment.

use std::time::Duration;

use skylarkshore_host::pool::{ACK_TIMEOUT, PROBE_INTERVAL};

/// An upstream may fall silent for a second or so, which is no reason to end an answer.
const SILENCE: Duration = Duration::from_secs(1);
const LONGER_SILENCE: Duration = Duration::from_millis(1500);
const STEP: Duration = Duration::from_millis(10);

/// Returns whether the kernel ends a connection on which nothing was received since time zero, if the
/// peer acknowledges no probe within the silence.
///
/// As on Linux: with a user time-out the probes end once it has passed since the last byte or
/// acknowledgement and a probe is unanswered, whatever their number.
fn is_ended(silence_begins: Duration, silence: Duration) -> bool {
    let silence_ends = silence_begins + silence;
    let mut probe = PROBE_INTERVAL;
    loop {
        let is_answered = probe < silence_begins || probe >= silence_ends;
        if is_answered {
            return false;
        }
        probe += PROBE_INTERVAL;
        if probe >= ACK_TIMEOUT {
            return true;
        }
    }
}

/// Checks silences that begin at any moment between two probes.
fn assert_none_ended(silence: Duration) {
    let mut begins = Duration::ZERO;
    while begins <= PROBE_INTERVAL {
        assert!(
            !is_ended(begins, silence),
            "a silence of {silence:?} that begins {begins:?} after the last byte ends the connection"
        );
        begins += STEP;
    }
}

/// Guards against connections that end although their upstream was silent only for a moment.
#[test]
fn a_moment_of_silence_ends_no_connection() {
    assert_none_ended(SILENCE);
}

/// Guards against the same where the silence spans two probes.
#[test]
fn a_silence_across_two_probes_ends_no_connection() {
    assert_none_ended(LONGER_SILENCE);
}
