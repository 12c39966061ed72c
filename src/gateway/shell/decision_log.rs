//! The decision log: one line of JSON for each record, written by a thread of its own.
//!
//! The queue to the writer is bounded and never waited for: when it is full, records are left out
//! and counted, and the next line that fits says how many.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};

use serde::Serialize;

use crate::clock::Hybrid;
use crate::gateway::dispatch::record::Record;
use crate::schema::BoxId;

/// How many lines may wait for the writer.
const LINES_WAITING: usize = 4_096;

/// A line of the log.
#[derive(Serialize)]
struct Line<'a> {
    /// A hybrid time that orders lines of several boxes.
    at: u64,
    /// The box.
    r#box: &'a str,
    #[serde(flatten)]
    record: &'a Record,
}

/// Where records go.
#[derive(Debug)]
pub struct DecisionLog {
    lines: SyncSender<String>,
    left_out: AtomicU64,
    me: BoxId,
    clock: Hybrid,
}

impl DecisionLog {
    /// Starts the writer.
    ///
    /// # Errors
    ///
    /// If no thread can be started.
    pub fn start(me: BoxId, out: impl Write + Send + 'static) -> std::io::Result<Self> {
        let (lines, received) = sync_channel(LINES_WAITING);
        std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_all(&received, out))?;
        Ok(Self {
            lines,
            left_out: AtomicU64::new(0),
            me,
            clock: Hybrid::default(),
        })
    }

    /// Writes a record, unless the writer is too far behind.
    pub fn write(&self, record: &Record) {
        let left_out = self.left_out.swap(0, Ordering::Relaxed);
        if left_out > 0 {
            let note = Record::Process {
                state: "log_lines_left_out".into(),
                detail: left_out.to_string(),
            };
            if !self.push(&note) {
                self.left_out.fetch_add(left_out, Ordering::Relaxed);
            }
        }
        if !self.push(record) {
            self.left_out.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn push(&self, record: &Record) -> bool {
        let line = Line {
            at: self.clock.tick().0,
            r#box: &self.me,
            record,
        };
        serde_json::to_string(&line).is_ok_and(|text| self.lines.try_send(text).is_ok())
    }
}

fn write_all(received: &Receiver<String>, mut out: impl Write) {
    while let Ok(line) = received.recv() {
        // There is nowhere else to say that the output is gone.
        let _ = writeln!(out, "{line}");
    }
}
