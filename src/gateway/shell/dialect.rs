//! The edges of a gateway: how callers, endpoints and the platform's store are spoken to.
//!
//! A dialect only translates. It makes no decision, keeps no state, and does no input or output.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use gotham::hyper::http::{request, response};
use gotham::hyper::{HeaderMap, Method, StatusCode};

pub use crate::clock::UnixMillis;

use crate::gateway::dispatch::action::Attempt;
use crate::gateway::dispatch::duty::SettledWindow;
use crate::gateway::dispatch::duty::lease::{DutyAnswer, StoreOperation};
use crate::gateway::dispatch::event::{Arrival, EndpointSpec, NotRunCause, SnapshotName};
use crate::gateway::dispatch::fleet::limits::RequestRate;
use crate::gateway::dispatch::refusal::Refusal;
use crate::gateway::dispatch::rollout::status::{ObjectState, StatusWrite};
use crate::gateway::dispatch::table::{RoutingTable, TableError};
use crate::schema::{BoxId, EndpointId, Fingerprint, StartTime};

/// Why a request can't be read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BadRequest {
    /// What is wrong with it, and the remedy.
    pub message: String,
}

/// Why something that came from outside can't be read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Unreadable {
    /// What can't be read, why, and the remedy.
    pub message: String,
}

impl fmt::Display for Unreadable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for Unreadable {}

/// What the head of an endpoint's answer says.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AnswerKind {
    /// It answers the request.
    Valid,
    /// The request was not run.
    NotRun(NotRunCause),
    /// It belongs to another request.
    Foreign,
    /// It is no answer of an endpoint.
    Malformed,
}

/// How many times as long a watch of roll-outs waits: 7 calls a minute and failure domain instead of
/// 20. With it, and with empty lists that tell nobody, 730 calls to the store a play for 790 (54 plays
/// of the small sites' trouble days).
const ROLLOUT_WATCHES: u32 = 3;
/// The longest that a watch waits, as for the setting.
const LONGEST_WATCH: Duration = Duration::from_secs(30);

/// What is read from the platform's store.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ObjectKind {
    /// The operators' configuration.
    Table,
    /// The list of endpoints.
    Endpoints,
    /// Orders of roll-outs.
    Rollouts,
    /// Requests that are quarantined; they are never watched.
    Quarantine,
}

impl ObjectKind {
    /// All kinds, in the order of their numbers.
    pub const ALL: [Self; 4] = [
        Self::Table,
        Self::Endpoints,
        Self::Rollouts,
        Self::Quarantine,
    ];

    /// How long a watch waits, where one of what every box needs waits for `watch`.
    ///
    /// Orders of roll-outs are rare, and the first box of each failure domain watches them: a silent
    /// connection keeps an order from one domain, and the others tell it.
    #[must_use]
    pub fn watch_timeout(self, watch: Duration) -> Duration {
        match self {
            Self::Table | Self::Endpoints | Self::Quarantine => watch,
            Self::Rollouts => (watch * ROLLOUT_WATCHES).min(LONGEST_WATCH),
        }
    }

    /// Whether an answer shows that a box can tell others what they need of the store. One with
    /// orders of roll-outs does not: tables and endpoints have connections of their own.
    #[must_use]
    pub fn shows_store_access(self) -> bool {
        match self {
            Self::Table | Self::Endpoints => true,
            Self::Rollouts | Self::Quarantine => false,
        }
    }
}

/// An object of the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Its name.
    pub name: String,
    /// Its content as text, or `None` once it is gone.
    pub text: Option<String>,
}

/// What the store answers to a list or a watch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StorePage {
    /// Objects, or changes of them, that have a name.
    pub entries: Vec<Entry>,
    /// Objects whose names can't be read.
    pub unnamed: Vec<Unreadable>,
    /// Whether the list goes on after the last of them.
    pub more: bool,
    /// The store's revision.
    pub at: u64,
}

/// A call that a duty needs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DutyCall {
    /// The method.
    pub method: Method,
    /// The path.
    pub path: String,
    /// Headers beside those of any call.
    pub headers: HeaderMap,
    /// The body, if it has one.
    pub body: String,
}

/// Translates between the outside and a gateway.
pub trait Dialect: Send + Sync + 'static {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Says what is wrong with it.
    fn read_request(&self, head: &request::Parts) -> Result<Arrival, BadRequest>;

    /// The head of the final answer to a request that no endpoint answered.
    fn refusal(&self, id: &str, refusal: Refusal) -> (StatusCode, HeaderMap);

    /// The headers with which a request goes to an endpoint.
    fn request_headers(&self, caller: &HeaderMap, id: &str, sending: &Attempt) -> HeaderMap;

    /// Judges the head of an endpoint's answer.
    fn classify_answer(&self, head: &response::Parts, id: &str) -> AnswerKind;

    /// The limit of requests a second that the head of an endpoint's answer names.
    ///
    /// # Errors
    ///
    /// If what it names is no limit.
    fn limit(&self, headers: &HeaderMap) -> Result<Option<RequestRate>, Unreadable>;

    /// Who answered a health check.
    fn instance(&self, headers: &HeaderMap) -> Option<EndpointId>;

    /// The path of an endpoint's load report.
    fn load_path(&self) -> &'static str;

    /// Whether what answered this at the path of [`Self::load_path`] is a model engine.
    fn is_engine(&self, body: &[u8]) -> bool;

    /// When the process that answered this at the path of [`Self::load_path`] started, if it says so.
    fn start_time(&self, body: &[u8]) -> Option<StartTime>;

    /// The path and body with which an engine is asked for a snapshot of an attempt.
    fn snapshot_request(&self, run: &str, to: SocketAddr) -> (&'static str, String);

    /// Reads the name of the snapshot that was taken.
    ///
    /// # Errors
    ///
    /// Says why it can't be read.
    fn read_snapshot(&self, body: &[u8]) -> Result<SnapshotName, Unreadable>;

    /// The path whose deletion drops a snapshot.
    fn drop_snapshot_path(&self, name: &SnapshotName) -> String;

    /// The path at which an engine tells which parts of prompts it keeps.
    fn cache_path(&self) -> &'static str;

    /// Whether an engine that answered this keeps a part of a prompt.
    fn keeps_part(&self, body: &[u8], part: &str) -> bool;

    /// The path at which this process says whether it is ready.
    fn ready_path(&self) -> &'static str;

    /// The path of a list, from the object after a name on.
    fn list_path(&self, source: ObjectKind, after: Option<&str>) -> String;

    /// The path of a watch from a revision on.
    fn watch_path(&self, source: ObjectKind, at: u64, wait: Duration) -> String;

    /// Reads the answer to a list, each object alone: one that can't be read spoils no other.
    ///
    /// # Errors
    ///
    /// Says why the answer as a whole can't be read.
    fn read_list(&self, body: &[u8]) -> Result<StorePage, Unreadable>;

    /// Reads the answer to a watch, as [`Self::read_list`] does.
    ///
    /// # Errors
    ///
    /// Says why the answer as a whole can't be read.
    fn read_watch(&self, body: &[u8]) -> Result<StorePage, Unreadable>;

    /// Reads the operators' configuration; `None` where an object holds something else.
    ///
    /// # Errors
    ///
    /// Says why it can't be used.
    fn read_table(&self, entry: &Entry) -> Option<Result<RoutingTable, TableError>>;

    /// Reads an entry of the list of endpoints.
    ///
    /// # Errors
    ///
    /// Says why it can't be read.
    fn read_endpoint(&self, entry: &Entry) -> Result<EndpointSpec, Unreadable>;

    /// The path and body of the call that keeps that a request is quarantined since a time of day.
    fn quarantine_object(&self, request: Fingerprint, since: UnixMillis) -> (String, String);

    /// The path of such an object.
    fn quarantine_object_path(&self, request: Fingerprint) -> String;

    /// Reads such an object.
    ///
    /// # Errors
    ///
    /// Says why it can't be read.
    fn read_quarantine(&self, entry: &Entry) -> Result<(Fingerprint, UnixMillis), Unreadable>;

    /// The call of the store that a duty needs.
    fn duty_call(&self, operation: &StoreOperation) -> DutyCall;

    /// Reads the store's answer to it.
    fn read_duty(&self, operation: &StoreOperation, status: StatusCode, body: &[u8]) -> DutyAnswer;

    /// The call that reports the usage of a window.
    fn usage_report(&self, holder: &BoxId, token: u64, window: &SettledWindow) -> DutyCall;

    /// Reads an object that orders a roll-out.
    ///
    /// # Errors
    ///
    /// Says why it can't be read.
    fn read_rollout(&self, entry: &Entry) -> Result<ObjectState, Unreadable>;

    /// The path and body of the call that writes such an object's status.
    fn rollout_status(&self, write: &StatusWrite) -> (String, String);
}
