//! The host that counts for all hosts what an upstream takes: the first by hashing that answers.

use std::time::Duration;

use crate::collections::OrderedMap;
use crate::control::hashing::ranking_by_capacity;
use crate::cx::Cx;
use crate::id::{HostId, UpstreamId};
use crate::time::Time;

/// How long a host that doesn't answer is passed over.
const SILENCE_TTL: Duration = Duration::from_secs(3);

/// What hosts count, and how soon they answer.
#[derive(Debug)]
pub(super) struct Purpose {
    /// Distinguishes the hosts that count different things for an upstream.
    pub(super) name: &'static str,
    /// How long the counting host may leave messages unanswered until the next one is asked.
    pub(super) answer_timeout: Duration,
}

/// The hosts that left messages unanswered.
#[derive(Debug, Default)]
pub(super) struct CountingHosts {
    /// Until when each is passed over.
    silent: OrderedMap<HostId, Time>,
}

/// What is known of the counting host's answers on one upstream.
#[derive(Debug, Default)]
pub(super) struct Answers {
    /// When the first message was sent that has had no answer since.
    unanswered_since: Option<Time>,
}

impl Answers {
    /// Records that a message was sent that needs an answer.
    pub(super) fn expect(&mut self, now: Time) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Records an answer.
    pub(super) const fn record(&mut self) {
        self.unanswered_since = None;
    }

    /// Reports whether an answer has been missing for a time.
    pub(super) fn is_missing_for(&self, now: Time, time: Duration) -> bool {
        self.unanswered_since.is_some_and(|since| since.after(time).is_due(now))
    }
}

impl CountingHosts {
    /// Returns the host that counts for an upstream, and passes over one that doesn't answer in time.
    ///
    /// `appointed` goes before the others as long as it is a member that stays.
    pub(super) fn choose(
        &mut self,
        cx: &Cx<'_>,
        purpose: &Purpose,
        upstream: &UpstreamId,
        appointed: Option<&HostId>,
        answers: &mut Answers,
    ) -> Option<HostId> {
        self.silent.retain(|_, until| !until.is_due(cx.now));
        let staying = cx.cache.members().filter(|(_, member)| !member.leaving);
        let mut ranked = ranking_by_capacity(&format!("{}/{upstream}", purpose.name), staying);
        ranked.sort_by_key(|host| Some(*host) != appointed);
        ranked.retain(|host| !self.silent.contains_key(*host));
        if answers.is_missing_for(cx.now, purpose.answer_timeout) && ranked.len() > 1 {
            self.silent.insert(ranked.remove(0).clone(), cx.now.after(SILENCE_TTL));
            answers.record();
        }
        ranked.first().map(|host| (*host).clone())
    }
}
