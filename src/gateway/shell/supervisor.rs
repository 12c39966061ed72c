//! Restarts long-lived tasks that panic.
//!
//! The runtime catches the panic of a task and goes on without it, so the task's duty would stay
//! undone for as long as the process lives: nobody would follow the store, or hear of peers.

use std::future::Future;
use std::time::Duration;

use tokio::task::JoinError;

/// Delay before a task that panicked is started again.
const RESTART_DELAY: Duration = Duration::from_millis(100);

/// Runs a task until it completes, and starts it again whenever it panics. `on_panic` is given the
/// message of the panic.
pub async fn supervise<T, F>(start: T, on_panic: impl Fn(&str))
where
    T: Fn() -> F,
    F: Future<Output = ()> + Send + 'static,
{
    while let Err(e) = tokio::spawn(start()).await {
        let Some(message) = panic_message(e) else {
            return;
        };
        on_panic(&message);
        tokio::time::sleep(RESTART_DELAY).await;
    }
}

/// Returns the message of a task's panic; `None` if the task was cancelled.
fn panic_message(error: JoinError) -> Option<String> {
    let panic = error.try_into_panic().ok()?;
    let text = panic.downcast_ref::<&str>().copied();
    let text = text.or_else(|| panic.downcast_ref::<String>().map(String::as_str));
    Some(text.unwrap_or("no message").to_owned())
}
