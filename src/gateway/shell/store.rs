//! Follows the platform's store: lists and watches the configuration, the endpoints and the orders
//! of roll-outs, caches what it reads for peers, and sends it to the control thread.
//!
//! Each kind of object has a task and a connection of its own. A task calls the store only while
//! this box watches that kind ([`crate::gateway::dispatch::store_watchers`]). [`super::watcher`]
//! decides the next request and the delay after a failure. After a change the task waits before the
//! next request, so that many simultaneous changes cost few calls.

use std::time::{Duration, Instant};

use bytes::Bytes;
use gotham::hyper::StatusCode;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::backoff::doubled;
use crate::gateway::dispatch::event::Event;
use crate::gateway::dispatch::record::Record;
use crate::gateway::shell::GatewayShared;
use crate::gateway::shell::dialect::{ObjectKind, StorePage};
use crate::gateway::shell::faults::FaultKind;
use crate::gateway::shell::input::Input;
use crate::gateway::shell::table_reader::{self, TableSource, TableText};
use crate::gateway::shell::watcher::{StoreAnswer, StoreChange, StoreRequest, Watcher};
use crate::gateway::shell::{endpoint_reader, quarantine, rollouts, streams};
use crate::http::pool::{Connection, Pool};

/// Delay after a change of the configuration, to batch further ones: less than the time in which a
/// configuration must be in force.
const TABLE_BATCH_DELAY: Duration = Duration::from_millis(100);
/// Delay after a change of endpoints, to batch further ones: less than the time in which a leaving
/// endpoint must get no more requests (2 s).
const ENDPOINT_BATCH_DELAY: Duration = Duration::from_millis(400);
/// Initial timeout for the head of a list's answer; doubled with each failure in a row. A healthy
/// store answers in 4 ms.
const LIST_HEAD_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of doublings of [`LIST_HEAD_TIMEOUT`].
const MAX_LIST_TIMEOUT_DOUBLINGS: u32 = 3;
/// Timeout for connecting to the store.
pub(super) const STORE_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time that the head of a watch's answer may take in addition to the requested wait.
const WATCH_HEAD_SLACK: Duration = Duration::from_millis(500);
/// Timeout for the next bytes of an answer's body. A body that keeps arriving is read to its end:
/// one object of 1 MB takes 0.8 s at 10 Mbit/s, so a long transfer doesn't mean a lost connection.
const BODY_STALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout for a whole answer: the longest wait of a watch is 30 s.
const STORE_ANSWER_TIMEOUT: Duration = Duration::from_secs(45);

/// Follows one kind of object until the process exits.
pub async fn follow(kind: ObjectKind, shared: GatewayShared) {
    let mut watcher = Watcher::default();
    let mut rng = ChaCha8Rng::seed_from_u64(rand::random());
    let mut connection = StoreConnection::default();
    let mut was_reachable = false;
    loop {
        if shared.until_watching(kind).await {
            // The known revision is outdated after a time without watching; only a list gives a
            // current one.
            watcher = Watcher::default();
        }
        let answer = connection
            .call(kind, &watcher.next_request(), &shared)
            .await;
        let next = watcher.on_answer(answer, &mut rng);
        if watcher.is_reachable() != was_reachable {
            was_reachable = watcher.is_reachable();
            record_reachability(kind, was_reachable, &shared);
        }
        if watcher.is_reachable() && kind.shows_store_access() {
            shared.watch_phase.on_answer(Instant::now());
            shared.send(Input::Event(Event::StoreAnswered)).await;
        }
        let mut pause = next.pause;
        if let Some(change) = next.change {
            apply_change(kind, change, watcher.revision(), &shared).await;
            pause = pause.max(batch_delay(kind));
        }
        tokio::time::sleep(pause).await;
    }
}

/// Time after which a watch without the head of an answer counts as lost: an open connection may go
/// silent for good.
#[must_use]
pub fn watch_head_timeout(watch: Duration) -> Duration {
    watch + WATCH_HEAD_SLACK
}

/// Delay after a change before the next request, so that many simultaneous changes cost few calls.
fn batch_delay(kind: ObjectKind) -> Duration {
    match kind {
        ObjectKind::Table => TABLE_BATCH_DELAY,
        ObjectKind::Endpoints => ENDPOINT_BATCH_DELAY,
        ObjectKind::Rollouts | ObjectKind::Quarantine | ObjectKind::Streams => Duration::ZERO,
    }
}

/// Lists all objects of a kind once; retries with backoff while the store fails.
pub(super) async fn list_all(kind: ObjectKind, shared: &GatewayShared) {
    let mut watcher = Watcher::default();
    let mut rng = ChaCha8Rng::seed_from_u64(rand::random());
    let mut connection = StoreConnection::default();
    loop {
        let answer = connection.call(kind, &watcher.next_request(), shared).await;
        let next = watcher.on_answer(answer, &mut rng);
        if let Some(change) = next.change {
            return apply_change(kind, change, watcher.revision(), shared).await;
        }
        tokio::time::sleep(next.pause).await;
    }
}

/// Reads the table once, on a separate connection, also if this box doesn't watch the store.
pub async fn read_table(shared: GatewayShared) {
    let kind = ObjectKind::Table;
    let request = StoreRequest::List { after: None };
    let answer = StoreConnection::default()
        .call(kind, &request, &shared)
        .await;
    // A failure needs no report: the dispatcher reads the store again if no table arrives.
    if let StoreAnswer::Page(page) = answer {
        apply_change(kind, StoreChange::Listed(page.entries), page.at, &shared).await;
    }
}

fn record_reachability(kind: ObjectKind, is_reachable: bool, shared: &GatewayShared) {
    let state = if is_reachable {
        "store_reached"
    } else {
        "store_lost"
    };
    shared.log.write(&Record::Process {
        state: state.into(),
        detail: format!("{kind:?}"),
    });
}

fn read_page(kind: ObjectKind, is_watch: bool, body: &[u8], shared: &GatewayShared) -> StoreAnswer {
    let page = if is_watch {
        shared.dialect.read_watch(body)
    } else {
        shared.dialect.read_list(body)
    };
    match page {
        Ok(page) => {
            report_unnamed(kind, &page, shared);
            StoreAnswer::Page(page)
        }
        Err(e) => {
            shared.faults.report(FaultKind::StoreAnswer, &e);
            StoreAnswer::Failed
        }
    }
}

/// Reports objects without a readable name; the other objects of the page stay valid.
fn report_unnamed(kind: ObjectKind, page: &StorePage, shared: &GatewayShared) {
    for object in &page.unnamed {
        let detail = format_args!("{kind:?}: {object}");
        shared
            .faults
            .report_once(FaultKind::UnnamedObject, &object.message, &detail);
    }
}

/// The connection to the store for one kind of object. It is closed after a failure, since a
/// connection whose answer was lost may stay stalled for ever.
#[derive(Default)]
struct StoreConnection {
    connection: Option<Connection>,
    failures: u32,
}

impl StoreConnection {
    async fn call(
        &mut self,
        kind: ObjectKind,
        request: &StoreRequest,
        shared: &GatewayShared,
    ) -> StoreAnswer {
        let dialect = &shared.dialect;
        let list_timeout = doubled(LIST_HEAD_TIMEOUT, self.failures, MAX_LIST_TIMEOUT_DOUBLINGS);
        let (path, head_timeout, is_watch) = match request {
            StoreRequest::List { after } => (
                dialect.list_path(kind, after.as_deref()),
                list_timeout,
                false,
            ),
            StoreRequest::Watch { revision } => {
                let longest = kind.watch_timeout(shared.settings.watch);
                let phase = &shared.watch_phase;
                let watch = phase.begin_watch(kind, longest, Instant::now());
                let path = dialect.watch_path(kind, *revision, watch);
                (path, watch_head_timeout(watch), true)
            }
        };
        shared.metrics.store_calls_of(request).inc();
        let started_at = Instant::now();
        let answered =
            tokio::time::timeout(STORE_ANSWER_TIMEOUT, self.get(&path, head_timeout, shared)).await;
        if !is_watch {
            let took = started_at.elapsed().as_secs_f64();
            shared.metrics.store_seconds.observe(took);
        }
        let answer = match answered.ok().flatten() {
            Some((StatusCode::GONE, _)) => StoreAnswer::HistoryLost,
            Some((StatusCode::OK, body)) => read_page(kind, is_watch, &body, shared),
            None | Some(_) => StoreAnswer::Failed,
        };
        if answer == StoreAnswer::Failed {
            self.connection = None;
            self.failures += 1;
        } else {
            self.failures = 0;
        }
        answer
    }

    /// Makes one call; keeps the connection only if the answer was complete.
    async fn get(
        &mut self,
        path: &str,
        head_timeout: Duration,
        shared: &GatewayShared,
    ) -> Option<(StatusCode, Bytes)> {
        let address = shared.settings.platform;
        let mut connection = match self.connection.take() {
            Some(kept) => kept,
            None => Pool::connect(address, STORE_CONNECT_TIMEOUT).await.ok()?,
        };
        let answered = connection.get_with_timeouts(path, head_timeout, BODY_STALL_TIMEOUT);
        let (status, body) = answered.await?;
        self.connection = Some(connection);
        Some((status, body))
    }
}

/// Applies objects that were read at a revision of the store: caches the table and the endpoints
/// for peers, and sends every kind to the control thread.
pub async fn apply_change(
    kind: ObjectKind,
    change: StoreChange,
    revision: u64,
    shared: &GatewayShared,
) {
    match (kind, change) {
        (ObjectKind::Table, StoreChange::Listed(entries) | StoreChange::Changed(entries)) => {
            for entry in entries {
                let table_source = TableSource {
                    from: "store".to_owned(),
                    read_at: Instant::now(),
                };
                table_reader::load_table(TableText::Plain(entry), table_source, shared).await;
            }
        }
        (ObjectKind::Quarantine, StoreChange::Listed(entries) | StoreChange::Changed(entries)) => {
            quarantine::load_objects(&entries, shared).await;
        }
        (ObjectKind::Streams, StoreChange::Listed(entries) | StoreChange::Changed(entries)) => {
            streams::load_objects(&entries, shared).await;
        }
        (ObjectKind::Rollouts, change) => {
            let event = rollouts::read_objects(change, shared);
            shared.send(Input::Event(event)).await;
        }
        (ObjectKind::Endpoints, change) => {
            if let Some(event) = endpoint_reader::load_endpoints(change, revision, shared) {
                shared.send(Input::Event(event)).await;
            }
        }
    }
}
