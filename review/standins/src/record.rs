//! The record of a run: what was sent, answered and run.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

use crate::lock;

/// A file of lines that begin with the seconds since the start; cheap to clone.
#[derive(Clone, Debug)]
pub struct Record {
    file: Arc<Mutex<File>>,
    begun: Instant,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self { file: Arc::new(Mutex::new(File::create(path)?)), begun: Instant::now() })
    }

    /// Writes a line, also to standard output.
    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}", self.begun.elapsed().as_secs_f64());
        println!("{line}");
        _ = writeln!(lock(&self.file), "{line}");
    }
}
