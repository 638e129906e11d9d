//! Tests for the help text and for parsing the command line.

use skylarkctl::cli::{help, parse};

fn parse_line(line: &str) -> String {
    let args = line.split_whitespace().map(Into::into).collect::<Vec<std::ffi::OsString>>();
    match parse(args) {
        Ok(command) => format!("{command:?}"),
        Err(usage) => usage.to_string(),
    }
}

#[test]
fn help_lists_every_command() {
    insta::assert_snapshot!(help());
}

#[test]
fn invalid_command_lines_are_reported_with_the_remedy() {
    let lines = [
        "",
        "rules",
        "rules burn",
        "rules check",
        "rules check a b",
        "rules show",
        "rules show --store 10.0.0.9",
        "rules apply --store 10.0.0.9:2379",
        "rules apply f.jsonc --store 10.0.0.9:2379 --revision x",
        "rules explain",
        "rules explain m",
        "rules history now --store 10.0.0.9:2379",
        "state",
        "state entry-1",
        "drain 10.0.0.1:8082 10.0.0.2:8082",
        "--host",
        "--verbose",
    ];
    let complaints: Vec<String> =
        lines.iter().map(|line| format!("{line}\n  {}", parse_line(line))).collect();
    insta::assert_snapshot!(complaints.join("\n"));
}

#[test]
fn valid_command_lines_are_parsed() {
    let lines = [
        "rules check f.jsonc",
        "rules show --store http://10.0.0.9:2379/ --revision 3",
        "--store 10.0.0.9:2379 rules apply f.jsonc -r 4",
        "rules explain m --host 10.0.0.1:8082",
        "state 10.0.0.1:8082",
        "entry --host 10.0.0.1:8082",
        "--version",
    ];
    let commands: Vec<String> = lines.iter().map(|line| parse_line(line)).collect();
    insta::assert_snapshot!(commands.join("\n"));
}
