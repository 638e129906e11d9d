//! Requests that were in progress when an upstream died.

use std::time::Duration;

use crate::collections::{OrderedMap, OrderedSet};
use crate::config::SuspectPolicy;
use crate::cx::Cx;
use crate::id::{Digest, HostId, Incarnation, RequestId, UpstreamId};
use crate::peer::PeerMessage;
use crate::serving::queue::Urgency;
use crate::serving::request::Company;
use crate::time::Time;

/// How long a suspect stays one when nothing is heard of it.
const SUSPECTED: Duration = Duration::from_hours(1);
/// How long a lost request is counted with the upstream that ended.
const COUNTED: Duration = Duration::from_mins(2);
/// How long a request that crashes upstreams is refused.
const CONVICTED: Duration = Duration::from_hours(24);
/// How long the peers' word is awaited before the caller hears anything.
const TELL_PATIENCE: Duration = Duration::from_millis(300);
/// After how long peers that haven't answered are told again.
const TELL_AGAIN: Duration = Duration::from_millis(100);
/// The most suspects that are remembered.
const REMEMBERED: usize = 4096;
/// On how many different upstreams a suspect dies, in company or not, to be convicted.
///
/// A plain service's replica can't be reserved, so that its suspects never
/// provably run alone; without this, one call could take them down in turn for ever.
const CRASHES_THAT_CONVICT: usize = 3;

/// One life of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Life {
    upstream: UpstreamId,
    incarnation: Option<Incarnation>,
}

impl Life {
    /// Tells whether the host list shows that this life has ended.
    fn has_ended(&self, cx: &Cx<'_>) -> bool {
        let listed = cx.upstreams.get(&self.upstream);
        listed.is_none_or(|listed| self.incarnation.is_some_and(|own| own < listed.incarnation))
    }
}

/// What is known of a request that was in progress when an upstream died.
#[derive(Debug)]
struct Suspicion {
    crashed: OrderedSet<Life>,
    convicted: bool,
    until: Time,
}

/// A crash of which the peers are being told.
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

/// The suspect that runs alone, or is the next to do so.
#[derive(Clone, Debug)]
pub(super) struct Alone {
    /// The request.
    pub(super) request: RequestId,
    /// Where.
    pub(super) upstream: UpstreamId,
    /// Since when the upstream is kept free for it.
    pub(super) since: Time,
    /// When the upstream's owner was last asked to reserve it.
    pub(super) asked: Option<Time>,
}

/// How a request's digest stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Standing {
    /// Nothing is held against it.
    Free,
    /// It runs alone.
    Suspect,
    /// It isn't run any more.
    Convicted,
}

/// The suspects that a process knows of.
#[derive(Debug)]
pub(super) struct Suspects {
    policy: SuspectPolicy,
    known: OrderedMap<Digest, Suspicion>,
    tellings: Vec<Telling>,
    heard: OrderedMap<HostId, Time>,
    /// The suspect requests that wait for an upstream of their own.
    pub(super) waiting: OrderedSet<Urgency>,
    /// The one whose turn it is.
    pub(super) alone: Option<Alone>,
}

impl Suspects {
    /// Makes the state of a process that suspects nothing.
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

    /// Tells how a request's digest stands.
    pub(super) fn standing(&self, digest: Digest) -> Standing {
        match self.known.get(&digest) {
            None => Standing::Free,
            Some(suspicion) if suspicion.convicted => Standing::Convicted,
            Some(_) if self.policy == SuspectPolicy::CountEnds => Standing::Free,
            Some(_) => Standing::Suspect,
        }
    }

    /// Returns how many digests are suspect, and how many of them convicted.
    pub(super) fn count(&self, standing: Standing) -> usize {
        self.known.keys().filter(|digest| self.standing(**digest) == standing).count()
    }

    /// Returns the digests that something is held against.
    pub(super) fn digests(&self) -> impl Iterator<Item = Digest> {
        self.known.keys().copied()
    }

    /// Takes note of a crash and begins to tell the peers of it.
    ///
    /// Were the caller answered first, it could send the request again at once,
    /// to a host that knows nothing and gives it to the next upstream.
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
        cx.broadcast(&telling.message());
        self.tellings.push(telling);
    }

    /// Lets a request wait for a telling in progress that names it; tells whether there is one.
    pub(super) fn join_telling(&mut self, upstream: &UpstreamId, digest: Digest, held: RequestId) -> bool {
        let telling =
            self.tellings.iter_mut().find(|t| t.upstream == *upstream && t.digests.contains(&digest));
        let Some(telling) = telling else { return false };
        telling.held.push(held);
        true
    }

    /// Takes note of suspects, from this process or a peer.
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
                cx.log_event("request_convicted", digest, format!("it crashed {upstream}"));
            } else if !convicted {
                cx.log_event("request_suspected", digest, format!("it was in progress when {upstream} died"));
            }
            suspicion.convicted |= convicted;
            let kept = if suspicion.convicted { CONVICTED } else { SUSPECTED };
            suspicion.until = cx.now.after(kept);
        }
    }

    /// Counts requests that were lost with a life of an upstream, from this process or a peer.
    ///
    /// Only lives that have ended count, as the host list shows; a connection
    /// that broke says nothing of the request.
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

    /// Tells whether one more loss of a request is taken for its doing.
    ///
    /// The host list tells of an upstream's end only after a while. A request
    /// that has ended all but one of the upstreams it takes to convict it would
    /// be sent again in the meantime, and end one more.
    pub(super) fn is_doubted(&self, cx: &Cx<'_>, digest: Digest) -> bool {
        if self.policy != SuspectPolicy::CountEnds {
            return false;
        }
        let lives = self.known.get(&digest).into_iter().flat_map(|suspicion| &suspicion.crashed);
        lives.filter(|life| life.has_ended(cx)).count() + 1 >= CRASHES_THAT_CONVICT
    }

    /// Looks which requests have been lost with too many lives that ended.
    pub(super) fn on_host_list(&mut self, cx: &mut Cx<'_>) {
        if self.policy != SuspectPolicy::CountEnds {
            return;
        }
        for (digest, suspicion) in &mut self.known {
            let ended = suspicion.crashed.iter().filter(|life| life.has_ended(cx)).count();
            if ended >= CRASHES_THAT_CONVICT && !suspicion.convicted {
                suspicion.convicted = true;
                suspicion.until = cx.now.after(CONVICTED);
                cx.log_event(
                    "request_convicted",
                    digest,
                    format!("{ended} upstreams ended while they ran it"),
                );
            }
        }
    }

    /// Takes note that a suspect ran to its end; tells whether it was one.
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

    /// Takes note that a peer lives.
    pub(super) fn heard_from(&mut self, now: Time, host: &HostId) {
        self.heard.insert(host.clone(), now);
    }

    /// Takes a peer's word that it knows of suspects; returns the requests that may go on.
    pub(super) fn on_noted(&mut self, from: &HostId, digests: &[Digest]) -> Vec<RequestId> {
        for telling in &mut self.tellings {
            if telling.digests.iter().all(|digest| digests.contains(digest)) {
                telling.missing.remove(from);
            }
        }
        self.take_told(Time::START)
    }

    /// Forgets old suspicions and peers that are gone.
    pub(super) fn forget_old(&mut self, cx: &Cx<'_>) {
        self.known.retain(|_, suspicion| !suspicion.until.is_due(cx.now));
        self.heard.retain(|host, _| cx.cache.member(host).is_some());
    }

    /// Tells silent peers again; returns the requests that may go on.
    pub(super) fn on_tick(&mut self, cx: &mut Cx<'_>) -> Vec<RequestId> {
        for telling in &mut self.tellings {
            if !telling.again_at.is_due(cx.now) {
                continue;
            }
            telling.again_at = cx.now.after(TELL_AGAIN);
            let message = telling.message();
            for host in &telling.missing {
                cx.send(host, message.clone());
            }
        }
        self.take_told(cx.now)
    }

    /// Returns the requests whose peers have been told as far as is possible.
    pub(super) fn take_told(&mut self, now: Time) -> Vec<RequestId> {
        let told = |t: &mut Telling| t.missing.is_empty() || t.until.is_due(now);
        self.tellings.extract_if(.., told).flat_map(|t| t.held).collect()
    }

    /// Returns the peers whose word is worth waiting for.
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
