//! Prompt parts that were in whole answers of this process lately.
//!
//! Such a part is probably sound, as a fatal one has no whole answers. It may have become fatal
//! since, for instance with new software of the upstreams.

use std::time::Duration;

use crate::collections::HashMap;
use crate::id::Digest;
use crate::time::Time;

/// How long an answer speaks for a part.
const ANSWER_TTL: Duration = Duration::from_mins(2);
/// Maximum number of parts that are kept.
const MAX_PARTS: usize = 4096;

/// When each part was last in a whole answer.
#[derive(Debug, Default)]
pub(super) struct AnsweredParts {
    answers: HashMap<Digest, Time>,
}

impl AnsweredParts {
    pub(super) fn record(&mut self, now: Time, parts: &[Digest]) {
        for part in parts {
            if self.answers.len() < MAX_PARTS || self.answers.contains_key(part) {
                self.answers.insert(*part, now);
            }
        }
    }

    pub(super) fn contains(&self, now: Time, part: Digest) -> bool {
        self.answers.get(&part).is_some_and(|at| !at.after(ANSWER_TTL).is_due(now))
    }

    pub(super) fn remove_expired(&mut self, now: Time) {
        self.answers.retain(|_, at| !at.after(ANSWER_TTL).is_due(now));
    }
}
