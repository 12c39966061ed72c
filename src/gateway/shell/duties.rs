//! Calls for the duty to report usage: to the platform's store, and to the receiver of the reports.
//!
//! Without an answer it is unknown whether a call took effect: the dispatcher then reads the duty's
//! object again, and sends a report again unchanged.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use gotham::hyper::header::{CONTENT_TYPE, HeaderValue};
use gotham::hyper::{Request, StatusCode};
use http_body_util::Full;

use crate::clock::{UnixMillis, wall_millis};
use crate::gateway::dispatch::duty::lease::{DutyAnswer, StoreCall, StoreOperation};
use crate::gateway::dispatch::duty::{ReportOutcome, SettledWindow};
use crate::gateway::dispatch::event::Event;
use crate::gateway::dispatch::record::Record;
use crate::gateway::shell::GatewayShared;
use crate::gateway::shell::dialect::DutyCall;
use crate::gateway::shell::input::Input;
use crate::http::pool::Pool;

/// Interval of [`send_time_of_day`].
const TIME_OF_DAY_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout for connecting; short, since the lease was checked before the call.
const DUTY_CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout for a whole call, including the connection.
const DUTY_CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Sends the time of day to the control thread at intervals, if usage is to be reported.
pub async fn send_time_of_day(shared: GatewayShared) {
    if shared.settings.usage.is_none() {
        return;
    }
    loop {
        let now = UnixMillis(wall_millis());
        shared.send(Input::Event(Event::TimeOfDay(now))).await;
        tokio::time::sleep(TIME_OF_DAY_INTERVAL).await;
    }
}

/// Calls the store for the duty, and sends the answer to the control thread.
pub async fn call_store(call: StoreCall, shared: GatewayShared) {
    match call.operation {
        StoreOperation::Read => shared.metrics.store_reads().inc(),
        StoreOperation::Create(_) | StoreOperation::Replace { .. } => {
            shared.metrics.store_writes().inc();
        }
    }
    let request = shared.dialect.duty_call(&call.operation);
    let answered = send(request, shared.settings.platform).await;
    let answer = answered.map_or(DutyAnswer::Unknown, |(status, body)| {
        shared.dialect.read_duty(&call.operation, status, &body)
    });
    let event = Event::DutyAnswered {
        call: call.number,
        answer,
    };
    shared.send(Input::Event(event)).await;
}

/// Reports the usage of a window, and sends the outcome to the control thread.
pub async fn report(token: u64, window: SettledWindow, shared: GatewayShared) {
    let Some(usage) = &shared.settings.usage else {
        return;
    };
    let holder = &shared.settings.box_id;
    let request = shared.dialect.usage_report(holder, token, &window);
    let answered = send(request, usage.address).await;
    let outcome = match answered.map(|(status, _)| status) {
        Some(status) if status.is_success() => ReportOutcome::Taken,
        Some(StatusCode::CONFLICT) => ReportOutcome::Fenced,
        Some(_) | None => ReportOutcome::Unknown,
    };
    let started: u64 = window.counts.values().sum();
    shared.record(&Record::Process {
        state: "usage_report".into(),
        detail: format!(
            "window {}, {started} requests, token {token}: {outcome:?}",
            window.window.0
        ),
    });
    let event = Event::UsageReported {
        window: window.window,
        outcome,
    };
    shared.send(Input::Event(event)).await;
}

async fn send(call: DutyCall, to: SocketAddr) -> Option<(StatusCode, Bytes)> {
    let answer = async {
        let mut request = Request::new(Full::new(Bytes::from(call.body)));
        *request.method_mut() = call.method;
        *request.uri_mut() = call.path.parse().ok()?;
        *request.headers_mut() = call.headers;
        let json = HeaderValue::from_static("application/json");
        request.headers_mut().insert(CONTENT_TYPE, json);
        let mut connection = Pool::connect(to, DUTY_CONNECT_TIMEOUT).await.ok()?;
        let (head, body) = connection.exchange(request).await?;
        Some((head.status, body))
    };
    tokio::time::timeout(DUTY_CALL_TIMEOUT, answer)
        .await
        .ok()
        .flatten()
}
