//! The rules documents under `examples/` stay valid.

use std::path::Path;
use std::process::Command;

#[test]
fn the_example_documents_are_valid_and_raise_no_warning() {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let mut words = String::new();
    for deployment in ["lagerraum", "huon"] {
        let output = Command::new(env!("CARGO_BIN_EXE_skylarkctl"))
            .current_dir(examples.join(deployment))
            .args(["rules", "check", "rules.jsonc"])
            .output()
            .expect("the program runs");
        words += &String::from_utf8_lossy(&[output.stdout, output.stderr].concat());
    }
    insta::assert_snapshot!(words, @"
    rules.jsonc: valid, edited from revision 0: 6 rules, 50 models, 56 adapters
    rules.jsonc: valid, edited from revision 0: 6 rules, 50 models, 58 adapters
    ");
}
