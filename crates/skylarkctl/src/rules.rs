//! The `rules` commands: check, show and apply the operators' document, and list its history.
//!
//! A [`RulesRevision`] counts revisions of the whole document, not only of its rules.

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use skylarkshore_core::catalogue::Document;
use skylarkshore_core::id::{CallId, HostId, Incarnation, RulesRevision};
use skylarkshore_wire::document::{DocumentWire, Finding, Severity, check as check_document};
use skylarkshore_wire::keys::WriterWire;
use tokio::time::sleep;

use crate::diff::describe_changes;
use crate::error::{Conflict, Error};
use crate::store::{self, CurrentDocument, StoredDocument, WriteOutcome, unix_micros};

/// Number of revisions that the history lists.
const LISTED_REVISIONS: u64 = 20;
/// Number of attempts to write a document or to find out whether it was written.
const MAX_WRITE_ATTEMPTS: u32 = 5;
/// Delay before the next attempt.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// A valid document with the warnings about it.
struct CheckedDocument {
    wire: DocumentWire,
    warnings: Vec<Finding>,
}

fn read_checked(path: &Path) -> Result<CheckedDocument, Error> {
    let text =
        std::fs::read_to_string(path).map_err(|source| Error::Read { path: path.to_owned(), source })?;
    let invalid = |source| Error::Document { path: path.to_owned(), source };
    let wire = DocumentWire::parse(&text).map_err(invalid)?;
    let document = Document::try_from(wire.clone()).map_err(invalid)?;
    let findings = check_document(&document);
    if findings.iter().any(|finding| finding.severity == Severity::Error) {
        return Err(Error::Findings { path: path.to_owned(), findings: format_findings(&findings) });
    }
    Ok(CheckedDocument { wire, warnings: findings })
}

fn format_findings(findings: &[Finding]) -> String {
    let lines: Vec<String> = findings.iter().map(|finding| format!("  {finding}")).collect();
    lines.join("\n")
}

pub(crate) fn check(file: &Path) -> Result<String, Error> {
    let CheckedDocument { wire, warnings } = read_checked(file)?;
    let rules = wire.rules.len();
    let models = wire.models.len();
    let adapters: usize = wire.models.values().map(|model| model.adapters.len()).sum();
    let summary = format!(
        "{}: valid, edited from revision {}: {rules} rules, {models} models, {adapters} adapters",
        file.display(),
        wire.revision
    );
    Ok(format!("{summary}\n{}", format_findings(&warnings)))
}

pub(crate) async fn show(store: SocketAddr, revision: Option<RulesRevision>) -> Result<String, Error> {
    let stored = match revision {
        Some(revision) => {
            store::read_revision(store, revision).await?.ok_or(Error::NoRevision { revision })?
        }
        None => store::read_current(store).await?.stored.ok_or(Error::NoDocument)?,
    };
    Ok(stored.value.to_pretty_json())
}

pub(crate) async fn history(store: SocketAddr) -> Result<String, Error> {
    let in_force = store::read_current(store).await?.revision();
    let from = RulesRevision(in_force.0.saturating_sub(LISTED_REVISIONS - 1));
    let mut text = String::from("revision  age       by");
    let now = unix_micros() / 1_000_000;
    for stored in store::read_history(store, from).await? {
        let age = format_age(now.saturating_sub(stored.written_at()));
        // Writing to a string can't fail.
        _ = write!(text, "\n{:<8}  {age:<8}  {}", stored.value.revision, stored.writer.host);
    }
    Ok(text)
}

fn format_age(secs: u64) -> String {
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
    base_revision: Option<RulesRevision>,
) -> Result<String, Error> {
    let CheckedDocument { mut wire, warnings } = read_checked(file)?;
    let base_revision = base_revision.unwrap_or(RulesRevision(wire.revision));
    wire.revision = base_revision.next().0;
    let document = StoredDocument { writer: new_writer()?, value: wire };
    let in_force = store::read_current(store).await?;
    if in_force.revision() != base_revision {
        return Err(conflict_error(store, file, base_revision, &in_force).await);
    }
    write(store, file, &in_force, &document).await?;
    let accepted = document.value.revision;
    let summary = format!(
        "revision {accepted} is accepted and comes into force everywhere within seconds\n\
         set \"revision\" to {accepted} in {} before you edit it again",
        file.display()
    );
    Ok(format!("{}\n{summary}", format_findings(&warnings)).trim_start_matches('\n').to_owned())
}

async fn write(
    store: SocketAddr,
    file: &Path,
    base: &CurrentDocument,
    document: &StoredDocument,
) -> Result<(), Error> {
    // Once an attempt was sent, a later `NotSent` doesn't prove that nothing was written, and a
    // conflict may come from the earlier attempt.
    let mut was_sent = false;
    for _ in 0..MAX_WRITE_ATTEMPTS {
        match store::replace(store, base, document).await {
            WriteOutcome::Done => return Ok(()),
            WriteOutcome::NotSent(err) if !was_sent => return Err(err.into()),
            WriteOutcome::Conflict | WriteOutcome::NotSent(_) | WriteOutcome::InDoubt => was_sent = true,
        }
        // The answer to this program's own write may have been lost. Reporting a conflict
        // would make the operator apply the change again, so the stored writer is compared.
        match store::read_current(store).await {
            Ok(found) if is_written_by(&found, &document.writer) => return Ok(()),
            Ok(found) if found.key_revision != base.key_revision => {
                if was_superseded(store, document).await {
                    return Ok(());
                }
                return Err(conflict_error(store, file, base.revision(), &found).await);
            }
            Ok(_) | Err(_) => sleep(RETRY_DELAY).await,
        }
    }
    Err(Error::InDoubt)
}

fn is_written_by(found: &CurrentDocument, writer: &WriterWire) -> bool {
    found.stored.as_ref().is_some_and(|stored| stored.writer == *writer)
}

/// Reports whether `document` was in force and has already been replaced by another one.
async fn was_superseded(store: SocketAddr, document: &StoredDocument) -> bool {
    let revision = RulesRevision(document.value.revision);
    let kept = store::read_revision(store, revision).await.ok().flatten();
    kept.is_some_and(|kept| kept.writer == document.writer)
}

async fn conflict_error(
    store: SocketAddr,
    file: &Path,
    base_revision: RulesRevision,
    found: &CurrentDocument,
) -> Error {
    let in_force = found.revision();
    let current_document = found.stored.as_ref().map(|stored| stored.value.clone()).unwrap_or_default();
    let base_document = store::read_revision(store, base_revision).await.ok().flatten();
    let changes = match base_document {
        Some(base) => {
            format!("what changed in between:\n{}", describe_changes(&base.value, &current_document))
        }
        None => format!(
            "revision {base_revision} can't be read from the history; 'rules show' prints the current document\n"
        ),
    };
    Error::Conflict(Conflict { path: file.to_owned(), base_revision, in_force, changes })
}

/// Returns a writer identity unique to this run, so that the program can recognise its own write.
///
/// The host carries the user's name, which `rules history` prints as the author. The incarnation,
/// which distinguishes the runs of a process, is the start time.
fn new_writer() -> Result<WriterWire, Error> {
    let user = std::env::var("USER").unwrap_or_default();
    let host = format!("skylarkctl:{user}").parse::<HostId>();
    let host = host
        .or_else(|_invalid| "skylarkctl".parse())
        .map_err(|err| Error::Runtime(std::io::Error::other(err)))?;
    // The process id distinguishes two runs that start within the same microsecond.
    let call = CallId(u64::from(std::process::id()));
    Ok(WriterWire { host, incarnation: Incarnation(unix_micros()), call })
}
