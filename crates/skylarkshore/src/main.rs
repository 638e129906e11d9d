//! The entry host's program: settings, then sockets and timers round the core.

use std::process::ExitCode;

fn main() -> ExitCode {
    skylarkshore::cli::main(std::env::args_os().skip(1))
}
