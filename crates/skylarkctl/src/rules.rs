//! Checks, shows and changes the rules document.

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use skylarkshore_core::catalogue::Document;
use skylarkshore_core::id::{CallId, HostId, Incarnation, RulesRevision};
use skylarkshore_wire::document::{DocumentWire, Finding, Severity, check as find};
use skylarkshore_wire::keys::WriterWire;
use tokio::time::sleep;

use crate::diff::changes;
use crate::error::{Conflict, Error};
use crate::store::{self, InForce, StoredDocument, Written, unix_micros};

/// How many of the last changes are listed.
const LISTED_REVISIONS: u64 = 20;
/// How often a change whose answer was lost is looked for.
const ATTEMPTS: u32 = 5;
/// How long to wait before the next attempt.
const REST: Duration = Duration::from_millis(500);

/// A document that may be applied, and what is odd about it.
struct Checked {
    wire: DocumentWire,
    warnings: Vec<Finding>,
}

fn read(path: &Path) -> Result<Checked, Error> {
    let text =
        std::fs::read_to_string(path).map_err(|source| Error::Read { path: path.to_owned(), source })?;
    let invalid = |source| Error::Document { path: path.to_owned(), source };
    let wire = DocumentWire::parse(&text).map_err(invalid)?;
    let document = Document::try_from(wire.clone()).map_err(invalid)?;
    let findings = find(&document);
    if findings.iter().any(|finding| finding.severity == Severity::Error) {
        return Err(Error::Findings { path: path.to_owned(), findings: lines(&findings) });
    }
    Ok(Checked { wire, warnings: findings })
}

fn lines(findings: &[Finding]) -> String {
    let lines: Vec<String> = findings.iter().map(|finding| format!("  {finding}")).collect();
    lines.join("\n")
}

pub(crate) fn check(file: &Path) -> Result<String, Error> {
    let Checked { wire, warnings } = read(file)?;
    let rules = wire.rules.len();
    let models = wire.models.len();
    let adapters: usize = wire.models.values().map(|model| model.adapters.len()).sum();
    let summary = format!(
        "{}: valid, edited from revision {}: {rules} rules, {models} models, {adapters} adapters",
        file.display(),
        wire.revision
    );
    Ok(format!("{summary}\n{}", lines(&warnings)))
}

pub(crate) async fn show(store: SocketAddr, revision: Option<RulesRevision>) -> Result<String, Error> {
    let stored = match revision {
        Some(revision) => store::earlier(store, revision).await?.ok_or(Error::NoRevision { revision })?,
        None => store::in_force(store).await?.stored.ok_or(Error::NoDocument)?,
    };
    Ok(stored.value.to_pretty_json())
}

pub(crate) async fn history(store: SocketAddr) -> Result<String, Error> {
    let in_force = store::in_force(store).await?.revision();
    let from = RulesRevision(in_force.0.saturating_sub(LISTED_REVISIONS - 1));
    let mut text = String::from("revision  age       by");
    let now = unix_micros() / 1_000_000;
    for stored in store::history(store, from).await? {
        let age = age(now.saturating_sub(stored.written_at()));
        // Writing to a string can't fail.
        _ = write!(text, "\n{:<8}  {age:<8}  {}", stored.value.revision, stored.writer.host);
    }
    Ok(text)
}

fn age(secs: u64) -> String {
    match secs {
        0..120 => format!("{secs} s"),
        120..7200 => format!("{} min", secs / 60),
        7200..172_800 => format!("{} h", secs / 3600),
        _ => format!("{} d", secs / 86_400),
    }
}

pub(crate) async fn apply(
    store: SocketAddr,
    file: &Path,
    revision: Option<RulesRevision>,
) -> Result<String, Error> {
    let Checked { mut wire, warnings } = read(file)?;
    let edited = revision.unwrap_or(RulesRevision(wire.revision));
    wire.revision = edited.next().0;
    let document = StoredDocument { writer: writer()?, value: wire };
    let in_force = store::in_force(store).await?;
    if in_force.revision() != edited {
        return Err(conflict(store, file, edited, &in_force).await);
    }
    write(store, file, &in_force, &document).await?;
    let accepted = document.value.revision;
    let summary = format!(
        "revision {accepted} is accepted and comes into force everywhere within seconds\n\
         set \"revision\" to {accepted} in {} before you edit it again",
        file.display()
    );
    Ok(format!("{}\n{summary}", lines(&warnings)).trim_start_matches('\n').to_owned())
}

async fn write(
    store: SocketAddr,
    file: &Path,
    base: &InForce,
    document: &StoredDocument,
) -> Result<(), Error> {
    let mut doubtful = false;
    for _ in 0..ATTEMPTS {
        match store::replace(store, base, document).await {
            Written::Done => return Ok(()),
            Written::NotSent(err) if !doubtful => return Err(err.into()),
            Written::Conflict | Written::NotSent(_) | Written::InDoubt => doubtful = true,
        }
        // The answer to our own write may have been lost. Reporting a conflict then
        // would have the operator apply the change a second time, so the writer decides.
        match store::in_force(store).await {
            Ok(found) if is_from(&found, &document.writer) => return Ok(()),
            Ok(found) if found.key_revision != base.key_revision => {
                if passed_on(store, document).await {
                    return Ok(());
                }
                return Err(conflict(store, file, base.revision(), &found).await);
            }
            Ok(_) | Err(_) => sleep(REST).await,
        }
    }
    Err(Error::InDoubt)
}

fn is_from(found: &InForce, writer: &WriterWire) -> bool {
    found.stored.as_ref().is_some_and(|stored| stored.writer == *writer)
}

/// Tells whether our document was in force and another one has already followed it.
async fn passed_on(store: SocketAddr, document: &StoredDocument) -> bool {
    let revision = RulesRevision(document.value.revision);
    let kept = store::earlier(store, revision).await.ok().flatten();
    kept.is_some_and(|kept| kept.writer == document.writer)
}

async fn conflict(store: SocketAddr, file: &Path, edited: RulesRevision, found: &InForce) -> Error {
    let in_force = found.revision();
    let now = found.stored.as_ref().map(|stored| stored.value.clone()).unwrap_or_default();
    let then = store::earlier(store, edited).await.ok().flatten();
    let changes = match then {
        Some(then) => format!("what changed in between:\n{}", changes(&then.value, &now)),
        None => format!("revision {edited} isn't kept, so see the whole with 'rules show'\n"),
    };
    Error::Conflict(Conflict { path: file.to_owned(), edited, in_force, changes })
}

/// Names this run of the program, so that it knows its own write again.
fn writer() -> Result<WriterWire, Error> {
    let user = std::env::var("USER").unwrap_or_default();
    let host = format!("skylarkctl:{user}").parse::<HostId>();
    let host = host
        .or_else(|_odd| "skylarkctl".parse())
        .map_err(|err| Error::Runtime(std::io::Error::other(err)))?;
    // Two runs that start within the same microsecond are told apart by their process ids.
    let call = CallId(u64::from(std::process::id()));
    Ok(WriterWire { host, incarnation: Incarnation(unix_micros()), call })
}
