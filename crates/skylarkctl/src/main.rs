//! Entry point of the operators' command-line tool.

use std::process::ExitCode;

fn main() -> ExitCode {
    skylarkctl::main(std::env::args_os().skip(1))
}
