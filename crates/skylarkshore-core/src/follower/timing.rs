//! Timing of reads of the key-value service; see [`ReadTiming`].

use std::time::Duration;

/// Upper bound of the time that a read's answer may take beyond its wait.
const MAX_ANSWER_SLACK: Duration = Duration::from_millis(500);

/// Timing of reads of one kind.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReadCadence {
    /// Wait for changes of a read that starts directly after the previous one.
    pub(super) wait: Duration,
    /// Wait for changes of a read that starts after a rest.
    pub(super) wait_after_rest: Duration,
    /// Pause after a read that returned changes; bounds the call rate under constant change.
    pub(super) rest: Duration,
}

/// Timing of reads, chosen so that a leaving upstream is known before it ends.
///
/// A connection can go silent for good without a reset. Until such a read times
/// out, the process receives no changes and would send requests to upstreams that
/// are leaving; they keep running for the notice period after they announce it.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReadTiming {
    /// Reads of a process for itself.
    pub(super) alone: ReadCadence,
    /// Reads of a process for its peers; each ends within a fifth of the notice, so that the peers
    /// hear from it.
    pub(super) for_peers: ReadCadence,
    /// Pause of a process that has just begun to watch.
    ///
    /// Hosts that start together must know each other before they can exchange
    /// suspicions of requests that crash upstreams.
    pub(super) startup_rest: Duration,
    /// Time that the answer may take beyond the wait.
    pub(super) slack: Duration,
    /// Time without updates from peers after which the process reads the service itself; longer than
    /// between two reads for peers.
    pub(super) silence: Duration,
    notice: Duration,
}

impl ReadTiming {
    /// Divides the notice period of leaving upstreams; the remainder is for applying the changes.
    ///
    /// A change is known within a third of the notice, also where a peer that relays it has failed:
    /// after the silence, or the rest of a process that reads alone, and the answer.
    pub(super) fn from_notice(notice: Duration) -> Self {
        Self {
            alone: ReadCadence::alone(notice),
            notice,
            for_peers: ReadCadence { wait: notice / 5, wait_after_rest: notice / 10, rest: notice / 10 },
            startup_rest: notice / 5,
            slack: MAX_ANSWER_SLACK.min(notice / 4),
            silence: notice / 4,
        }
    }

    /// Shortens the waits so that knowledge is younger than `max_age` when the next answer arrives.
    ///
    /// An answer is as old as its read, so that knowledge is up to two waits old, or a wait and a rest. The
    /// factors leave a third of `max_age` for the delay of answers and news.
    pub(super) fn with_max_age(self, max_age: Duration) -> Self {
        let for_all = Self::from_notice(self.notice.min(max_age * 3 / 2));
        let alone = ReadCadence::alone(self.notice.min(max_age / 2));
        Self { alone, notice: self.notice, ..for_all }
    }
}

impl ReadCadence {
    fn alone(period: Duration) -> Self {
        Self { wait: period * 3 / 5, wait_after_rest: period / 5, rest: period / 4 }
    }
}
