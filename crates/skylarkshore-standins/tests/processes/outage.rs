//! The key-value service is away.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use skylarkshore_standins::store::StoreFaults;
use tokio::time::sleep;

use crate::bench::{Bench, Needs, ask, book};

/// How long the service is away: three times as long as a lease lives.
const OUTAGE: Duration = Duration::from_secs(6);

/// The key-value service is away for longer than any lease lives, while callers
/// go on asking for warm and for cold models. Homes and owners were written down
/// ahead of need, so that neither a warm nor a cold request depends on it.
#[tokio::test(flavor = "multi_thread")]
async fn an_outage_of_the_key_value_service_stops_neither_warm_nor_cold_models() {
    let bench = Bench::start(Needs::default()).await;
    ask(bench.caller(0), "alpha", "warm-up").await.unwrap_or_else(|err| panic!("{err}"));
    bench.fleet.store.set_faults(StoreFaults { down: true, ..StoreFaults::default() });
    let over = Arc::new(AtomicBool::new(false));
    let mut callers = Vec::new();
    for entry in 0..3 {
        let (caller, over) = (bench.caller(entry), Arc::clone(&over));
        callers.push(tokio::spawn(async move {
            let mut answered = 0;
            while !over.load(Ordering::SeqCst) {
                let prompt = format!("warm-{entry}-{answered}");
                ask(caller, "alpha", &prompt).await.map_err(|err| format!("{prompt}: {err}"))?;
                answered += 1;
            }
            Ok::<u32, String>(answered)
        }));
    }
    sleep(OUTAGE / 2).await;
    ask(bench.caller(1), "beta", "cold-in-the-outage").await.unwrap_or_else(|err| panic!("{err}"));
    sleep(OUTAGE / 2).await;
    ask(bench.caller(2), "gamma", "cold-past-every-lease").await.unwrap_or_else(|err| panic!("{err}"));
    bench.fleet.store.set_faults(StoreFaults::default());
    over.store(true, Ordering::SeqCst);
    for caller in callers {
        let answered = caller.await.expect("no panic").unwrap_or_else(|err| panic!("{err}"));
        assert!(answered > 0);
    }
    bench.check_invariants();
}

/// A booking arrives while the key-value service is away, so that nothing can
/// keep it from running a second time elsewhere. It is refused as not run, and
/// that has to be true: the caller books again once the service is back.
#[tokio::test(flavor = "multi_thread")]
async fn a_booking_in_an_outage_is_refused_as_not_run_and_can_be_made_later() {
    let bench = Bench::start(Needs::default()).await;
    bench.fleet.store.set_faults(StoreFaults { down: true, ..StoreFaults::default() });
    let refused = book(bench.caller(0), "slot-1").await.expect("it answers");
    assert_eq!(refused.status.as_u16(), 503, "{}", refused.text());
    assert!(refused.text().contains("not_run"), "{}", refused.text());
    assert!(bench.fleet.census.counts().runs.is_empty());
    bench.fleet.store.set_faults(StoreFaults::default());
    let mut booked = book(bench.caller(1), "slot-1").await.expect("it answers");
    for _ in 0..50 {
        if booked.status.is_success() {
            break;
        }
        sleep(Duration::from_millis(100)).await;
        booked = book(bench.caller(1), "slot-1").await.expect("it answers");
    }
    assert!(booked.status.is_success(), "{}", booked.text());
    bench.check_invariants();
}
