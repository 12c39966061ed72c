//! A stand-in for a server of the platform: a model server with copies of its runs at others, or a
//! plain service, with faults on command.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::json;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use super::wire::{Message, Wire};

/// What a server does with a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Act {
    /// It answers as it should.
    #[default]
    Well,
    /// It has no room and says so.
    NoRoom,
    /// Another instance has its address.
    Misdirected,
    /// It fails with an error of its own.
    Error,
    /// It runs the request and resets the connection.
    LostAnswer,
    /// It sends half of the answer and closes.
    CutOff,
    /// Its stream stops in the middle of its second event.
    TornEvent,
    /// It answers with the id of another request.
    Foreign,
    /// It sends a second answer after the whole one.
    Surplus,
    /// It names no length and closes after the whole answer.
    Unframed,
    /// It sends bytes that are no answer.
    Garbage,
    /// It leaves its signature out.
    Unsigned,
    /// It answers before it has read the body.
    Early,
    /// It takes the request and says nothing any more.
    Silent,
}

/// How often a stream that waits looks whether it may go on.
const LOOK: Duration = Duration::from_millis(5);

/// Where copies are dropped by their name.
const HANDLES: &str = "/v1/kv-handle/";

/// The id of a request that nobody sent.
const OTHER: &str = "someone-else";

/// A run, as the server saw it begin.
#[derive(Clone, Debug)]
pub struct Run {
    /// The request.
    pub ask: Message,
    /// Whether it read the prompt, or went on from a copy.
    pub has_read_prompt: bool,
}

impl Run {
    /// The id of the sending.
    #[must_use]
    pub fn id(&self) -> &str {
        self.ask.header("magpiemoor-attempt-id").unwrap_or_default()
    }
}

/// A copy of a run's memory.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Copy {
    /// The address of the server that holds it.
    pub holder: String,
    /// The events that had been made.
    pub events: u64,
}

/// Copies of runs, by the address and the name under which they are gone on from.
pub type Copies = Arc<Mutex<BTreeMap<(String, String), Copy>>>;

#[derive(Debug, Default)]
struct State {
    acts: VecDeque<Act>,
    always: Option<Act>,
    runs: Vec<Run>,
    is_silent: bool,
    silent_after: Option<u64>,
    paused_after: Option<u64>,
    kept: Vec<String>,
    /// Events made by the runs that go on.
    going: BTreeMap<String, u64>,
    copies_made: u32,
    copies_dropped: u32,
}

/// A server.
#[derive(Debug)]
pub struct Server {
    /// Its id.
    pub id: String,
    /// When it started, in Unix milliseconds.
    pub born: u64,
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    copies: Copies,
    pace: Pace,
    task: JoinHandle<()>,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// How a server streams.
#[derive(Clone, Debug)]
pub struct Pace {
    /// Events of a whole stream.
    pub events: u64,
    /// Time between them.
    pub gap: Duration,
}

#[derive(Clone)]
struct Serving {
    id: String,
    born: u64,
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    copies: Copies,
    pace: Pace,
}

impl Server {
    /// Starts a server on a free port.
    ///
    /// # Errors
    ///
    /// What the system says.
    pub async fn start(id: &str, copies: Copies, pace: Pace) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        Self::serve(listener, id, copies, pace)
    }

    fn serve(listener: TcpListener, id: &str, copies: Copies, pace: Pace) -> std::io::Result<Self> {
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(State::default()));
        let born = next_birth();
        let serving = Serving {
            id: id.to_owned(),
            born,
            address,
            state: Arc::clone(&state),
            copies: copies.clone(),
            pace: pace.clone(),
        };
        let task = tokio::spawn(serving.accept(listener));
        Ok(Self {
            id: id.to_owned(),
            born,
            address,
            state,
            copies,
            pace,
            task,
        })
    }

    /// Ends at once, with all connections, and starts again at its address under its id: it holds
    /// nothing of before. Returns the new life.
    ///
    /// # Errors
    ///
    /// What the system says.
    pub async fn start_again(&self) -> std::io::Result<Self> {
        self.crash();
        let here = self.address.to_string();
        lock_copies(&self.copies)
            .retain(|(source, _), copy| *source != here && copy.holder != here);
        let listener = loop {
            // The address is free once the task has let go of it.
            match TcpListener::bind(self.address).await {
                Err(e) if e.kind() == std::io::ErrorKind::AddrInUse => {
                    tokio::time::sleep(LOOK).await;
                }
                bound => break bound?,
            }
        };
        Self::serve(listener, &self.id, self.copies.clone(), self.pace.clone())
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Has all requests from now on met with an act.
    pub fn act_always(&self, act: Act) {
        lock(&self.state).always = Some(act);
    }

    /// Has the next requests met with these acts.
    pub fn act(&self, acts: &[Act]) {
        lock(&self.state).acts.extend(acts);
    }

    /// Falls silent: connections stay, nothing is said any more.
    pub fn fall_silent(&self) {
        lock(&self.state).is_silent = true;
    }

    /// Falls silent once it has sent an event of a stream.
    pub fn fall_silent_after(&self, event: u64) {
        lock(&self.state).silent_after = Some(event);
    }

    /// Has streams wait once they have sent an event; the server answers questions meanwhile.
    pub fn pause_after(&self, event: u64) {
        lock(&self.state).paused_after = Some(event);
    }

    /// Lets streams that wait go on.
    pub fn go_on(&self) {
        lock(&self.state).paused_after = None;
    }

    /// Takes back what was said of falling silent.
    pub fn stay_awake(&self) {
        lock(&self.state).silent_after = None;
    }

    /// The runs that began here.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.state).runs.clone()
    }

    /// How many copies of runs were asked for and made.
    #[must_use]
    pub fn copies_made(&self) -> u32 {
        lock(&self.state).copies_made
    }

    /// How many copies were dropped by their name.
    #[must_use]
    pub fn copies_dropped(&self) -> u32 {
        lock(&self.state).copies_dropped
    }

    /// Ends at once, with all connections.
    pub fn crash(&self) {
        self.task.abort();
    }
}

/// The time of day, later for each server that starts.
fn next_birth() -> u64 {
    static LAST: AtomicU64 = AtomicU64::new(0);
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let now = now.map_or(0, |now| u64::try_from(now.as_millis()).unwrap_or(0));
    let last = LAST.fetch_max(now, Ordering::Relaxed);
    if last < now {
        return now;
    }
    LAST.fetch_add(1, Ordering::Relaxed) + 1
}

fn lock_copies(copies: &Copies) -> MutexGuard<'_, BTreeMap<(String, String), Copy>> {
    copies.lock().unwrap_or_else(PoisonError::into_inner)
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Serving {
    async fn accept(self, listener: TcpListener) {
        let mut connections = tokio::task::JoinSet::new();
        while let Ok((socket, _)) = listener.accept().await {
            let serving = self.clone();
            connections.spawn(async move {
                let mut wire = Wire::new(socket);
                // A caller that breaks off is no fault of the server.
                let _ = serving.talk(&mut wire).await;
            });
        }
    }

    fn is_silent(&self) -> bool {
        lock(&self.state).is_silent
    }

    async fn talk(&self, wire: &mut Wire) -> std::io::Result<()> {
        while let Some(head) = wire.read_request_head().await? {
            if self.is_silent() {
                std::future::pending::<()>().await;
            }
            let is_end = match head.path() {
                "/v1/report" => self.report(wire).await?,
                "/healthz" => self.health(wire).await?,
                path if path.starts_with("/v1/kv-events") => self.kept(wire).await?,
                "/v1/kv-move" => self.copy_run(wire, head).await?,
                path if path.starts_with(HANDLES) => self.drop_copy(wire, head).await?,
                _ => self.run(wire, head).await?,
            };
            if is_end {
                return Ok(());
            }
        }
        Ok(())
    }

    async fn report(&self, wire: &mut Wire) -> std::io::Result<bool> {
        let body = json!({"phase": "combined", "models": [{"name": "m"}], "queued": 0, "active": 0, "kvUsed": 0, "born": self.born}).to_string();
        wire.send(whole(200, "", &body)).await?;
        Ok(false)
    }

    async fn health(&self, wire: &mut Wire) -> std::io::Result<bool> {
        let headers = format!("Magpiemoor-Instance-Id: {}\r\n", self.id);
        wire.send(whole(200, &headers, "")).await?;
        Ok(false)
    }

    async fn kept(&self, wire: &mut Wire) -> std::io::Result<bool> {
        let kept = lock(&self.state).kept.clone();
        let events = kept.iter().enumerate();
        let events: Vec<_> = events
            .map(|(number, part)| json!([number, "+", "", part, 5000, "m"]))
            .collect();
        let body = json!({"epoch": 1, "nextToken": events.len(), "lost": false, "events": events});
        wire.send(whole(200, "", &body.to_string())).await?;
        Ok(false)
    }

    /// Copies the memory of a run that goes on to another server.
    async fn copy_run(&self, wire: &mut Wire, head: Message) -> std::io::Result<bool> {
        let mut ask = head;
        wire.finish_request(&mut ask).await?;
        let asked: serde_json::Value = serde_json::from_str(&ask.text()).unwrap_or_default();
        let run = asked["id"].as_str().unwrap_or_default();
        let going = lock(&self.state).going.get(run).copied();
        let Some(events) = going else {
            wire.send(whole(404, "", "")).await?;
            return Ok(false);
        };
        let name = format!("h-{run}");
        let copy = Copy {
            holder: asked["targetVersion"]
                .as_str()
                .unwrap_or_default()
                .to_owned(),
            events,
        };
        self.copies()
            .insert((self.address.to_string(), name.clone()), copy);
        lock(&self.state).copies_made += 1;
        let body = json!({"kvHandle": name, "made": events}).to_string();
        wire.send(whole(200, "", &body)).await?;
        Ok(false)
    }

    async fn drop_copy(&self, wire: &mut Wire, head: Message) -> std::io::Result<bool> {
        let name = head.path().trim_start_matches(HANDLES).to_owned();
        let found = self.copies().remove(&(self.address.to_string(), name));
        lock(&self.state).copies_dropped += u32::from(found.is_some());
        wire.send(whole(if found.is_some() { 200 } else { 404 }, "", ""))
            .await?;
        Ok(false)
    }

    fn copies(&self) -> MutexGuard<'_, BTreeMap<(String, String), Copy>> {
        lock_copies(&self.copies)
    }

    /// Serves a request; returns whether the connection ends.
    async fn run(&self, wire: &mut Wire, head: Message) -> std::io::Result<bool> {
        let act = {
            let mut state = lock(&self.state);
            let next = state.acts.pop_front();
            next.or(state.always).unwrap_or_default()
        };
        let id = head
            .header("magpiemoor-attempt-id")
            .unwrap_or_default()
            .to_owned();
        if act == Act::Early {
            let answer = whole(400, &self.signed(&id), "too early");
            wire.send(answer).await?;
            return Ok(true);
        }
        let mut ask = head;
        wire.finish_request(&mut ask).await?;
        let expected = ask.header("magpiemoor-expect-instance");
        if act == Act::Misdirected || expected.is_some_and(|e| e != self.id) {
            wire.send(whole(421, "Magpiemoor-Instance-Id: other\r\n", ""))
                .await?;
            return Ok(false);
        }
        if act == Act::NoRoom || !self.has_copy(&ask) {
            let headers = format!("Magpiemoor-Attempt-Id: {id}\r\nMagpiemoor-Not-Executed: 1\r\n");
            wire.send(whole(503, &headers, "")).await?;
            return Ok(false);
        }
        lock(&self.state).runs.push(Run {
            has_read_prompt: ask.header("kv-from").is_none(),
            ask: ask.clone(),
        });
        if let Some(part) = last_part(&ask) {
            lock(&self.state).kept.push(part);
        }
        if ask.header("magpiemoor-prefix-hash").is_some() {
            self.stream(wire, &ask, act).await
        } else {
            self.answer(wire, &id, act).await
        }
    }

    fn has_copy(&self, ask: &Message) -> bool {
        let Some(from) = ask.header("kv-from") else {
            return true;
        };
        let Some((address, id)) = from.split_once('/') else {
            return false;
        };
        let mut copies = self.copies();
        let place = (address.to_owned(), id.to_owned());
        let is_here = copies
            .get(&place)
            .is_some_and(|copy| copy.holder == self.address.to_string());
        // A copy serves once.
        is_here && copies.remove(&place).is_some()
    }

    fn signed(&self, id: &str) -> String {
        format!(
            "Magpiemoor-Attempt-Id: {id}\r\nMagpiemoor-Server-Stamp: {}\r\n",
            self.id
        )
    }

    /// Answers a plain call.
    async fn answer(&self, wire: &mut Wire, id: &str, act: Act) -> std::io::Result<bool> {
        let body = format!("answer to {id}");
        let signed = self.signed(id);
        match act {
            Act::Error => wire.send(whole(500, &signed, "error")).await?,
            Act::LostAnswer => return Ok(true),
            Act::Garbage => {
                wire.send("\x01\x02 no answer\r\n\r\n").await?;
                return Ok(true);
            }
            Act::CutOff => {
                let answer = whole(200, &signed, &body);
                wire.send(&answer[..answer.len() - 4]).await?;
                return Ok(true);
            }
            Act::Foreign => {
                wire.send(whole(
                    200,
                    &self.signed(OTHER),
                    &format!("answer to {OTHER}"),
                ))
                .await?;
            }
            Act::Unsigned => {
                let headers = format!("Magpiemoor-Attempt-Id: {id}\r\n");
                wire.send(whole(200, &headers, &body)).await?;
            }
            Act::Surplus => {
                let answer = whole(200, &signed, &body);
                wire.send(answer.repeat(2)).await?;
            }
            Act::Unframed => {
                wire.send(format!("HTTP/1.1 200 OK\r\n{signed}\r\n{body}"))
                    .await?;
                return Ok(true);
            }
            Act::Silent => std::future::pending().await,
            _ => wire.send(whole(200, &signed, &body)).await?,
        }
        Ok(false)
    }

    /// Streams events; each run's memory is copied where the request says.
    async fn stream(&self, wire: &mut Wire, ask: &Message, act: Act) -> std::io::Result<bool> {
        let id = ask.header("magpiemoor-attempt-id").unwrap_or_default();
        let part = last_part(ask).unwrap_or_default();
        let first = ask.number("last-event-id").unwrap_or(0) + 1;
        let backup = ask.header("magpiemoor-kv-backup").map(str::to_owned);
        let signed = self.signed(id);
        wire.send(format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n{signed}\r\n"
        ))
        .await?;
        for event in first..=self.pace.events {
            if self.is_silent() {
                std::future::pending::<()>().await;
            }
            let text = event_text(&part, event);
            let is_second = event == first + 1;
            match act {
                Act::TornEvent if is_second => {
                    wire.send(chunk(&text[..text.len() / 2])).await?;
                    return Ok(true);
                }
                Act::CutOff if is_second => return Ok(true),
                Act::Silent if is_second => std::future::pending().await,
                _ => wire.send(chunk(&text)).await?,
            }
            if let Some(address) = &backup {
                let copy = Copy {
                    holder: address.clone(),
                    events: event,
                };
                self.copies().insert((address.clone(), id.to_owned()), copy);
            }
            lock(&self.state).going.insert(id.to_owned(), event);
            tokio::time::sleep(self.pace.gap).await;
            while lock(&self.state).paused_after == Some(event) {
                tokio::time::sleep(LOOK).await;
            }
            let mut state = lock(&self.state);
            state.is_silent |= state.silent_after == Some(event);
        }
        lock(&self.state).going.remove(id);
        wire.send("0\r\n\r\n").await?;
        Ok(false)
    }
}

/// The text of an event: it follows from the prompt, so that a mixed stream is seen.
#[must_use]
pub fn event_text(part: &str, event: u64) -> String {
    format!("id: {event}\ndata: {part}-{event}\n\n")
}

fn last_part(ask: &Message) -> Option<String> {
    let parts = ask.header("magpiemoor-prefix-hash")?;
    let last = parts.rsplit(',').next()?;
    Some(last.split(':').next()?.to_owned())
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

fn whole(status: u16, headers: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status} X\r\nContent-Length: {length}\r\n{headers}\r\n{body}")
}
