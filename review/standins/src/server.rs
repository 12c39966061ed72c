//! Stand-ins for servers of a plain service. Each has an entry in the store, answers its health path and
//! records which requests it runs.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{Message, Wire, answer};
use crate::record::Record;
use crate::store::Store;

/// Requests that wait at a server beside those that run.
const QUEUE: usize = 24;

/// One run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub server: String,
    pub began: Duration,
}

/// Which surplus answers a faulty server sends.
#[derive(Clone, Copy, Debug)]
pub struct Surplus {
    /// One of so many answers is followed by a surplus one.
    pub one_in: u64,
}

/// What distinguishes a server.
pub struct Plan {
    pub id: String,
    pub service: &'static str,
    pub zone: &'static str,
    pub slots: usize,
    /// Time that a request takes.
    pub work: Duration,
    pub surplus: Option<Surplus>,
}

#[derive(Default)]
struct Load {
    running: usize,
    waiting: usize,
}

struct Inner {
    plan: Plan,
    record: Record,
    runs: Arc<Mutex<Vec<Run>>>,
    load: Mutex<Load>,
    freed: Condvar,
    answers: AtomicU64,
}

/// A server.
#[derive(Clone)]
pub struct Server {
    inner: Arc<Inner>,
}

impl Server {
    /// Starts a server and its entry in the store; its runs are added to `runs`.
    pub fn start(
        plan: Plan,
        store: &Store,
        record: &Record,
        runs: &Arc<Mutex<Vec<Run>>>,
    ) -> Result<(), String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        put_entry(&plan, address, store);
        let inner = Inner {
            plan,
            record: record.clone(),
            runs: Arc::clone(runs),
            load: Mutex::default(),
            freed: Condvar::new(),
            answers: AtomicU64::new(0),
        };
        let server = Self {
            inner: Arc::new(inner),
        };
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(Wire::new(socket)));
            }
        });
        Ok(())
    }

    /// Waits for a slot; `false` if the queue is full.
    fn enter(&self) -> bool {
        let mut load = self.inner.load.lock().unwrap();
        if load.waiting >= QUEUE {
            return false;
        }
        load.waiting += 1;
        while load.running >= self.inner.plan.slots {
            load = self.inner.freed.wait(load).unwrap();
        }
        load.waiting -= 1;
        load.running += 1;
        true
    }

    fn leave(&self) {
        self.inner.load.lock().unwrap().running -= 1;
        self.inner.freed.notify_one();
    }

    fn serve(&self, mut wire: Wire) {
        let mut pending: Option<String> = None;
        while let Ok(Some(request)) = wire.read() {
            if let Some(text) = self.answer_check(&request) {
                if wire.send(text.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let id = request
                .header("magpiemoor-attempt-id")
                .unwrap_or("")
                .to_owned();
            let expected = request.header("magpiemoor-expect-instance");
            if expected.is_some_and(|expected| expected != self.inner.plan.id) {
                let headers = [
                    ("Magpiemoor-Attempt-Id", id.as_str()),
                    ("Magpiemoor-Instance-Id", &self.inner.plan.id),
                ];
                if wire
                    .send(answer("421 Misdirected Request", &headers, "").as_bytes())
                    .is_err()
                {
                    return;
                }
                continue;
            }
            if !self.enter() {
                let headers = [
                    ("Magpiemoor-Attempt-Id", id.as_str()),
                    ("Magpiemoor-Not-Executed", "1"),
                ];
                if wire
                    .send(answer("503 Service Unavailable", &headers, "").as_bytes())
                    .is_err()
                {
                    return;
                }
                continue;
            }
            self.begin(&id);
            if let Some(text) = pending.take() {
                let start = text.lines().next().unwrap_or("");
                let of = text
                    .lines()
                    .find_map(|l| l.strip_prefix("Magpiemoor-Attempt-Id: "));
                self.inner.record.line(&format!(
                    "server {} sends a surplus answer ({start}, id {}) where that to {id} is due",
                    self.inner.plan.id,
                    of.unwrap_or("")
                ));
                let _ = wire.send(text.as_bytes());
            }
            let sent = self.run(&mut wire, &id);
            self.leave();
            if sent.is_err() {
                return;
            }
            pending = self.next_surplus(&id);
        }
    }

    /// The surplus answer that follows this one, if one does: by turns a copy of the answer, a
    /// rejection, and a misdirection, each with the id of the request that was answered before.
    fn next_surplus(&self, id: &str) -> Option<String> {
        let surplus = self.inner.plan.surplus?;
        let number = self.inner.answers.fetch_add(1, Ordering::SeqCst) + 1;
        if !number.is_multiple_of(surplus.one_in) {
            return None;
        }
        Some(match number / surplus.one_in % 3 {
            1 => self.whole_answer(id),
            0 => answer(
                "421 Misdirected Request",
                &[
                    ("Magpiemoor-Attempt-Id", id),
                    ("Magpiemoor-Instance-Id", &self.inner.plan.id),
                ],
                "",
            ),
            _ => answer(
                "503 Service Unavailable",
                &[
                    ("Magpiemoor-Attempt-Id", id),
                    ("Magpiemoor-Not-Executed", "1"),
                ],
                "",
            ),
        })
    }

    /// The answer to a health check, if the request is one.
    fn answer_check(&self, request: &Message) -> Option<String> {
        let id = &self.inner.plan.id;
        (request.path() == "/healthz")
            .then(|| answer("200 OK", &[("Magpiemoor-Instance-Id", id)], ""))
    }

    fn begin(&self, id: &str) {
        let record = &self.inner.record;
        record.line(&format!("server {} runs {id}", self.inner.plan.id));
        self.inner.runs.lock().unwrap().push(Run {
            id: id.to_owned(),
            server: self.inner.plan.id.clone(),
            began: record.now(),
        });
    }

    fn whole_answer(&self, id: &str) -> String {
        let stamp = format!("stamp-of-{}", self.inner.plan.id);
        let headers = [
            ("Magpiemoor-Attempt-Id", id),
            ("Magpiemoor-Server-Stamp", stamp.as_str()),
        ];
        answer("200 OK", &headers, &"x".repeat(800))
    }

    fn run(&self, wire: &mut Wire, id: &str) -> std::io::Result<()> {
        thread::sleep(self.inner.plan.work);
        wire.send(self.whole_answer(id).as_bytes())
    }
}

/// Writes the server's entry. It changes only when more than `sequence` does, so later heartbeats of a
/// server that stays ready change nothing.
fn put_entry(plan: &Plan, address: SocketAddr, store: &Store) {
    let (service, zone, slots) = (plan.service, plan.zone, plan.slots);
    let entry = format!(
        r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":{slots},"state":"ready","coldRemainingMs":0,"phase":"combined","models":[],"sequence":1}}"#
    );
    store.put("servers", &plan.id, &entry);
}
