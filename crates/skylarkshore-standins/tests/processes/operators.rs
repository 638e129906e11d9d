//! The operators' program against running processes.

use skylarkshore_standins::process::skylarkctl;

use crate::bench::{Bench, LIMIT, Needs};

async fn told(bench: &Bench, args: &[&str]) -> String {
    let output = skylarkctl(&bench.programs, args).await.expect("the program runs");
    let words = String::from_utf8_lossy(&[output.stdout, output.stderr].concat()).into_owned();
    assert!(output.status.success(), "{args:?}: {words}");
    words
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_ask_a_process_for_its_state_and_have_it_leave() {
    let mut bench = Bench::start(Needs::default()).await;
    let host = bench.entries[0].operator_address().to_string();
    let state = told(&bench, &["state", &host]).await;
    assert!(state.contains("\"host\": \"entry-1\"") && state.contains("beliefs"), "{state}");
    let rule = told(&bench, &["rules", "explain", "alpha-fr", "--host", &host]).await;
    assert!(rule.contains("alpha"), "{rule}");
    let entry = told(&bench, &["entry", &bench.caller(1).to_string()]).await;
    assert!(entry.contains(&bench.caller(0).to_string()), "{entry}");
    told(&bench, &["drain", &host]).await;
    let status = bench.entries[0].wait_ended(LIMIT).await.expect("it ends");
    assert!(status.success(), "{status}: {}", bench.entries[0].log());
}
