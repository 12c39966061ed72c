//! Callers: each reads one stream, breaks off at times, and comes back at another box.

use std::collections::BTreeSet;
use std::time::Duration;

use magpiemoor::gateway::dispatch::action::Command;
use magpiemoor::gateway::dispatch::event::{Arrival, Event, RequestNumber, Tokens};
use magpiemoor::gateway::dispatch::refusal::{Refusal, RefusalReason};
use magpiemoor::schema::{EndpointId, Fingerprint, Micros};
use rand::Rng;

use super::engines::{EVENTS, HOST, RunId};
use super::{DOMAINS, Fleet, Mail, OUTSIDE, Place, START};

/// Streams a second for each box, and in all at most.
const STREAMS_PER_BOX: f64 = 1.2;
const MOST_STREAMS: f64 = 30.0;
/// No caller comes in the last part of a play.
const NO_CALLERS_FOR: Duration = Duration::from_secs(10);
/// How long a caller waits for its stream.
const CALLER_DEADLINE: Duration = Duration::from_secs(9);
/// The share of callers that break off once, and that do so three times.
const LEAVE_ONCE: f64 = 0.3;
const LEAVE_THRICE: f64 = 0.1;
/// The time until a caller comes back, in seconds: some within milliseconds.
const BACK_AT_ONCE: (f64, f64) = (0.005, 0.03);
const BACK_LATER: (f64, f64) = (0.1, 1.5);
/// Joined and refused streams that are told of.
const MOST_EXAMPLES: usize = 3;
/// The time until a caller comes back that was told none.
const RETRY: Duration = Duration::from_millis(300);

/// A caller, by its number.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CallerId(pub usize);

/// Someone who reads a stream.
#[derive(Clone, Debug)]
pub struct Caller {
    deadline: Micros,
    attempts: u32,
    /// The attempt that brought the first event.
    began: Option<String>,
    last_event: Option<u64>,
    versions: BTreeSet<&'static str>,
    /// Whether a box that knows nothing of versions served it.
    was_at_old_box: bool,
    /// Events after which it breaks off, the last first.
    leaves_at: Vec<u64>,
    is_over: bool,
    /// Whether it counts that the stream begins, and that it goes on: since the first attempt at a box
    /// in touch, whether an event came.
    begins: Option<bool>,
    goes_on: Option<bool>,
    /// The engine that ran it last.
    pub last_engine: Option<EndpointId>,
    /// What it saw, for the report of a joined stream.
    story: Vec<String>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Kind {
    Begins,
    GoesOn,
}

/// Keeps what a caller saw, unless enough is kept.
fn tell(stories: &mut Vec<String>, story: &[String]) {
    if stories.len() < MOST_EXAMPLES {
        stories.push(story.join(", "));
    }
}

impl Fleet {
    /// A caller with a stream comes.
    pub(super) fn new_caller(&mut self) {
        let now = self.now();
        let rate = (STREAMS_PER_BOX * self.case.boxes as f64).min(MOST_STREAMS);
        let pause = -self.rng.random_range(f64::EPSILON..1.0).ln() / rate;
        if now < START.after(self.case.played().saturating_sub(NO_CALLERS_FOR)) {
            self.mail
                .post(Duration::from_secs_f64(pause), Mail::NewCaller);
        }
        let draw: f64 = self.rng.random();
        let times = if draw < LEAVE_THRICE {
            3
        } else {
            usize::from(draw < LEAVE_THRICE + LEAVE_ONCE)
        };
        let mut leaves_at: Vec<u64> = (0..times)
            .map(|_| self.rng.random_range(1..EVENTS))
            .collect();
        leaves_at.sort_unstable_by(|a, b| b.cmp(a));
        self.callers.push(Caller {
            deadline: now.after(CALLER_DEADLINE),
            attempts: 0,
            began: None,
            last_event: None,
            versions: BTreeSet::new(),
            was_at_old_box: false,
            leaves_at,
            is_over: false,
            begins: None,
            goes_on: None,
            last_engine: None,
            story: Vec::new(),
        });
        self.send_attempt(CallerId(self.callers.len() - 1));
    }

    /// A caller sends its next attempt to some running box.
    pub(super) fn send_attempt(&mut self, caller: CallerId) {
        let now = self.now();
        if self.callers[caller.0].is_over || now >= self.callers[caller.0].deadline {
            return;
        }
        let running: Vec<usize> = (0..self.boxes.len())
            .filter(|at| self.boxes[*at].is_running)
            .collect();
        if running.is_empty() {
            return self.mail.post(RETRY, Mail::Attempt(caller));
        }
        let at = running[self.rng.random_range(0..running.len())];
        let counted = self.kind_of_attempt(at, caller);
        let found = &mut self.boxes[at];
        found.next_request += 1;
        let request = RequestNumber(found.next_request);
        self.asked.insert((at, found.life, request), caller);
        let is_old = found.is_old;
        let asking = &mut self.callers[caller.0];
        asking.attempts += 1;
        match counted {
            Some(Kind::Begins) => _ = asking.begins.get_or_insert(false),
            Some(Kind::GoesOn) => _ = asking.goes_on.get_or_insert(false),
            None => {}
        }
        asking
            .story
            .push(format!("{:.3} box {at}", now.0 as f64 / 1e6));
        self.arrivals.on_request(now);
        if self.has_engine_for(at, caller) {
            self.counts.placeable += 1;
        }
        let asking = &mut self.callers[caller.0];
        let arrival = Arrival {
            id: format!("{}-{}", caller.0, asking.attempts),
            host: HOST.to_owned(),
            path: "/x".to_owned(),
            key: None,
            timeout: Some(asking.deadline.since(now)),
            after_event: asking.last_event,
            resumes: asking.began.clone().filter(|_| !is_old),
            parts: vec![format!("part-{}", caller.0)],
            prompt: Tokens(4_000),
            output: Tokens(500),
            content: Fingerprint(caller.0 as u64 + 1),
        };
        self.handle(at, Event::Arrived { request, arrival });
    }

    /// Whether an attempt counts: at a box in touch, and, if it goes on with a stream, while two engines
    /// of the stream's version serve.
    fn kind_of_attempt(&self, at: usize, caller: CallerId) -> Option<Kind> {
        let asking = &self.callers[caller.0];
        if !self.is_in_touch(at) || asking.was_at_old_box {
            return None;
        }
        if asking.began.is_none() {
            return Some(Kind::Begins);
        }
        let mut versions = asking.versions.iter();
        let is_served = versions.all(|version| self.engines.serving_of(version) >= 2);
        is_served.then_some(Kind::GoesOn)
    }

    /// Whether a box reaches an engine that may serve a caller's stream.
    fn has_engine_for(&self, at: usize, caller: CallerId) -> bool {
        let versions = &self.callers[caller.0].versions;
        let mut serving = self.engines.serving().into_iter();
        serving.any(|engine| {
            let is_cut = self.is_cut_between(at % DOMAINS, self.engines.domain(engine));
            let is_of_version =
                versions.is_empty() || versions.contains(self.engines.at(engine).version);
            !is_cut && is_of_version
        })
    }

    /// A box does something with a request.
    pub(super) fn command(&mut self, at: usize, request: RequestNumber, command: Command) {
        let place = (at, self.boxes[at].life, request);
        match command {
            Command::Send(attempt) => self.begin_run(place, &attempt),
            Command::StopAttempt(_) => self.stop_runs(place),
            Command::Deliver | Command::Finish => {
                if let Some(caller) = self.asked.remove(&place) {
                    self.callers[caller.0].is_over = true;
                }
            }
            Command::Refuse(refusal) => {
                self.stop_runs(place);
                if let Some(caller) = self.asked.remove(&place) {
                    self.on_refused(at, caller, refusal);
                }
            }
        }
    }

    fn on_refused(&mut self, box_at: usize, caller: CallerId, refusal: Refusal) {
        let is_about_version = matches!(
            refusal.reason,
            RefusalReason::UnknownVersion
                | RefusalReason::VersionGone
                | RefusalReason::VersionLost
                | RefusalReason::Quarantined
        );
        if !is_about_version && self.has_engine_for(box_at, caller) {
            self.counts.given_up += 1;
            tell(
                &mut self.counts.given_up_stories,
                &[format!(
                    "{:.3} box {box_at} {}",
                    self.mail.now.0 as f64 / 1e6,
                    refusal.reason.word()
                )],
            );
        }
        let asking = &mut self.callers[caller.0];
        let at = self.mail.now.0 as f64 / 1e6;
        asking
            .story
            .push(format!("{at:.3} {}", refusal.reason.word()));
        if asking.goes_on.is_some() {
            let is_unknown = refusal.reason == RefusalReason::UnknownVersion;
            self.counts.unknown += u64::from(is_unknown);
            tell(&mut self.counts.refused_stories, &asking.story);
        }
        let after = refusal.retry_after.unwrap_or(RETRY);
        self.mail.post(after, Mail::Attempt(caller));
    }

    /// An event arrives at the box, which passes it on to the caller.
    pub(super) fn deliver(&mut self, id: RunId, event: u64, version: &'static str) {
        let Some(run) = self.runs.get(&id).cloned() else {
            return;
        };
        let at = run.place.0;
        let found = &self.boxes[at];
        if !found.is_running || found.life != run.place.1 {
            return;
        }
        if self.now() < found.frozen_until {
            let thaws = found.frozen_until.since(self.now());
            return self.mail.post(thaws, Mail::Deliver(id, event, version));
        }
        if self.asked.get(&run.place) != Some(&run.caller) {
            return;
        }
        let is_old = found.is_old;
        let now = self.now();
        let asking = &mut self.callers[run.caller.0];
        let attempt = format!("{}-{}", run.caller.0, asking.attempts);
        asking.began.get_or_insert(attempt);
        asking.last_event = Some(event);
        asking.was_at_old_box |= is_old;
        if asking.versions.insert(version) {
            let by = &self.engines.at(run.engine).spec.id;
            let at = now.0 as f64 / 1e6;
            asking.story.push(format!("{at:.3} {version} from {by}"));
        }
        asking.begins = asking.begins.map(|_| true);
        asking.goes_on = asking.goes_on.map(|_| true);
        let leaves = asking.leaves_at.last().is_some_and(|at| event >= *at);
        let progress = Event::Progress {
            request: run.place.2,
            attempt: run.attempt,
            last_event: event,
        };
        self.handle(at, progress);
        if leaves {
            self.leave(run.caller, run.place);
        }
    }

    /// A caller breaks off, and comes back elsewhere.
    fn leave(&mut self, caller: CallerId, place: Place) {
        self.callers[caller.0].leaves_at.pop();
        self.asked.remove(&place);
        self.stop_runs(place);
        self.post_event(place.0, OUTSIDE, Event::CallerDisconnected(place.2));
        let (least, most) = if self.rng.random_bool(0.5) {
            BACK_AT_ONCE
        } else {
            BACK_LATER
        };
        let after = Duration::from_secs_f64(self.rng.random_range(least..most));
        self.mail.post(after, Mail::Attempt(caller));
    }

    /// Callers whose box was killed come back to another one.
    pub(super) fn lose_callers_of(&mut self, at: usize, life: u64) {
        let lost = self
            .asked
            .extract_if(|place, _| place.0 == at && place.1 == life);
        let mut lost: Vec<_> = lost.collect();
        lost.sort_by_key(|(place, _)| *place);
        for (place, caller) in lost {
            self.stop_runs(place);
            let after = self.rng.random_range(BACK_AT_ONCE.0..BACK_LATER.1);
            self.mail
                .post(Duration::from_secs_f64(after), Mail::Attempt(caller));
        }
    }

    /// Counts the streams at the end of a play.
    pub(super) fn count_streams(&mut self) {
        // Streams that end with the play don't count.
        let end = START.after(self.case.played());
        for caller in self.callers.iter().filter(|c| c.deadline < end) {
            self.counts.begun.count(caller.begins);
            self.counts.taken_up.count(caller.goes_on);
        }
        let streams = self.callers.iter().filter(|c| !c.versions.is_empty());
        for caller in streams {
            self.counts.streams += 1;
            if caller.versions.len() > 1 && !caller.was_at_old_box {
                self.counts.joined += 1;
                tell(&mut self.counts.joined_stories, &caller.story);
            }
        }
    }
}
