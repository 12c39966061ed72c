//! Follows the platform's store: lists and watches configuration and endpoints, keeps what was read
//! for peers, and hands it to the control thread.
//!
//! One task for each kind of objects, each with a connection of its own, and only while this box
//! watches that kind ([`crate::gateway::dispatch::store_watchers`]). [`super::watcher`] decides
//! what is asked next, and how long to wait after a failure. Changes gather after some were read,
//! so that many at once cost few calls.

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
use crate::gateway::shell::{endpoint_reader, quarantine, rollouts};
use crate::http::pool::{Connection, Pool};

/// How long configurations gather. Under the bound for a configuration to come into force.
const GATHER_TABLES: Duration = Duration::from_millis(100);
/// How long changes of endpoints gather. Under the bound for a leaving endpoint (2 s).
const GATHER_ENDPOINTS: Duration = Duration::from_millis(400);
/// How long a list's answer may take to begin at first; longer after each failure. The store
/// answers in 4 ms when it is well.
const LIST_LIMIT: Duration = Duration::from_millis(500);
/// How often that is doubled at the most.
const MOST_LIST_DOUBLINGS: u32 = 3;
/// How long a connection may take.
pub(super) const STORE_CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// How much longer than asked for a watch's answer may take to begin.
const WATCH_SLACK: Duration = Duration::from_millis(700);
/// How long an answer that has begun may stand still. One that goes on is read to its end, since
/// an object of 1 MB alone takes 0.8 s at 10 Mbit/s, and its size is no sign of a lost connection.
const BODY_SILENCE: Duration = Duration::from_secs(1);
/// How long an answer may take in all. A watch's longest time is 30 s.
const LONGEST_ANSWER: Duration = Duration::from_secs(45);

/// Follows one source for as long as the process runs.
pub async fn follow(source: ObjectKind, shared: GatewayShared) {
    let mut watcher = Watcher::default();
    let mut rng = ChaCha8Rng::seed_from_u64(rand::random());
    let mut link = StoreLink::default();
    let mut was_reached = false;
    loop {
        if shared.until_watching(source).await {
            // Others have read meanwhile; only a list tells where to watch from.
            watcher = Watcher::default();
        }
        let answer = link.ask(source, &watcher.next_request(), &shared).await;
        let next = watcher.on_answer(answer, &mut rng);
        if watcher.is_reached() != was_reached {
            was_reached = watcher.is_reached();
            record_reached(source, was_reached, &shared);
        }
        if watcher.is_reached() && source.shows_store_access() {
            shared.send(Input::Event(Event::StoreAnswered)).await;
        }
        let mut pause = next.pause;
        if let Some(change) = next.change {
            apply_change(source, change, watcher.revision(), &shared).await;
            pause = pause.max(gathering(source));
        }
        tokio::time::sleep(pause).await;
    }
}

/// How long changes gather after some were read, so that many at once cost few calls.
fn gathering(source: ObjectKind) -> Duration {
    match source {
        ObjectKind::Table => GATHER_TABLES,
        ObjectKind::Endpoints => GATHER_ENDPOINTS,
        ObjectKind::Rollouts | ObjectKind::Quarantine => Duration::ZERO,
    }
}

/// Lists all objects of a kind once, with pauses while the store fails.
pub(super) async fn list_whole(source: ObjectKind, shared: &GatewayShared) {
    let mut watcher = Watcher::default();
    let mut rng = ChaCha8Rng::seed_from_u64(rand::random());
    let mut link = StoreLink::default();
    loop {
        let answer = link.ask(source, &watcher.next_request(), shared).await;
        let next = watcher.on_answer(answer, &mut rng);
        if let Some(change) = next.change {
            return apply_change(source, change, watcher.revision(), shared).await;
        }
        tokio::time::sleep(next.pause).await;
    }
}

/// Reads the table once, on a connection of its own, though this box may not watch the store.
pub async fn read_table(shared: GatewayShared) {
    let source = ObjectKind::Table;
    let request = StoreRequest::List { after: None };
    let answer = StoreLink::default().ask(source, &request, &shared).await;
    // A failure is seen by the table that doesn't come, and the store is then read again.
    if let StoreAnswer::Page(page) = answer {
        apply_change(source, StoreChange::Listed(page.entries), page.at, &shared).await;
    }
}

fn record_reached(source: ObjectKind, is_reached: bool, shared: &GatewayShared) {
    let state = if is_reached {
        "store_reached"
    } else {
        "store_lost"
    };
    shared.log.write(&Record::Process {
        state: state.into(),
        detail: format!("{source:?}"),
    });
}

fn read_page(
    source: ObjectKind,
    is_watch: bool,
    body: &[u8],
    shared: &GatewayShared,
) -> StoreAnswer {
    let page = if is_watch {
        shared.dialect.read_watch(body)
    } else {
        shared.dialect.read_list(body)
    };
    match page {
        Ok(page) => {
            note_unnamed(source, &page, shared);
            StoreAnswer::Page(page)
        }
        Err(e) => {
            shared.faults.report(FaultKind::StoreAnswer, &e);
            StoreAnswer::Failed
        }
    }
}

/// Tells of objects that nobody can name; the others of the page hold.
fn note_unnamed(source: ObjectKind, page: &StorePage, shared: &GatewayShared) {
    for object in &page.unnamed {
        let detail = format_args!("{source:?}: {object}");
        shared
            .faults
            .report_once(FaultKind::UnnamedObject, &object.message, &detail);
    }
}

/// The connection to the store that one source uses; none is kept after a failure, since an answer
/// that was lost leaves a connection silent for ever.
#[derive(Default)]
struct StoreLink {
    connection: Option<Connection>,
    failures: u32,
}

impl StoreLink {
    async fn ask(
        &mut self,
        source: ObjectKind,
        request: &StoreRequest,
        shared: &GatewayShared,
    ) -> StoreAnswer {
        let dialect = &shared.dialect;
        let watch = source.watch_timeout(shared.settings.watch);
        let patience = doubled(LIST_LIMIT, self.failures, MOST_LIST_DOUBLINGS);
        let (path, head_limit, is_watch) = match request {
            StoreRequest::List { after } => {
                (dialect.list_path(source, after.as_deref()), patience, false)
            }
            StoreRequest::Watch { at } => (
                dialect.watch_path(source, *at, watch),
                watch + WATCH_SLACK,
                true,
            ),
        };
        shared.metrics.store_calls_of(request).inc();
        let began = Instant::now();
        let got = tokio::time::timeout(LONGEST_ANSWER, self.get(&path, head_limit, shared)).await;
        if !is_watch {
            let took = began.elapsed().as_secs_f64();
            shared.metrics.store_seconds.observe(took);
        }
        let answer = match got.ok().flatten() {
            Some((StatusCode::GONE, _)) => StoreAnswer::HistoryLost,
            Some((StatusCode::OK, body)) => read_page(source, is_watch, &body, shared),
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

    /// Makes one call; the connection is kept only if the answer came whole.
    async fn get(
        &mut self,
        path: &str,
        head_limit: Duration,
        shared: &GatewayShared,
    ) -> Option<(StatusCode, Bytes)> {
        let address = shared.settings.platform;
        let mut connection = match self.connection.take() {
            Some(kept) => kept,
            None => Pool::connect(address, STORE_CONNECT_LIMIT).await.ok()?,
        };
        let got = connection.get_while_it_comes(path, head_limit, BODY_SILENCE);
        let (status, body) = got.await?;
        self.connection = Some(connection);
        Some((status, body))
    }
}

/// Keeps what was read at a revision of the store for peers, and hands it to the control thread.
pub async fn apply_change(
    source: ObjectKind,
    change: StoreChange,
    at: u64,
    shared: &GatewayShared,
) {
    match (source, change) {
        (ObjectKind::Table, StoreChange::Listed(entries) | StoreChange::Changed(entries)) => {
            for entry in entries {
                let source = TableSource {
                    from: "store".to_owned(),
                    read_at: Instant::now(),
                };
                table_reader::take_table(TableText::Plain(entry), source, shared).await;
            }
        }
        (ObjectKind::Quarantine, StoreChange::Listed(entries) | StoreChange::Changed(entries)) => {
            quarantine::take_entries(&entries, shared).await;
        }
        (ObjectKind::Rollouts, change) => {
            let event = rollouts::read_objects(change, shared);
            shared.send(Input::Event(event)).await;
        }
        (ObjectKind::Endpoints, change) => {
            if let Some(event) = endpoint_reader::take_endpoints(change, at, shared) {
                shared.send(Input::Event(event)).await;
            }
        }
    }
}
