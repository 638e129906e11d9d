//! Locates the two programs in cargo's target folder and builds them when needed. Start with
//! [`Programs`].

use std::ffi::OsStr;
use std::io;
use std::path::{Path, PathBuf};
use std::time::SystemTime;

use derive_more::{Display, Error, From};
use tokio::process::Command;

/// Packages whose sources make the programs outdated when they change.
const PACKAGES: [&str; 6] = [
    "skylarkshore-core",
    "skylarkshore-wire",
    "skylarkshore-host",
    "../platform",
    "skylarkshore",
    "skylarkctl",
];

/// Why the programs aren't available.
#[derive(Debug, Display, Error, From)]
pub enum ProgramsError {
    /// A file or folder can't be read, or cargo can't be started.
    #[display("can't find or build the programs: {_0}")]
    Io(io::Error),
    /// The running program isn't in cargo's target folder.
    #[display("the programs must be in the same target folder as this one; start it with cargo")]
    #[from(skip)]
    NotUnderCargo,
    /// Cargo failed.
    #[display("cargo failed to build the programs; run 'cargo build' and fix the errors it reports")]
    #[from(skip)]
    Build,
}

/// Paths of the two programs.
#[derive(Clone, Debug)]
pub struct Programs {
    /// Program that runs on entry hosts.
    pub skylarkshore: PathBuf,
    /// Command-line program for operators.
    pub skylarkctl: PathBuf,
}

impl Programs {
    /// Returns the paths in the parent of the running program's folder, without checking the files.
    ///
    /// # Errors
    ///
    /// Returns an error if the running program wasn't built by cargo as a test or an example.
    pub fn beside_this() -> Result<Self, ProgramsError> {
        let this = std::env::current_exe()?;
        // Tests are in target/debug/deps, examples in target/release/examples.
        let folder = this.parent().and_then(Path::parent).ok_or(ProgramsError::NotUnderCargo)?;
        Ok(Self { skylarkshore: folder.join("skylarkshore"), skylarkctl: folder.join("skylarkctl") })
    }

    /// Reports whether a program is missing or older than its sources.
    ///
    /// # Errors
    ///
    /// Returns an error if the sources can't be read.
    pub fn are_outdated(&self) -> Result<bool, ProgramsError> {
        let built = [&self.skylarkshore, &self.skylarkctl].map(|path| modified(path));
        let [Ok(first), Ok(second)] = built else { return Ok(true) };
        let mut newest = SystemTime::UNIX_EPOCH;
        for package in PACKAGES {
            newest = newest.max(newest_source_time(&crates().join(package))?);
        }
        Ok(newest > first.min(second))
    }

    /// Builds the programs with cargo.
    ///
    /// # Errors
    ///
    /// Returns an error if cargo is missing or the build failed.
    pub async fn build(&self) -> Result<(), ProgramsError> {
        let folder = self.skylarkshore.parent().ok_or(ProgramsError::NotUnderCargo)?;
        let target = folder.parent().ok_or(ProgramsError::NotUnderCargo)?;
        let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
        let mut command = Command::new(cargo);
        command.args(["build", "--quiet", "--package", "skylarkshore", "--package", "skylarkctl"]);
        command.arg("--target-dir").arg(target).current_dir(crates());
        if folder.file_name() == Some(OsStr::new("release")) {
            command.arg("--release");
        }
        // Dropping the future must also end cargo.
        let status = command.kill_on_drop(true).status().await?;
        if status.success() { Ok(()) } else { Err(ProgramsError::Build) }
    }
}

fn crates() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap_or(Path::new("."))
}

fn modified(path: &Path) -> io::Result<SystemTime> {
    path.metadata()?.modified()
}

fn newest_source_time(folder: &Path) -> io::Result<SystemTime> {
    let mut newest = modified(&folder.join("Cargo.toml"))?;
    let mut folders = vec![folder.join("src")];
    while let Some(folder) = folders.pop() {
        for entry in folder.read_dir()? {
            let path = entry?.path();
            if path.is_dir() {
                folders.push(path);
            } else {
                newest = newest.max(modified(&path)?);
            }
        }
    }
    Ok(newest)
}
