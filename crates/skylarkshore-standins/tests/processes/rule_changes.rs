//! Changes of the rules at run time.

use std::time::Duration;

use serde_json::Value;
use skylarkshore_standins::client::Call;
use tokio::time::sleep;

use crate::bench::{Bench, BenchSettings, LIMIT, RULES};

/// Two operators apply different documents concurrently. One document is accepted
/// and comes into force at every host within seconds; the other is rejected as a
/// conflict. Hosts with different rules would undo each other's loads.
#[tokio::test(flavor = "multi_thread")]
async fn of_two_concurrently_applied_documents_one_comes_into_force_everywhere() {
    let bench = Bench::start(BenchSettings::default()).await;
    let edited = RULES.replace("\"revision\": 0", "\"revision\": 1");
    let renamed = |name: &str| edited.replace("\"gamma\"", &format!("\"{name}\""));
    let (first, second) = (renamed("delta"), renamed("epsilon"));
    let (first_result, second_result) =
        tokio::join!(bench.apply("a.jsonc", &first), bench.apply("b.jsonc", &second));
    let winner = match (first_result.0, second_result.0) {
        (Some(0), Some(3)) => "delta",
        (Some(3), Some(0)) => "epsilon",
        _ => panic!("{}\n{}", first_result.1, second_result.1),
    };
    let everywhere = async {
        for entry in 0..3 {
            loop {
                let answer =
                    Call::get(bench.caller_address(entry), "/v1/models").send().await.expect("it answers");
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
