//! The batch of an engine: streams that read their prompts, produce tokens together, or wait.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use magpiemoor::keyed::daemon::engines::StreamRequest;
use magpiemoor::keyed::node::prefixes::{BLOCK_BYTES, blocks};
use magpiemoor::schema::{Finish, Token};
use rand::Rng;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::Behaviour;

/// Bytes that are read for one token of an answer that is resumed.
const BYTES_PER_TOKEN: usize = 4;
/// How long a stream without a reader goes on.
const READERLESS_KEPT: Duration = Duration::from_secs(3);
/// Blocks that the prefix cache holds.
const CACHE_BLOCKS: usize = 10_000;
/// Share by which a token's time varies.
const JITTER: f64 = 0.2;
/// How often an idle engine looks for work.
const IDLE: Duration = Duration::from_millis(1);

/// What a stream has beyond an offset.
#[derive(Debug)]
pub struct Progress {
    /// The tokens from there on.
    pub tokens: Vec<Token>,
    /// How the answer ended, once all tokens are there.
    pub finish: Option<Finish>,
}

#[derive(Debug)]
struct Stream {
    request: StreamRequest,
    tokens: Vec<Token>,
    length: usize,
    finish: Option<Finish>,
    read_at: Option<Instant>,
    prefill: Duration,
    readers: usize,
    left: Instant,
}

/// The streams of an engine.
#[derive(Debug, Default)]
pub struct Batch {
    streams: HashMap<String, Stream>,
    running: Vec<String>,
    waiting: VecDeque<String>,
    cache: VecDeque<u64>,
    produced: u64,
}

/// The token at a place of an answer.
#[must_use]
pub fn token(identity: &str, prompt: &str, place: usize) -> Token {
    let seed = xxh3_64_with_seed(identity.as_bytes(), xxh3_64(prompt.as_bytes()));
    let id = (xxh3_64_with_seed(&place.to_le_bytes(), seed) % 50_000) as u32;
    Token {
        id,
        text: format!(" t{id}"),
    }
}

/// How many tokens the answer to a prompt has, and how it ends.
#[must_use]
pub fn answer_length(prompt: &str, max_tokens: u32) -> (usize, Finish) {
    let most = max_tokens as usize;
    let short = xxh3_64(prompt.as_bytes()) as usize % (most / 4 + 1);
    if short == 0 {
        (most, Finish::Length)
    } else {
        (most - short, Finish::Stop)
    }
}

impl Batch {
    /// How many streams there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    /// How many streams run and wait.
    #[must_use]
    pub fn load(&self) -> (u32, u32) {
        (self.running.len() as u32, self.waiting.len() as u32)
    }

    /// Takes a request, unless the queue is full; returns the blocks that are cached anew.
    pub fn add(&mut self, request: StreamRequest, behaviour: &Behaviour) -> Option<Vec<u64>> {
        let room = behaviour.slots + behaviour.queue;
        if self.running.len() + self.waiting.len() >= room {
            return None;
        }
        let wanted = blocks(&request.prompt);
        let known = wanted.iter().take_while(|b| self.cache.contains(b)).count();
        let all = request.prompt.len() + request.tokens.len() * BYTES_PER_TOKEN;
        let cached = (known * BLOCK_BYTES).min(request.prompt.len());
        let prefill = Duration::from_secs_f64((all - cached) as f64 / behaviour.prefill_rate);
        let stored: Vec<u64> = wanted[known..].to_vec();
        self.cache.extend(&stored);
        while self.cache.len() > CACHE_BLOCKS {
            self.cache.pop_front();
        }
        let (length, _) = answer_length(&request.prompt, request.max_tokens);
        let name = request.stream.clone();
        let stream = Stream {
            tokens: request.tokens.clone(),
            length,
            finish: None,
            read_at: None,
            prefill,
            readers: 0,
            left: Instant::now(),
            request,
        };
        let urgency = stream.request.priority;
        let place = self
            .waiting
            .iter()
            .position(|n| {
                self.streams
                    .get(n)
                    .is_some_and(|s| s.request.priority > urgency)
            })
            .unwrap_or(self.waiting.len());
        self.waiting.insert(place, name.clone());
        self.streams.insert(name, stream);
        Some(stored)
    }

    /// Tokens that were produced so far.
    #[must_use]
    pub fn produced(&self) -> u64 {
        self.produced
    }

    /// Ends a stream.
    pub fn remove(&mut self, name: &str) {
        self.streams.remove(name);
        self.running.retain(|n| n != name);
        self.waiting.retain(|n| n != name);
    }

    /// What a stream has beyond an offset, if the stream is known and has come that far.
    #[must_use]
    pub fn progress(&self, name: &str, from: usize) -> Option<Progress> {
        let stream = self.streams.get(name)?;
        let tokens = stream.tokens.get(from..)?.to_vec();
        Some(Progress {
            tokens,
            finish: stream.finish,
        })
    }

    /// The name of another stream.
    #[must_use]
    pub fn other_than(&self, name: &str) -> Option<String> {
        self.running.iter().find(|n| n.as_str() != name).cloned()
    }

    /// A connection reads a stream.
    pub fn reader_came(&mut self, name: &str) {
        if let Some(stream) = self.streams.get_mut(name) {
            stream.readers += 1;
        }
    }

    /// A connection reads a stream no more.
    pub fn reader_left(&mut self, name: &str) {
        if let Some(stream) = self.streams.get_mut(name) {
            stream.readers = stream.readers.saturating_sub(1);
            stream.left = Instant::now();
        }
    }

    /// Lets every stream take one step; returns when the next one is due.
    pub fn step(&mut self, behaviour: &Behaviour) -> Duration {
        self.drop_readerless();
        while self.running.len() < behaviour.slots {
            let Some(name) = self.waiting.pop_front() else {
                break;
            };
            if let Some(stream) = self.streams.get_mut(&name) {
                stream.read_at = Some(Instant::now() + stream.prefill);
                self.running.push(name);
            }
        }
        if self.running.is_empty() {
            return IDLE;
        }
        let now = Instant::now();
        for name in &self.running {
            let Some(stream) = self.streams.get_mut(name) else {
                continue;
            };
            if stream.read_at.is_none_or(|at| at > now) {
                continue;
            }
            if stream.tokens.len() < stream.length {
                let place = stream.tokens.len();
                stream
                    .tokens
                    .push(token(&behaviour.name, &stream.request.prompt, place));
                self.produced += 1;
            }
            if stream.tokens.len() >= stream.length {
                let (_, finish) = answer_length(&stream.request.prompt, stream.request.max_tokens);
                stream.finish = Some(finish);
            }
        }
        let streams = &self.streams;
        self.running
            .retain(|n| streams.get(n).is_some_and(|s| s.finish.is_none()));
        let vary = 1.0 + JITTER * rand::rng().random_range(-1.0..1.0);
        Duration::from_secs_f64(behaviour.token_ms / 1_000.0 * vary)
    }

    fn drop_readerless(&mut self) {
        let stale: Vec<String> = self
            .streams
            .iter()
            .filter(|(_, s)| s.readers == 0 && s.left.elapsed() > READERLESS_KEPT)
            .map(|(name, _)| name.clone())
            .collect();
        for name in stale {
            self.remove(&name);
        }
    }
}
