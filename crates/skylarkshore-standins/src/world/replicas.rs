//! Replicas of services that crash or fall silent, and how the host list shows it.

use std::time::Duration;

use skylarkshore_core::event::{AttemptOutcome, Event};
use skylarkshore_core::id::{Digest, Incarnation, UpstreamId};
use skylarkshore_core::upstream::Upstream;

use super::World;
use super::callers::{Framing, RequestKey};
use super::engine::Run;
use super::execute::lost_outcome;
use super::fatal_parts::CrashPoint;
use super::schedule::{RunId, SentRequest, Task};
use super::service::ServiceReplica;

/// How long a replica that has ended is down.
const DOWNTIME: Duration = Duration::from_secs(5);
/// Time from the first event of an answer on a fatal part to the crash.
const FATAL_EVENT: Duration = Duration::from_millis(50);

impl World {
    /// Crashes a replica of a service; it starts again later.
    pub fn crash_replica(&mut self, id: &UpstreamId) {
        let Some(replica) = self.services.get_mut(id).filter(|replica| replica.up) else { return };
        let incarnation = replica.incarnation;
        let lost = replica.crash();
        for run in lost {
            let outcome = self.crash_outcome(&run);
            self.end_run(&run, outcome);
        }
        self.schedule.add(self.now.after(DOWNTIME), Task::ReplicaUp { replica: id.clone() });
        if let Some(lag) = self.termination_listed_after {
            self.schedule.add(self.now.after(lag), Task::Delist { replica: id.clone(), incarnation });
        }
    }

    pub(crate) fn restart_replica(&mut self, id: &UpstreamId) {
        let Some(replica) = self.services.get_mut(id).filter(|replica| !replica.up) else { return };
        replica.restart();
        let (incarnation, software) = (replica.incarnation, replica.software.clone());
        if self.termination_listed_after.is_none() {
            return;
        }
        self.host_list.retain(|listed| listed.id != *id);
        let listed = self.setup.upstreams.iter().find(|listed| listed.id == *id).cloned();
        self.host_list.extend(listed.map(|listed| Upstream { incarnation, software, ..listed }));
    }

    /// Removes an incarnation of a replica from the host list, unless a later one is listed.
    pub(crate) fn delist(&mut self, id: &UpstreamId, incarnation: Incarnation) {
        self.host_list.retain(|listed| listed.id != *id || listed.incarnation != incarnation);
    }

    pub(crate) fn is_silent(&self, id: &UpstreamId) -> bool {
        self.services.get(id).is_some_and(|replica| replica.is_silent)
    }

    pub(crate) fn silence(&mut self, id: &UpstreamId) {
        if let Some(replica) = self.services.get_mut(id) {
            replica.is_silent = true;
        }
    }

    /// Ends the silent replicas whose request that silences is one of those that are cancelled.
    pub(crate) fn end_silent_replicas(&mut self, is_cancelled: impl Fn(&SentRequest) -> bool) {
        let mut ended = Vec::new();
        for replica in self.services.values().filter(|replica| replica.is_silent) {
            let cancelled = self.silencing_runs(replica).find(|sent| is_cancelled(sent));
            ended.extend(cancelled.map(|sent| (replica.id.clone(), self.digest_of(sent))));
        }
        for (id, digest) in ended {
            if let Some(digest) = digest {
                self.crashes.record_crash(self.now, digest);
            }
            self.crash_replica(&id);
        }
    }

    fn silencing_runs<'a>(&'a self, replica: &'a ServiceReplica) -> impl Iterator<Item = &'a SentRequest> {
        let sent = replica.runs.values().map(|run| &run.sent);
        sent.filter(|sent| {
            let log = self.callers.requests.get(&RequestKey::of(sent));
            log.is_some_and(|log| log.ask.silences)
        })
    }

    fn digest_of(&self, sent: &SentRequest) -> Option<Digest> {
        self.callers.requests.get(&RequestKey::of(sent)).map(|log| log.ask.digest)
    }

    /// Records that a request that ends upstreams reaches one, if its host is in touch.
    pub(crate) fn record_crashing_arrival(&mut self, sent: &SentRequest, request: &RequestKey) {
        let Some(log) = self.callers.requests.get(request) else { return };
        if !self.hosts[sent.from.host].is_in_touch(self.now) {
            return;
        }
        if log.ask.crashes || log.ask.silences {
            self.crashes.record_arrival(self.now, log.ask.digest);
        }
        self.parts.record_arrival(self.now, &log.ask.parts);
    }

    /// Begins an answer on a fatal part; the replica crashes now or within the answer.
    pub(crate) fn begin_fatal_answer(
        &mut self,
        upstream: &UpstreamId,
        run: RunId,
        part: Digest,
        at: CrashPoint,
    ) {
        if at == CrashPoint::BeforeHead {
            return self.crash_under_part(upstream, part);
        }
        let replica = self.services.get_mut(upstream);
        let Some(begun) = replica.and_then(|replica| replica.runs.get_mut(&run)) else { return };
        begun.started = true;
        let sent = begun.sent.clone();
        self.callers.record_answer_start(&RequestKey::of(&sent), self.now);
        self.send_event(sent.from, Event::AnswerStarted { attempt: sent.attempt });
        let task = Task::FatalEvent { upstream: upstream.clone(), run, part };
        self.schedule.add(self.now.after(FATAL_EVENT), task);
    }

    /// Crashes a replica within an answer on a fatal part, if the answer hasn't been cancelled.
    pub(crate) fn end_fatal_answer(&mut self, upstream: &UpstreamId, run: RunId, part: Digest) {
        if self.services.get(upstream).is_some_and(|replica| replica.runs.contains_key(&run)) {
            self.crash_under_part(upstream, part);
        }
    }

    fn crash_under_part(&mut self, upstream: &UpstreamId, part: Digest) {
        self.parts.record_crash(self.now, part);
        self.crash_and_restart(upstream);
    }

    /// Returns how a run ends whose upstream crashes.
    ///
    /// An answer that has neither a length nor chunks looks complete between two events.
    pub(crate) fn crash_outcome(&self, run: &Run) -> AttemptOutcome {
        let ask = self.callers.requests.get(&RequestKey::of(&run.sent)).map(|log| &log.ask);
        let is_unframed = ask.is_some_and(|ask| ask.framing == Framing::Unframed);
        let point = ask.and_then(|ask| self.parts.fatal_of(&ask.parts)).map(|(_, at)| at);
        if run.started && is_unframed && point != Some(CrashPoint::WithinEvent) {
            return AttemptOutcome::CompletedUnframed;
        }
        lost_outcome(run, true)
    }
}
