//! The command line; [`parse`] turns arguments into a [`Command`].

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;

use derive_more::{Display, Error, From};
use getopts::{Matches, Options};
use skylarkshore_core::id::RulesRevision;

const USAGE_HEADER: &str = "\
Usage: skylarkctl rules check FILE
       skylarkctl --store ADDR rules show [--revision N]
       skylarkctl --store ADDR rules apply FILE [--revision N]
       skylarkctl --store ADDR rules history
       skylarkctl rules explain MODEL --host ADDR
       skylarkctl state HOST
       skylarkctl drain HOST
       skylarkctl entry CALLER_ADDR

Changes the rules and asks running skylarkshore processes what they do.
HOST and the ADDR of --host are a process's operator address, such as
10.0.0.1:8082; CALLER_ADDR is where callers reach it. Exit codes: 1 failure, 2 wrong command line, 3 another
operator has changed the rules in the meantime.";

/// A parsed command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Print the help text.
    Help,
    /// Print the program's version.
    Version,
    /// Run an action.
    Run(Action),
}

/// An action on the rules or on a running process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Check a rules document.
    Check {
        /// The document.
        file: PathBuf,
    },
    /// Print a rules document.
    Show {
        /// The key-value service.
        store: SocketAddr,
        /// The revision; if absent, the one in force.
        revision: Option<RulesRevision>,
    },
    /// Put a rules document into force.
    Apply {
        /// The key-value service.
        store: SocketAddr,
        /// The document.
        file: PathBuf,
        /// The revision that it was edited from; if absent, the one in the document.
        revision: Option<RulesRevision>,
    },
    /// List the history of the rules.
    History {
        /// The key-value service.
        store: SocketAddr,
    },
    /// Print which rule matches a model, and why.
    Explain {
        /// The process's operator address.
        host: SocketAddr,
        /// The model or adapter.
        model: String,
    },
    /// Print the state of a process.
    State {
        /// The process's operator address.
        host: SocketAddr,
    },
    /// Make a process shut down gracefully.
    Drain {
        /// The process's operator address.
        host: SocketAddr,
    },
    /// List the entry hosts that a process returns to callers.
    Entry {
        /// The process's address for callers.
        host: SocketAddr,
    },
}

/// Why the command line isn't valid.
#[derive(Debug, Display, Error, From)]
pub enum UsageError {
    /// Invalid option.
    #[display("{_0}; see skylarkctl --help")]
    Option(getopts::Fail),
    /// Unknown command.
    #[display("there is no command '{command}'; see skylarkctl --help")]
    #[from(skip)]
    Unknown {
        /// The text from the command line.
        command: String,
    },
    /// No command is given.
    #[display("no command is given; see skylarkctl --help")]
    #[from(skip)]
    NoCommand,
    /// A required option is missing.
    #[display("'{command}' needs --{option} ADDR, for example --{option} {example}")]
    #[from(skip)]
    Missing {
        /// The command.
        command: &'static str,
        /// The option.
        option: &'static str,
        /// An example value.
        example: &'static str,
    },
    /// Wrong number of arguments.
    #[display("'{command}' needs {needs}; see skylarkctl --help")]
    #[from(skip)]
    Arguments {
        /// The command.
        command: &'static str,
        /// The required arguments.
        needs: &'static str,
    },
    /// Invalid address.
    #[display("'{text}' is not an address; write an IP number and a port, for example {example}")]
    #[from(skip)]
    Address {
        /// The text from the command line.
        text: String,
        /// An example value.
        example: &'static str,
    },
    /// Invalid revision.
    #[display("'{text}' is not a revision; write the number that 'rules history' shows")]
    #[from(skip)]
    Revision {
        /// The text from the command line.
        text: String,
    },
}

const STORE_EXAMPLE: &str = "10.0.0.9:2379";
const HOST_EXAMPLE: &str = "10.0.0.1:8082";

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("s", "store", "the key-value service's address", "ADDR");
    options.optopt("H", "host", "a process's operator address", "ADDR");
    options.optopt("r", "revision", "the revision to show, or from which FILE was edited", "N");
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
    format!("skylarkctl {}", env!("CARGO_PKG_VERSION"))
}

/// Parses the arguments after the program name.
///
/// # Errors
///
/// The command is unknown, or an argument is missing or wrong.
pub fn parse(args: impl IntoIterator<Item = OsString>) -> Result<Command, UsageError> {
    let matches = options().parse(args)?;
    if matches.opt_present("help") {
        return Ok(Command::Help);
    }
    if matches.opt_present("version") {
        return Ok(Command::Version);
    }
    let words: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    let action = match words.as_slice() {
        [] => return Err(UsageError::NoCommand),
        ["rules", rest @ ..] => parse_rules(&matches, rest)?,
        ["state", rest @ ..] => Action::State { host: parse_host(&matches, "state", rest)? },
        ["drain", rest @ ..] => Action::Drain { host: parse_host(&matches, "drain", rest)? },
        ["entry", rest @ ..] => Action::Entry { host: parse_host(&matches, "entry", rest)? },
        [other, ..] => return Err(UsageError::Unknown { command: (*other).to_owned() }),
    };
    Ok(Command::Run(action))
}

fn parse_rules(matches: &Matches, words: &[&str]) -> Result<Action, UsageError> {
    match words {
        ["check", rest @ ..] => Ok(Action::Check { file: parse_file("rules check", rest)? }),
        ["show"] => Ok(Action::Show {
            store: parse_store(matches, "rules show")?,
            revision: parse_revision(matches)?,
        }),
        ["apply", rest @ ..] => Ok(Action::Apply {
            file: parse_file("rules apply", rest)?,
            store: parse_store(matches, "rules apply")?,
            revision: parse_revision(matches)?,
        }),
        ["history"] => Ok(Action::History { store: parse_store(matches, "rules history")? }),
        ["explain", model] => {
            let host = address_option(matches, "rules explain", "host", HOST_EXAMPLE)?;
            Ok(Action::Explain { host, model: (*model).to_owned() })
        }
        ["explain", ..] => {
            Err(UsageError::Arguments { command: "rules explain", needs: "one model or adapter" })
        }
        ["show" | "history", ..] => {
            Err(UsageError::Arguments { command: "rules", needs: "no argument here" })
        }
        other => {
            Err(UsageError::Unknown { command: format!("rules {}", other.join(" ")).trim_end().to_owned() })
        }
    }
}

fn parse_file(command: &'static str, words: &[&str]) -> Result<PathBuf, UsageError> {
    match words {
        [file] => Ok(file.into()),
        _ => Err(UsageError::Arguments { command, needs: "one file" }),
    }
}

fn parse_store(matches: &Matches, command: &'static str) -> Result<SocketAddr, UsageError> {
    address_option(matches, command, "store", STORE_EXAMPLE)
}

fn parse_host(matches: &Matches, command: &'static str, words: &[&str]) -> Result<SocketAddr, UsageError> {
    match words {
        [host] => parse_address(host, HOST_EXAMPLE),
        [] if matches.opt_present("host") => address_option(matches, command, "host", HOST_EXAMPLE),
        _ => Err(UsageError::Arguments { command, needs: "one operator address, for example 10.0.0.1:8082" }),
    }
}

fn address_option(
    matches: &Matches,
    command: &'static str,
    option: &'static str,
    example: &'static str,
) -> Result<SocketAddr, UsageError> {
    let text = matches.opt_str(option).ok_or(UsageError::Missing { command, option, example })?;
    parse_address(&text, example)
}

fn parse_address(text: &str, example: &'static str) -> Result<SocketAddr, UsageError> {
    let plain = text.strip_prefix("http://").unwrap_or(text).trim_end_matches('/');
    plain.parse().map_err(|_invalid| UsageError::Address { text: text.to_owned(), example })
}

fn parse_revision(matches: &Matches) -> Result<Option<RulesRevision>, UsageError> {
    let parse = |text: String| text.parse().map_err(|_invalid| UsageError::Revision { text });
    matches.opt_str("revision").map(parse).transpose()
}
