//! The timer service: parts subscribe to a point in time and are told when it has come.

use std::collections::HashMap;
use std::time::Instant;

use futures_util::StreamExt;
use tokio::sync::mpsc;
use tokio_util::time::DelayQueue;
use tokio_util::time::delay_queue::Key;

use crate::keyed::daemon::Shared;
use crate::keyed::daemon::input::Input;
use crate::keyed::node::event::{Event, Timer};

/// A subscription: what is to be told, and when.
pub type Subscription = (Timer, Instant);

/// Runs the service. A timer that is set again is moved.
pub async fn run(mut subscriptions: mpsc::UnboundedReceiver<Subscription>, shared: Shared) {
    let mut queue: DelayQueue<Timer> = DelayQueue::new();
    let mut keys: HashMap<Timer, Key> = HashMap::new();
    loop {
        tokio::select! {
            subscription = subscriptions.recv() => {
                let Some((timer, at)) = subscription else {
                    return;
                };
                if let Some(key) = keys.get(&timer) {
                    queue.reset_at(key, at.into());
                } else {
                    let key = queue.insert_at(timer.clone(), at.into());
                    keys.insert(timer, key);
                }
            }
            Some(expired) = queue.next(), if !queue.is_empty() => {
                let timer = expired.into_inner();
                keys.remove(&timer);
                shared.tell(Input::Event(Event::Timer(timer))).await;
            }
        }
    }
}
