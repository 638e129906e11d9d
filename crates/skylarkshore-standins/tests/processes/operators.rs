//! `skylarkctl` against running processes.

use skylarkshore_standins::process::skylarkctl;

use crate::bench::{Bench, BenchSettings, LIMIT};

async fn run_skylarkctl(bench: &Bench, args: &[&str]) -> String {
    let output = skylarkctl(&bench.programs, args).await.expect("the program runs");
    let text = String::from_utf8_lossy(&[output.stdout, output.stderr].concat()).into_owned();
    assert!(output.status.success(), "{args:?}: {text}");
    text
}

#[tokio::test(flavor = "multi_thread")]
async fn skylarkctl_reads_the_state_of_a_process_and_drains_it() {
    let mut bench = Bench::start(BenchSettings::default()).await;
    let host = bench.entries[0].operator_address().to_string();
    let state = run_skylarkctl(&bench, &["state", &host]).await;
    assert!(state.contains("\"host\": \"entry-1\"") && state.contains("beliefs"), "{state}");
    let rule = run_skylarkctl(&bench, &["rules", "explain", "alpha-fr", "--host", &host]).await;
    assert!(rule.contains("alpha"), "{rule}");
    let entry = run_skylarkctl(&bench, &["entry", &bench.caller_address(1).to_string()]).await;
    assert!(entry.contains(&bench.caller_address(0).to_string()), "{entry}");
    run_skylarkctl(&bench, &["drain", &host]).await;
    let status = bench.entries[0].wait_ended(LIMIT).await.expect("it ends");
    assert!(status.success(), "{status}: {}", bench.entries[0].log());
}
