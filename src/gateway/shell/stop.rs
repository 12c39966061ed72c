//! How a stop goes, and settings that change while the process runs.
//!
//! On SIGTERM or SIGINT the box says at once that it isn't ready, and new streams that it could not
//! finish are refused ([`crate::gateway::dispatch`]). It goes on taking connections for
//! [`NOTICED_AFTER`], until the balancer has noticed; then it closes those at rest, and ends when
//! no request is served or the grace period is over.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use tokio::signal::unix::{SignalKind, signal};

use crate::gateway::dispatch::event::Event;
use crate::gateway::dispatch::record::Record;
use crate::gateway::settings;
use crate::gateway::shell::GatewayShared;
use crate::gateway::shell::input::Input;

/// How long a box that is stopping still takes new connections: the users' platform takes a box out
/// after two questions without a 200.
const NOTICED_AFTER: Duration = Duration::from_secs(3);
/// How long before the end of the grace period a box closes what is left, so that it isn't killed
/// meanwhile.
const BEFORE_KILL: Duration = Duration::from_millis(250);
/// How long the writer of the decision log gets for its last lines.
const LAST_LINE: Duration = Duration::from_millis(50);
/// How long connections at rest get to close.
const CLOSING: Duration = Duration::from_millis(100);
/// How often the settings file is read again.
const RELOAD: Duration = Duration::from_secs(2);

/// Stops the process in order once it is asked to.
pub async fn stop_on_signal(shared: GatewayShared) {
    let (Ok(mut terminate), Ok(mut interrupt)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        log::warn!("signals can't be received; a stop will cut requests off");
        return;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    stop(&shared).await;
}

/// Takes no new connections once the balancer has noticed, and ends when all is answered.
async fn stop(shared: &GatewayShared) {
    let asked = Instant::now();
    shared.begin_stopping();
    let grace = shared.settings.stop_grace.saturating_sub(BEFORE_KILL);
    shared.send(Input::Event(Event::Stop { grace })).await;
    record(shared, "stopping", String::new());
    tokio::time::sleep(NOTICED_AFTER.min(grace)).await;
    shared.close_idle_connections();
    tokio::time::sleep(CLOSING).await;
    let left = grace.saturating_sub(asked.elapsed());
    // What is still served at the end of the grace period is cut off.
    let _ = tokio::time::timeout(left, shared.until_idle()).await;
    tokio::time::sleep(CLOSING).await;
    record(
        shared,
        "stopped",
        format!("{} requests left", shared.active()),
    );
    tokio::time::sleep(LAST_LINE).await;
    shared.send(Input::Exit).await;
}

/// Takes in what can change while the process runs: the seeds.
pub async fn reload_on_change(file: Option<PathBuf>, shared: GatewayShared) {
    let (Some(file), Ok(mut hangup)) = (file, signal(SignalKind::hangup())) else {
        return;
    };
    let mut seeds = shared.settings.seeds.clone();
    loop {
        let is_asked = tokio::select! {
            _ = hangup.recv() => true,
            () = tokio::time::sleep(RELOAD) => false,
        };
        let read = match settings::read(&file) {
            Ok(read) => read,
            Err(errors) => {
                let texts: Vec<String> = errors.iter().map(ToString::to_string).collect();
                record(&shared, "settings_refused", texts.join("; "));
                continue;
            }
        };
        if is_asked || read.seeds != seeds {
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
