//! Decisions of a single follower; `relay.rs` plays whole trees of them.

use std::sync::Arc;
use std::time::Duration;

use skylarkshore_core::Time;
use skylarkshore_core::follower::{AfterRead, ChangesPage, Follower, ReadOutcome, Step};
use skylarkshore_core::id::StoreRevision;
use skylarkshore_core::peer::{News, StatePart};

const NOTICE: Duration = Duration::from_secs(3);
const START: Time = Time::from_millis(60_000);

fn news(after: u64, upto: u64) -> News {
    News { after: StoreRevision(after), upto: StoreRevision(upto), age: None, body: Vec::from([1]).into() }
}

fn at(ms: u64) -> Time {
    START.after(Duration::from_millis(ms))
}

/// Returns a follower that has applied the news of its peers up to revision 10.
fn following() -> Follower {
    let mut follower = Follower::new(NOTICE);
    follower.start(at(0), StoreRevision(9));
    follower.push_news(at(0), news(9, 10));
    assert_eq!(follower.next_step(at(0)), Step::ApplyNews(news(9, 10)));
    follower.on_applied(StoreRevision(10));
    follower
}

/// Opens a gap after revision 10 and returns the step once messages can no longer overtake each other.
fn step_after_gap(follower: &mut Follower) -> Step {
    follower.push_news(at(100), news(12, 13));
    let gap = Step::ReportGap { known_upto: StoreRevision(10), next_from: StoreRevision(12), lasts: false };
    assert_eq!(follower.next_step(at(100)), gap);
    assert!(matches!(follower.next_step(at(100)), Step::Wait { until: Some(_) }));
    follower.next_step(at(400))
}

/// Guards against a gap whose read is ended, again and again, by the news beyond it.
#[test]
fn news_beyond_a_gap_does_not_end_the_read_that_fills_it() {
    let mut follower = following();
    assert!(matches!(step_after_gap(&mut follower), Step::Read(_)));
    follower.push_news(at(410), news(13, 14));
    assert!(follower.is_read_wanted());
    let outcome = ReadOutcome::Answered { upto: StoreRevision(13), page: ChangesPage::Partial };
    assert_eq!(follower.on_read(at(420), outcome), AfterRead::Continue);
    assert_eq!(follower.next_step(at(420)), Step::ApplyNews(news(13, 14)));
}

/// Guards against a call to the service although the missing news has only been overtaken.
#[test]
fn overtaken_news_ends_the_read_that_fills_the_gap() {
    let mut follower = following();
    assert!(matches!(step_after_gap(&mut follower), Step::Read(_)));
    follower.push_news(at(410), news(10, 12));
    assert!(!follower.is_read_wanted());
    follower.abandon_read();
    for expected in [news(10, 12), news(12, 13)] {
        let upto = expected.upto;
        assert_eq!(follower.next_step(at(410)), Step::ApplyNews(expected));
        follower.on_applied(upto);
    }
}

fn state_in_one_part(upto: StoreRevision, arrived_at: Time) -> Step {
    Step::ApplyState {
        upto,
        bodies: vec![Arc::default()],
        first_part_at: arrived_at,
        last_part_at: arrived_at,
    }
}

/// Guards against a log that can't tell a state that is sent slowly from one that is sent late.
#[test]
fn a_complete_state_names_the_arrival_of_its_first_and_last_part() {
    let mut follower = following();
    let part = |part| StatePart {
        series: 1,
        upto: StoreRevision(20),
        part,
        parts: 2,
        age: None,
        body: Arc::default(),
    };
    follower.push_state(at(410), part(1));
    assert!(matches!(follower.next_step(at(500)), Step::Wait { .. }));
    follower.push_state(at(730), part(0));
    let expected = Step::ApplyState {
        upto: StoreRevision(20),
        bodies: vec![Arc::default(); 2],
        first_part_at: at(410),
        last_part_at: at(730),
    };
    assert_eq!(follower.next_step(at(800)), expected);
}

/// Guards against a read that keeps a host from the state that a peer has sent meanwhile.
#[test]
fn a_complete_state_ends_a_read() {
    let mut follower = following();
    assert!(matches!(step_after_gap(&mut follower), Step::Read(_)));
    let part =
        StatePart { series: 1, upto: StoreRevision(20), age: None, part: 0, parts: 1, body: Arc::default() };
    follower.push_state(at(410), part);
    assert!(!follower.is_read_wanted());
    follower.abandon_read();
    assert_eq!(follower.next_step(at(410)), state_in_one_part(StoreRevision(20), at(410)));
}

/// Guards against a host that never has a complete state because two peers send it theirs at the same time.
#[test]
fn states_of_two_peers_that_arrive_together_do_not_displace_each_other() {
    let mut follower = Follower::new(NOTICE);
    follower.start(at(0), StoreRevision(0));
    let upto = StoreRevision(20);
    for part in 0..3 {
        for series in 1..3 {
            follower.push_state(
                at(10),
                StatePart { series, upto, part, parts: 3, age: None, body: Arc::default() },
            );
        }
    }
    let state = Step::ApplyState {
        upto,
        bodies: vec![Arc::default(); 3],
        first_part_at: at(10),
        last_part_at: at(10),
    };
    assert_eq!(follower.next_step(at(10)), state);
}

/// Guards against a host that turns away a peer's state for that of another, of which a part was lost.
#[test]
fn an_incomplete_state_does_not_keep_a_host_from_an_older_one() {
    let mut follower = Follower::new(NOTICE);
    follower.start(at(0), StoreRevision(0));
    let lost =
        StatePart { series: 1, upto: StoreRevision(20), part: 0, parts: 2, age: None, body: Arc::default() };
    follower.push_state(at(10), lost);
    let older =
        StatePart { series: 2, upto: StoreRevision(19), part: 0, parts: 1, age: None, body: Arc::default() };
    follower.push_state(at(10), older);
    assert_eq!(follower.next_step(at(10)), state_in_one_part(StoreRevision(19), at(10)));
}

/// Guards against a host that goes back to an older state that arrives after a newer one.
#[test]
fn the_newest_of_several_complete_states_is_applied() {
    let mut follower = Follower::new(NOTICE);
    follower.start(at(0), StoreRevision(0));
    for (series, upto) in [(1, 20), (2, 19)] {
        let upto = StoreRevision(upto);
        follower.push_state(
            at(10),
            StatePart { series, upto, part: 0, parts: 1, age: None, body: Arc::default() },
        );
    }
    assert_eq!(follower.next_step(at(10)), state_in_one_part(StoreRevision(20), at(10)));
}

/// Guards against a host that keeps parts of ever more states, of which none becomes complete.
#[test]
fn a_state_that_is_displaced_by_later_ones_is_dropped() {
    let mut follower = Follower::new(NOTICE);
    follower.start(at(0), StoreRevision(0));
    let part = |series, part| StatePart {
        series,
        upto: StoreRevision(20),
        part,
        parts: 2,
        age: None,
        body: Arc::default(),
    };
    for series in 1..10 {
        follower.push_state(at(10), part(series, 0));
    }
    follower.push_state(at(10), part(1, 1));
    assert!(matches!(follower.next_step(at(10)), Step::Wait { .. }));
    follower.push_state(at(10), part(9, 1));
    assert!(matches!(follower.next_step(at(10)), Step::ApplyState { .. }));
}

/// Guards against a host that waits for a peer although that peer is behind it.
#[test]
fn news_from_a_peer_that_is_behind_does_not_keep_a_host_from_reading() {
    let mut follower = following();
    for ms in (100..1000).step_by(100) {
        follower.push_news(at(ms), news(8, 9));
        if let Step::Read(read) = follower.next_step(at(ms)) {
            assert_eq!(read.after, StoreRevision(10));
            return;
        }
    }
    panic!("the host reads nothing");
}

/// Guards against hosts of a large fleet that read everything from the service at their start because
/// news comes before the state that they have requested.
#[test]
fn a_host_that_awaits_its_first_state_does_not_take_news_for_a_gap() {
    let mut follower = Follower::new(NOTICE);
    follower.start(at(0), StoreRevision(0));
    follower.expect_update(at(0));
    for ms in (100..2000).step_by(300) {
        follower.push_news(at(ms), news(10, 12));
        let step = follower.next_step(at(ms + 250));
        assert!(matches!(step, Step::Wait { until: Some(_) }), "{step:?}");
    }
}

/// Guards against a host that drops the state of the peer that it has asked, because it reads the
/// service for missed changes at the same moment, and the service leaves the read unanswered.
#[test]
fn a_read_for_missed_changes_keeps_the_state_of_a_peer() {
    let mut follower = following();
    assert!(matches!(step_after_gap(&mut follower), Step::Read(_)));
    let part =
        StatePart { series: 1, upto: StoreRevision(20), age: None, part: 0, parts: 1, body: Arc::default() };
    follower.push_state(at(410), part);
    follower.read_missed();
    assert!(!follower.is_read_wanted());
    follower.abandon_read();
    assert_eq!(follower.next_step(at(410)), state_in_one_part(StoreRevision(20), at(410)));
}

/// Guards against a gap that never counts as lasting, because each read for missed changes forgets it
/// and the news beyond it.
#[test]
fn a_gap_lasts_although_missed_changes_are_read_again_and_again() {
    let mut follower = following();
    let mut read_ends_at = None;
    for ms in (100..3000).step_by(100) {
        if ms % 300 == 0 {
            follower.read_missed();
            follower.push_news(at(ms), news(ms, ms + 1));
        }
        if read_ends_at.take_if(|end| *end <= ms).is_some() {
            follower.on_read(at(ms), ReadOutcome::Unanswered);
        }
        match follower.next_step(at(ms)) {
            Step::ReportGap { lasts: true, .. } => return,
            Step::Read(_) => read_ends_at = Some(ms + 700),
            _ => {}
        }
    }
    panic!("no lasting gap is reported");
}

/// Reads until the follower rests, and returns the read that follows a page.
fn step_after_page(follower: &mut Follower, page: ChangesPage) -> Step {
    let silent_at = at(1000);
    assert!(matches!(follower.next_step(silent_at), Step::Read(_)));
    let outcome = ReadOutcome::Answered { upto: StoreRevision(510), page };
    assert_eq!(follower.on_read(silent_at, outcome), AfterRead::Continue);
    follower.next_step(silent_at)
}

/// Guards against a host that reads more slowly than changes come, until the service has forgotten
/// those that it lacks.
#[test]
fn a_full_page_is_followed_by_the_next_read_at_once() {
    let mut follower = following();
    let step = step_after_page(&mut follower, ChangesPage::Full);
    let Step::Read(read) = step else { panic!("{step:?} follows a full page") };
    assert_eq!((read.after, read.wait), (StoreRevision(510), Duration::ZERO));
}

/// Guards against a host that follows its peers and leaves changes unread of which it has read a page.
#[test]
fn a_full_page_is_followed_by_the_next_read_although_peers_send_news() {
    let mut follower = following();
    assert!(matches!(step_after_gap(&mut follower), Step::Read(_)));
    let outcome = ReadOutcome::Answered { upto: StoreRevision(510), page: ChangesPage::Full };
    assert_eq!(follower.on_read(at(420), outcome), AfterRead::Continue);
    let step = follower.next_step(at(420));
    assert!(matches!(step, Step::Read(read) if read.after == StoreRevision(510)), "{step:?}");
}

/// Guards against hosts that read without a pause under constant change.
#[test]
fn a_page_that_is_not_full_is_followed_by_a_rest() {
    let mut follower = following();
    let step = step_after_page(&mut follower, ChangesPage::Partial);
    assert!(matches!(step, Step::Wait { until: Some(_) }), "{step:?}");
}
