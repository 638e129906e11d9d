//! Streams that go on after they were broken off, and the software versions that may write them.

use std::time::Duration;

use skylarkshore_core::effect::{Effect, RefusalOutcome, RefusalReason};
use skylarkshore_core::event::{Arrival, AttemptOutcome, StreamPart};
use skylarkshore_core::id::{HostId, Incarnation, StreamId};
use skylarkshore_core::list_knowledge::ListKnowledge;
use skylarkshore_core::peer::{PeerMessage, StreamMessage, StreamOrigin};
use skylarkshore_core::time::Time;

use crate::support::serving::*;

const STREAM: StreamId = StreamId(skylarkshore_core::id::Digest([9; 32]));
/// The greatest age of a stream that is taken up.
const MAX_AGE: Duration = Duration::from_hours(1);

const fn rest(stream: Option<StreamId>) -> StreamPart {
    StreamPart::Rest { stream }
}

fn stream(p: &Process, part: StreamPart) -> Arrival {
    let mut arrival = arrival(p, service("booking"), 7);
    arrival.policy.resumable = true;
    arrival.stream = Some(part);
    arrival
}

/// Creates a process beside two others, whose replicas run two versions.
fn with_versions() -> Process {
    let mut p = Process::new("a", 1);
    p.change_listed("s1", |listed| listed.software = Some(name("1")));
    p.change_listed("s2", |listed| listed.software = Some(name("1.1")));
    p
}

fn take_stream_messages(p: &mut Process) -> Vec<(HostId, StreamMessage)> {
    let messages = p.take_messages(|message| matches!(message, PeerMessage::Stream(_)));
    messages
        .into_iter()
        .filter_map(|(to, message)| match message {
            PeerMessage::Stream(message) => Some((to, message)),
            _ => None,
        })
        .collect()
}

fn take_forwarded(p: &mut Process) -> usize {
    p.effects.extract_if(.., |effect| matches!(effect, Effect::ForwardAnswer { .. })).count()
}

fn known(p: &mut Process, from: &str, origin: StreamOrigin) {
    p.peer(from, &PeerMessage::Stream(StreamMessage::Known { stream: STREAM, origin }));
}

/// Guards against a stream whose host is killed right after the first event, before any other host knows
/// its version.
#[test]
fn the_first_event_of_a_stream_is_withheld_until_another_host_keeps_its_version() {
    let mut p = with_versions();
    p.arrive(1, stream(&p, StreamPart::Whole(STREAM)));
    let sent = p.take_sent().remove(0);
    p.with(|serving, cx| serving.on_answer_started(cx, sent.attempt));
    let begun = take_stream_messages(&mut p);
    assert_eq!(begun.len(), 2, "{begun:?}");
    assert_eq!(take_forwarded(&mut p), 0);
    p.peer("b", &PeerMessage::Stream(StreamMessage::Noted { stream: STREAM }));
    assert_eq!(take_forwarded(&mut p), 1);
}

/// Guards against first events that wait for hosts that don't answer.
#[test]
fn a_first_event_is_withheld_only_briefly() {
    let mut p = with_versions();
    p.arrive(1, stream(&p, StreamPart::Whole(STREAM)));
    let sent = p.take_sent().remove(0);
    p.with(|serving, cx| serving.on_answer_started(cx, sent.attempt));
    p.advance(150);
    assert_eq!(take_forwarded(&mut p), 1);
}

/// Guards against a stream that is taken up at another host and goes on at another version.
#[test]
fn a_stream_that_is_taken_up_goes_on_at_the_version_that_another_host_keeps() {
    for (version, replica) in [("1", "s1"), ("1.1", "s2")] {
        let mut p = with_versions();
        p.arrive(1, stream(&p, rest(Some(STREAM))));
        assert_eq!(p.take_sent(), [], "its version isn't known yet");
        known(&mut p, "b", StreamOrigin::Unknown);
        known(&mut p, "c", StreamOrigin::Kept(Some(name(version))));
        let sent = p.take_sent();
        assert_eq!(sent.len(), 1);
        assert_eq!(sent[0].upstream.as_str(), replica);
    }
}

fn assert_refused_as_unknown(p: &mut Process) {
    assert_eq!(p.take_sent(), []);
    let refused = p.take_refused().remove(0).1;
    assert_eq!((refused.outcome, refused.reason), (RefusalOutcome::NotRun, RefusalReason::StreamUnknown));
}

/// Guards against a stream of an unknown version that goes on at whichever replica is free, and against
/// callers who wait although nobody knows.
#[test]
fn a_stream_whose_version_nobody_knows_is_refused_at_once() {
    let mut p = with_versions();
    p.arrive(1, stream(&p, rest(Some(STREAM))));
    known(&mut p, "b", StreamOrigin::Unknown);
    known(&mut p, "c", StreamOrigin::Unknown);
    assert_refused_as_unknown(&mut p);

    p.arrive(2, stream(&p, rest(Some(STREAM))));
    p.advance(300);
    assert_refused_as_unknown(&mut p);

    p.arrive(3, stream(&p, rest(None)));
    p.advance(300);
    assert_refused_as_unknown(&mut p);
}

fn served(versions: &[&str], is_complete: bool) -> StreamOrigin {
    StreamOrigin::Served { versions: versions.iter().map(|text| Some(name(text))).collect(), is_complete }
}

/// Creates a process that knows the host list from a time on, with one version.
fn with_one_version(known_for: Duration) -> Process {
    let mut p = Process::new("a", 1);
    for replica in ["s1", "s2"] {
        p.change_listed(replica, |listed| listed.software = Some(name("1")));
    }
    p.now = p.now.after(known_for);
    p.confirm_list();
    p
}

/// Guards against streams that are refused although one version alone has served while they can have begun,
/// by this host's own knowledge, by another's, or since the whole system has started.
#[test]
fn a_stream_of_an_unknown_version_goes_on_where_one_version_alone_has_served() {
    let mut p = with_one_version(MAX_AGE);
    p.arrive(1, stream(&p, rest(None)));
    assert_eq!(p.take_sent().len(), 1);

    let mut p = with_one_version(Duration::from_secs(5));
    p.arrive(1, stream(&p, rest(Some(STREAM))));
    known(&mut p, "b", served(&["1"], true));
    known(&mut p, "c", served(&["1"], false));
    assert_eq!(p.take_sent().len(), 1);

    let mut p = Process::new("a", 1);
    p.list = ListKnowledge::default();
    p.cfg.is_first_start = true;
    p.confirm_list();
    p.change_listed("s1", |listed| listed.software = Some(name("1")));
    p.arrive(1, stream(&p, rest(None)));
    assert_eq!(p.take_sent().len(), 1);
}

/// Guards against joined streams after a kill of all hosts: the version that began a stream has left before
/// this host first read the host list.
#[test]
fn what_has_served_since_a_start_says_nothing_of_streams_that_may_be_older() {
    for known_for in [Duration::from_secs(20), Duration::from_mins(59)] {
        let mut p = with_one_version(known_for);
        p.arrive(1, stream(&p, rest(None)));
        known(&mut p, "b", served(&["1"], false));
        p.advance(300);
        assert_refused_as_unknown(&mut p);
    }
}

/// Guards against hosts that know of a second version and go by another that doesn't, since that was frozen
/// or has started later.
#[test]
fn one_host_that_knows_of_a_second_version_outweighs_all_others() {
    let mut p = with_versions();
    p.now = p.now.after(MAX_AGE);
    p.confirm_list();
    p.arrive(1, stream(&p, rest(Some(STREAM))));
    known(&mut p, "b", served(&["1"], true));
    known(&mut p, "c", served(&["1"], true));
    assert_refused_as_unknown(&mut p);

    let mut p = with_one_version(MAX_AGE);
    p.arrive(1, stream(&p, rest(Some(STREAM))));
    known(&mut p, "b", served(&["1"], true));
    known(&mut p, "c", served(&["1", "1.1"], false));
    assert_refused_as_unknown(&mut p);

    let mut p = with_one_version(MAX_AGE);
    p.arrive(1, stream(&p, rest(Some(STREAM))));
    known(&mut p, "b", StreamOrigin::OnlyServed(Some(name("1.1"))));
    known(&mut p, "c", StreamOrigin::Unknown);
    assert_refused_as_unknown(&mut p);
}

/// Guards against the claims of hosts of the version before this one, which may rest on an old host list.
#[test]
fn a_claim_that_one_version_alone_has_served_is_no_proof() {
    let mut p = with_one_version(Duration::from_secs(20));
    p.arrive(1, stream(&p, rest(Some(STREAM))));
    known(&mut p, "b", StreamOrigin::OnlyServed(Some(name("1"))));
    known(&mut p, "c", StreamOrigin::OnlyServed(Some(name("1"))));
    assert_refused_as_unknown(&mut p);
}

/// Guards against a host that goes by what others know up to a moment from which on it knows nothing itself,
/// also where their answers reach it only after it was frozen.
#[test]
fn what_others_know_counts_only_once_this_host_follows_the_list_itself() {
    for frozen in [Duration::ZERO, Duration::from_secs(20)] {
        let mut p = with_one_version(Duration::from_secs(1));
        p.arrive(1, stream(&p, rest(Some(STREAM))));
        p.now = p.now.after(frozen);
        p.confirm_list();
        known(&mut p, "b", served(&["1"], true));
        known(&mut p, "c", served(&["1"], true));
        assert_refused_as_unknown(&mut p);
    }
}

/// Guards against a host that was frozen, or cut off, and takes its old list for the latest: a stream may
/// have begun at a version that came meanwhile.
#[test]
fn a_stream_waits_until_the_host_list_is_known_as_of_its_arrival() {
    let arrived = || {
        let mut p = with_one_version(MAX_AGE);
        p.now = p.now.after(Duration::from_millis(400));
        p.arrive(1, stream(&p, rest(None)));
        assert_eq!(p.take_sent(), []);
        p
    };
    let mut p = arrived();
    p.confirm_list();
    p.advance(50);
    assert_eq!(p.take_sent().len(), 1);

    let mut p = arrived();
    p.restart("s1", 1);
    p.change_listed("s1", |listed| listed.software = Some(name("1.1")));
    p.confirm_list();
    p.advance(50);
    assert_refused_as_unknown(&mut p);

    let mut p = arrived();
    p.advance(1500);
    assert_refused_as_unknown(&mut p);
}

/// Guards against other hosts that go by what a frozen host, or one that is cut off, tells them.
#[test]
fn a_host_whose_list_is_old_does_not_say_that_it_misses_no_version() {
    for (age, is_complete) in [(Duration::from_secs(2), true), (Duration::from_secs(4), false)] {
        let mut p = with_one_version(MAX_AGE);
        p.now = p.now.after(age);
        let destination = Some(name("booking"));
        let wanted = StreamMessage::Wanted { stream: STREAM, destination, max_age: MAX_AGE };
        p.peer("b", &PeerMessage::Stream(wanted));
        let (to, told) = take_stream_messages(&mut p).remove(0);
        let expected = StreamMessage::Known { stream: STREAM, origin: served(&["1"], is_complete) };
        assert_eq!((to, told), (name("b"), expected));
    }
}

/// Guards against a complete list that is taken for all that was on the list while this host couldn't read it.
#[test]
fn a_list_that_was_read_after_a_gap_begins_a_new_history() {
    let secs = Duration::from_secs;
    let covers = |list: ListKnowledge, now: Time| list.coverage().expect("it was read").covers(now, MAX_AGE);
    let read_after = |gap: Duration, is_state: bool| {
        let mut list = ListKnowledge::default();
        list.on_complete(Some(Time::from_millis(1000)), false);
        let before = Time::from_millis(1000).after(MAX_AGE);
        list.on_complete(Some(before), false);
        if is_state {
            list.on_replaced();
        }
        list.on_complete(Some(before.after(gap)), false);
        covers(list, before.after(gap))
    };
    assert!(read_after(secs(10), false), "changes that follow one another leave no gap");
    assert!(read_after(secs(2), true));
    assert!(!read_after(secs(10), true));

    let mut polled = ListKnowledge::default();
    polled.on_list(Time::from_millis(1000), true);
    polled.on_complete(Some(Time::from_millis(9000)), true);
    assert_eq!(polled.known_at(), Some(Time::from_millis(1000)), "the shared keys say nothing of this list");
    polled.on_list(Time::from_millis(9000), true);
    assert!(!covers(polled, Time::from_millis(9000)));
}

/// Guards against callers who wait for a version that nothing runs any more.
#[test]
fn a_stream_whose_version_is_gone_is_refused_at_once() {
    let mut p = with_versions();
    p.terminate("s1");
    p.arrive(1, stream(&p, rest(Some(STREAM))));
    known(&mut p, "b", StreamOrigin::Kept(Some(name("1"))));
    assert_eq!(p.take_sent(), []);
    assert_eq!(p.take_refused().remove(0).1.reason, RefusalReason::VersionGone);
}

/// Guards against requests that wait behind a stream whose version has no room.
#[test]
fn a_pinned_stream_holds_up_no_other_request() {
    let mut p = with_versions();
    for id in 1..=4 {
        p.arrive(id, arrival(&p, service("booking"), 8));
    }
    let sent = p.take_sent();
    p.arrive(5, stream(&p, rest(Some(STREAM))));
    known(&mut p, "b", StreamOrigin::Kept(Some(name("1"))));
    p.arrive(6, arrival(&p, service("booking"), 8));
    assert_eq!(p.take_sent(), [], "both replicas are full");
    let other = sent.iter().find(|sent| sent.upstream.as_str() == "s2").expect("it was used");
    p.end(other.attempt, AttemptOutcome::Completed { held: None });
    let next = p.take_sent();
    assert_eq!(next.iter().map(|sent| sent.request.0).collect::<Vec<_>>(), [6]);
}

/// Guards against messages for each stream that grow with the number of hosts.
#[test]
fn a_stream_concerns_few_hosts_in_a_large_cluster() {
    let mut p = with_versions();
    for number in 0..1000 {
        p.cache_member(&format!("host-{number}"), Incarnation(1));
    }
    p.arrive(1, stream(&p, StreamPart::Whole(STREAM)));
    let sent = p.take_sent().remove(0);
    p.with(|serving, cx| serving.on_answer_started(cx, sent.attempt));
    let keepers: Vec<HostId> = take_stream_messages(&mut p).into_iter().map(|(to, _)| to).collect();
    assert_eq!(keepers.len(), 3);

    let mut q = with_versions();
    for number in 0..1000 {
        q.cache_member(&format!("host-{number}"), Incarnation(1));
    }
    q.arrive(1, stream(&q, rest(Some(STREAM))));
    let asked: Vec<HostId> = take_stream_messages(&mut q).into_iter().map(|(to, _)| to).collect();
    assert!(asked.len() <= 6 && keepers.iter().all(|keeper| asked.contains(keeper)), "{asked:?}");
}
