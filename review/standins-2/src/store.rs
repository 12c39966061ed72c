//! A stand-in for the platform's metadata store.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, Wire, answer};
use crate::json::Json;

#[derive(Clone)]
struct Object {
    revision: u64,
    made: u64,
    spec: Json,
    status: Json,
}

struct Change {
    revision: u64,
    kind: String,
    text: String,
    is_gone: bool,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    changes: Vec<Change>,
    /// Machines that are turned away: their calls get no answer.
    turned_away: BTreeSet<usize>,
    /// When each machine last watched a kind of objects.
    watched: BTreeMap<(String, usize), Instant>,
}

/// The store; clones share it.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

fn text_of(name: &str, object: &Object) -> String {
    let mut name_text = String::new();
    Json::Text(name.to_owned()).write(&mut name_text);
    format!(
        r#"{{"metadata":{{"name":{name_text},"revision":{},"made":{},"finalizers":[],"deleting":false}},"spec":{},"status":{}}}"#,
        object.revision,
        object.made,
        object.spec.to_text(),
        object.status.to_text()
    )
}

impl Store {
    pub fn start(address: SocketAddr) -> std::io::Result<Self> {
        let store = Self {
            address,
            shared: Arc::default(),
        };
        // Revisions begin above 0.
        store.lock().revision = 100;
        store.listen(address, 0)?;
        Ok(store)
    }

    /// Listens on another address, at which one machine alone calls.
    pub fn listen(&self, address: SocketAddr, machine: usize) -> std::io::Result<()> {
        let listener = TcpListener::bind(address)?;
        let serving = self.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(socket, machine));
            }
        });
        Ok(())
    }

    /// Turns machines away: says nothing more to them, on any connection.
    pub fn turn_away(&self, machines: BTreeSet<usize>) {
        self.lock().turned_away = machines;
        self.shared.1.notify_all();
    }

    /// The machines that have watched a kind of objects within some time.
    pub fn watchers(&self, kind: &str, within: Duration) -> BTreeSet<usize> {
        let state = self.lock();
        let of_kind = state.watched.iter().filter(|((of, _), _)| of == kind);
        let recent = of_kind.filter(|(_, at)| at.elapsed() < within);
        recent.map(|((_, machine), _)| *machine).collect()
    }

    fn is_turned_away(&self, machine: usize) -> bool {
        self.lock().turned_away.contains(&machine)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes the spec of an object; returns its revision.
    pub fn put(&self, kind: &str, name: &str, spec: Json) -> u64 {
        let mut state = self.lock();
        let key = (kind.to_owned(), name.to_owned());
        let known = state.objects.get(&key).cloned();
        if known.as_ref().is_some_and(|known| known.spec == spec) {
            return state.revision;
        }
        state.revision += 1;
        let revision = state.revision;
        let object = Object {
            revision,
            made: known.as_ref().map_or(revision, |known| known.made),
            spec,
            status: known.map(|known| known.status).unwrap_or_default(),
        };
        self.write(&mut state, key, object);
        revision
    }

    pub fn put_text(&self, kind: &str, name: &str, spec: &str) -> u64 {
        self.put(
            kind,
            name,
            Json::parse(spec).expect("the spec is valid JSON"),
        )
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.lock();
        let key = (kind.to_owned(), name.to_owned());
        if let Some(object) = state.objects.remove(&key) {
            state.revision += 1;
            let change = Change {
                revision: state.revision,
                kind: key.0,
                text: text_of(&key.1, &object),
                is_gone: true,
            };
            state.changes.push(change);
            self.shared.1.notify_all();
        }
    }

    fn write(&self, state: &mut State, key: (String, String), object: Object) {
        let change = Change {
            revision: object.revision,
            kind: key.0.clone(),
            text: text_of(&key.1, &object),
            is_gone: false,
        };
        state.changes.push(change);
        state.objects.insert(key, object);
        self.shared.1.notify_all();
    }

    fn serve(&self, socket: TcpStream, machine: usize) {
        let mut wire = Wire::new(socket);
        while let Ok(Some(request)) = wire.request() {
            if let Some((kind, _)) = request.path().split_once("?watch=") {
                let kind = kind.trim_start_matches("/v1/objects/").to_owned();
                self.lock().watched.insert((kind, machine), Instant::now());
            }
            let (status, body) = self.answer(&request);
            if self.is_turned_away(machine) {
                // The connection says nothing more until the machine closes it.
                while wire.fill().is_ok_and(|has_bytes| has_bytes) {}
                return;
            }
            let json = [("Content-Type", "application/json")];
            if wire.send(&answer(status, &json, body.as_bytes())).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let (path, query) = request
            .path()
            .split_once('?')
            .unwrap_or((request.path(), ""));
        let Some(place) = path.strip_prefix("/v1/objects/") else {
            return (404, String::new());
        };
        let (kind, name) = place.split_once('/').unwrap_or((place, ""));
        let asked = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or_default();
        let field = |name: &str| {
            let mut fields = query.split('&').filter_map(|part| part.split_once('='));
            fields
                .find(|(n, _)| *n == name)
                .map(|(_, value)| value.to_owned())
        };
        match request.method() {
            "GET" if !name.is_empty() => self.get(kind, name),
            "GET" => match field("watch").and_then(|at| at.parse().ok()) {
                Some(at) => {
                    let wait = field("waitMs").and_then(|wait| wait.parse().ok());
                    self.watch(kind, at, Duration::from_millis(wait.unwrap_or(0)))
                }
                None => self.list(kind, field("sinceRevision").as_deref()),
            },
            "POST" => self.make(kind, &asked),
            "PUT" => self.replace(kind, name, &asked),
            "DELETE" => {
                self.remove(kind, name);
                (200, String::new())
            }
            _ => (405, String::new()),
        }
    }

    fn get(&self, kind: &str, name: &str) -> (u16, String) {
        let state = self.lock();
        match state.objects.get(&(kind.to_owned(), name.to_owned())) {
            Some(object) => (200, text_of(name, object)),
            None => (404, String::new()),
        }
    }

    fn list(&self, kind: &str, after: Option<&str>) -> (u16, String) {
        let state = self.lock();
        let of_kind = state
            .objects
            .iter()
            .filter(|((k, name), _)| k == kind && after.is_none_or(|after| name.as_str() > after));
        let texts: Vec<String> = of_kind.map(|((_, name), o)| text_of(name, o)).collect();
        let entries = texts
            .iter()
            .take(500)
            .cloned()
            .collect::<Vec<_>>()
            .join(",");
        let more = texts.len() > 500;
        (
            200,
            format!(
                r#"{{"entries":[{entries}],"more":{more},"at":{}}}"#,
                state.revision
            ),
        )
    }

    fn watch(&self, kind: &str, at: u64, wait: Duration) -> (u16, String) {
        let end = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            let new = state
                .changes
                .iter()
                .filter(|c| c.revision > at && c.kind == kind);
            let events: Vec<String> = new
                .map(|c| format!(r#"{{"gone":{},"object":{}}}"#, c.is_gone, c.text))
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                return (
                    200,
                    format!(r#"{{"events":[{events}],"at":{}}}"#, state.revision),
                );
            }
            let waited = self.shared.1.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn make(&self, kind: &str, asked: &Json) -> (u16, String) {
        let Some(name) = asked.get("metadata").get("name").text() else {
            return (400, String::new());
        };
        if let (200, known) = self.get(kind, name) {
            return (409, known);
        }
        self.put(kind, name, asked.get("spec").clone());
        (201, self.get(kind, name).1)
    }

    fn replace(&self, kind: &str, place: &str, asked: &Json) -> (u16, String) {
        let (name, is_status) = match place.strip_suffix("/status") {
            Some(name) => (name, true),
            None => (place, false),
        };
        let key = (kind.to_owned(), name.to_owned());
        let mut state = self.lock();
        let Some(known) = state.objects.get(&key).cloned() else {
            return (404, String::new());
        };
        let expected = asked.get("metadata").get("revision").number();
        if expected.is_some_and(|expected| expected != known.revision) {
            return (409, text_of(name, &known));
        }
        let mut object = known.clone();
        if is_status {
            object.status = asked.get("status").clone();
        } else {
            object.spec = asked.get("spec").clone();
        }
        if object.spec != known.spec || object.status != known.status {
            state.revision += 1;
            object.revision = state.revision;
            self.write(&mut state, key, object.clone());
        }
        (200, text_of(name, &object))
    }
}
