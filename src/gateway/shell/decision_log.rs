//! Decision log: one JSON line per record, written by a dedicated thread.
//!
//! The queue to the writer is bounded, and threads that write records never wait for it. If it is
//! full, records are dropped and counted, and the next line that fits reports their number.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};

use serde::Serialize;

use crate::clock::Hybrid;
use crate::gateway::dispatch::record::Record;
use crate::schema::BoxId;

/// Maximum number of lines that are queued for the writer.
const MAX_QUEUED_LINES: usize = 4_096;

/// One line of the log.
#[derive(Serialize)]
struct Line<'a> {
    /// Hybrid timestamp that orders the lines of several boxes.
    at: u64,
    r#box: &'a str,
    #[serde(flatten)]
    record: &'a Record,
}

/// Handle for writing records to the decision log.
#[derive(Debug)]
pub struct DecisionLog {
    lines: SyncSender<String>,
    dropped_lines: AtomicU64,
    box_id: BoxId,
    clock: Hybrid,
}

impl DecisionLog {
    /// Starts the writer thread, which writes to `out`; all lines carry `box_id`.
    ///
    /// # Errors
    ///
    /// If the thread can't be started.
    pub fn start(box_id: BoxId, out: impl Write + Send + 'static) -> std::io::Result<Self> {
        let (lines, received) = sync_channel(MAX_QUEUED_LINES);
        std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_all(&received, out))?;
        Ok(Self {
            lines,
            dropped_lines: AtomicU64::new(0),
            box_id,
            clock: Hybrid::default(),
        })
    }

    /// Queues a record for the writer; drops it if the queue is full.
    pub fn write(&self, record: &Record) {
        let dropped = self.dropped_lines.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let report = Record::Process {
                state: "log_lines_left_out".into(),
                detail: dropped.to_string(),
            };
            if !self.push(&report) {
                self.dropped_lines.fetch_add(dropped, Ordering::Relaxed);
            }
        }
        if !self.push(record) {
            self.dropped_lines.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn push(&self, record: &Record) -> bool {
        let line = Line {
            at: self.clock.tick().0,
            r#box: &self.box_id,
            record,
        };
        serde_json::to_string(&line).is_ok_and(|text| self.lines.try_send(text).is_ok())
    }
}

fn write_all(received: &Receiver<String>, mut out: impl Write) {
    while let Ok(line) = received.recv() {
        // A failed write can't be reported: the log itself is the place for such reports.
        let _ = writeln!(out, "{line}");
    }
}
