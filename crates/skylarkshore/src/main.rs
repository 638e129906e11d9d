//! Entry point of the entry host program.

use std::process::ExitCode;

fn main() -> ExitCode {
    skylarkshore::cli::main(std::env::args_os().skip(1))
}
