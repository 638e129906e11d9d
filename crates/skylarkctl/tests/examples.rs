//! Checks that the rules documents under `examples/` are valid.

use std::path::Path;
use std::process::Command;

#[test]
fn example_documents_are_valid_without_warnings() {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let mut report = String::new();
    for deployment in ["lagerraum", "huon"] {
        let output = Command::new(env!("CARGO_BIN_EXE_skylarkctl"))
            .current_dir(examples.join(deployment))
            .args(["rules", "check", "rules.jsonc"])
            .output()
            .expect("skylarkctl starts");
        report += &String::from_utf8_lossy(&[output.stdout, output.stderr].concat());
    }
    insta::assert_snapshot!(report, @"
    rules.jsonc: valid, edited from revision 0: 6 rules, 50 models, 56 adapters
    rules.jsonc: valid, edited from revision 0: 6 rules, 50 models, 58 adapters
    ");
}
