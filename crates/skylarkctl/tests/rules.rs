//! Tests for the `rules` commands against a stand-in of the key-value service.

use std::net::SocketAddr;
use std::process::Output;

use skylarkshore_standins::fleet::any_port;
use skylarkshore_standins::process::TempFolder;
use skylarkshore_standins::store::{Store, StoreFaults};
use tokio::process::Command;

const DOCUMENT: &str = r#"{
    // Edited from this revision.
    "revision": 0,
    "power_caps": {"north": 2000},
    "models": {"m": {"version": "1", "weights_mib": 10, "kv_cache_mib": 10, "load_time_ms": 100}},
    "rules": [{"name": "warm", "when": {"models": ["m"]}, "then": {"replicas_min": 1}}]
}"#;

struct Operator {
    folder: TempFolder,
    store: SocketAddr,
}

impl Operator {
    fn new(store: &Store) -> Self {
        Self { folder: TempFolder::new().expect("temporary folder"), store: store.address() }
    }

    async fn run(&self, args: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_skylarkctl"))
            .current_dir(self.folder.path())
            .env("USER", "ada")
            .arg("--store")
            .arg(self.store.to_string())
            .args(args)
            .output()
            .await
            .expect("skylarkctl starts")
    }

    async fn apply(&self, document: &str) -> Output {
        std::fs::write(self.folder.path().join("rules.jsonc"), document).expect("the document is written");
        self.run(&["rules", "apply", "rules.jsonc"]).await
    }
}

fn format_output(output: &Output) -> String {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    format!("{}{}exit {}", text(&output.stdout), text(&output.stderr), output.status.code().unwrap_or(-1))
}

async fn store() -> Store {
    Store::start(any_port()).await.expect("a port is free")
}

#[tokio::test]
async fn document_is_applied_shown_and_kept_in_the_history() {
    let store = store().await;
    let operator = Operator::new(&store);
    insta::assert_snapshot!(format_output(&operator.apply(DOCUMENT).await), @r#"
    revision 1 is accepted and comes into force everywhere within seconds
    set "revision" to 1 in rules.jsonc before you edit it again
    exit 0
    "#);
    let second = DOCUMENT.replace("\"revision\": 0", "\"revision\": 1").replace("2000", "2500");
    assert!(operator.apply(&second).await.status.success());
    let shown = format_output(&operator.run(&["rules", "show"]).await);
    assert!(shown.contains("\"north\": 2500") && shown.contains("\"revision\": 2"), "{shown}");
    let first = format_output(&operator.run(&["rules", "show", "--revision", "1"]).await);
    assert!(first.contains("\"north\": 2000"), "{first}");
    let history = format_output(&operator.run(&["rules", "history"]).await);
    let lines: Vec<&str> = history.lines().filter(|line| line.ends_with("skylarkctl:ada")).collect();
    assert!(lines.len() == 2 && lines[1].starts_with("2 "), "{history}");
}

/// Two operators edit the same revision, and one applies first. Accepting the second
/// document would silently discard the first change.
#[tokio::test]
async fn apply_from_outdated_revision_reports_conflict_and_difference() {
    let store = store().await;
    let operator = Operator::new(&store);
    assert!(operator.apply(DOCUMENT).await.status.success());
    let base = DOCUMENT.replace("\"revision\": 0", "\"revision\": 1");
    assert!(operator.apply(&base.replace("2000", "2500")).await.status.success());
    let second = base.replace("\"replicas_min\": 1", "\"replicas_min\": 0");
    insta::assert_snapshot!(format_output(&operator.apply(&second).await), @r#"
    skylarkctl: conflict: rules.jsonc was edited from revision 1, but revision 2 is in force
    what changed in between:
      ~ power_caps.north: 2000 -> 2500
    take these changes over into the file, set its "revision" to 2, and apply it again
    exit 3
    "#);
}

/// Two operators apply changes concurrently, so that both read the same document
/// before either writes. Exactly one of them may succeed.
#[tokio::test]
async fn exactly_one_of_two_concurrent_changes_is_accepted() {
    let store = store().await;
    store.set_faults(StoreFaults { slow_ms: 150, ..StoreFaults::default() });
    let (ada, bob) = (Operator::new(&store), Operator::new(&store));
    let other = DOCUMENT.replace("2000", "2500");
    let (first, second) = tokio::join!(ada.apply(DOCUMENT), bob.apply(&other));
    let mut codes = [first.status.code(), second.status.code()];
    codes.sort_unstable();
    assert_eq!(codes, [Some(0), Some(3)], "{}\n{}", format_output(&first), format_output(&second));
}

/// The service accepts the change, but its answer is lost. If the program reported a
/// failure, the operator would apply the change again and get a conflict with it.
#[tokio::test]
async fn change_whose_answer_is_lost_is_recognised_as_own() {
    let store = store().await;
    let operator = Operator::new(&store);
    store.set_faults(StoreFaults { lose_writes: 1, ..StoreFaults::default() });
    let output = operator.apply(DOCUMENT).await;
    assert!(output.status.success(), "{}", format_output(&output));
    assert_eq!(store.faults().lose_writes, 0);
}

#[tokio::test]
async fn failures_are_reported_with_the_remedy() {
    let store = store().await;
    let operator = Operator::new(&store);
    let wrong = [
        "{",
        r#"{"power_caps": {}, "models": {}, "colour": 1}"#,
        &DOCUMENT.replace("[\"m\"]", "[\"x\"]"),
        &DOCUMENT.replace("\"revision\": 0", "\"revision\": 7"),
    ];
    let mut words = Vec::new();
    for document in wrong {
        words.push(format_output(&operator.apply(document).await));
    }
    words.push(format_output(&operator.run(&["rules", "check", "absent.jsonc"]).await));
    words.push(format_output(&operator.run(&["rules", "show"]).await));
    store.set_faults(StoreFaults { down: true, ..StoreFaults::default() });
    let down = format_output(&operator.run(&["rules", "show"]).await);
    words.push(down.replace(&operator.store.to_string(), "ADDR"));
    insta::assert_snapshot!(words.join("\n"));
}
