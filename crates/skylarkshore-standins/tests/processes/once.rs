//! At-most-once requests.

use skylarkshore_standins::process::{Signal, wait_until};
use skylarkshore_standins::service::ServiceFaults;
use skylarkshore_standins::store::StoreFaults;

use crate::bench::{Bench, BenchSettings, LIMIT, book};

/// The key-value service writes the claim of a booking, but the answer is lost. If
/// the host claimed again, it would find its own claim and refuse a booking that
/// never ran; if it sent the booking without a claim, it could run twice.
#[tokio::test(flavor = "multi_thread")]
async fn a_claim_whose_answer_is_lost_still_lets_the_booking_run_once() {
    let bench = Bench::start(BenchSettings::default()).await;
    let faults = StoreFaults { lose_writes: 1, lose_writes_of: "once/".to_owned(), ..StoreFaults::default() };
    bench.fleet.store.set_faults(faults);
    let first = book(bench.caller_address(0), "slot-1").await.expect("it answers");
    assert_eq!(bench.fleet.store.faults().lose_writes, 0, "no claim was written");
    assert!(first.status.is_success(), "{}", first.text());
    let again = book(bench.caller_address(1), "slot-1").await.expect("it answers");
    assert_eq!(first.body, again.body);
    bench.check_invariants();
}

/// The upstream makes the booking, but the connection breaks during its answer. The
/// outcome is reported as unknown, and a repetition at any host must not book again.
#[tokio::test(flavor = "multi_thread")]
async fn a_booking_whose_answer_is_lost_is_never_made_again() {
    let bench = Bench::start(BenchSettings::default()).await;
    bench.fleet.services[0].set_faults(ServiceFaults { lose_answers: 1, ..ServiceFaults::default() });
    for entry in 0..3 {
        let answer = book(bench.caller_address(entry), "slot-1").await.expect("it answers");
        assert!(!answer.status.is_success() && answer.text().contains("unknown"), "{}", answer.text());
    }
    assert_eq!(bench.fleet.census.counts().runs.get("slot-1"), Some(&1));
    bench.check_invariants();
}

/// The host that claimed a booking crashes while the upstream runs it, and the
/// caller repeats it at another host. That host finds a claim without an answer:
/// the booking may have run, so it must not be sent again.
#[tokio::test(flavor = "multi_thread")]
async fn a_booking_whose_host_crashes_is_never_made_again() {
    let bench = Bench::start(BenchSettings::default()).await;
    bench.fleet.services[0].set_faults(ServiceFaults { slow_ms: 400, ..ServiceFaults::default() });
    let caller = bench.caller_address(0);
    let first = tokio::spawn(async move { book(caller, "slot-1").await });
    let claimed = || bench.fleet.store.contents().keys().any(|key| key.contains("/once/"));
    assert!(wait_until(LIMIT, claimed).await, "no claim was written");
    bench.entries[0].signal(Signal::Kill).await.expect("it runs");
    let broken = first.await.expect("no panic");
    assert!(broken.is_err(), "{broken:?}");
    for entry in [1, 2, 1] {
        let answer = book(bench.caller_address(entry), "slot-1").await.expect("it answers");
        assert!(!answer.status.is_success(), "{}", answer.text());
    }
    let runs = bench.fleet.census.counts().runs.get("slot-1").copied().unwrap_or_default();
    assert!(runs <= 1, "it ran {runs} times");
}
