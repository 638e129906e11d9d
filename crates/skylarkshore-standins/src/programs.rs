//! Finds the two programs beside the running one, and builds them when needed.

use std::ffi::OsStr;
use std::io;
use std::path::{Path, PathBuf};
use std::time::SystemTime;

use derive_more::{Display, Error, From};
use tokio::process::Command;

/// The packages whose sources the programs are made of.
const PACKAGES: [&str; 6] = [
    "skylarkshore-core",
    "skylarkshore-wire",
    "skylarkshore-host",
    "../platform",
    "skylarkshore",
    "skylarkctl",
];

/// Why the programs can't be used.
#[derive(Debug, Display, Error, From)]
pub enum ProgramsError {
    /// A file or folder can't be read.
    #[display("can't look for the programs: {_0}")]
    Io(io::Error),
    /// The running program lies in no folder of cargo's.
    #[display("the programs are looked for beside this one; start it with cargo")]
    #[from(skip)]
    NotUnderCargo,
    /// Cargo failed.
    #[display("cargo could not build the programs; run 'cargo build' and mend what it tells")]
    #[from(skip)]
    Build,
}

/// The two programs.
#[derive(Clone, Debug)]
pub struct Programs {
    /// The program that runs on entry hosts.
    pub skylarkshore: PathBuf,
    /// The operators' program.
    pub skylarkctl: PathBuf,
}

impl Programs {
    /// Finds the programs in the folder above that of the running one.
    ///
    /// # Errors
    ///
    /// The running program wasn't built by cargo as a test or an example.
    pub fn beside_this() -> Result<Self, ProgramsError> {
        let this = std::env::current_exe()?;
        // Tests lie in target/debug/deps, examples in target/release/examples.
        let folder = this.parent().and_then(Path::parent).ok_or(ProgramsError::NotUnderCargo)?;
        Ok(Self { skylarkshore: folder.join("skylarkshore"), skylarkctl: folder.join("skylarkctl") })
    }

    /// Tells whether one of them is missing or older than its sources.
    ///
    /// # Errors
    ///
    /// The sources can't be read.
    pub fn are_outdated(&self) -> Result<bool, ProgramsError> {
        let built = [&self.skylarkshore, &self.skylarkctl].map(|path| modified(path));
        let [Ok(first), Ok(second)] = built else { return Ok(true) };
        let mut newest = SystemTime::UNIX_EPOCH;
        for package in PACKAGES {
            newest = newest.max(newest_source_time(&crates().join(package))?);
        }
        Ok(newest > first.min(second))
    }

    /// Builds them with cargo.
    ///
    /// # Errors
    ///
    /// Cargo is missing or failed.
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
        // Interrupting the wait has to end cargo as well.
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
