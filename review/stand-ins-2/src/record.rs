//! What was sent, answered and run, with the time since the begin of the script.

use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    began: Instant,
    lines: Arc<Mutex<Vec<(f64, String)>>>,
}

impl Record {
    pub fn new() -> Record {
        Record {
            began: Instant::now(),
            lines: Arc::default(),
        }
    }

    pub fn note(&self, line: impl Into<String>) {
        let at = self.began.elapsed().as_secs_f64();
        self.lines.lock().unwrap().push((at, line.into()));
    }

    pub fn write(&self, path: &str) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by(|a, b| a.0.total_cmp(&b.0));
        let text: String = lines
            .iter()
            .map(|(at, line)| format!("{at:9.3} {line}\n"))
            .collect();
        std::fs::write(path, text).unwrap();
    }
}
