//! The operators' command-line tool: changes the rules and queries running processes.

pub mod cli;
pub mod diff;
pub mod error;
mod host;
mod http;
mod rules;
mod store;

use std::ffi::OsString;
use std::process::ExitCode;

use cli::{Action, Command};
use error::Error;

/// Exit code for an invalid command line.
const EXIT_USAGE: u8 = 2;
/// Exit code for a conflict with a change by another operator.
const EXIT_CONFLICT: u8 = 3;

/// Runs the program and returns its exit code: 1 for a failure, 2 for an invalid
/// command line, 3 for a conflict with another operator.
pub fn main(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    let command = match cli::parse(args) {
        Ok(command) => command,
        Err(err) => {
            eprintln!("skylarkctl: {err}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match execute(command) {
        Ok(text) => {
            println!("{}", text.trim_end());
            ExitCode::SUCCESS
        }
        Err(err) => {
            eprintln!("skylarkctl: {err}");
            ExitCode::from(if matches!(err, Error::Conflict(_)) { EXIT_CONFLICT } else { 1 })
        }
    }
}

/// Executes a command and returns the text to print.
///
/// # Errors
///
/// See [`Error`].
pub fn execute(command: Command) -> Result<String, Error> {
    match command {
        Command::Help => Ok(cli::help()),
        Command::Version => Ok(cli::version()),
        Command::Run(action) => {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
            runtime.block_on(run_action(action))
        }
    }
}

async fn run_action(action: Action) -> Result<String, Error> {
    match action {
        Action::Check { file } => rules::check(&file),
        Action::Show { store, revision } => rules::show(store, revision).await,
        Action::Apply { store, file, revision } => rules::apply(store, &file, revision).await,
        Action::History { store } => rules::history(store).await,
        Action::Explain { host, model } => host::explain(host, &model).await,
        Action::State { host } => host::state(host).await,
        Action::Drain { host } => host::drain(host).await,
        Action::Entry { host } => host::entry(host).await,
    }
}
