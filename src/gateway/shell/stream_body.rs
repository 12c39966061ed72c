//! Body of a stream on its way to the caller: a queue of whole events with an explicit end.
//!
//! The queue bounds what a caller that does not read makes the box hold. The body is complete only
//! after its explicit end, so a stream whose sender is dropped can't look complete.

use bytes::Bytes;
use gotham::hyper::body::Frame;
use tokio::sync::mpsc::{self, error::SendError};

use super::events::LARGE_EVENT_BYTES;

/// Maximum number of events that are queued for a slow caller before reading from the engine
/// pauses.
pub const MAX_QUEUED_EVENTS: usize = 20;

/// Part of a stream that is queued for the caller.
#[derive(Debug)]
pub enum StreamPart {
    /// One complete event.
    Event(Bytes),
    /// The stream is complete.
    End,
}

/// Queue of a stream's parts for the caller.
pub type EventSender = mpsc::Sender<StreamPart>;

/// Queues an event for the caller once there is room. A large event is queued only once the queue is
/// empty, so that a caller that does not read has one of them queued at most.
///
/// # Errors
///
/// If the caller has disconnected.
pub async fn queue_event(events: &EventSender, bytes: Bytes) -> Result<(), SendError<()>> {
    let room = if bytes.len() > LARGE_EVENT_BYTES {
        MAX_QUEUED_EVENTS
    } else {
        1
    };
    let mut permits = events.reserve_many(room).await?;
    if let Some(permit) = permits.next() {
        permit.send(StreamPart::Event(bytes));
    }
    Ok(())
}

/// Returns the frames of a stream's body. The body is complete only after [`StreamPart::End`]; if
/// the channel closes without one, it ends with an error. The HTTP library drops what it has not
/// written when a body ends so, but writes it when a body has nothing more for now.
pub fn frames(
    received: mpsc::Receiver<StreamPart>,
) -> impl futures_util::Stream<Item = Result<Frame<Bytes>, std::io::Error>> {
    futures_util::stream::unfold(Some(received), |received| async move {
        let mut received = received?;
        match received.recv().await {
            Some(StreamPart::Event(bytes)) => Some((Ok(Frame::data(bytes)), Some(received))),
            Some(StreamPart::End) => None,
            None => {
                tokio::task::yield_now().await;
                Some((Err(std::io::ErrorKind::ConnectionAborted.into()), None))
            }
        }
    })
}
