//! Memory and processor time of the process, under Prometheus' standard names.

use std::fmt::Write;

/// Ticks per second in `/proc/self/stat`; fixed on Linux.
const TICKS_PER_SECOND: f64 = 100.0;
const BYTES_PER_KIBIBYTE: u64 = 1024;

/// Renders memory and processor time; omits what can't be read.
pub(super) fn render() -> String {
    let mut text = String::new();
    if let Some(bytes) = resident_bytes() {
        // Writing to a string can't fail.
        _ = write!(
            text,
            "# HELP process_resident_memory_bytes Memory of the process.\n\
             # TYPE process_resident_memory_bytes gauge\nprocess_resident_memory_bytes {bytes}\n"
        );
    }
    if let Some(seconds) = cpu_seconds() {
        _ = write!(
            text,
            "# HELP process_cpu_seconds_total Processor time of the process.\n\
             # TYPE process_cpu_seconds_total counter\nprocess_cpu_seconds_total {seconds}\n"
        );
    }
    text
}

fn resident_bytes() -> Option<u64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kibibytes: u64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kibibytes * BYTES_PER_KIBIBYTE)
}

fn cpu_seconds() -> Option<f64> {
    let stat = std::fs::read_to_string("/proc/self/stat").ok()?;
    // The program's name in parentheses may contain spaces; fields are counted after it.
    let (_, fields) = stat.rsplit_once(')')?;
    let mut fields = fields.split_whitespace().skip(11);
    let user: f64 = fields.next()?.parse().ok()?;
    let system: f64 = fields.next()?.parse().ok()?;
    Some((user + system) / TICKS_PER_SECOND)
}
