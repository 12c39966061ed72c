//! Callers' requests at the box that received them: finds the home, hands the request over, and
//! passes the answer on.
//!
//! This box checks that every output fits what the caller has already, so that a caller never gets
//! tokens of two answers, whoever sends them.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::keyed::digest;
use crate::keyed::node::Node;
use crate::keyed::node::action::Reply;
use crate::keyed::node::config::{MAX_HOPS, RECOVERY_LIMIT, RETRY_AFTER};
use crate::keyed::node::event::{CallerEvent, Timer};
use crate::keyed::node::roster::{SCRIBE_SLICE, slice_of};
use crate::rendezvous;
use crate::schema::{
    AnswerDigest, Answered, BoxId, Cursor, Defer, DeferReply, Detach, DomainId, Generation, Kept,
    Lookup, LookupReply, Member, Micros, Moved, Output, Ran, Reason, Refusal, Refused, Request,
    RequestKey, Submit, TokenOffset,
};

/// How long a request may be quiet before it is handed over again, in case a message was lost on
/// the way between boxes.
const QUIET_LIMIT: Duration = Duration::from_secs(2);
/// The most homes that one request is handed to.
const MAX_HOMES: u32 = 8;

/// What a caller waits for.
#[derive(Clone, Debug)]
enum Wanted {
    /// The answer, token by token, or a plain service's answer.
    Answer(Request),
    /// The word that a deferrable request will be finished.
    Acceptance(Request),
    /// The result of a deferrable request.
    Result(RequestKey),
}

/// A caller's request at the box that received it.
#[derive(Debug)]
struct Inbound {
    wanted: Wanted,
    domain: DomainId,
    home: Option<BoxId>,
    homes_tried: u32,
    homeless_since: Option<Micros>,
    heard: Micros,
    generation: Generation,
    next: usize,
    digest: AnswerDigest,
}

impl Inbound {
    fn key(&self) -> &RequestKey {
        match &self.wanted {
            Wanted::Answer(request) | Wanted::Acceptance(request) => &request.key,
            Wanted::Result(key) => key,
        }
    }

    fn cursor(&self) -> Option<Cursor> {
        (self.next > 0).then_some(Cursor {
            generation: self.generation,
            offset: TokenOffset(self.next as u32),
            digest: self.digest,
        })
    }
}

/// All callers' requests of a box, by connection.
#[derive(Debug, Default)]
pub struct Inbounds {
    table: BTreeMap<u64, Inbound>,
}

impl Inbounds {
    /// How many callers wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.table.len()
    }
}

impl Node {
    /// A caller did something.
    pub(super) fn on_caller(&mut self, connection: u64, event: CallerEvent) {
        match event {
            CallerEvent::Submit { request, cursor } => {
                self.stats.requests += 1;
                self.receive(connection, Wanted::Answer(request), cursor);
            }
            CallerEvent::Defer(request) => {
                self.stats.requests += 1;
                self.receive(connection, Wanted::Acceptance(request), None);
            }
            CallerEvent::Lookup(key) => self.receive(connection, Wanted::Result(key), None),
            CallerEvent::Gone => self.on_caller_gone(connection),
        }
    }

    fn receive(&mut self, connection: u64, wanted: Wanted, cursor: Option<Cursor>) {
        if self.inbound.table.len() >= self.cfg.max_requests {
            let detail = "this box serves as many callers as it may; come back later";
            let refusal = Refusal::not_run(Reason::Overloaded, RETRY_AFTER, detail);
            return self.refuse_caller(connection, refusal);
        }
        let key = match &wanted {
            Wanted::Answer(request) | Wanted::Acceptance(request) => request.key.clone(),
            Wanted::Result(key) => key.clone(),
        };
        let inbound = Inbound {
            domain: self.domain_of(&key),
            wanted,
            home: None,
            homes_tried: 0,
            homeless_since: None,
            heard: self.now,
            generation: cursor.map_or(Generation(0), |c| c.generation),
            next: cursor.map_or(0, |c| c.offset.0 as usize),
            digest: cursor.map_or(digest::start(&key), |c| c.digest),
        };
        self.inbound.table.insert(connection, inbound);
        self.out
            .timer(Timer::Inbound(connection), self.now.after(QUIET_LIMIT));
        self.hand_over(connection);
    }

    /// The failure domain that is in charge of a key.
    fn domain_of(&self, key: &RequestKey) -> DomainId {
        let named = key.named_domain();
        if let Some(domain) = self.cfg.domains.iter().find(|d| Some(d.as_str()) == named) {
            return domain.clone();
        }
        let domains: Vec<&str> = self.cfg.domains.iter().map(|d| d.as_str()).collect();
        let ranked = rendezvous::rank(&domains, rendezvous::item(key));
        let first = ranked.first().and_then(|n| n.parse().ok());
        first.unwrap_or_else(|| self.cfg.domain.clone())
    }

    /// Hands a request to the box that is in charge of it now.
    fn hand_over(&mut self, connection: u64) {
        let Some(inbound) = self.inbound.table.get_mut(&connection) else {
            return;
        };
        let reachable = self
            .membership
            .domain_is_reachable(&inbound.domain, self.now);
        if let Wanted::Answer(request) = &inbound.wanted
            && !reachable
            && !request.runs_once()
        {
            // A generation may run anywhere; its own failure domain is cut off from here.
            inbound.domain = self.cfg.domain.clone();
        }
        let domain = inbound.domain.clone();
        let Some(home) = self.home_for(connection, &domain) else {
            return self.on_homeless(connection);
        };
        self.send_home(connection, &home);
    }

    /// Sends a request to its home.
    fn send_home(&mut self, connection: u64, home: &Member) {
        let Some(inbound) = self.inbound.table.get_mut(&connection) else {
            return;
        };
        let again = inbound.home.as_ref() == Some(&home.id);
        let calls_once = matches!(&inbound.wanted, Wanted::Answer(r) if r.runs_once());
        // A generation that is handed to the same home once more has lost no home.
        let repeated = inbound.homes_tried > 0 && (calls_once || !again);
        inbound.homes_tried += u32::from(!again);
        inbound.home = Some(home.id.clone());
        inbound.homeless_since = None;
        let receiver = self.cfg.me.clone();
        let cursor = inbound.cursor();
        let subscription = connection;
        match inbound.wanted.clone() {
            Wanted::Answer(request) => {
                let submit = Submit {
                    request,
                    cursor,
                    receiver,
                    subscription,
                    repeated,
                    hops: 0,
                };
                self.out.send(home, submit);
            }
            Wanted::Acceptance(request) => {
                let defer = Defer {
                    receiver,
                    subscription,
                    request,
                    hops: 0,
                };
                self.out.send(home, defer);
            }
            Wanted::Result(key) => {
                let lookup = Lookup {
                    receiver,
                    subscription,
                    key,
                    hops: 0,
                };
                self.out.send(home, lookup);
            }
        }
    }

    /// The box that is in charge of a caller's request, if it can be reached.
    fn home_for(&self, connection: u64, domain: &DomainId) -> Option<Member> {
        let inbound = self.inbound.table.get(&connection)?;
        let slice = match &inbound.wanted {
            Wanted::Answer(request) if !request.runs_once() => {
                let ranked = self.membership.ranked(domain, &request.key, self.now);
                return ranked.into_iter().next();
            }
            Wanted::Answer(request) => slice_of(&request.key),
            Wanted::Acceptance(_) | Wanted::Result(_) => SCRIBE_SLICE,
        };
        let Some(home) = self.membership.slice_home(domain, slice) else {
            // Any box of a failure domain whose roster isn't known here can pass the request on.
            let others = self
                .membership
                .ranked_for(domain, u64::from(slice.0), self.now);
            return others
                .into_iter()
                .next()
                .filter(|_| domain != &self.cfg.domain);
        };
        let lost = self.membership.peer(&home.id).is_some_and(|p| p.lost);
        let silent = domain == &self.cfg.domain && !self.membership.is_live(&home.id, self.now);
        let cut = !self.membership.domain_is_reachable(domain, self.now);
        (!lost && !silent && !cut).then_some(home)
    }

    /// There is no box to hand a request to: it is refused at once, unless it was handed over
    /// before; then the roster has a moment to name a new home.
    fn on_homeless(&mut self, connection: u64) {
        let now = self.now;
        let Some(inbound) = self.inbound.table.get_mut(&connection) else {
            return;
        };
        let started = inbound.homes_tried > 0;
        let since = *inbound.homeless_since.get_or_insert(now);
        inbound.home = None;
        if started && inbound.homes_tried < MAX_HOMES && now.since(since) < RECOVERY_LIMIT {
            let again = now.after(self.cfg.heartbeat);
            let domain = inbound.domain.clone();
            if domain == self.cfg.domain {
                self.read_roster_now();
            } else {
                self.read_roster_of(&domain);
            }
            return self.out.timer(Timer::Inbound(connection), again);
        }
        let certain = match &inbound.wanted {
            Wanted::Answer(request) if request.runs_once() => request.first && !started,
            Wanted::Answer(_) | Wanted::Acceptance(_) => !started,
            Wanted::Result(_) => true,
        };
        let detail =
            "the box in charge of this request can't be reached; come back with the same key";
        let mut refusal = Refusal::not_run(Reason::HomeUnreachable, RETRY_AFTER, detail);
        if !certain {
            refusal.ran = Ran::Unknown;
        }
        self.refuse_caller(connection, refusal);
    }

    /// Looks whether a request has a home, and whether anything has come from there lately.
    pub(super) fn check_inbound(&mut self, connection: u64) {
        let Some(inbound) = self.inbound.table.get_mut(&connection) else {
            return;
        };
        let homeless = inbound.home.is_none();
        let quiet = self.now.since(inbound.heard);
        if homeless || quiet >= QUIET_LIMIT {
            inbound.heard = self.now;
            self.hand_over(connection);
        }
        let Some(inbound) = self.inbound.table.get(&connection) else {
            return;
        };
        if inbound.home.is_some() {
            let at = inbound.heard.after(QUIET_LIMIT);
            self.out.timer(Timer::Inbound(connection), at);
        }
    }

    /// Finds new homes for the requests that were handed to a lost box.
    pub(super) fn rehome_inbound(&mut self, lost: &BoxId) {
        let mut connections: Vec<u64> = self
            .inbound
            .table
            .iter()
            .filter(|(_, i)| i.home.as_ref() == Some(lost))
            .map(|(connection, _)| *connection)
            .collect();
        connections.sort_unstable();
        for connection in connections {
            if let Some(inbound) = self.inbound.table.get_mut(&connection) {
                inbound.home = None;
            }
            self.hand_over(connection);
        }
    }

    /// A home has handed a request on.
    pub(super) fn on_moved(&mut self, moved: &Moved) {
        let Some(inbound) = self.inbound.table.get_mut(&moved.subscription) else {
            return;
        };
        inbound.home = None;
        let to = moved
            .to
            .as_ref()
            .and_then(|id| self.membership.member(id).cloned());
        let (Some(to), Wanted::Answer(request)) = (to, inbound.wanted.clone()) else {
            return self.hand_over(moved.subscription);
        };
        inbound.home = Some(to.id.clone());
        inbound.homes_tried += 1;
        let submit = Submit {
            request,
            cursor: inbound.cursor(),
            receiver: self.cfg.me.clone(),
            subscription: moved.subscription,
            repeated: true,
            hops: MAX_HOPS - 1,
        };
        self.out.send(&to, submit);
    }

    /// Tokens came for a caller.
    pub(super) fn on_output(&mut self, output: &Output) {
        let connection = output.subscription;
        let Some(inbound) = self.inbound.table.get_mut(&connection) else {
            return;
        };
        inbound.heard = self.now;
        if output.offset.0 as usize > inbound.next {
            // Something before it was lost on the way; the home sends it again.
            return self.hand_over(connection);
        }
        let Some(fresh) = fitting(inbound, output) else {
            self.stats.outputs_rejected += 1;
            let detail =
                "the answer this belongs to was lost; send the request again under a new key";
            return self.refuse_caller(connection, Refusal::unknown(Reason::StartOver, detail));
        };
        inbound.generation = output.generation;
        inbound.next += fresh.len();
        inbound.digest = digest::extend_all(inbound.digest, &fresh);
        let reply = Reply::Tokens {
            generation: inbound.generation,
            end: TokenOffset(inbound.next as u32),
            digest: inbound.digest,
            tokens: fresh,
        };
        if matches!(&reply, Reply::Tokens { tokens, .. } if !tokens.is_empty()) {
            self.out.reply(connection, reply);
        }
        if let Some(finish) = output.finish {
            self.inbound.table.remove(&connection);
            self.out.reply(connection, Reply::Finished(finish));
        }
    }

    /// A plain service's answer came for a caller.
    pub(super) fn on_answered(&mut self, answered: Answered) {
        if self.inbound.table.remove(&answered.subscription).is_some() {
            self.out
                .reply(answered.subscription, Reply::Answered(answered.answer));
        }
    }

    /// A refusal came for a caller.
    pub(super) fn on_refused(&mut self, refused: Refused) {
        let Some(inbound) = self.inbound.table.get(&refused.subscription) else {
            return;
        };
        let mut refusal = refused.refusal;
        // Another home may have begun what this one says it has not.
        if inbound.homes_tried > 1 && refusal.reason != Reason::KeyReused {
            refusal.ran = Ran::Unknown;
        }
        self.refuse_caller(refused.subscription, refusal);
    }

    /// The scribe's word on a deferrable request came.
    pub(super) fn on_defer_reply(&mut self, reply: &DeferReply) {
        if !self.inbound.table.contains_key(&reply.subscription) {
            return;
        }
        if matches!(reply.kept, Kept::Nowhere | Kept::Unknown) {
            let detail = "the work could not be kept safely anywhere; come back with the same key";
            let mut refusal = Refusal::not_run(Reason::NotDurable, RETRY_AFTER, detail);
            if reply.kept == Kept::Unknown {
                refusal.ran = Ran::Unknown;
            }
            return self.on_refused(Refused {
                subscription: reply.subscription,
                refusal,
            });
        }
        self.inbound.table.remove(&reply.subscription);
        self.out
            .reply(reply.subscription, Reply::Accepted(reply.kept));
    }

    /// The scribe's word on a result came.
    pub(super) fn on_lookup_reply(&mut self, reply: LookupReply) {
        if self.inbound.table.remove(&reply.subscription).is_some() {
            self.out
                .reply(reply.subscription, Reply::Status(reply.status));
        }
    }

    fn refuse_caller(&mut self, connection: u64, refusal: Refusal) {
        self.stats.refusals += 1;
        self.inbound.table.remove(&connection);
        self.out.reply(connection, Reply::Refused(refusal));
    }

    fn on_caller_gone(&mut self, connection: u64) {
        let Some(inbound) = self.inbound.table.remove(&connection) else {
            return;
        };
        let detach = Detach {
            key: inbound.key().clone(),
            subscription: connection,
        };
        let home = inbound.home.and_then(|h| self.member(&h));
        if let (Some(home), Wanted::Answer(_)) = (home, inbound.wanted) {
            self.out.send(&home, detach);
        }
    }
}

/// The tokens of an output that the caller doesn't have yet, or `None` if the output belongs to
/// another answer than what the caller has.
fn fitting(inbound: &Inbound, output: &Output) -> Option<Vec<crate::schema::Token>> {
    let known = inbound.next - output.offset.0 as usize;
    if known > output.tokens.len() {
        // All of it is old; it can't be told apart, and nothing of it is passed on.
        return Some(Vec::new()).filter(|_| output.finish.is_none());
    }
    let reached = digest::extend_all(output.digest, &output.tokens[..known]);
    (reached == inbound.digest).then(|| output.tokens[known..].to_vec())
}
