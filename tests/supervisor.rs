//! Tasks that panic.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use magpiemoor::exit::{BAD_SETTINGS, CONTROL_PANICKED, DaemonError};
use magpiemoor::gateway::shell::supervisor::supervise;

/// The duty of a task that panicked stayed undone, and nothing told of it.
#[tokio::test]
async fn a_task_that_panics_is_reported_and_started_again() {
    let starts = Arc::new(AtomicUsize::new(0));
    let reported = Mutex::new(Vec::new());
    let start = || {
        let started = starts.fetch_add(1, Ordering::Relaxed);
        async move {
            assert!(started >= 2, "start {started}");
        }
    };
    let on_panic = |message: &str| reported.lock().unwrap().push(message.to_owned());
    supervise(start, on_panic).await;
    assert_eq!(starts.load(Ordering::Relaxed), 3);
    assert_eq!(reported.into_inner().unwrap(), ["start 0", "start 1"]);
}

/// A daemon whose control thread had panicked ended with the exit code of an orderly stop.
#[test]
fn the_end_of_a_daemon_whose_control_thread_panicked_is_no_success() {
    assert_eq!(DaemonError::ControlPanicked.exit_code(), CONTROL_PANICKED);
    assert_eq!(DaemonError::Settings(Vec::new()).exit_code(), BAD_SETTINGS);
    assert!(![0, BAD_SETTINGS].contains(&CONTROL_PANICKED));
}
