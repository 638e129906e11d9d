//! Requests that were in progress when an upstream died, and the conviction of those that crash
//! upstreams.
//!
//! Open [`Suspects`] first.

use std::time::Duration;

use crate::collections::{OrderedMap, OrderedSet};
use crate::config::SuspectPolicy;
use crate::cx::Cx;
use crate::id::{Digest, HostId, Incarnation, RequestId, UpstreamId};
use crate::peer::PeerMessage;
use crate::serving::queue::Urgency;
use crate::serving::request::Company;
use crate::time::Time;

/// How long a request remains suspect after its last crash.
const SUSPECTED: Duration = Duration::from_hours(1);
/// How long a lost request is counted with an upstream that may have terminated.
const COUNTED: Duration = Duration::from_mins(2);
/// How long a request that crashes upstreams is refused.
const CONVICTED: Duration = Duration::from_hours(24);
/// Longest time that the peers' acknowledgements are awaited before the caller is answered.
const TELL_PATIENCE: Duration = Duration::from_millis(300);
/// Interval at which a notice is sent again to peers that haven't acknowledged it.
const TELL_AGAIN: Duration = Duration::from_millis(100);
/// Maximum number of digests that are kept.
const REMEMBERED: usize = 4096;
/// Number of different upstreams that convicts a suspect when they crash, in isolation or not.
///
/// A plain service's replica can't be reserved, so its suspects never provably run in
/// isolation. Without this limit, one call could crash all replicas in turn, forever.
const CRASHES_THAT_CONVICT: usize = 3;

/// One incarnation of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Life {
    upstream: UpstreamId,
    incarnation: Option<Incarnation>,
}

impl Life {
    /// Reports whether the host list shows that this incarnation has terminated.
    fn has_ended(&self, cx: &Cx<'_>) -> bool {
        let listed = cx.upstreams.get(&self.upstream);
        listed.is_none_or(|listed| self.incarnation.is_some_and(|own| own < listed.incarnation))
    }
}

/// The crashes that a request was involved in.
#[derive(Debug)]
struct Suspicion {
    crashed: OrderedSet<Life>,
    convicted: bool,
    until: Time,
}

/// A crash of which the peers have been notified and not all have acknowledged.
#[derive(Debug)]
struct Telling {
    upstream: UpstreamId,
    digests: Vec<Digest>,
    company: Company,
    missing: OrderedSet<HostId>,
    again_at: Time,
    until: Time,
    held: Vec<RequestId>,
}

impl Telling {
    fn message(&self) -> PeerMessage {
        PeerMessage::Suspects {
            upstream: self.upstream.clone(),
            incarnation: None,
            requests: self.digests.clone(),
            alone: self.company == Company::Alone,
        }
    }
}

/// The suspect that runs in isolation, or is the next to do so.
#[derive(Clone, Debug)]
pub(super) struct Alone {
    pub(super) request: RequestId,
    pub(super) upstream: UpstreamId,
    /// Since when the upstream has been held for it.
    pub(super) since: Time,
    /// When the upstream's owner was last asked for a reservation.
    pub(super) asked: Option<Time>,
}

/// Whether a request with this digest may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Standing {
    /// It isn't suspect.
    Free,
    /// It runs in isolation.
    Suspect,
    /// It isn't run any more.
    Convicted,
}

/// The suspects known to a process.
#[derive(Debug)]
pub(super) struct Suspects {
    policy: SuspectPolicy,
    known: OrderedMap<Digest, Suspicion>,
    tellings: Vec<Telling>,
    heard: OrderedMap<HostId, Time>,
    /// The suspect requests that wait for an upstream of their own.
    pub(super) waiting: OrderedSet<Urgency>,
    /// The one that is dispatched now.
    pub(super) alone: Option<Alone>,
}

impl Suspects {
    /// Creates the state of a process without suspects.
    pub(super) const fn new(policy: SuspectPolicy) -> Self {
        Self {
            policy,
            known: OrderedMap::new(),
            tellings: Vec::new(),
            heard: OrderedMap::new(),
            waiting: OrderedSet::new(),
            alone: None,
        }
    }

    /// Returns the status of a request's digest.
    pub(super) fn standing(&self, digest: Digest) -> Standing {
        match self.known.get(&digest) {
            None => Standing::Free,
            Some(suspicion) if suspicion.convicted => Standing::Convicted,
            Some(_) if self.policy == SuspectPolicy::CountEnds => Standing::Free,
            Some(_) => Standing::Suspect,
        }
    }

    /// Returns how many digests have a status.
    pub(super) fn count(&self, standing: Standing) -> usize {
        self.known.keys().filter(|digest| self.standing(**digest) == standing).count()
    }

    /// Returns the digests that are suspect, convicted or counted.
    pub(super) fn digests(&self) -> impl Iterator<Item = Digest> {
        self.known.keys().copied()
    }

    /// Records a crash and notifies the peers of it.
    ///
    /// If the caller were answered first, it could send the request again immediately, to a
    /// host that doesn't know of the crash and passes the request to the next upstream.
    pub(super) fn begin_telling(
        &mut self,
        cx: &mut Cx<'_>,
        upstream: &UpstreamId,
        digests: Vec<Digest>,
        company: Company,
        held: RequestId,
    ) {
        self.suspect(cx, upstream, &digests, company);
        let missing = self.reachable(cx);
        let telling = Telling {
            upstream: upstream.clone(),
            digests,
            company,
            missing,
            again_at: cx.now.after(TELL_AGAIN),
            until: cx.now.after(TELL_PATIENCE),
            held: vec![held],
        };
        cx.tell_all(&telling.message());
        self.tellings.push(telling);
    }

    /// Makes a request wait for a pending notice that names it; reports whether there is
    /// one.
    pub(super) fn join_telling(&mut self, upstream: &UpstreamId, digest: Digest, held: RequestId) -> bool {
        let telling =
            self.tellings.iter_mut().find(|t| t.upstream == *upstream && t.digests.contains(&digest));
        let Some(telling) = telling else { return false };
        telling.held.push(held);
        true
    }

    /// Records suspects that this process or a peer has found.
    pub(super) fn suspect(
        &mut self,
        cx: &mut Cx<'_>,
        upstream: &UpstreamId,
        digests: &[Digest],
        company: Company,
    ) {
        for digest in digests {
            self.make_room();
            let suspicion = self.known.entry(*digest).or_insert_with(|| Suspicion {
                crashed: OrderedSet::new(),
                convicted: false,
                until: Time::START,
            });
            suspicion.crashed.insert(Life { upstream: upstream.clone(), incarnation: None });
            let convicted = company == Company::Alone || suspicion.crashed.len() >= CRASHES_THAT_CONVICT;
            if convicted && !suspicion.convicted {
                cx.note("request_convicted", digest, format!("it crashed {upstream}"));
            } else if !convicted {
                cx.note("request_suspected", digest, format!("it was in progress when {upstream} died"));
            }
            suspicion.convicted |= convicted;
            let kept = if suspicion.convicted { CONVICTED } else { SUSPECTED };
            suspicion.until = cx.now.after(kept);
        }
    }

    /// Records requests that were lost with an incarnation of an upstream, at this process
    /// or a peer.
    ///
    /// Only incarnations that have terminated according to the host list count; a broken
    /// connection alone proves nothing about the request.
    pub(super) fn count_loss(
        &mut self,
        cx: &mut Cx<'_>,
        upstream: &UpstreamId,
        incarnation: Option<Incarnation>,
        digests: &[Digest],
    ) {
        for digest in digests {
            self.make_room();
            let suspicion = self.known.entry(*digest).or_insert_with(|| Suspicion {
                crashed: OrderedSet::new(),
                convicted: false,
                until: Time::START,
            });
            suspicion.crashed.insert(Life { upstream: upstream.clone(), incarnation });
            suspicion.until = cx.now.after(COUNTED);
        }
        self.on_host_list(cx);
    }

    /// Reports whether one more loss is enough to blame the request.
    ///
    /// The host list shows an upstream's termination only after a while. A request that is
    /// one crash short of conviction would be sent again in the meantime and crash one more
    /// upstream.
    pub(super) fn is_doubted(&self, cx: &Cx<'_>, digest: Digest) -> bool {
        if self.policy != SuspectPolicy::CountEnds {
            return false;
        }
        let lives = self.known.get(&digest).into_iter().flat_map(|suspicion| &suspicion.crashed);
        lives.filter(|life| life.has_ended(cx)).count() + 1 >= CRASHES_THAT_CONVICT
    }

    /// Convicts requests that were lost with too many terminated incarnations.
    pub(super) fn on_host_list(&mut self, cx: &mut Cx<'_>) {
        if self.policy != SuspectPolicy::CountEnds {
            return;
        }
        for (digest, suspicion) in &mut self.known {
            let ended = suspicion.crashed.iter().filter(|life| life.has_ended(cx)).count();
            if ended >= CRASHES_THAT_CONVICT && !suspicion.convicted {
                suspicion.convicted = true;
                suspicion.until = cx.now.after(CONVICTED);
                cx.note("request_convicted", digest, format!("{ended} upstreams ended while they ran it"));
            }
        }
    }

    /// Clears a suspect that ran to completion; reports whether it was one.
    pub(super) fn clear(&mut self, digest: Digest) -> bool {
        if self.policy == SuspectPolicy::CountEnds {
            self.known.remove(&digest);
            return false;
        }
        if self.standing(digest) != Standing::Suspect {
            return false;
        }
        self.known.remove(&digest);
        true
    }

    /// Records that a peer is alive.
    pub(super) fn heard_from(&mut self, now: Time, host: &HostId) {
        self.heard.insert(host.clone(), now);
    }

    /// Handles a peer's acknowledgement; returns the requests that may proceed.
    pub(super) fn on_noted(&mut self, from: &HostId, digests: &[Digest]) -> Vec<RequestId> {
        for telling in &mut self.tellings {
            if telling.digests.iter().all(|digest| digests.contains(digest)) {
                telling.missing.remove(from);
            }
        }
        self.take_told(Time::START)
    }

    /// Removes expired suspicions and peers that are no longer members.
    pub(super) fn forget_old(&mut self, cx: &Cx<'_>) {
        self.known.retain(|_, suspicion| !suspicion.until.is_due(cx.now));
        self.heard.retain(|host, _| cx.cache.member(host).is_some());
    }

    /// Sends pending notices again; returns the requests that may proceed.
    pub(super) fn on_tick(&mut self, cx: &mut Cx<'_>) -> Vec<RequestId> {
        for telling in &mut self.tellings {
            if !telling.again_at.is_due(cx.now) {
                continue;
            }
            telling.again_at = cx.now.after(TELL_AGAIN);
            let message = telling.message();
            for host in &telling.missing {
                cx.tell(host, message.clone());
            }
        }
        self.take_told(cx.now)
    }

    /// Returns the requests whose notice is acknowledged by all peers or has timed out.
    pub(super) fn take_told(&mut self, now: Time) -> Vec<RequestId> {
        let told = |t: &mut Telling| t.missing.is_empty() || t.until.is_due(now);
        self.tellings.extract_if(.., told).flat_map(|t| t.held).collect()
    }

    /// Returns the peers whose acknowledgement is awaited.
    fn reachable(&self, cx: &Cx<'_>) -> OrderedSet<HostId> {
        let silent = |host: &HostId| {
            let heard = self.heard.get(host);
            heard.is_some_and(|at| at.after(cx.cfg.timings.peer_timeout).is_due(cx.now))
        };
        let members = cx.cache.members().map(|(host, _)| host);
        members.filter(|host| **host != cx.cfg.host && !silent(host)).cloned().collect()
    }

    fn make_room(&mut self) {
        if self.known.len() < REMEMBERED {
            return;
        }
        let first = self.known.iter().min_by_key(|(_, s)| (s.convicted, s.until)).map(|(digest, _)| *digest);
        if let Some(first) = first {
            self.known.remove(&first);
        }
    }
}
