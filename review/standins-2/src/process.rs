//! Processes of the project's program, and signals to them.

use std::fs::File;
use std::path::Path;
use std::process::{Child, Command, Stdio};

/// A process that this test started; it is killed when it is dropped.
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts the program as the deploy file says, in the repository's root and with few variables.
    pub fn start(root: &Path, program: &str, settings: &str, log: &str) -> Self {
        let out = File::options().create(true).append(true).open(log).expect("a log can be written");
        let kept =
            ["PATH", "HOME", "LANG"].into_iter().filter_map(|name| Some((name, std::env::var(name).ok()?)));
        let child = Command::new(program)
            .arg(settings)
            .current_dir(root)
            .env_clear()
            .envs(kept)
            .env("SKYLARKSHORE_SETTINGS", settings)
            .stdin(Stdio::null())
            .stdout(out.try_clone().expect("the log can be shared"))
            .stderr(out)
            .spawn()
            .expect("the program starts; run the build of the deploy file first");
        Self { child }
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal: KILL, TERM, STOP, CONT or HUP.
    pub fn signal(&self, name: &str) {
        _ = Command::new("kill").arg(format!("-{name}")).arg(self.child.id().to_string()).status();
    }

    pub fn kill(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
