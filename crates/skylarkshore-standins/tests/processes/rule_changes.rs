//! Changes of the rules while the system runs.

use std::time::Duration;

use serde_json::Value;
use skylarkshore_standins::client::Call;
use tokio::time::sleep;

use crate::bench::{Bench, LIMIT, Needs, RULES};

/// Two operators apply different documents in the same moment. One is told that
/// its document is accepted and finds it in force at every host within seconds;
/// the other one is told of the conflict. Hosts that disagreed would load and
/// unload against one another.
#[tokio::test(flavor = "multi_thread")]
async fn of_two_documents_applied_at_once_one_comes_into_force_everywhere() {
    let bench = Bench::start(Needs::default()).await;
    let edited = RULES.replace("\"revision\": 0", "\"revision\": 1");
    let renamed = |name: &str| edited.replace("\"gamma\"", &format!("\"{name}\""));
    let (first, second) = (renamed("delta"), renamed("epsilon"));
    let (ada, bob) = tokio::join!(bench.apply("a.jsonc", &first), bench.apply("b.jsonc", &second));
    let winner = match (ada.0, bob.0) {
        (Some(0), Some(3)) => "delta",
        (Some(3), Some(0)) => "epsilon",
        _ => panic!("{}\n{}", ada.1, bob.1),
    };
    let everywhere = async {
        for entry in 0..3 {
            loop {
                let answer = Call::get(bench.caller(entry), "/v1/models").send().await.expect("it answers");
                let models: Value = answer.json().expect("JSON");
                let names: Vec<&str> = models["data"]
                    .as_array()
                    .into_iter()
                    .flatten()
                    .filter_map(|m| m["id"].as_str())
                    .collect();
                if names.contains(&winner) && !names.contains(&"gamma") {
                    break;
                }
                sleep(Duration::from_millis(20)).await;
            }
        }
    };
    tokio::time::timeout(LIMIT, everywhere).await.expect("the document comes into force everywhere");
}
