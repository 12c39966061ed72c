//! Stand-in for the platform's store: lists and watches of objects that the case writes. No daemon
//! writes in these cases; a writing call gets 503, which says that nothing was done.

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Wire, answer};

struct Change {
    revision: u64,
    kind: String,
    object: String,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: Vec<(String, String, String)>,
    changes: Vec<Change>,
    /// How often all open connections have gone silent.
    silences: u64,
}

/// The store. Clones share it.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Result<Self, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        let store = Self {
            address,
            state: Arc::default(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(Wire::new(socket)));
            }
        });
        Ok(store)
    }

    /// Writes an object with a new revision.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let object = format!(
            r#"{{"metadata":{{"name":"{name}","revision":{revision},"made":{revision},"finalizers":[],"deleting":false}},"spec":{spec},"status":null}}"#
        );
        state.objects.retain(|(k, n, _)| k != kind || n != name);
        state
            .objects
            .push((kind.to_owned(), name.to_owned(), object.clone()));
        state.objects.sort();
        state.changes.push(Change {
            revision,
            kind: kind.to_owned(),
            object,
        });
        changed.notify_all();
    }

    /// Makes all connections that are open now silent for good, without a reset; new ones work.
    pub fn silence(&self) {
        self.state.0.lock().unwrap().silences += 1;
    }

    fn silences(&self) -> u64 {
        self.state.0.lock().unwrap().silences
    }

    fn serve(&self, mut wire: Wire) {
        let silences = self.silences();
        while let Ok(Some(request)) = wire.read() {
            let (path, query) = request
                .path()
                .split_once('?')
                .unwrap_or((request.path(), ""));
            let field = |name: &str| {
                let mut fields = query.split('&').filter_map(|f| f.split_once('='));
                fields.find(|(n, _)| *n == name).map(|(_, v)| v.to_owned())
            };
            let kind = path.strip_prefix("/v1/objects/").unwrap_or("");
            let watch = field("watch").and_then(|at| at.parse::<u64>().ok());
            let wait = field("waitMs").and_then(|ms| ms.parse().ok()).unwrap_or(0);
            let text = match (request.method(), watch) {
                ("GET", Some(at)) => self.watch(kind, at, Duration::from_millis(wait)),
                ("GET", None) => self.list(kind),
                _ => answer("503 Service Unavailable", &[], ""),
            };
            let is_silent = self.silences() > silences;
            if !is_silent && wire.send(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn list(&self, kind: &str) -> String {
        let state = self.state.0.lock().unwrap();
        let objects = state.objects.iter().filter(|(k, _, _)| k == kind);
        let objects: Vec<&str> = objects.map(|(_, _, object)| object.as_str()).collect();
        let body = format!(
            r#"{{"entries":[{}],"more":false,"at":{}}}"#,
            objects.join(","),
            state.revision
        );
        answer("200 OK", &[("Content-Type", "application/json")], &body)
    }

    fn watch(&self, kind: &str, at: u64, wait: Duration) -> String {
        let end = Instant::now() + wait;
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        loop {
            let new = state
                .changes
                .iter()
                .filter(|c| c.kind == kind && c.revision > at);
            let events: Vec<String> = new
                .map(|c| format!(r#"{{"gone":false,"object":{}}}"#, c.object))
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!(
                    r#"{{"events":[{}],"at":{}}}"#,
                    events.join(","),
                    state.revision
                );
                return answer("200 OK", &[("Content-Type", "application/json")], &body);
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}
