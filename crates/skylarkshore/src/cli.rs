//! The command line of the entry host, which accepts client requests; start with [`main`].

use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use derive_more::{Display, Error, From};
use getopts::Options;
use skylarkshore_core::id::Incarnation;

use skylarkshore_host::config::{Config, PlatformSettings};
use skylarkshore_host::error::Error;
use skylarkshore_host::platform::Platform;
use skylarkshore_host::run;
use skylarkshore_platform::RegistryPlatform;

const USAGE_HEADER: &str = "\
Usage: skylarkshore FILE
       skylarkshore --check FILE

Runs an entry host with the settings in FILE, which is JSON with comments.";

/// A parsed command line.
#[derive(Debug, PartialEq, Eq)]
pub enum Command {
    /// Run the entry host with a settings file.
    Run(PathBuf),
    /// Check a settings file and exit.
    Check(PathBuf),
    /// Print the help text.
    Help,
    /// Print the program's version.
    Version,
}

/// Why the command line isn't valid.
#[derive(Debug, Display, Error, From)]
pub enum UsageError {
    /// Invalid option.
    #[display("{_0}; see skylarkshore --help")]
    Option(getopts::Fail),
    /// The command line doesn't name exactly one file.
    #[display("{count} settings files are named; name exactly one, or see skylarkshore --help")]
    #[from(skip)]
    Files {
        /// Number of files named.
        count: usize,
    },
}

fn options() -> Options {
    let mut options = Options::new();
    options.optflag("c", "check", "check the settings file, report all errors, and exit");
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    options
}

/// Returns the text of `--help`.
pub fn help() -> String {
    options().usage(USAGE_HEADER)
}

/// Returns the text of `--version`.
pub fn version() -> String {
    format!("skylarkshore {}", env!("CARGO_PKG_VERSION"))
}

/// Parses the arguments after the program name.
///
/// # Errors
///
/// An option is unknown, or there isn't exactly one file.
pub fn parse(args: impl IntoIterator<Item = OsString>) -> Result<Command, UsageError> {
    let matches = options().parse(args)?;
    if matches.opt_present("help") {
        return Ok(Command::Help);
    }
    if matches.opt_present("version") {
        return Ok(Command::Version);
    }
    let [file] = matches.free.as_slice() else {
        return Err(UsageError::Files { count: matches.free.len() });
    };
    if matches.opt_present("check") {
        return Ok(Command::Check(file.into()));
    }
    Ok(Command::Run(file.into()))
}

/// Runs the program and returns its exit code: 2 for an invalid command line, 1
/// for a failure.
pub fn main(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    let command = match parse(args) {
        Ok(command) => command,
        Err(err) => {
            eprintln!("skylarkshore: {err}");
            return ExitCode::from(2);
        }
    };
    match execute(command) {
        Ok(code) => code,
        Err(err) => {
            eprintln!("skylarkshore: {err}");
            ExitCode::FAILURE
        }
    }
}

fn execute(command: Command) -> Result<ExitCode, Error> {
    match command {
        Command::Help => println!("{}", help().trim_end()),
        Command::Version => println!("{}", version()),
        Command::Check(file) => {
            let config = Config::read(&file)?;
            println!("{}: the settings of host {} are valid", file.display(), config.host);
        }
        Command::Run(file) => return run_host(&file),
    }
    Ok(ExitCode::SUCCESS)
}

fn run_host(file: &Path) -> Result<ExitCode, Error> {
    run::run(&|| Config::read(file), &platform)
}

/// Creates the platform that the settings select: the product's own, with etcd and a host
/// list, or one whose upstreams register themselves in its key-value service.
///
/// A platform provides the client of the key-value service and the protocols of upstreams, engines
/// and callers.
fn platform(config: &Config, incarnation: Incarnation) -> Box<dyn Platform> {
    match &config.platform {
        PlatformSettings::Etcd(settings) => run::own_platform(config, settings.clone(), incarnation),
        PlatformSettings::Registry(settings) => Box::new(RegistryPlatform::new(
            settings.clone(),
            config.host.clone(),
            config.timings.store_timeout,
        )),
    }
}
