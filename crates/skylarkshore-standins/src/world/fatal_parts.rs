//! Prompt parts that crash the replicas that begin an answer on them, and what that costs other requests.
//!
//! Start with [`PartLedger`].

use skylarkshore_core::collections::OrderedMap;
use skylarkshore_core::id::Digest;
use skylarkshore_core::time::Time;

use super::callers::{Callers, RequestLog};
use super::crashes::CONTACT_TIME;
use super::violation::Violation;

/// How many replicas a part may crash before its requests are limited.
const CRASHES: usize = 5;
/// How many requests with it may reach replicas later than [`CONTACT_TIME`] after that.
const LATE_ARRIVALS: usize = 3;
/// How many sound requests are compared, at least.
const MIN_SOUND_REQUESTS: usize = 20;

/// When a replica crashes under a request with a fatal part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashPoint {
    /// Before the head of the answer.
    BeforeHead,
    /// After the first event, within the second.
    WithinEvent,
    /// After the first event; without a length or chunks, the answer looks complete.
    BetweenEvents,
}

/// What the requests with a part have done.
#[derive(Debug, Default)]
struct History {
    crashes: Vec<Time>,
    /// When such requests reached replicas from hosts in touch.
    arrivals: Vec<Time>,
}

impl History {
    /// Returns when the part must be known, if it has crashed that many replicas.
    fn limited_from(&self) -> Option<Time> {
        self.crashes.get(CRASHES - 1).map(|fifth| fifth.after(CONTACT_TIME))
    }

    fn too_many_arrivals(&self) -> Option<Violation> {
        let begin = self.limited_from()?;
        let late: Vec<Time> = self.arrivals.iter().copied().filter(|at| *at > begin).collect();
        let what = format!(
            "requests with a part that had crashed {CRASHES} replicas reached replicas {} times more; it crashed {}",
            late.len(),
            self.crashes.len()
        );
        (late.len() > LATE_ARRIVALS).then(|| Violation::new(late[LATE_ARRIVALS], what))
    }

    /// Returns the crash from which on sound requests must be served again.
    fn decisive_crash(&self) -> Option<Time> {
        self.crashes.get(CRASHES - 1).or(self.crashes.last()).copied()
    }
}

/// How many of the sound requests of a period began at the first attempt.
#[derive(Clone, Copy, Debug, Default)]
struct Begun {
    begun: usize,
    all: usize,
}

impl Begun {
    fn count<'a>(requests: impl Iterator<Item = &'a RequestLog>) -> Self {
        requests.fold(Self::default(), |sum, log| Self {
            begun: sum.begun + usize::from(log.started.is_some()),
            all: sum.all + 1,
        })
    }

    /// Reports whether requests began less than half as often as in `usual`.
    const fn is_under_half_of(self, usual: Self) -> bool {
        let enough = self.all >= MIN_SOUND_REQUESTS && usual.all >= MIN_SOUND_REQUESTS;
        enough && 2 * self.begun * usual.all < usual.begun * self.all
    }
}

/// The parts that crash replicas, and all arrivals of requests with them.
#[derive(Debug, Default)]
pub(crate) struct PartLedger {
    fatal: OrderedMap<Digest, CrashPoint>,
    histories: OrderedMap<Digest, History>,
}

impl PartLedger {
    pub(crate) fn set_fatal(&mut self, part: Digest, at: CrashPoint) {
        self.fatal.insert(part, at);
    }

    /// Returns the first of the parts that is fatal, and when replicas crash under it.
    pub(crate) fn fatal_of(&self, parts: &[Digest]) -> Option<(Digest, CrashPoint)> {
        parts.iter().find_map(|part| self.fatal.get(part).map(|at| (*part, *at)))
    }

    /// Records that a request reaches a replica from a host in touch.
    pub(crate) fn record_arrival(&mut self, now: Time, parts: &[Digest]) {
        for part in parts.iter().filter(|part| self.fatal.contains_key(part)) {
            self.histories.entry(*part).or_default().arrivals.push(now);
        }
    }

    pub(crate) fn record_crash(&mut self, now: Time, part: Digest) {
        self.histories.entry(part).or_default().crashes.push(now);
    }

    /// Returns how many replicas a part has crashed.
    pub(crate) fn crashes(&self, part: Digest) -> usize {
        self.histories.get(&part).map_or(0, |history| history.crashes.len())
    }

    pub(crate) fn violations(&self, callers: &Callers) -> Vec<Violation> {
        let late = self.histories.values().filter_map(History::too_many_arrivals);
        let lost = self.histories.iter().filter_map(|(part, history)| self.lost(callers, *part, history));
        late.chain(lost).collect()
    }

    /// Compares how often sound requests with the same first part and target begin, before the first crash
    /// and once the part must be known, while requests with it still come.
    fn lost(&self, callers: &Callers, part: Digest, history: &History) -> Option<Violation> {
        let first_crash = *history.crashes.first()?;
        let begin = history.decisive_crash()?.after(CONTACT_TIME * 2);
        let with_part = || callers.requests.values().filter(move |log| log.ask.parts.contains(&part));
        let end = with_part().map(|log| log.arrived).max()?;
        let has_company = |log: &RequestLog| {
            with_part().any(|other| {
                other.ask.parts.first() == log.ask.parts.first() && other.ask.target == log.ask.target
            })
        };
        let sound: Vec<&RequestLog> = callers
            .requests
            .values()
            .filter(|log| log.is_in_touch && !log.ask.is_repeat && self.is_sound(log) && has_company(log))
            .collect();
        let within = |from: Time, to: Time| {
            Begun::count(sound.iter().copied().filter(|log| log.arrived >= from && log.arrived < to))
        };
        let usual = within(Time::START, first_crash);
        let later = within(begin, end);
        let what = format!(
            "sound requests with the first part of a fatal one begin: {} of {}, {} of {} before it",
            later.begun, later.all, usual.begun, usual.all
        );
        later.is_under_half_of(usual).then(|| Violation::new(begin, what))
    }

    fn is_sound(&self, log: &RequestLog) -> bool {
        !log.ask.crashes && !log.ask.silences && self.fatal_of(&log.ask.parts).is_none()
    }
}
