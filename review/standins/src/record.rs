//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    inner: Arc<Mutex<Inner>>,
    began: Instant,
}

struct Inner {
    file: File,
    runs: Vec<(String, String)>,
}

impl Record {
    pub fn new(path: &str) -> Record {
        let file = File::create(path).expect("the record cannot be written");
        let inner = Inner {
            file,
            runs: Vec::new(),
        };
        Record {
            inner: Arc::new(Mutex::new(inner)),
            began: Instant::now(),
        }
    }

    pub fn line(&self, line: &str) {
        let mut inner = self.inner.lock().unwrap();
        let _ = writeln!(
            inner.file,
            "{:8.3} {line}",
            self.began.elapsed().as_secs_f64()
        );
    }

    /// Records that a backend begins to work on a request.
    pub fn run(&self, id: &str, backend: &str) {
        self.line(&format!("run      {id} by {backend}"));
        self.inner
            .lock()
            .unwrap()
            .runs
            .push((id.to_owned(), backend.to_owned()));
    }

    /// Returns the backends that began to work on a request.
    pub fn runs_of(&self, id: &str) -> Vec<String> {
        let inner = self.inner.lock().unwrap();
        let of_id = inner.runs.iter().filter(|(run, _)| run == id);
        of_id.map(|(_, backend)| backend.clone()).collect()
    }
}
