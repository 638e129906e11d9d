//! Decides whether a process follows the news of its peers or reads the key-value service itself.
//!
//! News is a batch of changes that one process has read from the service and relays to the others;
//! the complete state is sent separately, in [`StatePart`]s. The adapter of a platform drives the
//! [`Follower`]: it passes updates in, executes each [`Step`] and reports its result. Start reading
//! at [`Follower::next_step`].

mod state_parts;
mod timing;

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use crate::id::StoreRevision;
use crate::peer::{News, StatePart};
use crate::time::Time;
use state_parts::{PeerState, StateParts};
use timing::{ReadCadence, ReadTiming};

/// Limit of queued updates; when it is exceeded, the process reads the service itself.
const MAX_QUEUED_UPDATES: usize = 256;
/// Limit of news messages that are buffered beyond a gap.
const MAX_BUFFERED_NEWS: usize = 64;
/// How long the news that fills a gap may take; messages can overtake each other.
const REORDERING_TIME: Duration = Duration::from_millis(200);
/// Age of a gap at which a peer is asked for its complete state.
const GAP_TIMEOUT: Duration = Duration::from_secs(1);
/// How long the short rest between reads applies after the start.
const STARTUP_PHASE: Duration = Duration::from_secs(10);
/// Number of consecutive unanswered reads after which a peer is asked for its state.
///
/// Each read resumes at the last known revision, so no change is lost once the
/// service answers again.
const MAX_UNANSWERED_READS: u32 = 2;

/// A read of the changes after a revision, which waits until there are some.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChangesRead {
    /// The revision after which changes are wanted.
    pub after: StoreRevision,
    /// How long the service may wait for changes.
    pub wait: Duration,
    /// Time-out of the call.
    pub timeout: Duration,
}

/// How many of the changes that the service had an answer holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangesPage {
    /// There were none.
    Empty,
    /// All of them.
    Partial,
    /// As many as an answer can hold; there may be more.
    Full,
}

/// How a read ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The service answered.
    Answered {
        /// Revision up to which the answer is complete.
        upto: StoreRevision,
        /// How many changes it holds.
        page: ChangesPage,
    },
    /// The service did not answer in time, or the connection failed.
    Unanswered,
    /// The service refused the call without executing it.
    Refused,
    /// The service no longer has the changes since that revision, or its answer cannot be used.
    HistoryGone,
}

/// How the adapter goes on after a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterRead {
    /// Take the next step.
    Continue,
    /// Report that the service did not answer, then take the next step.
    ReportUnanswered {
        /// Whether a peer is to be asked for its state.
        asks_peer: bool,
    },
    /// End the watch and read the complete state.
    ReadState,
}

/// What the adapter does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Apply changes that a peer has relayed, then call [`Follower::on_applied`].
    ApplyNews(News),
    /// Apply the complete state of a peer, then call [`Follower::on_applied`].
    ApplyState {
        /// Revision up to which the state is complete.
        upto: StoreRevision,
        /// The bodies of its parts, in order.
        bodies: Vec<Arc<[u8]>>,
        /// When the first part arrived.
        first_part_at: Time,
        /// When the last part arrived.
        last_part_at: Time,
    },
    /// Report changes that the news of peers has skipped.
    ReportGap {
        /// The revision after which changes are missing.
        known_upto: StoreRevision,
        /// The revision after which the next news begins.
        next_from: StoreRevision,
        /// Whether the gap has lasted for a while.
        lasts: bool,
    },
    /// Read changes from the service and call [`Follower::on_read`].
    ///
    /// The read is abandoned as soon as [`Follower::is_read_wanted`] returns false.
    Read(ChangesRead),
    /// Do nothing until an update arrives or the time is due.
    Wait {
        /// The time, if any.
        until: Option<Time>,
    },
}

/// An update from a peer.
#[derive(Clone, Debug)]
enum Update {
    News(News),
    State { at: Time, part: StatePart },
}

/// What the follower is doing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Phase {
    /// Applying the updates of peers.
    #[default]
    Following,
    /// Reading the service.
    Reading,
    /// Pausing between two reads.
    Resting { until: Time },
}

/// When a read starts relative to the previous one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ReadStart {
    #[default]
    Immediate,
    AfterRest,
}

/// The missing changes between the last applied news and the next.
#[derive(Clone, Copy, Debug)]
struct Gap {
    since: Time,
    is_reported_as_lasting: bool,
}

/// The progress of a process that follows the news of its peers or reads by itself.
#[derive(Debug)]
pub struct Follower {
    timing: ReadTiming,
    /// The revision up to which all changes are applied.
    after: StoreRevision,
    queue: VecDeque<Update>,
    /// When a peer last sent or announced an update.
    last_update: Option<Time>,
    reads_for_peers: bool,
    phase: Phase,
    gap: Option<Gap>,
    /// News that isn't applied yet; without a gap, its first continues the applied revision.
    buffered: Vec<News>,
    parts: StateParts,
    /// The latest complete state of a peer that isn't applied yet.
    state: Option<PeerState>,
    unanswered: u32,
    read_start: ReadStart,
    /// Whether changes are known to be missing that the gap doesn't show.
    is_read_requested: bool,
    startup_until: Time,
}

impl Follower {
    /// Creates a follower for the notice period that leaving upstreams give.
    pub fn new(leaving_notice: Duration) -> Self {
        Self {
            timing: ReadTiming::from_notice(leaving_notice),
            after: StoreRevision(0),
            queue: VecDeque::new(),
            last_update: None,
            reads_for_peers: false,
            phase: Phase::Following,
            gap: None,
            buffered: Vec::new(),
            parts: StateParts::default(),
            state: None,
            unanswered: 0,
            read_start: ReadStart::Immediate,
            is_read_requested: false,
            startup_until: Time::START,
        }
    }

    /// Reads often enough for knowledge that is never older than `max_age` while the service answers.
    #[must_use]
    pub fn with_max_age(self, max_age: Duration) -> Self {
        Self { timing: self.timing.with_max_age(max_age), ..self }
    }

    /// Starts to follow after a revision; updates that are already queued stay.
    pub fn start(&mut self, now: Time, after: StoreRevision) {
        self.after = after;
        self.unanswered = 0;
        self.read_start = ReadStart::Immediate;
        self.startup_until = now.after(STARTUP_PHASE);
        self.gap = None;
        self.phase = Phase::Following;
    }

    /// Returns the revision up to which all changes are applied.
    pub const fn after(&self) -> StoreRevision {
        self.after
    }

    /// Returns the number of consecutive reads that the service did not answer.
    pub const fn unanswered(&self) -> u32 {
        self.unanswered
    }

    /// Queues changes that a peer has relayed.
    ///
    /// News from before the applied revision comes from a peer that is behind; it doesn't stand for
    /// those that keep this process up to date.
    pub fn push_news(&mut self, now: Time, news: News) {
        if news.upto >= self.after {
            self.last_update = Some(now);
        }
        self.push(Update::News(news));
    }

    /// Queues a part of a peer's complete state.
    pub fn push_state(&mut self, now: Time, part: StatePart) {
        self.last_update = Some(now);
        self.push(Update::State { at: now, part });
    }

    /// Restarts the silence timer because a peer has announced an update.
    pub const fn expect_update(&mut self, now: Time) {
        self.last_update = Some(now);
    }

    /// Makes the process read the service itself until a peer sends more.
    ///
    /// What peers have sent stays: where the service leaves the read unanswered, it is the only way to
    /// the changes.
    pub const fn read_missed(&mut self) {
        self.last_update = None;
        self.is_read_requested = true;
    }

    /// Sets whether this process reads the service for its peers.
    pub const fn set_reads_for_peers(&mut self, is_wanted: bool) {
        self.reads_for_peers = is_wanted;
    }

    /// Reports whether this process reads the service for its peers.
    pub const fn reads_for_peers(&self) -> bool {
        self.reads_for_peers
    }

    /// Returns what to do next.
    pub fn next_step(&mut self, now: Time) -> Step {
        loop {
            let step = match self.phase {
                Phase::Following => Some(self.follow_next(now)),
                Phase::Reading => Some(Step::Wait { until: None }),
                Phase::Resting { until } => self.rest_until(now, until),
            };
            if let Some(step) = step {
                return step;
            }
        }
    }

    /// Reports whether the running read is still wanted.
    ///
    /// An update that can be applied ends it. News beyond a gap doesn't: it keeps coming, and the read
    /// is what fills the gap.
    pub fn is_read_wanted(&mut self) -> bool {
        self.take_queued();
        self.phase == Phase::Reading && !self.has_applicable()
    }

    /// Abandons the running read.
    pub const fn abandon_read(&mut self) {
        self.phase = Phase::Following;
    }

    /// Records that all changes up to a revision are applied.
    pub fn on_applied(&mut self, upto: StoreRevision) {
        self.after = self.after.max(upto);
        self.gap = None;
    }

    /// Records the end of a read and returns how to go on.
    pub fn on_read(&mut self, now: Time, outcome: ReadOutcome) -> AfterRead {
        match outcome {
            ReadOutcome::Answered { upto, page } => {
                self.on_answer(now, upto, page);
                AfterRead::Continue
            }
            ReadOutcome::Unanswered | ReadOutcome::Refused => self.on_unanswered(now),
            ReadOutcome::HistoryGone => AfterRead::ReadState,
        }
    }

    fn on_answer(&mut self, now: Time, upto: StoreRevision, page: ChangesPage) {
        self.unanswered = 0;
        self.on_applied(upto);
        self.is_read_requested |= page == ChangesPage::Full;
        if page == ChangesPage::Partial && !self.hears_from_peers(now) {
            return self.rest(now);
        }
        self.read_start = ReadStart::Immediate;
        self.phase = Phase::Following;
    }

    fn on_unanswered(&mut self, now: Time) -> AfterRead {
        self.unanswered += 1;
        self.rest(now);
        AfterRead::ReportUnanswered { asks_peer: self.unanswered >= MAX_UNANSWERED_READS }
    }

    fn push(&mut self, update: Update) {
        if self.queue.len() >= MAX_QUEUED_UPDATES {
            self.queue.clear();
        }
        self.queue.push_back(update);
    }

    /// Returns the next step while peers send updates.
    fn follow_next(&mut self, now: Time) -> Step {
        self.take_queued();
        if let Some(news) = self.next_contiguous() {
            return Step::ApplyNews(news);
        }
        if let Some(state) = self.state.take().filter(|state| state.upto > self.after) {
            let PeerState { upto, bodies, first_part_at, last_part_at } = state;
            return Step::ApplyState { upto, bodies, first_part_at, last_part_at };
        }
        // Without any state, news can only be kept until a peer's state arrives.
        let knows_state = self.after != StoreRevision(0);
        match self.buffered.iter().map(|news| news.after).min().filter(|_| knows_state) {
            Some(next_from) => self.wait_at_gap(now, next_from),
            None if self.is_read_requested => self.read_missing(),
            None => self.wait_for_updates(now),
        }
    }

    /// Sorts the queued updates into those of each kind; what is already applied is dropped.
    fn take_queued(&mut self) {
        for update in std::mem::take(&mut self.queue) {
            match update {
                Update::News(news) => self.buffer(news),
                Update::State { at, part } => {
                    if let Some(state) = self.parts.add(at, part) {
                        self.keep_newer(state);
                    }
                }
            }
        }
    }

    fn keep_newer(&mut self, state: PeerState) {
        if self.state.as_ref().is_none_or(|kept| kept.upto < state.upto) {
            self.state = Some(state);
        }
    }

    fn buffer(&mut self, news: News) {
        if news.upto > self.after && self.buffered.len() < MAX_BUFFERED_NEWS {
            self.buffered.push(news);
        }
    }

    /// Reports whether an update can be applied now.
    fn has_applicable(&self) -> bool {
        let continues = |news: &News| news.after <= self.after && news.upto > self.after;
        self.buffered.iter().any(continues)
            || self.state.as_ref().is_some_and(|state| state.upto > self.after)
    }

    /// Waits for the news that fills a gap; reads the service if it doesn't come.
    fn wait_at_gap(&mut self, now: Time, next_from: StoreRevision) -> Step {
        if let Some(lasts) = self.lasting_gap(now) {
            return Step::ReportGap { known_upto: self.after, next_from, lasts };
        }
        let read_at = self.gap.map_or(now, |gap| gap.since.after(REORDERING_TIME));
        if read_at.is_due(now) || self.is_read_requested {
            return self.read_missing();
        }
        Step::Wait { until: Some(read_at) }
    }

    /// Records a gap; returns `false` when it opens and `true` once when it lasts.
    fn lasting_gap(&mut self, now: Time) -> Option<bool> {
        let Some(gap) = &mut self.gap else {
            self.gap = Some(Gap { since: now, is_reported_as_lasting: false });
            return Some(false);
        };
        let lasts = !gap.is_reported_as_lasting && gap.since.after(GAP_TIMEOUT).is_due(now);
        gap.is_reported_as_lasting |= lasts;
        lasts.then_some(true)
    }

    /// Removes and returns buffered news that continues the applied revision.
    fn next_contiguous(&mut self) -> Option<News> {
        let after = self.after;
        self.buffered.retain(|news| news.upto > after);
        let next = self.buffered.iter().position(|news| news.after <= after)?;
        Some(self.buffered.swap_remove(next))
    }

    fn wait_for_updates(&mut self, now: Time) -> Step {
        if self.hears_from_peers(now) {
            let until = self.last_update.map(|at| at.after(self.timing.silence));
            return Step::Wait { until };
        }
        self.read()
    }

    /// Reports whether peers keep this process up to date.
    fn hears_from_peers(&self, now: Time) -> bool {
        let silent_at = self.last_update.map(|at| at.after(self.timing.silence));
        !self.reads_for_peers && silent_at.is_some_and(|until| !until.is_due(now))
    }

    fn read(&mut self) -> Step {
        // Nothing is known yet; the core decides who reads the complete state.
        if self.after == StoreRevision(0) {
            return Step::Wait { until: None };
        }
        self.phase = Phase::Reading;
        self.is_read_requested = false;
        let cadence = self.cadence();
        let wait = match self.read_start {
            ReadStart::Immediate => cadence.wait,
            ReadStart::AfterRest => cadence.wait_after_rest,
        };
        Step::Read(ChangesRead { after: self.after, wait, timeout: wait + self.timing.slack })
    }

    /// Reads changes that are known to exist, which the service need not wait for.
    ///
    /// With the time-out of a read that waits, a host that the service leaves unanswered would know of
    /// that too late to ask a peer.
    fn read_missing(&mut self) -> Step {
        match self.read() {
            Step::Read(read) => {
                Step::Read(ChangesRead { wait: Duration::ZERO, timeout: self.timing.silence, ..read })
            }
            wait => wait,
        }
    }

    const fn cadence(&self) -> ReadCadence {
        if self.reads_for_peers { self.timing.for_peers } else { self.timing.alone }
    }

    fn rest(&mut self, now: Time) {
        let is_starting = !self.startup_until.is_due(now);
        let rest = self.cadence().rest;
        let rest = if is_starting { rest.min(self.timing.startup_rest) } else { rest };
        self.read_start = ReadStart::AfterRest;
        self.phase = Phase::Resting { until: now.after(rest) };
    }

    /// Waits for the end of a pause.
    ///
    /// An update that can be applied ends it, and so does a gap, unless the service leaves reads unanswered.
    fn rest_until(&mut self, now: Time, until: Time) -> Option<Step> {
        self.take_queued();
        let has_readable_gap = self.unanswered == 0 && !self.buffered.is_empty();
        if !self.has_applicable() && !has_readable_gap && !until.is_due(now) {
            return Some(Step::Wait { until: Some(until) });
        }
        self.phase = Phase::Following;
        None
    }
}
