//! Requests that may not be repeated.

use skylarkshore_standins::process::{Signal, wait_until};
use skylarkshore_standins::service::ServiceFaults;
use skylarkshore_standins::store::StoreFaults;

use crate::bench::{Bench, LIMIT, Needs, book};

/// The key-value service takes the claim of a booking, but its answer gets lost.
/// The host can't know whether the claim stands; claiming again would find its own
/// and refuse a booking that nobody has made, and going on without would risk two.
#[tokio::test(flavor = "multi_thread")]
async fn a_claim_whose_answer_is_lost_still_lets_the_booking_run_once() {
    let bench = Bench::start(Needs::default()).await;
    let faults = StoreFaults { lose_writes: 1, lose_writes_of: "once/".to_owned(), ..StoreFaults::default() };
    bench.fleet.store.set_faults(faults);
    let first = book(bench.caller(0), "slot-1").await.expect("it answers");
    assert_eq!(bench.fleet.store.faults().lose_writes, 0, "no claim was written");
    assert!(first.status.is_success(), "{}", first.text());
    let again = book(bench.caller(1), "slot-1").await.expect("it answers");
    assert_eq!(first.body, again.body);
    bench.check_invariants();
}

/// The upstream books, and the connection breaks before its answer is whole. The
/// caller is told that the outcome isn't known, and asking again anywhere never
/// books a second time.
#[tokio::test(flavor = "multi_thread")]
async fn a_booking_whose_answer_is_lost_is_never_made_again() {
    let bench = Bench::start(Needs::default()).await;
    bench.fleet.services[0].set_faults(ServiceFaults { lose_answers: 1, ..ServiceFaults::default() });
    for entry in 0..3 {
        let answer = book(bench.caller(entry), "slot-1").await.expect("it answers");
        assert!(!answer.status.is_success() && answer.text().contains("unknown"), "{}", answer.text());
    }
    assert_eq!(bench.fleet.census.counts().runs.get("slot-1"), Some(&1));
    bench.check_invariants();
}

/// The host that claimed a booking dies while the upstream makes it. The caller
/// sees a broken connection and asks another host, which finds a claim without an
/// answer: the booking may have been made, so it may not be made again.
#[tokio::test(flavor = "multi_thread")]
async fn a_booking_whose_host_dies_is_never_made_again() {
    let bench = Bench::start(Needs::default()).await;
    bench.fleet.services[0].set_faults(ServiceFaults { slow_ms: 400, ..ServiceFaults::default() });
    let caller = bench.caller(0);
    let first = tokio::spawn(async move { book(caller, "slot-1").await });
    let claimed = || bench.fleet.store.contents().keys().any(|key| key.contains("/once/"));
    assert!(wait_until(LIMIT, claimed).await, "no claim was written");
    bench.entries[0].signal(Signal::Kill).await.expect("it runs");
    let broken = first.await.expect("no panic");
    assert!(broken.is_err(), "{broken:?}");
    for entry in [1, 2, 1] {
        let answer = book(bench.caller(entry), "slot-1").await.expect("it answers");
        assert!(!answer.status.is_success(), "{}", answer.text());
    }
    let runs = bench.fleet.census.counts().runs.get("slot-1").copied().unwrap_or_default();
    assert!(runs <= 1, "it ran {runs} times");
}
