//! Answers of generations, as their producer and their copy holder keep them.
//!
//! An answer belongs to one generation at a time. Its tokens only ever grow within a generation;
//! a newer generation may replace them, and then the digest tells a caller's cursor from it.

pub mod held;

use std::sync::Arc;

use crate::keyed::bundle::Bundle;
use crate::keyed::digest;
use crate::rendezvous;
use crate::schema::{
    AnswerDigest, Attempt, AttemptMark, BoxId, Cursor, EndpointId, Finish, Generation, Member,
    Micros, Request, RequestKey, RequestKind, Token,
};

/// Bits of a generation number that tell boxes apart; the bits above count terms.
const BOX_BITS: u32 = 12;

/// Returns the number of the first generation that a box makes of an answer.
#[must_use]
pub fn first_generation(me: &Member) -> Generation {
    next_generation(Generation(0), me)
}

/// Returns a number greater than `previous` that no other box makes.
#[must_use]
pub fn next_generation(previous: Generation, me: &Member) -> Generation {
    let term = (previous.0 >> BOX_BITS) + 1;
    let hash = rendezvous::score(&me.id, me.incarnation.0) as u32;
    Generation((term << BOX_BITS) | (hash & ((1 << BOX_BITS) - 1)))
}

/// Where a generation stands with a box that is copied to.
#[derive(Clone, Debug)]
pub struct CopyState {
    /// The box that holds the copy.
    pub to: Member,
    /// Tokens sent to it.
    pub sent: usize,
    /// Tokens it has confirmed.
    pub held: usize,
    /// Whether the request itself was sent.
    pub request_sent: bool,
    /// Whether the end mark was sent.
    pub finish_sent: bool,
    /// Whether it has confirmed the end mark.
    pub finish_held: bool,
}

impl CopyState {
    /// A copy of which nothing has been sent.
    #[must_use]
    pub fn new(to: Member) -> Self {
        Self {
            to,
            sent: 0,
            held: 0,
            request_sent: false,
            finish_sent: false,
            finish_held: false,
        }
    }
}

/// A caller's box that receives an answer.
#[derive(Clone, Debug)]
pub struct Subscriber {
    /// The box.
    pub to: Member,
    /// Its number for the caller.
    pub subscription: u64,
    /// The offset of the next token to send.
    pub next: usize,
    /// Whether the end mark was sent.
    pub done: bool,
}

/// One run of the generation on an engine.
#[derive(Clone, Debug)]
pub struct Run {
    /// The run's number.
    pub attempt: Attempt,
    /// The engine.
    pub endpoint: EndpointId,
    /// The engine's name of the stream.
    pub stream: String,
    /// When it started.
    pub started: Micros,
    /// When something last came from it.
    pub last: Micros,
    /// Whether a token has come from it.
    pub has_token: bool,
    /// Whether it is suspected to be lost.
    pub suspected: bool,
    /// Prompt and answer bytes that its engine had to read.
    pub bytes: usize,
}

/// Who produces an answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Role {
    /// This box.
    Producer,
    /// Another box, for which this one holds a copy.
    CopyOf(BoxId),
}

/// An answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The request.
    pub request: Request,
    /// The bundle that the request keeps to.
    pub bundle: Arc<Bundle>,
    /// Who produces it.
    pub role: Role,
    /// The producer's term.
    pub generation: Generation,
    tokens: Vec<Token>,
    digests: Vec<AnswerDigest>,
    /// How it ended.
    pub finish: Option<Finish>,
    /// The engine's stream that produces it, for a takeover.
    pub mark: Option<AttemptMark>,
    /// The box that holds the copy.
    pub copy: Option<CopyState>,
    /// Callers' boxes.
    pub subscribers: Vec<Subscriber>,
    /// The scribe that waits for the result of deferrable work.
    pub scribe: Option<BoxId>,
    /// Runs that have not ended.
    pub runs: Vec<Run>,
    /// The number of the next run.
    pub next_attempt: u32,
    /// Runs that have failed.
    pub failures: u32,
    /// Whether it waits in a queue or for a backoff to end.
    pub waiting: bool,
    /// The engines on which runs have failed lately.
    pub avoid: Vec<EndpointId>,
    /// When the caller needs the answer.
    pub deadline: Option<Micros>,
    /// When its run was lost, until a token comes again.
    pub lost_at: Option<Micros>,
    /// When it last had a subscriber or made progress.
    pub touched: Micros,
    /// When the first token came.
    pub first_token: Option<Micros>,
}

impl Answer {
    /// An answer without tokens.
    #[must_use]
    pub fn new(
        request: Request,
        bundle: Arc<Bundle>,
        role: Role,
        generation: Generation,
        now: Micros,
    ) -> Self {
        let start = digest::start(&request.key);
        let deadline = request.deadline.map(|d| now.after(d.into()));
        Self {
            request,
            bundle,
            role,
            generation,
            tokens: Vec::new(),
            digests: vec![start],
            finish: None,
            mark: None,
            copy: None,
            subscribers: Vec::new(),
            scribe: None,
            runs: Vec::new(),
            next_attempt: 1,
            failures: 0,
            waiting: false,
            avoid: Vec::new(),
            deadline,
            lost_at: None,
            touched: now,
            first_token: None,
        }
    }

    /// The tokens so far.
    #[must_use]
    pub fn tokens(&self) -> &[Token] {
        &self.tokens
    }

    /// How many tokens there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.tokens.len()
    }

    /// Whether there are no tokens yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.tokens.is_empty()
    }

    /// The digest of the first `offset` tokens.
    #[must_use]
    pub fn digest(&self, offset: usize) -> Option<AnswerDigest> {
        self.digests.get(offset).copied()
    }

    /// Adds tokens to the end.
    fn extend(&mut self, tokens: &[Token]) {
        for token in tokens {
            let last = self.digests[self.digests.len() - 1];
            self.digests.push(digest::extend(last, token));
        }
        self.tokens.extend_from_slice(tokens);
    }

    /// Forgets the tokens, for a newer generation.
    fn clear(&mut self) {
        self.tokens.clear();
        self.digests.truncate(1);
        self.finish = None;
        self.mark = None;
    }

    /// Whether a caller's cursor fits this answer.
    #[must_use]
    pub fn fits(&self, cursor: &Cursor) -> bool {
        self.digest(cursor.offset.0 as usize) == Some(cursor.digest)
    }

    /// How many tokens may be released to callers.
    #[must_use]
    pub fn releasable(&self) -> usize {
        self.copy.as_ref().map_or(self.tokens.len(), |c| c.held)
    }

    /// Whether the end mark may be released.
    #[must_use]
    pub fn finish_releasable(&self) -> bool {
        self.finish.is_some() && self.copy.as_ref().is_none_or(|c| c.finish_held)
    }

    /// Whether any run is going on that isn't suspected to be lost.
    #[must_use]
    pub fn has_sound_run(&self) -> bool {
        self.runs.iter().any(|r| !r.suspected)
    }

    /// The run with a number.
    #[must_use]
    pub fn run(&self, attempt: Attempt) -> Option<&Run> {
        self.runs.iter().find(|r| r.attempt == attempt)
    }

    /// The run with a number, to change it.
    pub fn run_mut(&mut self, attempt: Attempt) -> Option<&mut Run> {
        self.runs.iter_mut().find(|r| r.attempt == attempt)
    }

    /// The answer's text.
    #[must_use]
    pub fn text(&self) -> String {
        self.tokens.iter().map(|t| t.text.as_str()).collect()
    }

    /// The most tokens that the answer may have.
    #[must_use]
    pub fn request_limit(&self) -> usize {
        match &self.request.kind {
            RequestKind::Generate(generate) => generate.max_tokens as usize,
            RequestKind::Call(_) => 0,
        }
    }

    /// The key of the request.
    #[must_use]
    pub fn key(&self) -> &RequestKey {
        &self.request.key
    }
}
