//! Outages of the key-value service.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use skylarkshore_standins::store::StoreFaults;
use tokio::time::sleep;

use crate::bench::{Bench, BenchSettings, ask, book};

/// Three times the lease duration.
const OUTAGE: Duration = Duration::from_secs(6);

/// The key-value service is down for longer than any lease lasts. Homes and owners
/// are assigned before they are needed, so neither warm nor cold models depend on it.
#[tokio::test(flavor = "multi_thread")]
async fn an_outage_of_the_key_value_service_stops_neither_warm_nor_cold_models() {
    let bench = Bench::start(BenchSettings::default()).await;
    ask(bench.caller_address(0), "alpha", "warm-up").await.unwrap_or_else(|err| panic!("{err}"));
    bench.fleet.store.set_faults(StoreFaults { down: true, ..StoreFaults::default() });
    let over = Arc::new(AtomicBool::new(false));
    let mut callers = Vec::new();
    for entry in 0..3 {
        let (caller, over) = (bench.caller_address(entry), Arc::clone(&over));
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
    ask(bench.caller_address(1), "beta", "cold-in-the-outage").await.unwrap_or_else(|err| panic!("{err}"));
    sleep(OUTAGE / 2).await;
    ask(bench.caller_address(2), "gamma", "cold-past-every-lease")
        .await
        .unwrap_or_else(|err| panic!("{err}"));
    bench.fleet.store.set_faults(StoreFaults::default());
    over.store(true, Ordering::SeqCst);
    for caller in callers {
        let answered = caller.await.expect("no panic").unwrap_or_else(|err| panic!("{err}"));
        assert!(answered > 0);
    }
    bench.check_invariants();
}

/// A booking arrives while the key-value service is down, so nothing could prevent a
/// second run at another host. It must be refused as not run, without having run:
/// the caller repeats it once the service is back.
#[tokio::test(flavor = "multi_thread")]
async fn a_booking_in_an_outage_is_refused_as_not_run_and_can_be_made_later() {
    let bench = Bench::start(BenchSettings::default()).await;
    bench.fleet.store.set_faults(StoreFaults { down: true, ..StoreFaults::default() });
    let refused = book(bench.caller_address(0), "slot-1").await.expect("it answers");
    assert_eq!(refused.status.as_u16(), 503, "{}", refused.text());
    assert!(refused.text().contains("not_run"), "{}", refused.text());
    assert!(bench.fleet.census.counts().runs.is_empty());
    bench.fleet.store.set_faults(StoreFaults::default());
    let mut booked = book(bench.caller_address(1), "slot-1").await.expect("it answers");
    for _ in 0..50 {
        if booked.status.is_success() {
            break;
        }
        sleep(Duration::from_millis(100)).await;
        booked = book(bench.caller_address(1), "slot-1").await.expect("it answers");
    }
    assert!(booked.status.is_success(), "{}", booked.text());
    bench.check_invariants();
}
