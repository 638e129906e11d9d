//! The operators' program of skylarkshore.

use std::process::ExitCode;

fn main() -> ExitCode {
    skylarkctl::main(std::env::args_os().skip(1))
}
