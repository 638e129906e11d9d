//! Tests for the command line, the settings file and the log format.

use std::ffi::OsString;
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};

use skylarkshore::cli::{self, Command};
use skylarkshore_host::config::{Config, LogLevel};
use skylarkshore_host::log::drain;
use slog::{Drain, Level, Logger, info, o, trace};

fn args(list: &[&str]) -> Vec<OsString> {
    list.iter().map(OsString::from).collect()
}

#[test]
fn help_lists_every_option() {
    insta::assert_snapshot!(cli::help().trim_end(), @r"
    Usage: skylarkshore FILE
           skylarkshore --check FILE

    Runs an entry host with the settings in FILE, which is JSON with comments.

    Options:
        -c, --check         check the settings file, report all errors, and exit
        -h, --help          print this help
        -V, --version       print the version
    ");
}

#[test]
fn exactly_one_settings_file_is_accepted() {
    assert_eq!(cli::parse(args(&["host.jsonc"])).unwrap(), Command::Run("host.jsonc".into()));
    assert_eq!(cli::parse(args(&["--check", "host.jsonc"])).unwrap(), Command::Check("host.jsonc".into()));
    let refused: Vec<String> = [&[][..], &["a", "b"], &["--loud"]]
        .iter()
        .map(|list| cli::parse(args(list)).unwrap_err().to_string())
        .collect();
    insta::assert_snapshot!(refused.join("\n"), @r"
    0 settings files are named; name exactly one, or see skylarkshore --help
    2 settings files are named; name exactly one, or see skylarkshore --help
    Unrecognized option: 'loud'; see skylarkshore --help
    ");
}

#[test]
fn all_errors_in_the_settings_are_reported_with_location_and_remedy() {
    let text = r#"{
      // The host's name is missing.
      "data_centre": "bern a",
      "caller_address": "localhost:80",
      "peer_address": "0.0.0.0:81",
      "operator_address": "127.0.0.1:82",
      "store": { "endpoints": [], "retry": 3 },
      "log": { "level": "loud" },
      "limits": { "body_bytes": 10, "queue_total": "many" },
      "timings": { "hold_ms": 12000, "renew_every_ms": 7000, "hold_ms": 13000 },
      "colour": "blue"
    }"#;
    insta::assert_snapshot!(text.parse::<Config>().unwrap_err(), @r#"
    the settings have 14 error(s)
      line 1, host: is missing; add it, for example "entry-1"
      line 1, hosts: is missing; add it, for example { ... }
      line 3, data_centre: 'bern a' is not a name; use 1 to 128 letters, digits or any of . _ : / @ -
      line 4, caller_address: is no address; write an IP number and a port in double quotes, for example "10.0.0.1:8080"
      line 5, peer_address: is told to others, who can't connect to it; write the host's own IP number
      line 7, store.endpoints: is empty; name at least one
      line 7, store.retry: is unknown; remove it, or use one of: endpoints
      line 8, log.level: 'loud' is no level; use one of error, warning, info, debug, trace
      line 9, limits.body_bytes: is no whole number from 1024 to 67108864; write one
      line 9, limits.queue_total: is no whole number from 1 to 1000000; write one
      line 10, timings.hold_ms: is longer than lease_ttl_ms; make it shorter
      line 10, timings.renew_every_ms: leaves no second try within hold_ms; make it at most half of that
      line 10, timings.hold_ms: stands twice; remove one of them
      line 11, colour: is unknown; remove it, or use one of: host, data_centre, caller_address, peer_address, operator_address, registry, store, hosts, default_rules, everyone_watches, news_relayed, first_start, cores, log, memory_mb, limits, timings
    "#);
}

#[test]
fn syntax_error_in_the_settings_is_reported_with_its_line() {
    insta::assert_snapshot!("{\n  \"host\": \"a\"\n  \"x\" 1\n}".parse::<Config>().unwrap_err(), @r"
    the settings have 1 error(s)
      line 2, the file: is no JSON with comments: Expected comma; mend it
    ");
}

#[test]
fn example_settings_are_valid() {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    for deployment in ["lagerraum", "huon"] {
        let config = Config::read(&examples.join(deployment).join("host.jsonc")).unwrap();
        assert!(config.timings.hold <= config.timings.lease_ttl);
    }
}

#[derive(Clone, Default)]
struct Buffer(Arc<Mutex<Vec<u8>>>);

impl Write for Buffer {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn log_line_is_one_event_of_key_value_pairs() {
    let buf = Buffer::default();
    let drain = Mutex::new(drain(buf.clone(), LogLevel(Level::Info))).fuse();
    let log = Logger::root(drain, o!("host" => "entry-1"));
    info!(log, "engine_acquired"; "subject" => "engine-2", "detail" => "fence 4, \"quoted\"\nand broken");
    trace!(log, "below_log_level");
    let bytes = buf.0.lock().unwrap().clone();
    let text = String::from_utf8(bytes).unwrap();
    let (ts, rest) = text.split_once(' ').unwrap();
    ts.strip_prefix("ts=").unwrap().parse::<u64>().unwrap();
    insta::assert_snapshot!(rest.trim_end(), @r#"event=engine_acquired level=INFO host=entry-1 detail="fence 4, \"quoted\"\nand broken" subject=engine-2"#);
}
