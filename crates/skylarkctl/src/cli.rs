//! The command line.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;

use derive_more::{Display, Error, From};
use getopts::{Matches, Options};
use skylarkshore_core::id::RulesRevision;

const BRIEF: &str = "\
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

/// What the command line asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Print how the program is used.
    Help,
    /// Print the program's version.
    Version,
    /// Do something.
    Do(Action),
}

/// What is to be done.
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
        /// Which revision; the one in force when absent.
        revision: Option<RulesRevision>,
    },
    /// Bring a rules document into force.
    Apply {
        /// The key-value service.
        store: SocketAddr,
        /// The document.
        file: PathBuf,
        /// The revision it was edited from; the one it carries when absent.
        revision: Option<RulesRevision>,
    },
    /// List the changes of the rules.
    History {
        /// The key-value service.
        store: SocketAddr,
    },
    /// Tell which rule matches a model, and why.
    Explain {
        /// The process's operator address.
        host: SocketAddr,
        /// The model or adapter.
        model: String,
    },
    /// Print what a process believes.
    State {
        /// The process's operator address.
        host: SocketAddr,
    },
    /// Have a process leave.
    Drain {
        /// The process's operator address.
        host: SocketAddr,
    },
    /// List the entry hosts that a process names to callers.
    Entry {
        /// Where callers reach the process.
        host: SocketAddr,
    },
}

/// Why the command line can't be understood.
#[derive(Debug, Display, Error, From)]
pub enum Usage {
    /// An option is wrong.
    #[display("{_0}; see skylarkctl --help")]
    Option(getopts::Fail),
    /// There is no such command.
    #[display("there is no command '{command}'; see skylarkctl --help")]
    #[from(skip)]
    Unknown {
        /// What was written.
        command: String,
    },
    /// No command was given.
    #[display("no command is given; see skylarkctl --help")]
    #[from(skip)]
    Nothing,
    /// The command needs an option.
    #[display("'{command}' needs --{option} ADDR, for example --{option} {example}")]
    #[from(skip)]
    Missing {
        /// The command.
        command: &'static str,
        /// The option.
        option: &'static str,
        /// How it may look.
        example: &'static str,
    },
    /// The command has a wrong number of arguments.
    #[display("'{command}' needs {needs}; see skylarkctl --help")]
    #[from(skip)]
    Arguments {
        /// The command.
        command: &'static str,
        /// What it needs.
        needs: &'static str,
    },
    /// An address is wrong.
    #[display("'{text}' is no address; write an IP number and a port, for example {example}")]
    #[from(skip)]
    Address {
        /// What was written.
        text: String,
        /// How it may look.
        example: &'static str,
    },
    /// A revision is wrong.
    #[display("'{text}' is no revision; write the number that 'rules history' shows")]
    #[from(skip)]
    Revision {
        /// What was written.
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
    options().usage(BRIEF)
}

/// Returns the text of `--version`.
pub fn version() -> String {
    format!("skylarkctl {}", env!("CARGO_PKG_VERSION"))
}

/// Reads the arguments that follow the program's name.
///
/// # Errors
///
/// The command is unknown, or an argument is missing or wrong.
pub fn parse(args: impl IntoIterator<Item = OsString>) -> Result<Command, Usage> {
    let matches = options().parse(args)?;
    if matches.opt_present("help") {
        return Ok(Command::Help);
    }
    if matches.opt_present("version") {
        return Ok(Command::Version);
    }
    let words: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    let action = match words.as_slice() {
        [] => return Err(Usage::Nothing),
        ["rules", rest @ ..] => rules(&matches, rest)?,
        ["state", rest @ ..] => Action::State { host: host(&matches, "state", rest)? },
        ["drain", rest @ ..] => Action::Drain { host: host(&matches, "drain", rest)? },
        ["entry", rest @ ..] => Action::Entry { host: host(&matches, "entry", rest)? },
        [other, ..] => return Err(Usage::Unknown { command: (*other).to_owned() }),
    };
    Ok(Command::Do(action))
}

fn rules(matches: &Matches, words: &[&str]) -> Result<Action, Usage> {
    match words {
        ["check", rest @ ..] => Ok(Action::Check { file: file("rules check", rest)? }),
        ["show"] => Ok(Action::Show { store: store(matches, "rules show")?, revision: revision(matches)? }),
        ["apply", rest @ ..] => Ok(Action::Apply {
            file: file("rules apply", rest)?,
            store: store(matches, "rules apply")?,
            revision: revision(matches)?,
        }),
        ["history"] => Ok(Action::History { store: store(matches, "rules history")? }),
        ["explain", model] => {
            let host = option(matches, "rules explain", "host", HOST_EXAMPLE)?;
            Ok(Action::Explain { host, model: (*model).to_owned() })
        }
        ["explain", ..] => Err(Usage::Arguments { command: "rules explain", needs: "one model or adapter" }),
        ["show" | "history", ..] => Err(Usage::Arguments { command: "rules", needs: "no argument here" }),
        other => Err(Usage::Unknown { command: format!("rules {}", other.join(" ")).trim_end().to_owned() }),
    }
}

fn file(command: &'static str, words: &[&str]) -> Result<PathBuf, Usage> {
    match words {
        [file] => Ok(file.into()),
        _ => Err(Usage::Arguments { command, needs: "one file" }),
    }
}

fn store(matches: &Matches, command: &'static str) -> Result<SocketAddr, Usage> {
    option(matches, command, "store", STORE_EXAMPLE)
}

fn host(matches: &Matches, command: &'static str, words: &[&str]) -> Result<SocketAddr, Usage> {
    match words {
        [host] => address(host, HOST_EXAMPLE),
        [] if matches.opt_present("host") => option(matches, command, "host", HOST_EXAMPLE),
        _ => Err(Usage::Arguments { command, needs: "one operator address, for example 10.0.0.1:8082" }),
    }
}

fn option(
    matches: &Matches,
    command: &'static str,
    option: &'static str,
    example: &'static str,
) -> Result<SocketAddr, Usage> {
    let text = matches.opt_str(option).ok_or(Usage::Missing { command, option, example })?;
    address(&text, example)
}

fn address(text: &str, example: &'static str) -> Result<SocketAddr, Usage> {
    let plain = text.strip_prefix("http://").unwrap_or(text).trim_end_matches('/');
    plain.parse().map_err(|_invalid| Usage::Address { text: text.to_owned(), example })
}

fn revision(matches: &Matches) -> Result<Option<RulesRevision>, Usage> {
    let parse = |text: String| text.parse().map_err(|_invalid| Usage::Revision { text });
    matches.opt_str("revision").map(parse).transpose()
}
