//! Task of one caller's request: makes attempts at the endpoints that the dispatcher selects and
//! forwards the answer to the caller.
//!
//! The task moves bytes and reports events; all decisions are made by [`crate::gateway::dispatch`].
//! It owns the caller's connection and the connection of the active attempt, which
//! [`super::attempt`] opens. An exchange is in one of three states: nothing has been sent to the
//! caller, a stream has begun, or the final answer has been sent.
//!
//! A stream is forwarded event by event. Its head is sent together with the first event, so that an
//! earlier failure can still be answered with a status. The body is terminated properly only on an
//! explicit end, so a process that dies in the middle of a stream can't make it look complete. For the
//! same reason a stream whose end is that of the endpoint's connection counts as broken off; a call's
//! answer of that kind reaches the caller likewise, without a claim that it is whole.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use futures_util::stream;
use gotham::helpers::http::Body;
use gotham::hyper::http::response;
use gotham::hyper::{HeaderMap, Response, StatusCode, header};
use http_body_util::{BodyExt, StreamBody};
use tokio::sync::{mpsc, oneshot};

use crate::gateway::dispatch::action::{Attempt, Command};
use crate::gateway::dispatch::event::{
    AttemptNumber, Event, Fault, NotRunCause, Outcome, RequestNumber,
};
use crate::gateway::dispatch::fleet::directives::AnswerDirectives;
use crate::gateway::dispatch::record::{EndedBy, RequestHolder};
use crate::gateway::dispatch::refusal::Refusal;
use crate::gateway::shell::attempt::{
    BufferedAnswer, CallerRequest, buffer_answer, fault_of, start_attempt,
};
use crate::gateway::shell::dialect::AnswerKind;
use crate::gateway::shell::events::EventSplitter;
use crate::gateway::shell::input::Input;
use crate::gateway::shell::reply_watch::ReplyWatch;
use crate::gateway::shell::stream_body::{
    EventSender, MAX_QUEUED_EVENTS, StreamPart, frames, queue_event,
};
use crate::gateway::shell::{GatewayShared, directives, headers};
use crate::http::answer_end::AnswerEnd;
use crate::http::pool::Connection;
use crate::http::read_limit::PeerBody;
use crate::http::{self, EVENT_STREAM};

/// Channel on which the answer is sent to the caller.
enum Caller {
    /// Nothing has been sent yet.
    Waiting(oneshot::Sender<Response<Body>>),
    /// A stream has begun.
    Streaming(EventSender),
}

impl Caller {
    /// Waits until the caller disconnects.
    async fn disconnected(&mut self) {
        match self {
            Self::Waiting(reply) => reply.closed().await,
            Self::Streaming(events) => events.closed().await,
        }
    }
}

/// Reason why this task stopped working on an attempt.
enum AttemptEnd {
    /// The attempt ended with this outcome.
    Ended(Outcome),
    /// The dispatcher stopped the attempt.
    Stopped,
    /// The caller disconnected.
    CallerDisconnected,
}

/// Channels of the task of one request to the dispatcher and the caller.
pub struct CallerChannels {
    /// Commands of the dispatcher.
    pub commands: mpsc::UnboundedReceiver<Command>,
    /// Channel of the answer.
    pub reply: oneshot::Sender<Response<Body>>,
    /// State of the request until its answer is complete.
    pub watch: ReplyWatch,
}

/// State of the task of one request.
pub struct Exchange {
    shared: GatewayShared,
    number: RequestNumber,
    request: Arc<CallerRequest>,
    commands: mpsc::UnboundedReceiver<Command>,
    caller: Option<Caller>,
    watch: ReplyWatch,
    answer: Option<BufferedAnswer>,
    /// Id of the last event that was forwarded, or that the caller had received before it
    /// reconnected.
    last_event: Option<u64>,
    started: Instant,
    /// When events were last forwarded.
    last_forwarded: Option<Instant>,
}

impl Exchange {
    /// Creates the task of a request. `last_event` is the last event that the caller
    /// received before it reconnected, if any.
    #[must_use]
    pub fn new(
        shared: GatewayShared,
        number: RequestNumber,
        request: CallerRequest,
        channels: CallerChannels,
        last_event: Option<u64>,
    ) -> Self {
        Self {
            shared,
            number,
            request: Arc::new(request),
            commands: channels.commands,
            caller: Some(Caller::Waiting(channels.reply)),
            watch: channels.watch,
            answer: None,
            last_event,
            started: Instant::now(),
            last_forwarded: None,
        }
    }

    /// Executes the dispatcher's commands until the request ends or the caller disconnects.
    pub async fn run(mut self) {
        while let Some(command) = self.next_command().await {
            match command {
                Command::Send(attempt) => {
                    if !self.send(*attempt).await {
                        return;
                    }
                }
                Command::StopAttempt(_) => {}
                Command::Deliver => return self.deliver(),
                Command::Finish => return self.finish().await,
                Command::Refuse(refusal) => return self.refuse(refusal),
            }
        }
    }

    /// Returns the dispatcher's next command, or `None` once the caller has disconnected.
    async fn next_command(&mut self) -> Option<Command> {
        let caller = self.caller.as_mut()?;
        tokio::select! {
            biased;
            command = self.commands.recv() => command,
            () = caller.disconnected() => {
                self.report_disconnect().await;
                None
            }
        }
    }

    async fn report(&self, event: Event) {
        self.shared.send(Input::Event(event)).await;
    }

    async fn report_disconnect(&self) {
        self.report(Event::CallerDisconnected(self.number)).await;
    }

    /// Makes one attempt; returns whether the exchange continues.
    async fn send(&mut self, attempt: Attempt) -> bool {
        self.watch.set_holder(RequestHolder::Attempt);
        let end = self.attempt(&attempt).await;
        self.watch.set_holder(RequestHolder::Dispatcher);
        match end {
            AttemptEnd::Stopped => true,
            AttemptEnd::CallerDisconnected => {
                self.report_disconnect().await;
                false
            }
            AttemptEnd::Ended(outcome) => {
                self.report(Event::Ended {
                    request: self.number,
                    attempt: attempt.attempt,
                    outcome,
                })
                .await;
                true
            }
        }
    }

    async fn attempt(&mut self, attempt: &Attempt) -> AttemptEnd {
        let shared = self.shared.clone();
        let request = Arc::clone(&self.request);
        let after = self.last_event;
        let opening = start_attempt(&shared, self.number, &request, attempt, after);
        let (response, mut connection) =
            match self.run_unless_stopped(attempt.attempt, opening).await {
                Err(end) => return end,
                Ok(Err(outcome)) => return AttemptEnd::Ended(outcome),
                Ok(Ok(opened)) => opened,
            };
        let (head, body) = response.into_parts();
        if let Some(outcome) = self.check_head(attempt, &head).await {
            return AttemptEnd::Ended(outcome);
        }
        // Any other instance would have turned the attempt away.
        connection.peer_instance = Some(attempt.endpoint.clone());
        let is_stream = headers::text(&head.headers, header::CONTENT_TYPE)
            .is_some_and(|kind| kind.starts_with(EVENT_STREAM));
        if is_stream && head.status == StatusCode::OK {
            self.report(Event::StreamOpened {
                request: self.number,
                attempt: attempt.attempt,
            })
            .await;
            self.forward_stream(attempt, &head.headers, body, connection)
                .await
        } else {
            let reading = buffer_answer(&shared, head.status, &head.headers, body);
            match self.run_unless_stopped(attempt.attempt, reading).await {
                Err(end) => end,
                Ok(Err(fault)) => {
                    let fault = fault_of(fault, &connection);
                    AttemptEnd::Ended(Outcome::Broken(fault))
                }
                Ok(Ok(answer)) => {
                    self.keep_connection(attempt, connection);
                    let outcome = Outcome::Answered {
                        status: answer.status.as_u16(),
                    };
                    self.answer = Some(answer);
                    AttemptEnd::Ended(outcome)
                }
            }
        }
    }

    /// Returns a connection to the pool after a complete answer.
    fn keep_connection(&self, attempt: &Attempt, connection: Connection) {
        let max_idle = attempt.max_idle_connections;
        self.shared.pool.put_back_up_to(connection, max_idle);
    }

    /// Checks the head of an answer; returns the outcome if the head ends the attempt.
    async fn check_head(&self, attempt: &Attempt, head: &response::Parts) -> Option<Outcome> {
        let outcome = match self.shared.dialect.classify_answer(head, &self.request.id) {
            AnswerKind::Foreign => return Some(Outcome::Broken(Fault::Foreign)),
            AnswerKind::Malformed => return Some(Outcome::Broken(Fault::Malformed)),
            AnswerKind::NotRun(
                cause @ (NotRunCause::OtherInstance(_)
                | NotRunCause::Restarted(_)
                | NotRunCause::Replaced(_)),
            ) => {
                return Some(Outcome::NotRun(cause));
            }
            AnswerKind::NotRun(cause @ NotRunCause::NoRoom) => Some(Outcome::NotRun(cause)),
            AnswerKind::Valid => None,
        };
        self.report_directives(attempt, head).await;
        outcome
    }

    /// Reports the directives that an answer states to the dispatcher. An answer without any is
    /// reported only if the endpoint has stated a limit before.
    async fn report_directives(&self, attempt: &Attempt, head: &response::Parts) {
        let directives = directives::read(&self.shared, head);
        if directives != AnswerDirectives::default() || attempt.is_limited {
            self.report(Event::DirectivesRead {
                request: self.number,
                attempt: attempt.attempt,
                directives,
            })
            .await;
        }
    }

    /// Runs a step of an attempt until it completes, the dispatcher stops the attempt or the caller
    /// disconnects.
    async fn run_unless_stopped<T>(
        &mut self,
        attempt: AttemptNumber,
        step: impl Future<Output = T>,
    ) -> Result<T, AttemptEnd> {
        tokio::pin!(step);
        loop {
            let Some(caller) = self.caller.as_mut() else {
                return Err(AttemptEnd::CallerDisconnected);
            };
            tokio::select! {
                biased;
                command = self.commands.recv() => match command {
                    Some(Command::StopAttempt(stopped)) if stopped == attempt => return Err(AttemptEnd::Stopped),
                    Some(_) => {}
                    None => return Err(AttemptEnd::CallerDisconnected),
                },
                () = caller.disconnected() => return Err(AttemptEnd::CallerDisconnected),
                output = &mut step => return Ok(output),
            }
        }
    }

    /// Forwards a stream to the caller until it ends.
    async fn forward_stream(
        &mut self,
        attempt: &Attempt,
        headers: &HeaderMap,
        mut body: PeerBody,
        connection: Connection,
    ) -> AttemptEnd {
        let mut splitter = EventSplitter::default();
        let mut memory = self.shared.memory.of_stream();
        loop {
            let frame = match self.run_unless_stopped(attempt.attempt, body.frame()).await {
                Err(end) => return end,
                Ok(frame) => frame,
            };
            match frame {
                None if splitter.has_incomplete_event() => {
                    return AttemptEnd::Ended(Outcome::Broken(Fault::Malformed));
                }
                None if body.end() == AnswerEnd::Connection => {
                    let fault = fault_of(Fault::Closed, &connection);
                    return AttemptEnd::Ended(Outcome::Broken(fault));
                }
                None => {
                    self.keep_connection(attempt, connection);
                    return self.end_stream(headers);
                }
                Some(Err(_)) => {
                    let fault = fault_of(Fault::Closed, &connection);
                    return AttemptEnd::Ended(Outcome::Broken(fault));
                }
                Some(Ok(frame)) => {
                    if let Some(bytes) = frame.data_ref() {
                        splitter.push(bytes);
                    }
                }
            }
            if let Err(end) = self
                .forward_events(attempt.attempt, headers, &mut splitter)
                .await
            {
                return end;
            }
            if !memory.set(splitter.buffered()) {
                return AttemptEnd::Ended(Outcome::Broken(Fault::Malformed));
            }
        }
    }

    /// Forwards the complete events received so far and reports the id of the last one. Events that
    /// the caller already has are skipped; a gap in the ids makes the answer malformed.
    async fn forward_events(
        &mut self,
        attempt: AttemptNumber,
        headers: &HeaderMap,
        splitter: &mut EventSplitter,
    ) -> Result<(), AttemptEnd> {
        let before = self.last_event;
        loop {
            let event = match splitter.next_event() {
                Err(_) => return Err(AttemptEnd::Ended(Outcome::Broken(Fault::Malformed))),
                Ok(None) => break,
                Ok(Some(event)) => event,
            };
            if let (Some(id), Some(last)) = (event.id, self.last_event) {
                if id <= last {
                    continue;
                }
                if id != last + 1 {
                    return Err(AttemptEnd::Ended(Outcome::Broken(Fault::Malformed)));
                }
            }
            let bytes = self.shared.hold_event(event.bytes);
            let bytes = bytes.ok_or(AttemptEnd::Ended(Outcome::Broken(Fault::Malformed)))?;
            self.forward_event(attempt, headers, bytes).await?;
            self.last_event = event.id.or(self.last_event);
        }
        if self.last_event != before {
            self.observe_pause();
            self.report(Event::Progress {
                request: self.number,
                attempt,
                last_event: self.last_event.unwrap_or_default(),
            })
            .await;
        }
        Ok(())
    }

    /// Observes the time since the previous events were forwarded.
    fn observe_pause(&mut self) {
        let now = Instant::now();
        if let Some(before) = self.last_forwarded.replace(now) {
            let pause = now.duration_since(before).as_secs_f64();
            self.shared.metrics.requests.pause_seconds.observe(pause);
        }
    }

    async fn forward_event(
        &mut self,
        attempt: AttemptNumber,
        headers: &HeaderMap,
        bytes: Bytes,
    ) -> Result<(), AttemptEnd> {
        let events = self
            .begin_stream(headers)
            .ok_or(AttemptEnd::CallerDisconnected)?;
        let queued = queue_event(&events, bytes);
        match self.run_unless_stopped(attempt, queued).await? {
            Ok(()) => Ok(()),
            Err(_) => Err(AttemptEnd::CallerDisconnected),
        }
    }

    /// Sends the head of a stream unless it has been sent; returns the channel for its events.
    fn begin_stream(&mut self, headers: &HeaderMap) -> Option<EventSender> {
        if let Some(Caller::Streaming(events)) = &self.caller {
            return Some(events.clone());
        }
        let Some(Caller::Waiting(reply)) = self.caller.take() else {
            return None;
        };
        self.shared
            .metrics
            .requests
            .first_event_seconds
            .observe(self.started.elapsed().as_secs_f64());
        let (events, received) = mpsc::channel(MAX_QUEUED_EVENTS);
        let mut response = Response::new(Body::new(StreamBody::new(frames(received))));
        *response.headers_mut() = headers::end_to_end_headers(headers);
        response.headers_mut().remove(header::CONTENT_LENGTH);
        self.shared.mark_closing(&mut response);
        reply.send(response).ok()?;
        self.watch.set_holder(RequestHolder::Stream);
        self.caller = Some(Caller::Streaming(events.clone()));
        Some(events)
    }

    /// Reports the end of a stream; the head of a stream without events is sent first.
    fn end_stream(&mut self, headers: &HeaderMap) -> AttemptEnd {
        match self.begin_stream(headers) {
            Some(_) => AttemptEnd::Ended(Outcome::StreamEnded),
            None => AttemptEnd::CallerDisconnected,
        }
    }

    async fn finish(mut self) {
        if let Some(Caller::Streaming(events)) = self.caller.take() {
            let _ = events.send(StreamPart::End).await;
        }
    }

    fn deliver(mut self) {
        let (Some(answer), Some(Caller::Waiting(reply))) = (self.answer.take(), self.caller.take())
        else {
            return;
        };
        self.shared
            .metrics
            .requests
            .answer_seconds
            .observe(self.started.elapsed().as_secs_f64());
        let body = self.shared.until_written(answer.body);
        let body = match answer.end {
            AnswerEnd::Stated => http::full(body),
            AnswerEnd::Connection => http::streaming(stream::iter([body])),
        };
        let mut response = Response::new(body);
        *response.status_mut() = answer.status;
        *response.headers_mut() = headers::end_to_end_headers(&answer.headers);
        response.headers_mut().remove(header::CONTENT_LENGTH);
        if answer.end == AnswerEnd::Connection {
            http::end_with_connection(&mut response);
        }
        self.shared.mark_closing(&mut response);
        let _ = reply.send(response);
    }

    /// Sends the caller a refusal, or aborts a stream that has begun.
    fn refuse(mut self, refusal: Refusal) {
        match self.caller.take() {
            Some(Caller::Waiting(reply)) => {
                let _ = reply.send(self.shared.refusal(&self.request.id, refusal));
            }
            // Dropping the channel aborts the body, so the caller can't take it for complete.
            Some(Caller::Streaming(events)) if !events.is_closed() => {
                self.watch.record_unanswered(EndedBy::Refusal);
            }
            Some(Caller::Streaming(_)) | None => {}
        }
    }
}

impl Drop for Exchange {
    /// Records a stream that ends here without its end or a refusal. While nothing has been sent, the
    /// caller's handler answers.
    fn drop(&mut self) {
        let Some(Caller::Streaming(events)) = &self.caller else {
            return;
        };
        if events.is_closed() {
            return;
        }
        let ended_by = if self.shared.is_exiting() {
            EndedBy::Exit
        } else {
            EndedBy::Exchange
        };
        self.watch.record_unanswered(ended_by);
    }
}
