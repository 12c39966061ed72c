//! The task of one caller's request: makes attempts where the dispatcher says, and passes the
//! answer on.
//!
//! It moves bytes and reports what happens; it decides nothing. States: nothing was answered yet; a
//! stream has begun; the final answer was given. A stream goes to the caller event by event, and
//! its head only with the first one, so that whatever fails before can still be answered properly.
//! Its body ends whole only with an explicit end, so a process that dies can't make one look
//! complete.
//!
//! Owns: the caller's connection and that of the active attempt. Relies on:
//! [`crate::gateway::dispatch`] for what to do, [`super::attempt`] for the head of an answer.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use gotham::helpers::http::Body;
use gotham::hyper::body::{Frame, Incoming};
use gotham::hyper::http::response;
use gotham::hyper::{HeaderMap, Response, StatusCode, header};
use http_body_util::{BodyExt, StreamBody};
use tokio::sync::{mpsc, oneshot};

use crate::gateway::dispatch::action::{Attempt, Command};
use crate::gateway::dispatch::event::{
    AttemptNumber, Event, Fault, NotRunCause, Outcome, RequestNumber,
};
use crate::gateway::dispatch::refusal::Refusal;
use crate::gateway::shell::attempt::{CallerRequest, Held, hold, open};
use crate::gateway::shell::dialect::AnswerKind;
use crate::gateway::shell::events::EventSplitter;
use crate::gateway::shell::faults::FaultKind;
use crate::gateway::shell::input::Input;
use crate::gateway::shell::{GatewayShared, headers};
use crate::http::pool::Connection;
use crate::http::{self, EVENT_STREAM};

/// How many events wait for a slow caller before the engine is read no further.
const EVENTS_WAITING: usize = 20;

/// A part of a stream on its way to the caller.
#[derive(Debug)]
enum StreamPart {
    /// A whole event.
    Event(Bytes),
    /// The stream is complete.
    End,
}

type EventSender = mpsc::Sender<StreamPart>;

/// Where the answer goes.
enum Caller {
    /// Nothing has been answered.
    Waiting(oneshot::Sender<Response<Body>>),
    /// A stream has begun.
    Streaming(EventSender),
}

impl Caller {
    /// Waits until the caller has gone away.
    async fn gone(&mut self) {
        match self {
            Self::Waiting(reply) => reply.closed().await,
            Self::Streaming(events) => events.closed().await,
        }
    }
}

/// Why an attempt is over for this task.
enum AttemptEnd {
    /// It ended.
    Ended(Outcome),
    /// The dispatcher had it stopped.
    Stopped,
    /// The caller has gone away.
    CallerGone,
}

/// The task of one request.
pub struct Exchange {
    shared: GatewayShared,
    number: RequestNumber,
    request: Arc<CallerRequest>,
    commands: mpsc::UnboundedReceiver<Command>,
    caller: Option<Caller>,
    held: Option<Held>,
    last_event: Option<u64>,
    started: Instant,
    /// When events were passed on last.
    last_passed: Option<Instant>,
}

impl Exchange {
    /// Prepares the task of a request.
    #[must_use]
    pub fn new(
        shared: GatewayShared,
        number: RequestNumber,
        request: CallerRequest,
        commands: mpsc::UnboundedReceiver<Command>,
        reply: oneshot::Sender<Response<Body>>,
        last_event: Option<u64>,
    ) -> Self {
        Self {
            shared,
            number,
            request: Arc::new(request),
            commands,
            caller: Some(Caller::Waiting(reply)),
            held: None,
            last_event,
            started: Instant::now(),
            last_passed: None,
        }
    }

    /// Serves the request to its end.
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

    /// The dispatcher's next command; `None` once the caller has gone away.
    async fn next_command(&mut self) -> Option<Command> {
        let caller = self.caller.as_mut()?;
        tokio::select! {
            biased;
            command = self.commands.recv() => command,
            () = caller.gone() => {
                self.report_gone().await;
                None
            }
        }
    }

    async fn report(&self, event: Event) {
        self.shared.send(Input::Event(event)).await;
    }

    async fn report_gone(&self) {
        self.report(Event::CallerDisconnected(self.number)).await;
    }

    /// Makes one attempt; returns whether the exchange goes on.
    async fn send(&mut self, attempt: Attempt) -> bool {
        match self.attempt(&attempt).await {
            AttemptEnd::Stopped => true,
            AttemptEnd::CallerGone => {
                self.report_gone().await;
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
        let opening = open(&shared, self.number, &request, attempt, after);
        let (response, connection) = match self.unless_over(attempt.attempt, opening).await {
            Err(end) => return end,
            Ok(Err(outcome)) => return AttemptEnd::Ended(outcome),
            Ok(Ok(opened)) => opened,
        };
        let (head, body) = response.into_parts();
        if let Some(outcome) = self.judge_head(attempt, &head).await {
            return AttemptEnd::Ended(outcome);
        }
        let is_stream = headers::text(&head.headers, header::CONTENT_TYPE)
            .is_some_and(|kind| kind.starts_with(EVENT_STREAM));
        if is_stream && head.status == StatusCode::OK {
            self.report(Event::StreamOpened {
                request: self.number,
                attempt: attempt.attempt,
            })
            .await;
            self.pump(attempt, &head.headers, body, connection).await
        } else {
            let reading = hold(head.status, &head.headers, body);
            match self.unless_over(attempt.attempt, reading).await {
                Err(end) => end,
                Ok(Err(fault)) => AttemptEnd::Ended(Outcome::Broken(fault)),
                Ok(Ok(answer)) => {
                    self.shared.pool.put_back(connection);
                    let outcome = Outcome::Answered {
                        status: answer.status.as_u16(),
                    };
                    self.held = Some(answer);
                    AttemptEnd::Ended(outcome)
                }
            }
        }
    }

    /// Judges the head of an answer; returns the outcome of an attempt that it ends.
    async fn judge_head(&self, attempt: &Attempt, head: &response::Parts) -> Option<Outcome> {
        let outcome = match self.shared.dialect.classify_answer(head, &self.request.id) {
            AnswerKind::Foreign => return Some(Outcome::Broken(Fault::Foreign)),
            AnswerKind::Malformed => return Some(Outcome::Broken(Fault::Malformed)),
            AnswerKind::NotRun(cause @ NotRunCause::OtherInstance(_)) => {
                return Some(Outcome::NotRun(cause));
            }
            AnswerKind::NotRun(cause @ NotRunCause::NoRoom) => Some(Outcome::NotRun(cause)),
            AnswerKind::Valid => None,
        };
        self.report_limit(attempt, &head.headers).await;
        outcome
    }

    /// Tells the dispatcher what an answer says that its endpoint takes, if that is news.
    async fn report_limit(&self, attempt: &Attempt, headers: &HeaderMap) {
        let limit = match self.shared.dialect.limit(headers) {
            Ok(limit) => limit,
            Err(e) => {
                self.shared.faults.report(FaultKind::EndpointLimit, &e);
                return;
            }
        };
        if limit.is_some() || attempt.is_limited {
            self.report(Event::LimitNamed {
                request: self.number,
                attempt: attempt.attempt,
                limit,
            })
            .await;
        }
    }

    /// Runs a part of an attempt unless the dispatcher stops it or the caller goes away.
    async fn unless_over<T>(
        &mut self,
        attempt: AttemptNumber,
        part: impl Future<Output = T>,
    ) -> Result<T, AttemptEnd> {
        tokio::pin!(part);
        loop {
            let Some(caller) = self.caller.as_mut() else {
                return Err(AttemptEnd::CallerGone);
            };
            tokio::select! {
                biased;
                command = self.commands.recv() => match command {
                    Some(Command::StopAttempt(stopped)) if stopped == attempt => return Err(AttemptEnd::Stopped),
                    Some(_) => {}
                    None => return Err(AttemptEnd::CallerGone),
                },
                () = caller.gone() => return Err(AttemptEnd::CallerGone),
                done = &mut part => return Ok(done),
            }
        }
    }

    /// Passes a stream on until it ends.
    async fn pump(
        &mut self,
        attempt: &Attempt,
        headers: &HeaderMap,
        mut body: Incoming,
        connection: Connection,
    ) -> AttemptEnd {
        let mut splitter = EventSplitter::default();
        loop {
            let frame = match self.unless_over(attempt.attempt, body.frame()).await {
                Err(end) => return end,
                Ok(frame) => frame,
            };
            match frame {
                None if splitter.has_incomplete_event() => {
                    return AttemptEnd::Ended(Outcome::Broken(Fault::Malformed));
                }
                None => {
                    self.shared.pool.put_back(connection);
                    return self.end_stream(headers);
                }
                Some(Err(_)) => return AttemptEnd::Ended(Outcome::Broken(Fault::Closed)),
                Some(Ok(frame)) => {
                    if let Some(bytes) = frame.data_ref() {
                        splitter.push(bytes);
                    }
                }
            }
            if let Err(end) = self
                .pass_events(attempt.attempt, headers, &mut splitter)
                .await
            {
                return end;
            }
        }
    }

    /// Passes on the whole events that have come and tells of the last of them.
    async fn pass_events(
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
            self.pass(attempt, headers, event.bytes).await?;
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

    /// Observes the time since the events before.
    fn observe_pause(&mut self) {
        let now = Instant::now();
        if let Some(before) = self.last_passed.replace(now) {
            let pause = now.duration_since(before).as_secs_f64();
            self.shared.metrics.requests.pause_seconds.observe(pause);
        }
    }

    async fn pass(
        &mut self,
        attempt: AttemptNumber,
        headers: &HeaderMap,
        bytes: Bytes,
    ) -> Result<(), AttemptEnd> {
        let events = self.begin_stream(headers).ok_or(AttemptEnd::CallerGone)?;
        let sent = events.send(StreamPart::Event(bytes));
        match self.unless_over(attempt, sent).await? {
            Ok(()) => Ok(()),
            Err(_) => Err(AttemptEnd::CallerGone),
        }
    }

    /// Sends the head of a stream, if that has not been done.
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
        let (events, received) = mpsc::channel(EVENTS_WAITING);
        let mut response = Response::new(Body::new(StreamBody::new(frames(received))));
        *response.headers_mut() = headers::end_to_end_headers(headers);
        response.headers_mut().remove(header::CONTENT_LENGTH);
        self.shared.mark_closing(&mut response);
        reply.send(response).ok()?;
        self.caller = Some(Caller::Streaming(events.clone()));
        Some(events)
    }

    /// Ends a stream whole, also one without events.
    fn end_stream(&mut self, headers: &HeaderMap) -> AttemptEnd {
        match self.begin_stream(headers) {
            Some(_) => AttemptEnd::Ended(Outcome::StreamEnded),
            None => AttemptEnd::CallerGone,
        }
    }

    async fn finish(mut self) {
        if let Some(Caller::Streaming(events)) = self.caller.take() {
            let _ = events.send(StreamPart::End).await;
        }
    }

    fn deliver(mut self) {
        let (Some(held), Some(Caller::Waiting(reply))) = (self.held.take(), self.caller.take())
        else {
            return;
        };
        self.shared
            .metrics
            .requests
            .answer_seconds
            .observe(self.started.elapsed().as_secs_f64());
        let mut response = Response::new(http::full(held.body));
        *response.status_mut() = held.status;
        *response.headers_mut() = headers::end_to_end_headers(&held.headers);
        response.headers_mut().remove(header::CONTENT_LENGTH);
        self.shared.mark_closing(&mut response);
        let _ = reply.send(response);
    }

    /// Tells the caller that there will be no answer, or breaks a stream off so that it can't look
    /// complete.
    fn refuse(mut self, refusal: Refusal) {
        match self.caller.take() {
            Some(Caller::Waiting(reply)) => {
                let _ = reply.send(self.shared.refusal(&self.request.id, refusal));
            }
            // Without its end the stream can't look complete.
            Some(Caller::Streaming(_)) | None => {}
        }
    }
}

/// The body of a stream: it ends whole only with its end, whatever else becomes of the exchange.
fn frames(
    received: mpsc::Receiver<StreamPart>,
) -> impl futures_util::Stream<Item = Result<Frame<Bytes>, std::io::Error>> {
    futures_util::stream::unfold(Some(received), |received| async move {
        let mut received = received?;
        match received.recv().await {
            Some(StreamPart::Event(bytes)) => Some((Ok(Frame::data(bytes)), Some(received))),
            Some(StreamPart::End) => None,
            None => Some((Err(std::io::ErrorKind::ConnectionAborted.into()), None)),
        }
    })
}
