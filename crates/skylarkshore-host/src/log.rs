//! Log lines: one event each, as key=value pairs on standard output.

use std::io::{Write, stdout};

use skylarkshore_core::collections::HashMap;
use slog::{Drain, LevelFilter, Logger, o, warn};
use slog_async::{Async, AsyncGuard};
use slog_logfmt::Logfmt;

use crate::config::{Config, LogLevel};

/// Lines that wait to be written; more are dropped and counted in a line of their own.
const QUEUE_LEN: usize = 4096;

/// Makes the logger; its last lines are written when the guard is dropped.
pub(crate) fn logger(config: &Config) -> (Logger, AsyncGuard) {
    let (drain, guard) = Async::new(drain(stdout(), config.log_level).fuse())
        .chan_size(QUEUE_LEN)
        .thread_name("skylarkshore-log".to_owned())
        .build_with_guard();
    let root = Logger::root(drain.fuse(), o!("host" => config.host.to_string()));
    (root, guard)
}

/// Makes the drain that writes lines of at least the level.
pub fn drain<W: Write>(writer: W, level: LogLevel) -> impl Drain<Ok = (), Err = slog::Never> {
    let logfmt = Logfmt::new(writer).set_prefix(prefix).print_level(true).build();
    LevelFilter::new(logfmt, level.0).fuse()
}

/// Writes when and what: the message of each event is a fixed word.
fn prefix(writer: &mut dyn Write, record: &slog::Record<'_>) -> slog::Result {
    write!(writer, "ts={} event={} ", unix_millis(), record.msg())?;
    Ok(())
}

/// How many lines of one kind are written in a second.
///
/// A kind that comes more often comes from overload, where the lines beyond tell
/// nothing new and writing them would slow the answers down further.
const LINES_PER_SECOND: u32 = 200;

/// Holds down how often lines of one kind are written.
#[derive(Debug, Default)]
pub struct LineBudget {
    second: u64,
    written: HashMap<&'static str, u32>,
}

impl LineBudget {
    /// Tells whether one more line of a kind may be written; says now and then how many were left out.
    pub fn allows(&mut self, log: &Logger, kind: &'static str) -> bool {
        let second = unix_millis() / 1000;
        if second != self.second {
            self.second = second;
            for (kind, lines) in self.written.drain().filter(|(_, lines)| *lines > LINES_PER_SECOND) {
                warn!(log, "lines_left_out"; "count" => lines - LINES_PER_SECOND, "kind" => kind);
            }
        }
        let lines = self.written.entry(kind).or_default();
        *lines += 1;
        *lines <= LINES_PER_SECOND
    }
}

/// Returns the milliseconds since the Unix epoch.
pub(crate) fn unix_millis() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
