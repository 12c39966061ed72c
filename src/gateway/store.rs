//! Reads configuration and endpoints from the platform's store and keeps what was read for peers.

use std::time::Duration;

use gotham::hyper::{Method, StatusCode};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::dispatch::event::{EndpointChange, Event};
use crate::dispatch::record::Record;
use crate::gateway::GatewayShared;
use crate::gateway::control::Input;
use crate::gateway::dialect::{Entry, Source};
use crate::gateway::watcher::{News, Step, StepAnswer, Watcher};
use crate::http::Call;

/// How long a list may take.
const LIST_LIMIT: Duration = Duration::from_millis(1_500);
/// How much longer than asked for a watch may take.
const WATCH_SLACK: Duration = Duration::from_millis(700);

/// Follows one source for as long as the process runs.
pub async fn follow(source: Source, shared: GatewayShared) {
    let mut watcher = Watcher::default();
    let mut rng = ChaCha8Rng::seed_from_u64(rand::random());
    let mut was_reached = false;
    loop {
        let answer = ask(source, watcher.step(), &shared).await;
        let next = watcher.on_answer(answer, &mut rng);
        if watcher.is_reached() != was_reached {
            was_reached = watcher.is_reached();
            record_reached(source, was_reached, &shared);
        }
        if let Some(news) = next.news {
            spread(source, news, &shared).await;
        }
        tokio::time::sleep(next.pause).await;
    }
}

fn record_reached(source: Source, is_reached: bool, shared: &GatewayShared) {
    let state = if is_reached {
        "store_reached"
    } else {
        "store_lost"
    };
    shared.log.write(&Record::Process {
        state,
        detail: format!("{source:?}"),
    });
}

async fn ask(source: Source, step: Step, shared: &GatewayShared) -> StepAnswer {
    let dialect = &shared.dialect;
    let watch = shared.settings.watch;
    let (path, limit, is_watch) = match &step {
        Step::List { after } => (
            dialect.list_path(source, after.as_deref()),
            LIST_LIMIT,
            false,
        ),
        Step::Watch { at } => (
            dialect.watch_path(source, *at, watch),
            watch + WATCH_SLACK,
            true,
        ),
    };
    shared.metrics.store_calls.inc();
    let address = shared.settings.platform.to_string();
    let call = Call::new(Method::GET, &address, &path);
    let Ok(answer) = shared.client.send(call, limit).await else {
        return StepAnswer::Failed;
    };
    match answer.status {
        StatusCode::GONE => return StepAnswer::HistoryLost,
        StatusCode::OK => {}
        _ => return StepAnswer::Failed,
    }
    let page = if is_watch {
        dialect.read_watch(&answer.body)
    } else {
        dialect.read_list(&answer.body)
    };
    page.map_or(StepAnswer::Failed, StepAnswer::Page)
}

/// Tells the control thread what is new.
pub async fn spread(source: Source, news: News, shared: &GatewayShared) {
    match (source, news) {
        (Source::Table, News::Listed(entries) | News::Changed(entries)) => {
            for entry in entries {
                take_table(&entry, shared).await;
            }
        }
        (Source::Endpoints, News::Listed(entries)) => {
            shared.keep_endpoints(&entries, true);
            let specs = entries
                .iter()
                .filter_map(|e| shared.dialect.read_endpoint(e));
            let event = Event::EndpointsListed(specs.collect());
            shared.tell(Input::Event(event)).await;
        }
        (Source::Endpoints, News::Changed(entries)) => {
            shared.keep_endpoints(&entries, false);
            let changes = entries.iter().filter_map(|e| change_of(e, shared));
            let event = Event::EndpointsChanged(changes.collect());
            shared.tell(Input::Event(event)).await;
        }
    }
}

fn change_of(entry: &Entry, shared: &GatewayShared) -> Option<EndpointChange> {
    if entry.text.is_none() {
        return entry.name.parse().ok().map(EndpointChange::Absent);
    }
    shared
        .dialect
        .read_endpoint(entry)
        .map(EndpointChange::Present)
}

/// Takes a configuration in, wherever it was read.
pub async fn take_table(entry: &Entry, shared: &GatewayShared) {
    match shared.dialect.read_table(entry) {
        None => {}
        Some(Err(e)) => shared.log.write(&Record::Process {
            state: "table_refused",
            detail: e.to_string(),
        }),
        Some(Ok(table)) => {
            shared.keep_table(entry, table.version());
            let event = Event::Table(std::sync::Arc::new(table));
            shared.tell(Input::Event(event)).await;
        }
    }
}
