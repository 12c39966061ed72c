//! A stand-in for a server of the platform: a model server with copies of its runs at others, or a
//! plain service, with faults on command.

mod brittle;
pub mod cut;
pub mod endless;
mod serving;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};
use tokio::task::JoinHandle;

use super::wire::Message;
use brittle::Brittle;
use cut::Cut;
use endless::Endless;

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
    /// It answers with this status, whether or not it is one.
    Status(u16),
    /// Its answer has [`LARGE_ANSWER_BYTES`].
    Large,
    /// It runs the request and resets the connection.
    LostAnswer,
    /// It sends half of the answer and closes.
    CutOff,
    /// Its stream stops in the middle of its second event.
    TornEvent,
    /// It answers with the id of another request.
    Foreign,
    /// It runs the request and answers that another one was meant for another instance.
    ForeignMisdirected,
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
    /// It stops in its answer and closes.
    Cut(Cut),
    /// It sends bytes without end.
    Endless(Endless),
}

/// Length of a large answer's body: more than the buffers of a connection hold.
pub const LARGE_ANSWER_BYTES: usize = 6 << 20;

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
    /// Requests that were meant for another instance.
    turned_away: usize,
    acts: VecDeque<Act>,
    always: Option<Act>,
    runs: Vec<Run>,
    is_silent: bool,
    silent_after: Option<u64>,
    /// The body of a request that ends the server when it begins to run.
    crashes_on: Option<String>,
    paused_after: Option<u64>,
    /// The limit that it names in its answers.
    limit: Option<String>,
    /// The seconds of rest that it asks for where it turns a request away.
    rest: Option<String>,
    /// Its room and rejections, where it bears only so many of them.
    brittle: Option<Brittle>,
    /// Whether it says in its answers that it is leaving.
    says_leaving: bool,
    /// The part without end of its answers to questions.
    endless_reports: Option<Endless>,
    /// Answers without end that began, and that ended since the caller closed.
    endless_begun: usize,
    endless_ended: usize,
    /// The bytes sent of all answers without end.
    endless_bytes: usize,
    /// The bytes sent of the longest answer without end.
    most_endless_bytes: usize,
    /// Requests that arrived, whether or not they ran.
    arrived: usize,
    kept: Vec<String>,
    /// The software that it came back as, if it is not that of its first start.
    software: Option<String>,
    /// Whether it tells nobody which parts of prompts it keeps.
    hides_kept: bool,
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
    /// Whether all of its output waits.
    is_muted: watch::Sender<bool>,
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
    /// Whether each event names the server that made it.
    pub names_server: bool,
}

#[derive(Clone)]
struct Serving {
    id: String,
    born: u64,
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    copies: Copies,
    pace: Pace,
    /// Told when a request ends the server.
    crashed: Arc<Notify>,
    /// Whether all of its output waits.
    is_muted: watch::Receiver<bool>,
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
        let (is_muted, muted) = watch::channel(false);
        let serving = Serving {
            id: id.to_owned(),
            born,
            address,
            state: Arc::clone(&state),
            copies: copies.clone(),
            pace: pace.clone(),
            crashed: Arc::default(),
            is_muted: muted,
        };
        let task = tokio::spawn(serving.accept(listener));
        Ok(Self {
            id: id.to_owned(),
            born,
            address,
            state,
            copies,
            pace,
            is_muted,
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
        self.start_again_under(&self.id).await
    }

    /// As [`Server::start_again`], as another instance with an id of its own.
    ///
    /// # Errors
    ///
    /// What the system says.
    pub async fn start_again_under(&self, id: &str) -> std::io::Result<Self> {
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
        Self::serve(listener, id, self.copies.clone(), self.pace.clone())
    }

    /// How many requests it turned away that were meant for another instance.
    #[must_use]
    pub fn turned_away(&self) -> usize {
        lock(&self.state).turned_away
    }

    /// As [`Server::start_again`], with other software, which events tell.
    ///
    /// # Errors
    ///
    /// What the system says.
    pub async fn start_again_as(&self, software: &str) -> std::io::Result<Self> {
        let again = self.start_again().await?;
        lock(&again.state).software = Some(software.to_owned());
        Ok(again)
    }

    /// The name that its events give it.
    #[must_use]
    pub fn name_in_events(&self) -> String {
        named(&self.id, lock(&self.state).software.as_deref())
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

    /// Answers as it should from now on.
    pub fn act_well(&self) {
        lock(&self.state).always = None;
    }

    /// Has the next requests met with these acts.
    pub fn act(&self, acts: &[Act]) {
        lock(&self.state).acts.extend(acts);
    }

    /// Names a limit of requests a second in its answers from now on, or none.
    pub fn name_limit(&self, limit: Option<&str>) {
        lock(&self.state).limit = limit.map(str::to_owned);
    }

    /// Asks for a rest of so many seconds where it turns a request away, or for none.
    pub fn ask_for_rest(&self, seconds: Option<&str>) {
        lock(&self.state).rest = seconds.map(str::to_owned);
    }

    /// Runs only so many requests at once from now on, each for this time, and says that it bears so
    /// many rejections a second.
    pub fn become_brittle(&self, bears: usize, slots: usize, work: Duration) {
        lock(&self.state).brittle = Some(Brittle::new(bears, slots, work));
    }

    /// How often it fell over for its rejections.
    #[must_use]
    pub fn falls(&self) -> usize {
        lock(&self.state).brittle.as_ref().map_or(0, |b| b.falls)
    }

    /// Says in its answers from now on that it is leaving.
    pub fn say_leaving(&self) {
        lock(&self.state).says_leaving = true;
    }

    /// Answers questions without end from now on, or as it should.
    pub fn report_endless(&self, endless: Option<Endless>) {
        lock(&self.state).endless_reports = endless;
    }

    /// How many answers without end ended since their caller closed.
    #[must_use]
    pub fn endless_ended(&self) -> usize {
        lock(&self.state).endless_ended
    }

    /// How many answers without end are on their way.
    #[must_use]
    pub fn endless_open(&self) -> usize {
        let state = lock(&self.state);
        state.endless_begun - state.endless_ended
    }

    /// The bytes sent of all answers without end.
    #[must_use]
    pub fn endless_bytes(&self) -> usize {
        lock(&self.state).endless_bytes
    }

    /// The bytes sent of the longest answer without end that is over.
    #[must_use]
    pub fn most_endless_bytes(&self) -> usize {
        lock(&self.state).most_endless_bytes
    }

    /// Tells nobody from now on which parts of prompts it keeps, as if it kept none.
    pub fn hide_kept(&self) {
        lock(&self.state).hides_kept = true;
    }

    /// How many requests arrived here, whether or not they ran.
    #[must_use]
    pub fn arrived(&self) -> usize {
        lock(&self.state).arrived
    }

    /// Ends, with all connections, when it begins to run a request with such a body.
    pub fn crash_on(&self, body: &str) {
        lock(&self.state).crashes_on = Some(body.to_owned());
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

    /// Says nothing until [`Server::unmute`]. Connections stay, new ones are taken and requests are read
    /// meanwhile, and nothing is lost.
    pub fn mute(&self) {
        self.is_muted.send_replace(true);
    }

    /// Goes on where it was.
    pub fn unmute(&self) {
        self.is_muted.send_replace(false);
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

/// The text of an event: it follows from the prompt, so that a mixed stream is seen.
#[must_use]
pub fn event_text(part: &str, event: u64) -> String {
    format!("id: {event}\ndata: {part}-{event}\n\n")
}

fn named(id: &str, software: Option<&str>) -> String {
    software.map_or_else(|| id.to_owned(), |software| format!("{id}-{software}"))
}

/// The text of an event that names the server that made it.
#[must_use]
pub fn named_event_text(part: &str, event: u64, server: &str) -> String {
    format!("id: {event}\ndata: {part}-{event}@{server}\n\n")
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
    format!("HTTP/1.1 {status:03} X\r\nContent-Length: {length}\r\n{headers}\r\n{body}")
}
