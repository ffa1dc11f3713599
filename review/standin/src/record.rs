//! The record of a run: one line for each thing that was sent, answered or run, with the time since the start.

use std::fs;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Record {
        Record {
            started: Instant::now(),
            lines: Arc::default(),
        }
    }

    /// The time since the start.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn add(&self, who: &str, what: &str) {
        self.add_at(self.now(), who, what);
    }

    pub fn add_at(&self, at: Duration, who: &str, what: &str) {
        let line = format!("{:9.4} s  {who:<16} {what}", at.as_secs_f64());
        if let Ok(mut lines) = self.lines.lock() {
            lines.push(line);
        }
    }

    /// Writes the lines, in the order of their times, to a file.
    pub fn write(&self, path: &Path) {
        let mut lines = self.lines.lock().map(|l| l.clone()).unwrap_or_default();
        lines.sort();
        lines.push(String::new());
        if let Err(e) = fs::write(path, lines.join("\n")) {
            eprintln!("{}: {e}", path.display());
        }
    }
}
