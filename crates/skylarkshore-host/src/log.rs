//! Logging: one event per line, as key=value pairs on standard output.

use std::io::{Write, stdout};

use skylarkshore_core::collections::HashMap;
use slog::{Drain, LevelFilter, Logger, o, warn};
use slog_async::{Async, AsyncGuard};
use slog_logfmt::Logfmt;

use crate::config::{Config, LogLevel};

/// Lines queued for writing; more are dropped and counted in a line of their own.
const QUEUE_CAPACITY: usize = 4096;

/// Creates the logger; dropping the guard flushes it.
pub(crate) fn logger(config: &Config) -> (Logger, AsyncGuard) {
    let (drain, guard) = Async::new(drain(stdout(), config.log_level).fuse())
        .chan_size(QUEUE_CAPACITY)
        .thread_name("skylarkshore-log".to_owned())
        .build_with_guard();
    let root = Logger::root(drain.fuse(), o!("host" => config.host.to_string()));
    (root, guard)
}

/// Creates the drain that writes lines of at least the level.
pub fn drain<W: Write>(writer: W, level: LogLevel) -> impl Drain<Ok = (), Err = slog::Never> {
    let logfmt = Logfmt::new(writer).set_prefix(prefix).print_level(true).build();
    LevelFilter::new(logfmt, level.0).fuse()
}

/// Writes the time and the event name, which is the record's message.
fn prefix(writer: &mut dyn Write, record: &slog::Record<'_>) -> slog::Result {
    write!(writer, "ts={} event={} ", unix_millis(), record.msg())?;
    Ok(())
}

/// Lines of one kind that are written per second.
///
/// Higher rates occur under overload, when further lines add no information
/// and writing them would slow the answers down.
const MAX_LINES_PER_SECOND: u32 = 200;

/// Limits the rate of lines per kind.
#[derive(Debug, Default)]
pub struct LineRateLimiter {
    second: u64,
    written: HashMap<&'static str, u32>,
}

impl LineRateLimiter {
    /// Reports whether another line of a kind may be written; logs the number of omitted lines.
    pub fn allows(&mut self, log: &Logger, kind: &'static str) -> bool {
        let second = unix_millis() / 1000;
        if second != self.second {
            self.second = second;
            for (kind, lines) in self.written.drain().filter(|(_, lines)| *lines > MAX_LINES_PER_SECOND) {
                warn!(log, "lines_left_out"; "count" => lines - MAX_LINES_PER_SECOND, "kind" => kind);
            }
        }
        let lines = self.written.entry(kind).or_default();
        *lines += 1;
        *lines <= MAX_LINES_PER_SECOND
    }
}

/// Returns the milliseconds since the Unix epoch.
pub(crate) fn unix_millis() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
