//! A stand-in for the platform's store: objects with revisions, lists, watches, history that is
//! forgotten, and outages. Objects are kept as bytes, since other writers' may hold any.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::watch;

use super::wire::{Message, Start, Wire};

/// How the store answers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mood {
    /// As it should.
    #[default]
    Well,
    /// With 503.
    Down,
    /// Not at all, though connections are taken.
    Silent,
    /// With 404, whatever is asked.
    Lost,
}

/// In how many pieces the body of an answer comes that drips.
pub const DRIPS: usize = 12;

async fn send(
    wire: &mut Wire,
    head: &str,
    body: &[u8],
    drip: Option<Duration>,
) -> std::io::Result<()> {
    let Some(pause) = drip else {
        return wire.send([head.as_bytes(), body].concat()).await;
    };
    wire.send(head).await?;
    for piece in body.chunks(body.len().div_ceil(DRIPS)) {
        wire.send(piece).await?;
        tokio::time::sleep(pause).await;
    }
    Ok(())
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    forgotten: u64,
    objects: BTreeMap<(String, String), Vec<u8>>,
    changes: Vec<Change>,
    mood: Mood,
    drip: Option<Duration>,
    calls: u64,
}

/// A change of an object.
#[derive(Clone, Debug)]
struct Change {
    revision: u64,
    kind: String,
    object: Vec<u8>,
    is_gone: bool,
}

impl Change {
    fn event(&self) -> Vec<u8> {
        let head = format!(r#"{{"gone":{},"object":"#, self.is_gone);
        [head.as_bytes(), &self.object, b"}"].concat()
    }
}

/// The store.
#[derive(Clone, Debug)]
pub struct Store {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    changed: watch::Sender<u64>,
}

impl Store {
    /// Starts a store on a free port.
    ///
    /// # Errors
    ///
    /// What the system says.
    pub async fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let store = Self {
            address: listener.local_addr()?,
            state: Arc::default(),
            changed: watch::channel(0).0,
        };
        tokio::spawn(store.clone().serve(listener));
        Ok(store)
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Calls so far, watches with them.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    /// Changes how it answers.
    pub fn set_mood(&self, mood: Mood) {
        self.lock().mood = mood;
    }

    /// Has the bodies of answers come in [`DRIPS`] pieces with such pauses between them.
    pub fn set_drip(&self, pause: Duration) {
        self.lock().drip = Some(pause);
    }

    /// Writes an object.
    pub fn put(&self, kind: &str, name: &str, spec: &Value) {
        self.put_with(kind, name, |revision| {
            let object = json!({
                "metadata": {"name": name, "revision": revision, "made": revision, "finalizers": [], "deleting": false},
                "spec": spec,
                "status": null,
            });
            object.to_string().into_bytes()
        });
    }

    /// Has an object be any bytes, as another writer may leave it; they may hold the revision.
    pub fn put_with(&self, kind: &str, name: &str, object: impl FnOnce(u64) -> Vec<u8>) {
        let mut state = self.lock();
        let revision = state.revision + 1;
        let object = object(revision);
        let key = (kind.to_owned(), name.to_owned());
        state.objects.insert(key, object.clone());
        self.change(state, kind, object, false);
    }

    /// Takes an object away.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.lock();
        let Some(object) = state.objects.remove(&(kind.to_owned(), name.to_owned())) else {
            return;
        };
        self.change(state, kind, object, true);
    }

    fn change(&self, mut state: MutexGuard<'_, State>, kind: &str, object: Vec<u8>, is_gone: bool) {
        state.revision += 1;
        let revision = state.revision;
        state.changes.push(Change {
            revision,
            kind: kind.to_owned(),
            object,
            is_gone,
        });
        drop(state);
        self.changed.send_replace(revision);
    }

    /// Forgets all changes so far, and cuts the watches that wait.
    pub fn forget_history(&self) {
        let mut state = self.lock();
        state.forgotten = state.revision;
        state.changes.clear();
        let revision = state.revision;
        drop(state);
        self.changed.send_replace(revision);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn serve(self, listener: TcpListener) {
        while let Ok((socket, _)) = listener.accept().await {
            let store = self.clone();
            tokio::spawn(async move {
                let mut wire = Wire::new(socket);
                while let Ok(Some(ask)) = wire.read_request().await {
                    let Some((status, body)) = store.answer(&ask).await else {
                        std::future::pending::<()>().await;
                        return;
                    };
                    let length = body.len();
                    let head = format!(
                        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n"
                    );
                    let drip = store.lock().drip;
                    if send(&mut wire, &head, &body, drip).await.is_err() {
                        return;
                    }
                }
            });
        }
    }

    async fn answer(&self, ask: &Message) -> Option<(u16, Vec<u8>)> {
        let mood = {
            let mut state = self.lock();
            state.calls += 1;
            state.mood
        };
        match mood {
            Mood::Down => return Some((503, Vec::new())),
            Mood::Lost => return Some((404, Vec::new())),
            Mood::Silent => return None,
            Mood::Well => {}
        }
        let Start::Request(method, path) = &ask.start else {
            return Some((400, Vec::new()));
        };
        match method.as_str() {
            "PUT" if path.ends_with("/status") => {
                return Some(self.put_status(path, &ask.text()));
            }
            "PUT" => return Some(self.replace(path, &ask.text())),
            "POST" => return Some(self.make(path, &ask.text())),
            "DELETE" => return Some(self.delete(path)),
            _ => {}
        }
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let Some(kind) = path.strip_prefix("/v1/objects/") else {
            return Some((404, Vec::new()));
        };
        let field = |name: &str| {
            let mut fields = query.split('&').filter_map(|f| f.split_once('='));
            fields.find(|(n, _)| *n == name).map(|(_, v)| v.to_owned())
        };
        match field("watch").and_then(|at| at.parse().ok()) {
            Some(at) => {
                let wait = field("waitMs").and_then(|w| w.parse().ok()).unwrap_or(0);
                Some(self.watch(kind, at, Duration::from_millis(wait)).await)
            }
            None => Some(self.list(kind)),
        }
    }

    /// Makes an object, unless there is one of its name.
    fn make(&self, path: &str, body: &str) -> (u16, Vec<u8>) {
        let asked: Value = serde_json::from_str(body).unwrap_or_default();
        let kind = path.strip_prefix("/v1/objects/");
        let Some((kind, name)) = kind.zip(asked["metadata"]["name"].as_str()) else {
            return (400, Vec::new());
        };
        if let Some(known) = self.object(kind, name) {
            return (409, known.to_string().into_bytes());
        }
        self.put(kind, name, &asked["spec"]);
        (
            201,
            self.object(kind, name)
                .unwrap_or_default()
                .to_string()
                .into_bytes(),
        )
    }

    /// Replaces the spec of an object that is there.
    fn replace(&self, path: &str, body: &str) -> (u16, Vec<u8>) {
        let place = path.strip_prefix("/v1/objects/");
        let Some((kind, name)) = place.and_then(|place| place.split_once('/')) else {
            return (404, Vec::new());
        };
        if self.object(kind, name).is_none() {
            return (404, Vec::new());
        }
        let asked: Value = serde_json::from_str(body).unwrap_or_default();
        self.put(kind, name, &asked["spec"]);
        (200, Vec::new())
    }

    fn delete(&self, path: &str) -> (u16, Vec<u8>) {
        let place = path.strip_prefix("/v1/objects/");
        let Some((kind, name)) = place.and_then(|place| place.split_once('/')) else {
            return (404, Vec::new());
        };
        if self.object(kind, name).is_none() {
            return (404, Vec::new());
        }
        self.remove(kind, name);
        (200, Vec::new())
    }

    /// Replaces an object's status, if it still has the revision that the caller names.
    fn put_status(&self, path: &str, body: &str) -> (u16, Vec<u8>) {
        let place = path.strip_prefix("/v1/objects/");
        let place = place.and_then(|place| place.strip_suffix("/status"));
        let Some((kind, name)) = place.and_then(|place| place.split_once('/')) else {
            return (404, Vec::new());
        };
        let Some(known) = self.object(kind, name) else {
            return (404, Vec::new());
        };
        let asked: Value = serde_json::from_str(body).unwrap_or_default();
        if asked["metadata"]["revision"] != known["metadata"]["revision"] {
            return (409, known.to_string().into_bytes());
        }
        let mut object = known;
        object["status"] = asked["status"].clone();
        self.put_with(kind, name, |revision| {
            object["metadata"]["revision"] = json!(revision);
            object.to_string().into_bytes()
        });
        let written = self.object(kind, name).unwrap_or_default();
        (200, written.to_string().into_bytes())
    }

    /// How many objects of a kind there are.
    #[must_use]
    pub fn count(&self, kind: &str) -> usize {
        let state = self.lock();
        state.objects.keys().filter(|(of, _)| of == kind).count()
    }

    /// An object as it is, if it is there and can be read.
    #[must_use]
    pub fn object(&self, kind: &str, name: &str) -> Option<Value> {
        let key = (kind.to_owned(), name.to_owned());
        let state = self.lock();
        serde_json::from_slice(state.objects.get(&key)?).ok()
    }

    fn list(&self, kind: &str) -> (u16, Vec<u8>) {
        let state = self.lock();
        let of_kind = state.objects.iter().filter(|((k, _), _)| k == kind);
        let entries: Vec<&[u8]> = of_kind.map(|(_, object)| object.as_slice()).collect();
        (200, page("entries", &entries, state.revision))
    }

    async fn watch(&self, kind: &str, at: u64, wait: Duration) -> (u16, Vec<u8>) {
        let mut changed = self.changed.subscribe();
        let end = tokio::time::Instant::now() + wait;
        loop {
            changed.borrow_and_update();
            {
                let state = self.lock();
                if at < state.forgotten {
                    return (410, Vec::new());
                }
                let all = state.changes.iter();
                let new = all.filter(|change| change.revision > at && change.kind == kind);
                let events: Vec<Vec<u8>> = new.map(Change::event).collect();
                if !events.is_empty() {
                    return (200, page("events", &events, state.revision));
                }
            }
            if tokio::time::timeout_at(end, changed.changed())
                .await
                .is_err()
            {
                return (200, page::<Vec<u8>>("events", &[], at));
            }
        }
    }
}

/// A list or a watch's answer.
fn page<T: AsRef<[u8]>>(field: &str, objects: &[T], at: u64) -> Vec<u8> {
    let mut body = format!(r#"{{"more":false,"at":{at},"{field}":["#).into_bytes();
    for (number, object) in objects.iter().enumerate() {
        if number > 0 {
            body.push(b',');
        }
        body.extend_from_slice(object.as_ref());
    }
    body.extend_from_slice(b"]}");
    body
}
