//! A stand-in for the platform: an object API with versions, conditional updates and watches, an
//! empty list of boxes and endpoints, rate limits, and on command outages and answers that are lost
//! after the write took effect. Stale reads, slowness and a list that lags are played by the tests
//! on made-up time.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use gotham::helpers::http::Body;
use gotham::hyper::{Method, Response, StatusCode};
use magpiemoor::http::{full, respond, respond_json};
use magpiemoor::schema::FleetList;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::keyed::serve::{Ask, serve};

/// Writes a second that the platform takes.
const WRITES_PER_SECOND: f64 = 100.0;
/// Reads a second that the platform takes.
const READS_PER_SECOND: f64 = 2_000.0;
/// The greatest value.
const MAX_VALUE: usize = 1 << 20;
/// How long a watch stays open if the caller doesn't say.
const WATCH_MS: u64 = 10_000;
/// How long an answer in an outage is withheld, as if it never came.
const OUTAGE_HANG: Duration = Duration::from_secs(5);

/// What the platform is told to do wrong.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Nothing is answered.
    pub outage: bool,
    /// The answers to this many writes are lost after the write took effect.
    pub lose_answers: u32,
}

#[derive(Clone, Debug)]
struct Stored {
    version: u64,
    value: String,
}

/// A bucket that fills at a rate and from which each call takes one.
#[derive(Debug)]
struct Bucket {
    rate: f64,
    level: f64,
    filled: Instant,
}

impl Bucket {
    fn new(rate: f64) -> Self {
        Self {
            rate,
            level: rate,
            filled: Instant::now(),
        }
    }

    fn take(&mut self) -> bool {
        let now = Instant::now();
        let gained = now.duration_since(self.filled).as_secs_f64() * self.rate;
        self.level = (self.level + gained).min(self.rate);
        self.filled = now;
        if self.level < 1.0 {
            return false;
        }
        self.level -= 1.0;
        true
    }
}

#[derive(Debug)]
struct Inner {
    objects: BTreeMap<String, Stored>,
    version: u64,
    faults: Faults,
    writes: Bucket,
    reads: Bucket,
}

/// The platform.
#[derive(Clone, Debug)]
pub struct Platform {
    inner: Arc<Mutex<Inner>>,
    changed: Arc<watch::Sender<u64>>,
}

impl Default for Platform {
    fn default() -> Self {
        let inner = Inner {
            objects: BTreeMap::new(),
            version: 0,
            faults: Faults::default(),
            writes: Bucket::new(WRITES_PER_SECOND),
            reads: Bucket::new(READS_PER_SECOND),
        };
        Self {
            inner: Arc::new(Mutex::new(inner)),
            changed: Arc::new(watch::Sender::new(0)),
        }
    }
}

impl Platform {
    /// Serves the platform for as long as the future is polled.
    pub async fn serve(self, listener: TcpListener) {
        serve(listener, move |ask| {
            let platform = self.clone();
            async move { platform.answer(ask).await }
        })
        .await;
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells the platform what to do wrong from now on.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// An object's version and value, past all faults.
    #[must_use]
    pub fn object(&self, name: &str) -> Option<(u64, String)> {
        self.lock()
            .objects
            .get(name)
            .map(|s| (s.version, s.value.clone()))
    }

    /// The names that start with a prefix, past all faults.
    #[must_use]
    pub fn names(&self, prefix: &str) -> Vec<String> {
        self.lock()
            .objects
            .keys()
            .filter(|n| n.starts_with(prefix))
            .cloned()
            .collect()
    }

    async fn answer(&self, ask: Ask) -> Response<Body> {
        let segments = ask.segments();
        if self.lock().faults.outage {
            tokio::time::sleep(OUTAGE_HANG).await;
            return plain(StatusCode::GATEWAY_TIMEOUT);
        }
        if !self.takes_call(&ask) {
            return plain(StatusCode::TOO_MANY_REQUESTS);
        }
        match (&ask.method, segments.as_slice()) {
            (&Method::GET, ["v1", "objects", ..]) => self.read(&ask).await,
            (&Method::PUT, ["v1", "objects", ..]) => self.write(&ask).await,
            (&Method::DELETE, ["v1", "objects", ..]) => self.delete(&ask),
            (&Method::GET, ["v1", "list", ..]) => {
                let prefix = ask.path[2..].join("/");
                respond_json(StatusCode::OK, &self.names(&format!("{prefix}/")))
            }
            (&Method::GET, ["v1", "fleet", _]) => respond_json(StatusCode::OK, &empty_list()),
            _ => plain(StatusCode::NOT_FOUND),
        }
    }

    /// Whether the rate limit has room for a call.
    fn takes_call(&self, ask: &Ask) -> bool {
        let mut inner = self.lock();
        if ask.method == Method::GET {
            inner.reads.take()
        } else {
            inner.writes.take()
        }
    }

    async fn read(&self, ask: &Ask) -> Response<Body> {
        let name = ask.path[2..].join("/");
        if let Some(after) = ask.number("watch") {
            let wait = Duration::from_millis(ask.number("wait_ms").unwrap_or(WATCH_MS));
            let mut changed = self.changed.subscribe();
            let seen = async {
                while self
                    .object(&name)
                    .is_none_or(|(version, _)| version <= after)
                {
                    if changed.changed().await.is_err() {
                        return;
                    }
                }
            };
            if tokio::time::timeout(wait, seen).await.is_err() {
                return plain(StatusCode::NOT_MODIFIED);
            }
        }
        let inner = self.lock();
        let Some(stored) = inner.objects.get(&name) else {
            return plain(StatusCode::NOT_FOUND);
        };
        let (version, value) = (stored.version, stored.value.clone());
        if ask.header("if-none-match") == Some(&quoted(version)) {
            return plain(StatusCode::NOT_MODIFIED);
        }
        with_version(
            respond(StatusCode::OK, "application/json", full(value)),
            version,
        )
    }

    async fn write(&self, ask: &Ask) -> Response<Body> {
        if ask.body.len() > MAX_VALUE {
            return plain(StatusCode::PAYLOAD_TOO_LARGE);
        }
        let name = ask.path[2..].join("/");
        let (version, lost) = {
            let mut inner = self.lock();
            let present = inner.objects.get(&name).map(|stored| stored.version);
            let matches = match (ask.header("if-none-match"), ask.header("if-match")) {
                (Some("*"), _) => present.is_none(),
                (_, Some(tag)) => present.is_some_and(|version| tag == quoted(version)),
                _ => true,
            };
            if !matches {
                return plain(StatusCode::PRECONDITION_FAILED);
            }
            inner.version += 1;
            let version = inner.version;
            let stored = Stored {
                version,
                value: String::from_utf8_lossy(&ask.body).into_owned(),
            };
            inner.objects.insert(name, stored);
            let lost = inner.faults.lose_answers > 0;
            inner.faults.lose_answers = inner.faults.lose_answers.saturating_sub(1);
            (version, lost)
        };
        self.changed.send_replace(version);
        if lost {
            tokio::time::sleep(OUTAGE_HANG).await;
            return plain(StatusCode::GATEWAY_TIMEOUT);
        }
        with_version(plain(StatusCode::OK), version)
    }

    fn delete(&self, ask: &Ask) -> Response<Body> {
        let name = ask.path[2..].join("/");
        match self.lock().objects.remove(&name) {
            Some(_) => plain(StatusCode::OK),
            None => plain(StatusCode::NOT_FOUND),
        }
    }
}

fn empty_list() -> FleetList {
    FleetList {
        version: 0,
        entries: Vec::new(),
    }
}

fn quoted(version: u64) -> String {
    format!("\"{version}\"")
}

fn plain(status: StatusCode) -> Response<Body> {
    respond(status, "text/plain", full(""))
}

fn with_version(mut response: Response<Body>, version: u64) -> Response<Body> {
    if let Ok(tag) = quoted(version).parse() {
        response.headers_mut().insert("etag", tag);
    }
    response
}
