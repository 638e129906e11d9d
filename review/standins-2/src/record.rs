//! The record of a run: a line for each event, with its time since the start.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Record {
    begun: Instant,
    file: Arc<Mutex<File>>,
    /// The texts of all lines.
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    /// Opens `record.txt` in the folder that the variable `CASE_DIR` names.
    pub fn open() -> Self {
        let dir = std::env::var("CASE_DIR").unwrap_or_else(|_| ".".to_owned());
        let file = File::create(format!("{dir}/record.txt")).expect("record.txt can be written");
        Self { begun: Instant::now(), file: Arc::new(Mutex::new(file)), lines: Arc::default() }
    }

    pub fn now(&self) -> Duration {
        self.begun.elapsed()
    }

    pub fn line(&self, text: &str) {
        let at = self.now();
        self.lines.lock().unwrap().push(text.to_owned());
        let mut file = self.file.lock().unwrap();
        _ = writeln!(file, "{:9.3} {text}", at.as_secs_f64());
    }

    /// Reports whether a line contains a text.
    pub fn contains(&self, text: &str) -> bool {
        self.lines.lock().unwrap().iter().any(|line| line.contains(text))
    }

    /// Writes a line here and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{:9.3} {text}", self.now().as_secs_f64());
    }
}
