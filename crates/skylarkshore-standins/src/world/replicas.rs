//! Replicas of services that crash or fall silent, and how the host list shows it.

use std::time::Duration;

use skylarkshore_core::id::{Digest, Incarnation, UpstreamId};
use skylarkshore_core::upstream::Upstream;

use super::World;
use super::callers::RequestKey;
use super::execute::lost_outcome;
use super::schedule::{SentRequest, Task};
use super::service::ServiceReplica;

/// How long a replica that has ended is down.
const DOWNTIME: Duration = Duration::from_secs(5);

impl World {
    /// Crashes a replica of a service; it starts again later.
    pub fn crash_replica(&mut self, id: &UpstreamId) {
        let Some(replica) = self.services.get_mut(id).filter(|replica| replica.up) else { return };
        let incarnation = replica.incarnation;
        let lost = replica.crash();
        for run in lost {
            self.end_run(&run, lost_outcome(&run, true));
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
        let harms = log.ask.crashes || log.ask.silences;
        if harms && self.hosts[sent.from.host].is_in_touch(self.now) {
            self.crashes.record_arrival(self.now, log.ask.digest);
        }
    }
}
