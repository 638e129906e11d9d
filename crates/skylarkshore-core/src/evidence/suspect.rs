//! What is known of one suspect: its losses, and when it may be tried again.

use std::time::Duration;

use crate::collections::OrderedMap;
use crate::cx::Cx;
use crate::id::UpstreamId;
use crate::time::Time;

use super::loss::{LOSS_TTL, UpstreamIncarnation, listing_time};
use super::loss_reports::Reporter;

/// After how many losses a suspect is held back.
pub(super) const HOLD_THRESHOLD: usize = 3;
/// The same for a part of prompts that was in whole answers before, which is probably sound.
const ANSWERED_HOLD_THRESHOLD: usize = 5;
/// Losses within this time of the first of them may have one cause, such as a link or a rack.
const SAME_CAUSE: Duration = Duration::from_millis(300);
/// How long a trial may take before there is another.
const TRIAL_TIME: Duration = Duration::from_secs(2);
/// Within what time after its begin a loss counts as the failure of a trial.
const TRIAL_FAILS_WITHIN: Duration = Duration::from_secs(10);
/// Pauses after the last loss before a trial of a request, by the number of trials that have failed.
const REQUEST_PAUSES: [Duration; 3] =
    [Duration::from_millis(500), Duration::from_mins(5), Duration::from_hours(1)];
/// The same for a part of prompts; more depends on it, and more requests are lost with it by chance.
const PART_PAUSES: [Duration; 5] = [
    Duration::from_millis(500),
    Duration::from_secs(1),
    Duration::from_secs(10),
    Duration::from_mins(5),
    Duration::from_hours(1),
];
/// The pause after all further trials.
const MAX_PAUSE: Duration = Duration::from_hours(24);
/// After what time without a loss a request with other suspects may serve as a trial.
const SINGLE_SUSPECT_TIME: Duration = Duration::from_secs(10);
/// Shortest pause for a request whose upstreams have terminated, and nothing else was lost with all of them.
const UNEXPLAINED_PAUSE: Duration = Duration::from_mins(1);

/// What is known of the request that may serve as a trial of a suspect.
#[derive(Clone, Copy, Debug)]
pub(super) struct TrialQuery {
    pub(super) kind: SuspectKind,
    /// Whether no other suspect of the request has losses; otherwise its loss wouldn't tell them apart.
    pub(super) is_single: bool,
    /// Whether other suspects that are held back were lost with the same incarnations.
    pub(super) is_explained: bool,
}

/// What a suspect is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SuspectKind {
    /// A whole request.
    Request,
    /// A part of prompts.
    PromptPart,
    /// A part of prompts that was in whole answers before its losses.
    AnsweredPart,
}

impl SuspectKind {
    const fn hold_threshold(self) -> usize {
        match self {
            Self::Request | Self::PromptPart => HOLD_THRESHOLD,
            Self::AnsweredPart => ANSWERED_HOLD_THRESHOLD,
        }
    }
}

/// A loss with one incarnation.
#[derive(Clone, Copy, Debug)]
struct Noticed {
    at: Time,
    reporter: Reporter,
    /// Whether a whole answer has been received since.
    is_answered: bool,
    /// Whether the link was lost over which it was noticed, so that only a termination on the host list counts.
    is_doubted: bool,
}

/// The losses of one suspect.
#[derive(Debug, Default)]
pub(super) struct Suspect {
    losses: OrderedMap<UpstreamIncarnation, Noticed>,
    /// When a request with it was last tried while it was held back.
    tried: Option<Time>,
    failed_trials: usize,
    /// Whether the log says that it is held back.
    pub(super) is_logged: bool,
}

impl Suspect {
    /// Records a loss; reports whether it is new.
    pub(super) fn record_loss(&mut self, now: Time, with: &UpstreamIncarnation, reporter: Reporter) -> bool {
        if self.losses.get(with).is_some_and(|known| !known.is_doubted) {
            return false;
        }
        let noticed = Noticed { at: now, reporter, is_answered: false, is_doubted: false };
        self.losses.insert(with.clone(), noticed);
        if self.tried.take().is_some_and(|tried| !tried.after(TRIAL_FAILS_WITHIN).is_due(now)) {
            self.failed_trials += 1;
        }
        true
    }

    pub(super) const fn record_trial(&mut self, now: Time) {
        self.tried = Some(now);
    }

    pub(super) const fn forget_trial(&mut self) {
        self.tried = None;
    }

    /// Doubts the losses that this process has noticed with some upstreams, and the trials among them; returns
    /// how many.
    pub(super) fn doubt_own_losses(&mut self, is_explained: impl Fn(&UpstreamId) -> bool) -> usize {
        let own = self.losses.iter_mut().filter(|(with, loss)| {
            let is_open = !loss.is_answered && !loss.is_doubted;
            is_open && loss.reporter == Reporter::Own && is_explained(&with.upstream)
        });
        let doubted = own.map(|(_, loss)| loss.is_doubted = true).count();
        if doubted > 0 {
            self.tried = None;
        }
        doubted
    }

    /// Drops the loss with an incarnation that didn't terminate.
    pub(super) fn remove_loss(&mut self, with: &UpstreamIncarnation) {
        self.losses.remove(with);
    }

    /// Clears it after a whole answer.
    ///
    /// The losses are still known, so that repeated reports of them don't count again.
    pub(super) fn clear(&mut self) {
        self.losses.values_mut().for_each(|loss| loss.is_answered = true);
        self.tried = None;
        self.failed_trials = 0;
        self.is_logged = false;
    }

    pub(super) fn has_losses(&self) -> bool {
        self.open().any(|(_, loss)| !loss.is_doubted)
    }

    /// Reports whether this process has noticed any of its losses.
    pub(super) fn has_own_losses(&self) -> bool {
        self.open().any(|(_, loss)| loss.reporter == Reporter::Own)
    }

    pub(super) const fn has_failed_trials(&self) -> bool {
        self.failed_trials > 0
    }

    /// Returns how many of its incarnations have terminated according to the host list.
    pub(super) fn terminated(&self, cx: &Cx<'_>) -> usize {
        self.open().filter(|(with, _)| with.has_terminated(cx)).count()
    }

    /// Returns how many of its incarnations have terminated or may have, as the host list can't show it yet.
    pub(super) fn count(&self, cx: &Cx<'_>) -> usize {
        self.counted(cx).count()
    }

    /// Reports whether requests with it have to wait for a trial.
    pub(super) fn is_held_back(&self, cx: &Cx<'_>, kind: SuspectKind) -> bool {
        let losses = match kind {
            SuspectKind::Request | SuspectKind::PromptPart => self.count(cx),
            SuspectKind::AnsweredPart => self.separate_losses(cx),
        };
        losses >= kind.hold_threshold()
    }

    /// Reports whether one more termination would hold it back.
    pub(super) fn is_one_loss_from_hold(&self, cx: &Cx<'_>, kind: SuspectKind) -> bool {
        self.terminated(cx) + 1 >= kind.hold_threshold()
    }

    /// Returns when a request with it may be tried, if it is held back.
    ///
    /// A process that has started later knows of no trials, but of the losses in them.
    pub(super) fn trial_due(&self, cx: &Cx<'_>, query: TrialQuery) -> Time {
        let after_trial = self.tried.map_or(Time::START, |tried| tried.after(TRIAL_TIME));
        self.last_loss().after(self.pause(cx, query)).max(after_trial)
    }

    fn pause(&self, cx: &Cx<'_>, query: TrialQuery) -> Duration {
        let further = self.count(cx).saturating_sub(HOLD_THRESHOLD);
        let (pauses, failed) = match query.kind {
            SuspectKind::Request => (&REQUEST_PAUSES[..], further),
            SuspectKind::PromptPart => (&PART_PAUSES[..], further),
            SuspectKind::AnsweredPart => (&PART_PAUSES[..], self.failed_trials),
        };
        let pause = pauses.get(failed).copied().unwrap_or(MAX_PAUSE);
        let is_proved = self.terminated(cx) >= HOLD_THRESHOLD;
        if query.kind == SuspectKind::Request && is_proved && !query.is_explained {
            return pause.max(UNEXPLAINED_PAUSE);
        }
        if query.is_single { pause } else { pause.max(SINGLE_SUSPECT_TIME) }
    }

    /// Reports whether each of its losses is one of the others, too.
    pub(super) fn is_covered_by(&self, others: &[&Self]) -> bool {
        self.open().all(|(with, _)| others.iter().any(|other| other.losses.contains_key(with)))
    }

    /// Returns until when it has to be remembered.
    pub(super) fn expires(&self, cx: &Cx<'_>) -> Time {
        let after_loss = self.last_loss().after(LOSS_TTL);
        let is_proved = self.terminated(cx) >= HOLD_THRESHOLD;
        if is_proved { after_loss.max(self.last_loss().after(MAX_PAUSE)) } else { after_loss }
    }

    fn last_loss(&self) -> Time {
        self.losses.values().map(|loss| loss.at).max().unwrap_or(Time::START)
    }

    fn open(&self) -> impl Iterator<Item = (&UpstreamIncarnation, &Noticed)> {
        self.losses.iter().filter(|(_, loss)| !loss.is_answered)
    }

    fn counted<'a>(&'a self, cx: &'a Cx<'_>) -> impl Iterator<Item = (&'a UpstreamIncarnation, &'a Noticed)> {
        let listed_after = listing_time(cx);
        self.open().filter(move |(with, loss)| {
            let may_have_terminated = !loss.is_doubted && !loss.at.after(listed_after).is_due(cx.now);
            with.has_terminated(cx) || may_have_terminated
        })
    }

    /// Returns how many of its losses have separate causes.
    fn separate_losses(&self, cx: &Cx<'_>) -> usize {
        let mut times: Vec<Time> = self.counted(cx).map(|(_, loss)| loss.at).collect();
        times.sort_unstable();
        let mut groups = 0;
        let mut group_end = Time::START;
        for at in times {
            if groups == 0 || at > group_end {
                groups += 1;
                group_end = at.after(SAME_CAUSE);
            }
        }
        groups
    }
}
