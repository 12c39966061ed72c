//! Stand-in for the platform's ingress: which daemons get new connections. A daemon that misses two
//! questions in a row gets none until it answers 200 again.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::daemons::{Daemon, is_ready};

#[derive(Clone)]
struct Entry {
    front: SocketAddr,
    readiness: SocketAddr,
    misses: u32,
}

/// The ingress. Clones share it.
#[derive(Clone)]
pub struct Ingress {
    entries: Arc<Mutex<Vec<Entry>>>,
}

impl Ingress {
    /// Begins to ask each daemon once a second.
    pub fn start(daemons: &[Daemon]) -> Self {
        let entries = daemons.iter().map(|daemon| Entry {
            front: daemon.front,
            readiness: daemon.readiness,
            misses: 0,
        });
        let ingress = Self {
            entries: Arc::new(Mutex::new(entries.collect())),
        };
        let asking = ingress.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_secs(1));
                let asked: Vec<SocketAddr> = asking
                    .entries
                    .lock()
                    .unwrap()
                    .iter()
                    .map(|e| e.readiness)
                    .collect();
                for (at, readiness) in asked.into_iter().enumerate() {
                    let is_ready = is_ready(readiness);
                    let entry = &mut asking.entries.lock().unwrap()[at];
                    entry.misses = if is_ready { 0 } else { entry.misses + 1 };
                }
            }
        });
        ingress
    }

    /// The daemon that gets a client's next connection.
    pub fn front(&self, client: usize) -> SocketAddr {
        let entries = self.entries.lock().unwrap();
        let own = &entries[client % entries.len()];
        let mut usable = entries.iter().filter(|e| e.misses < 2);
        if own.misses < 2 {
            own.front
        } else {
            usable.next().unwrap_or(own).front
        }
    }
}
