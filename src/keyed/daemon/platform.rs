//! Calls to the platform's object API, for the node.

use std::time::Duration;

use crate::keyed::daemon::Shared;
use crate::keyed::daemon::input::Input;
use crate::keyed::node::action::PlatformOp;
use crate::keyed::node::event::{Event, PlatformAnswer};
use crate::keyed::object_api::{WATCH_MS, read};

/// How long the platform may take to answer a call: it answers in milliseconds when it is well.
const NODE_CALL_LIMIT: Duration = Duration::from_secs(1);
/// How long a watch may take all in all.
const WATCH_LIMIT: Duration = Duration::from_millis(WATCH_MS + 2_000);

/// Makes a call and tells the control thread what came of it.
pub async fn call(id: u64, op: PlatformOp, shared: Shared) {
    let asked = shared.clock.now();
    let answer = ask(&op, &shared).await;
    shared
        .tell(Input::Event(Event::Platform { id, asked, answer }))
        .await;
}

async fn ask(op: &PlatformOp, shared: &Shared) -> PlatformAnswer {
    let limit = match op {
        PlatformOp::Watch { .. } => WATCH_LIMIT,
        _ => NODE_CALL_LIMIT,
    };
    match shared.platform.send(op, limit).await {
        Ok(answer) => {
            shared
                .metrics
                .platform_bytes_in
                .inc_by(answer.body.len() as u64);
            read(op, &answer)
        }
        // The node tries again with backoff, and notes that the platform is out.
        Err(_) => PlatformAnswer::NoAnswer,
    }
}
