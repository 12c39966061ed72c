//! Graceful stop on a signal, and reload of the settings that can change at run time.
//!
//! On SIGTERM or SIGINT the box reports at once that it is not ready, and
//! [`crate::gateway::dispatch::stopping`] hands requests back that can't be completed. The box accepts
//! connections for another [`BALANCER_NOTICE`], until the load balancer has noticed the stop. Then
//! it accepts no more, closes idle connections, and exits once no request is in progress and no other
//! box uses a tunnel, or the grace period is over. Every request that the box has read has an answer
//! or a refusal by then.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use tokio::signal::unix::{SignalKind, signal};

use crate::gateway::dispatch::event::Event;
use crate::gateway::dispatch::record::Record;
use crate::gateway::settings;
use crate::gateway::shell::GatewayShared;
use crate::gateway::shell::input::Input;

/// Time for which a stopping box still accepts connections: the load balancer of the users'
/// platform removes a box after two readiness checks without status 200.
const BALANCER_NOTICE: Duration = Duration::from_secs(3);
/// Time before the end of the grace period at which the box closes what is left, so that it exits
/// before it is killed.
const KILL_MARGIN: Duration = Duration::from_millis(250);
/// Time in which the dispatcher hands back what is left at the end of the grace period.
const HAND_BACK_TIME: Duration = Duration::from_millis(50);
/// Time for the decision log to write its last lines.
const LOG_FLUSH_TIME: Duration = Duration::from_millis(50);
/// Time for connections to close.
const CLOSE_TIME: Duration = Duration::from_millis(100);
/// Interval at which the settings file is read again.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);

/// Waits for SIGTERM or SIGINT, then stops the process gracefully.
pub async fn stop_on_signal(shared: GatewayShared) {
    let (Ok(mut terminate), Ok(mut interrupt)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        log::warn!("can't handle SIGTERM and SIGINT; a stop will abort requests in progress");
        return;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    stop(&shared).await;
}

/// Stops the process as described at the head of this module.
async fn stop(shared: &GatewayShared) {
    let requested_at = Instant::now();
    shared.begin_stopping();
    let grace = shared.settings.stop_grace.saturating_sub(KILL_MARGIN);
    shared.send(Input::Event(Event::Stop { grace })).await;
    record(shared, "stopping", String::new());
    tokio::time::sleep(BALANCER_NOTICE.min(grace)).await;
    shared.close_idle_connections();
    tokio::time::sleep(CLOSE_TIME).await;
    let left = grace.saturating_sub(requested_at.elapsed());
    let finished = async {
        shared.until_idle().await;
        shared.until_no_tunnels().await;
    };
    let _ = tokio::time::timeout(left, finished).await;
    end_requests(shared).await;
    tokio::time::sleep(CLOSE_TIME).await;
    record(
        shared,
        "stopped",
        format!("{} requests still in progress", shared.active()),
    );
    tokio::time::sleep(LOG_FLUSH_TIME).await;
    shared.send(Input::Exit).await;
}

/// Has all requests answered that are left at the end of the grace period. The dispatcher hands back
/// those that it knows of, those whose body is on its way are refused, and any other that has no
/// answer after that gets one.
async fn end_requests(shared: &GatewayShared) {
    shared.end_reading();
    let _ = tokio::time::timeout(HAND_BACK_TIME, shared.until_idle()).await;
    shared.begin_exiting();
}

/// Reloads the settings file at intervals and on SIGHUP, and applies the setting that can change at
/// run time: the seeds.
pub async fn reload_on_change(file: Option<PathBuf>, shared: GatewayShared) {
    let (Some(file), Ok(mut hangup)) = (file, signal(SignalKind::hangup())) else {
        return;
    };
    let mut seeds = shared.settings.seeds.clone();
    loop {
        let is_requested = tokio::select! {
            _ = hangup.recv() => true,
            () = tokio::time::sleep(RELOAD_INTERVAL) => false,
        };
        let read = match settings::read(&file) {
            Ok(read) => read,
            Err(errors) => {
                let texts: Vec<String> = errors.iter().map(ToString::to_string).collect();
                record(&shared, "settings_refused", texts.join("; "));
                continue;
            }
        };
        if is_requested || read.seeds != seeds {
            record(
                &shared,
                "settings_read",
                format!("{} seeds", read.seeds.len()),
            );
        }
        if read.seeds != seeds {
            seeds.clone_from(&read.seeds);
            shared.send(Input::Event(Event::Seeds(read.seeds))).await;
        }
    }
}

fn record(shared: &GatewayShared, state: &'static str, detail: String) {
    shared.log.write(&Record::Process {
        state: state.into(),
        detail,
    });
}
