//! What was sent, answered and run, in the order of time.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A file of lines, each with the time since the start of the case. Clones share it.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> Result<Self, String> {
        let file = File::create(path).map_err(|e| format!("{path}: {e}"))?;
        Ok(Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        })
    }

    /// Time since the start of the case.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn line(&self, text: &str) {
        let now = self.now().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{now:8.3} s  {text}");
    }
}
