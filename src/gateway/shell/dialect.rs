//! Interface to the platform's protocols: how a gateway exchanges messages with callers, endpoints
//! and the platform's store.
//!
//! A dialect only translates between wire formats and the gateway's types. It makes no decisions,
//! keeps no state and does no input or output.

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
use crate::gateway::dispatch::fleet::directives::limits::RequestRate;
use crate::gateway::dispatch::fleet::directives::tolerance::Tolerance;
use crate::gateway::dispatch::refusal::Refusal;
use crate::gateway::dispatch::rollout::status::{ObjectState, StatusWrite};
use crate::gateway::dispatch::table::{RoutingTable, TableError};
use crate::schema::{BoxId, EndpointId, Fingerprint, StartTime, StreamRecord};

/// Error for a caller's request that is invalid.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BadRequest {
    /// Fault of the request, and the remedy.
    pub message: String,
}

/// Error for external data that can't be parsed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Unreadable {
    /// Data that can't be parsed, the reason, and the remedy.
    pub message: String,
}

impl fmt::Display for Unreadable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for Unreadable {}

/// Classification of an endpoint's answer by its head.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AnswerKind {
    /// Answer to the request, of any status.
    Valid,
    /// The endpoint did not run the request.
    NotRun(NotRunCause),
    /// Answer to another request.
    Foreign,
    /// Invalid as an answer of an endpoint.
    Malformed,
}

/// Factor by which a watch of roll-out orders waits longer than one of tables or endpoints: 7 calls
/// per minute and failure domain instead of 20. Together with empty lists that aren't published to
/// peers, it reduces the calls to the store from 790 to 730 per run (54 simulated runs of small
/// sites on days with faults).
const ROLLOUT_WATCH_FACTOR: u32 = 3;
/// Maximum duration of a watch; the same limit applies to the setting.
const MAX_WATCH: Duration = Duration::from_secs(30);

/// Kind of objects in the platform's store.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ObjectKind {
    /// Configuration, written by operators.
    Table,
    /// Endpoint list, one object per endpoint.
    Endpoints,
    /// Roll-out orders.
    Rollouts,
    /// Quarantined requests; these are listed but never watched.
    Quarantine,
    /// Versions that began streams; these are listed but never watched.
    Streams,
}

impl ObjectKind {
    /// All kinds, in the order of their discriminants.
    pub const ALL: [Self; 5] = [
        Self::Table,
        Self::Endpoints,
        Self::Rollouts,
        Self::Quarantine,
        Self::Streams,
    ];

    /// Returns how long a watch of this kind waits for changes; `watch` is the duration for the
    /// kinds that every box needs.
    ///
    /// Roll-out orders are rare, so their watches wait longer. The first box of each failure domain
    /// watches them: a stalled connection delays an order in only one domain, which then receives
    /// it from the others.
    #[must_use]
    pub fn watch_timeout(self, watch: Duration) -> Duration {
        match self {
            Self::Table | Self::Endpoints | Self::Quarantine | Self::Streams => watch,
            Self::Rollouts => (watch * ROLLOUT_WATCH_FACTOR).min(MAX_WATCH),
        }
    }

    /// Whether an answer of this kind shows that the box can read the store on behalf of its peers.
    /// An answer with roll-out orders does not: tables and endpoints are read over other
    /// connections, which may be stalled.
    #[must_use]
    pub fn shows_store_access(self) -> bool {
        match self {
            Self::Table | Self::Endpoints => true,
            Self::Rollouts | Self::Quarantine | Self::Streams => false,
        }
    }
}

/// Object in the store, or its removal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Name by which lists and watches identify the object.
    pub name: String,
    /// Content, or `None` if the object was removed.
    pub text: Option<String>,
}

/// Answer of the store to a list or a watch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StorePage {
    /// Objects, or changes of objects, with valid names.
    pub entries: Vec<Entry>,
    /// Errors for objects without a valid name.
    pub unnamed: Vec<Unreadable>,
    /// Whether the list continues after the last entry.
    pub more: bool,
    /// Revision of the store.
    pub at: u64,
}

/// Directives in the head of an endpoint's answer, each parsed separately.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StatedDirectives {
    /// Requests a second that the endpoint accepts from all boxes together.
    pub limit: Result<Option<RequestRate>, Unreadable>,
    /// Rejections a second that the endpoint bears, from all boxes together.
    pub tolerance: Result<Option<Tolerance>, Unreadable>,
    /// Time for which the endpoint wants no request from this box.
    pub rest: Result<Option<Duration>, Unreadable>,
    /// Whether the endpoint is leaving.
    pub is_leaving: bool,
}

/// HTTP call that a duty makes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DutyCall {
    /// HTTP method.
    pub method: Method,
    /// Path, including the query if there is one.
    pub path: String,
    /// Headers in addition to those of every call.
    pub headers: HeaderMap,
    /// Body; empty if the call has none.
    pub body: String,
}

/// Translates between the platform's wire formats and the gateway's types.
pub trait Dialect: Send + Sync + 'static {
    /// Parses the head of a caller's request.
    ///
    /// # Errors
    ///
    /// If the head is invalid; the message names the fault.
    fn read_request(&self, head: &request::Parts) -> Result<Arrival, BadRequest>;

    /// Returns status and headers of the answer to a refused request.
    fn refusal(&self, id: &str, refusal: Refusal) -> (StatusCode, HeaderMap);

    /// Returns the headers of a request that is sent to an endpoint.
    fn request_headers(&self, caller: &HeaderMap, id: &str, attempt: &Attempt) -> HeaderMap;

    /// Classifies an endpoint's answer to the request `id` by its head.
    fn classify_answer(&self, head: &response::Parts, id: &str) -> AnswerKind;

    /// Reads the directives that the head of an endpoint's answer states.
    fn directives(&self, head: &response::Parts) -> StatedDirectives;

    /// Returns the id of the endpoint that sent an answer, if it states one.
    fn instance(&self, headers: &HeaderMap) -> Option<EndpointId>;

    /// Returns the path of an endpoint's load report.
    fn load_path(&self) -> &'static str;

    /// Whether this answer to a request for [`Self::load_path`] comes from a model engine.
    fn is_engine(&self, body: &[u8]) -> bool;

    /// Whether the endpoint that sent this answer to a request for [`Self::load_path`] says in it that
    /// it is leaving.
    fn is_leaving(&self, body: &[u8]) -> bool;

    /// Returns the start time of the process that sent this answer to a request for
    /// [`Self::load_path`], if it states one.
    fn start_time(&self, body: &[u8]) -> Option<StartTime>;

    /// Returns path and body of the request for a snapshot of the attempt that the engine knows as
    /// `run`; the snapshot goes to the host at `to`.
    fn snapshot_request(&self, run: &str, to: SocketAddr) -> (&'static str, String);

    /// Parses the name of a snapshot from an engine's answer.
    ///
    /// # Errors
    ///
    /// If the answer contains no valid name.
    fn read_snapshot(&self, body: &[u8]) -> Result<SnapshotName, Unreadable>;

    /// Returns the path at which a `DELETE` request drops a snapshot.
    fn drop_snapshot_path(&self, name: &SnapshotName) -> String;

    /// Returns the path at which an engine lists the prompt parts in its cache.
    fn cache_path(&self) -> &'static str;

    /// Whether the engine that sent this answer has a prompt part in its cache.
    fn keeps_part(&self, body: &[u8], part: &str) -> bool;

    /// Returns the path of this process's readiness check.
    fn ready_path(&self) -> &'static str;

    /// Returns the path of a list call; the list starts after the object named `after`.
    fn list_path(&self, source: ObjectKind, after: Option<&str>) -> String;

    /// Returns the path of a watch for changes after revision `at` that waits for up to `wait`.
    fn watch_path(&self, source: ObjectKind, at: u64, wait: Duration) -> String;

    /// Parses the answer to a list. Each object is parsed separately, so that an invalid one
    /// doesn't affect the others.
    ///
    /// # Errors
    ///
    /// If the answer as a whole can't be parsed.
    fn read_list(&self, body: &[u8]) -> Result<StorePage, Unreadable>;

    /// Parses the answer to a watch, as [`Self::read_list`] does.
    ///
    /// # Errors
    ///
    /// If the answer as a whole can't be parsed.
    fn read_watch(&self, body: &[u8]) -> Result<StorePage, Unreadable>;

    /// Parses the operators' configuration; returns `None` if the object holds other data.
    ///
    /// # Errors
    ///
    /// If the configuration is invalid.
    fn read_table(&self, entry: &Entry) -> Option<Result<RoutingTable, TableError>>;

    /// Parses an entry of the endpoint list.
    ///
    /// # Errors
    ///
    /// If the entry is invalid.
    fn read_endpoint(&self, entry: &Entry) -> Result<EndpointSpec, Unreadable>;

    /// Returns path and body of the call that stores that a request is quarantined since `since`.
    fn quarantine_object(&self, request: Fingerprint, since: UnixMillis) -> (String, String);

    /// Returns the path of a quarantined request's object.
    fn quarantine_object_path(&self, request: Fingerprint) -> String;

    /// Parses the object of a quarantined request.
    ///
    /// # Errors
    ///
    /// If the object is invalid.
    fn read_quarantine(&self, entry: &Entry) -> Result<(Fingerprint, UnixMillis), Unreadable>;

    /// Returns the path of an object with records of streams.
    fn streams_object_path(&self, name: &str) -> String;

    /// Returns the body of the call that creates or replaces an object with records of streams.
    fn streams_object(&self, name: &str, written: UnixMillis, records: &[StreamRecord]) -> String;

    /// Parses an object with records of streams: the time when it was written, and the records.
    ///
    /// # Errors
    ///
    /// If the object is invalid.
    fn read_streams(&self, entry: &Entry) -> Result<(UnixMillis, Vec<StreamRecord>), Unreadable>;

    /// Returns the store call for an operation of a duty.
    fn duty_call(&self, operation: &StoreOperation) -> DutyCall;

    /// Parses the store's answer to an operation of a duty.
    fn read_duty(&self, operation: &StoreOperation, status: StatusCode, body: &[u8]) -> DutyAnswer;

    /// Returns the call that reports the usage of a window.
    fn usage_report(&self, holder: &BoxId, token: u64, window: &SettledWindow) -> DutyCall;

    /// Parses the object of a roll-out order.
    ///
    /// # Errors
    ///
    /// If the object is invalid.
    fn read_rollout(&self, entry: &Entry) -> Result<ObjectState, Unreadable>;

    /// Returns path and body of the call that writes the status of a roll-out order.
    fn rollout_status(&self, write: &StatusWrite) -> (String, String);
}
