//! Runs of generations on engines: starting, following, suspecting, and resuming elsewhere.

use std::time::Duration;

use crate::node::Node;
use crate::node::action::{Action, EngineStart};
use crate::node::answers::{Answer, Role, Run};
use crate::node::config::{BASELINE_TIMEOUT, MAX_ATTEMPTS, RETRY_AFTER};
use crate::node::event::{EngineEvent, EngineFailure, StreamId, Timer};
use crate::node::generate::{pool_of, waiting_for};
use crate::node::prefixes;
use crate::node::retries::backoff;
use crate::node::routing::{self, Need};
use crate::node::suspicion::{ResumeCost, Stake, suspect_after, suspect_first_after};
use crate::schema::{
    Attempt, AttemptMark, EndpointId, EndpointKind, Finish, GenerateRequest, Reason, Refusal,
    RequestKey, RequestKind, Token,
};
use crate::settings::Recovery;

/// The most runs of one generation at the same time.
const MOST_RUNS: usize = 2;
/// Bytes of text that an engine reads for one token of the answer.
const BYTES_PER_TOKEN: usize = 4;
/// Time to fetch a KV cache, whatever its size.
const IMPORT_BASE: Duration = Duration::from_millis(30);
/// Time to fetch the KV cache of one token.
const IMPORT_PER_TOKEN: Duration = Duration::from_micros(40);
/// How old a load report may be that shows an engine to be alive.
const ALIVE_REPORT: Duration = Duration::from_millis(800);
/// How many engines on which runs failed lately are avoided.
const AVOIDED: usize = 3;

impl Node {
    /// Starts a waiting generation; returns whether an engine took it.
    pub(super) fn start_runs(&mut self, key: &RequestKey) -> bool {
        let Some(answer) = self.answers.get_mut(key) else {
            return true;
        };
        if answer.finish.is_some() || answer.role != Role::Producer {
            answer.waiting = false;
            return true;
        }
        if !self.start_run(key, None) {
            return false;
        }
        if let Some(answer) = self.answers.get_mut(key) {
            answer.waiting = false;
        }
        if self.cfg.recovery == Recovery::Hedge {
            self.start_run(key, None);
        }
        true
    }

    /// Starts a run on the best engine that takes work.
    fn start_run(&mut self, key: &RequestKey, import_from: Option<&EndpointId>) -> bool {
        let Some(answer) = self.answers.get(key) else {
            return false;
        };
        let RequestKind::Generate(generate) = answer.request.kind.clone() else {
            return false;
        };
        let Some(endpoint) = self.choose_engine(key, &generate) else {
            return false;
        };
        let Some(answer) = self.answers.get_mut(key) else {
            return false;
        };
        let attempt = Attempt(answer.next_attempt);
        answer.next_attempt += 1;
        let stream = StreamId {
            key: key.clone(),
            generation: answer.generation,
            attempt,
        };
        let bytes = generate.prompt.len() + answer.len() * BYTES_PER_TOKEN;
        let tokens = match self.cfg.recovery {
            Recovery::Restart => Vec::new(),
            Recovery::Resume | Recovery::Timeout | Recovery::Hedge => answer.tokens().to_vec(),
        };
        let mark = AttemptMark {
            attempt,
            endpoint: endpoint.clone(),
            stream: stream.to_string(),
        };
        answer.runs.push(Run {
            attempt,
            endpoint: endpoint.clone(),
            stream: stream.to_string(),
            started: self.now,
            last: self.now,
            has_token: false,
            suspected: false,
            bytes,
        });
        answer.mark = Some(mark);
        let first = attempt == Attempt(1);
        let import_from = import_from
            .and_then(|id| self.endpoints.get(id))
            .map(|e| e.address.clone());
        let address = self
            .endpoints
            .get(&endpoint)
            .map(|e| e.address.clone())
            .unwrap_or_default();
        if first {
            let percent = answer.bundle.policy().retry_percent;
            self.budgets
                .on_first_try(&answer.request.organisation, &endpoint, percent);
        }
        let priority = answer.request.priority;
        let blocks = prefixes::blocks(&generate.prompt);
        self.endpoints.prefixes.stored(&endpoint, &blocks);
        self.endpoints.on_start(&endpoint, self.now);
        self.stats.runs += 1;
        self.out.note(
            "run_started",
            key,
            format!("{endpoint} from token {}", tokens.len()),
        );
        self.out.push(Action::StartEngine(Box::new(EngineStart {
            endpoint,
            address,
            stream: stream.clone(),
            attach: None,
            model: generate.model,
            adapter: generate.adapter,
            prompt: generate.prompt,
            tokens,
            max_tokens: generate.max_tokens,
            priority,
            import_from,
        })));
        self.arm_suspicion(&stream);
        self.push_copy(key);
        true
    }

    fn choose_engine(
        &mut self,
        key: &RequestKey,
        generate: &GenerateRequest,
    ) -> Option<EndpointId> {
        let answer = self.answers.get(key)?;
        let bundle = answer.bundle.clone();
        let candidates = bundle.engines_for(&generate.model);
        let mut avoid = answer.avoid.clone();
        avoid.extend(answer.runs.iter().map(|r| r.endpoint.clone()));
        let loaded: Vec<EndpointId> = match &generate.adapter {
            None => Vec::new(),
            Some(adapter) => candidates
                .iter()
                .filter(|id| has_adapter(&bundle, id, adapter))
                .cloned()
                .collect(),
        };
        let blocks = prefixes::blocks(&generate.prompt);
        let mut need = Need {
            candidates,
            avoid: &avoid,
            adapter: generate.adapter.as_ref().map(|a| (a, loaded.as_slice())),
            blocks: &blocks,
            bytes: generate.prompt.len() + answer.len() * BYTES_PER_TOKEN,
            domain: &self.cfg.domain,
        };
        let routing = self.cfg.routing;
        let running: Vec<EndpointId> = answer.runs.iter().map(|r| r.endpoint.clone()).collect();
        routing::choose(routing, &self.endpoints, &need, self.now, &mut self.rng).or_else(|| {
            // Engines on which this answer failed before are better than none.
            need.avoid = &running;
            routing::choose(routing, &self.endpoints, &need, self.now, &mut self.rng)
        })
    }

    /// Attaches to the stream that a former producer had started.
    pub(super) fn attach_run(&mut self, key: &RequestKey, mark: &AttemptMark) {
        let Some(answer) = self.answers.get_mut(key) else {
            return;
        };
        let RequestKind::Generate(generate) = answer.request.kind.clone() else {
            return;
        };
        let Some(state) = self.endpoints.get(&mark.endpoint) else {
            return self.resume(key);
        };
        let address = state.address.clone();
        answer.next_attempt = mark.attempt.0 + 1;
        let stream = StreamId {
            key: key.clone(),
            generation: answer.generation,
            attempt: mark.attempt,
        };
        answer.runs.push(Run {
            attempt: mark.attempt,
            endpoint: mark.endpoint.clone(),
            stream: mark.stream.clone(),
            started: self.now,
            last: self.now,
            has_token: !answer.is_empty(),
            suspected: false,
            bytes: 0,
        });
        let start = EngineStart {
            endpoint: mark.endpoint.clone(),
            address,
            stream: stream.clone(),
            attach: Some(mark.stream.clone()),
            model: generate.model,
            adapter: generate.adapter,
            prompt: generate.prompt,
            tokens: answer.tokens().to_vec(),
            max_tokens: generate.max_tokens,
            priority: answer.request.priority,
            import_from: None,
        };
        self.endpoints.on_start(&mark.endpoint, self.now);
        self.out.push(Action::StartEngine(Box::new(start)));
        self.arm_suspicion(&stream);
        self.push_copy(key);
    }

    /// Something came from an engine.
    pub(super) fn on_engine(&mut self, stream: &StreamId, event: EngineEvent) {
        let known = self.answers.get(&stream.key).is_some_and(|a| {
            a.role == Role::Producer
                && a.generation == stream.generation
                && a.run(stream.attempt).is_some()
        });
        if !known {
            self.stats.engine_strays += 1;
            if let EngineEvent::Tokens { tokens, .. } = event {
                self.stats.tokens_wasted += tokens.len() as u64;
            }
            return;
        }
        match event {
            EngineEvent::Opened => {}
            EngineEvent::Tokens { offset, tokens } => self.on_tokens(stream, offset, &tokens),
            EngineEvent::Finished(finish) => self.on_finished(stream, finish),
            EngineEvent::Failed(failure) => self.on_run_failed(stream, failure),
        }
    }

    fn on_tokens(&mut self, stream: &StreamId, offset: usize, tokens: &[Token]) {
        let Some(answer) = self.answers.get_mut(&stream.key) else {
            return;
        };
        let length = answer.len();
        let known = length.saturating_sub(offset).min(tokens.len());
        let differs = offset > length || answer.tokens()[offset..offset + known] != tokens[..known];
        if differs {
            return self.on_run_failed(stream, EngineFailure::Garbled);
        }
        let room = answer.request_limit().saturating_sub(length);
        let fresh: Vec<Token> = tokens[known..].iter().take(room).cloned().collect();
        self.stats.tokens_wasted += known as u64;
        self.note_progress(stream);
        if fresh.is_empty() {
            return;
        }
        self.keep_only(stream);
        let Some(answer) = self.answers.get_mut(&stream.key) else {
            return;
        };
        answer.extend(&fresh);
        answer.touched = self.now;
        answer.first_token.get_or_insert(self.now);
        self.tokens_held += fresh.len();
        self.stats.tokens += fresh.len() as u64;
        if let Some(lost) = answer.lost_at.take() {
            let took = self.now.since(lost);
            self.stats.resumes += 1;
            self.stats.resume_micros += took.as_micros() as u64;
            self.out.note(
                "resumed",
                &stream.key,
                format!("after {} ms", took.as_millis()),
            );
        }
        self.push_copy(&stream.key);
    }

    /// Notes that a run is alive, and how long it took.
    fn note_progress(&mut self, stream: &StreamId) {
        let Some(answer) = self.answers.get_mut(&stream.key) else {
            return;
        };
        let Some(run) = answer.run_mut(stream.attempt) else {
            return;
        };
        let took = self.now.since(run.last);
        let endpoint = run.endpoint.clone();
        let (first, bytes, was_suspected) = (!run.has_token, run.bytes, run.suspected);
        run.last = self.now;
        run.has_token = true;
        run.suspected = false;
        if first {
            self.endpoints.on_first(&endpoint, took, bytes);
        } else {
            self.endpoints.on_gap(&endpoint, took, self.now);
        }
        if was_suspected {
            self.stats.suspected_wrongly += 1;
            self.out.note("suspected_wrongly", &stream.key, &endpoint);
        }
        if was_suspected || first {
            // Between tokens far less silence is usual than before the first one.
            self.arm_suspicion(stream);
        }
    }

    /// Cancels all runs but the one that was first to go on.
    fn keep_only(&mut self, stream: &StreamId) {
        let Some(answer) = self.answers.get_mut(&stream.key) else {
            return;
        };
        let (kept, others) = std::mem::take(&mut answer.runs)
            .into_iter()
            .partition::<Vec<Run>, _>(|r| r.attempt == stream.attempt);
        if let Some(run) = kept.first() {
            answer.mark = Some(AttemptMark {
                attempt: run.attempt,
                endpoint: run.endpoint.clone(),
                stream: run.stream.clone(),
            });
        }
        answer.runs = kept;
        for run in others {
            if run.suspected {
                self.stats.runs_lost += 1;
                self.endpoints.losses.on_loss();
                self.endpoints.on_failure(&run.endpoint, self.now);
            }
            self.cancel_run(&run);
        }
    }

    fn cancel_run(&mut self, run: &Run) {
        self.endpoints.on_end(&run.endpoint);
        if let Some(state) = self.endpoints.get(&run.endpoint) {
            let address = state.address.clone();
            self.out.push(Action::CancelEngine {
                address,
                stream: run.stream.clone(),
            });
        }
    }

    /// Cancels all runs of an answer.
    pub(super) fn cancel_runs(&mut self, key: &RequestKey) {
        let Some(answer) = self.answers.get_mut(key) else {
            return;
        };
        for run in std::mem::take(&mut answer.runs) {
            self.cancel_run(&run);
        }
    }

    fn on_finished(&mut self, stream: &StreamId, finish: Finish) {
        self.keep_only(stream);
        let Some(answer) = self.answers.get_mut(&stream.key) else {
            return;
        };
        for run in std::mem::take(&mut answer.runs) {
            self.endpoints.on_end(&run.endpoint);
            self.endpoints.on_success(&run.endpoint);
        }
        self.complete(&stream.key, finish);
    }

    /// Ends an answer.
    fn complete(&mut self, key: &RequestKey, finish: Finish) {
        let Some(answer) = self.answers.get_mut(key) else {
            return;
        };
        answer.finish = Some(finish);
        answer.lost_at = None;
        let pool = pool_of(answer);
        let length = answer.len();
        self.stats.completions += 1;
        self.out
            .note("generation_finished", key, format!("{length} tokens"));
        self.push_copy(key);
        self.dispatch(&pool);
    }

    fn on_run_failed(&mut self, stream: &StreamId, failure: EngineFailure) {
        let Some(answer) = self.answers.get_mut(&stream.key) else {
            return;
        };
        let Some(place) = answer.runs.iter().position(|r| r.attempt == stream.attempt) else {
            return;
        };
        let run = answer.runs.remove(place);
        answer.failures += 1;
        answer.avoid.push(run.endpoint.clone());
        if answer.avoid.len() > AVOIDED {
            answer.avoid.remove(0);
        }
        let others = answer.has_sound_run();
        if !others {
            answer.lost_at.get_or_insert(self.now);
        }
        self.endpoints.on_end(&run.endpoint);
        self.out.note(
            "run_failed",
            &stream.key,
            format!("{}: {failure:?}", run.endpoint),
        );
        self.note_failure(&run, failure);
        if others {
            return;
        }
        match failure {
            EngineFailure::Busy | EngineFailure::Unreachable => {
                self.retry(&stream.key, &run.endpoint);
            }
            EngineFailure::Leaving
            | EngineFailure::Gone
            | EngineFailure::Broken
            | EngineFailure::Garbled => self.resume(&stream.key),
        }
    }

    fn note_failure(&mut self, run: &Run, failure: EngineFailure) {
        let endpoint = &run.endpoint;
        match failure {
            EngineFailure::Busy => self.endpoints.on_busy(endpoint, self.now),
            EngineFailure::Leaving => self.note_leaving(&endpoint.clone(), "its own word"),
            EngineFailure::Gone => {}
            EngineFailure::Unreachable => self.endpoints.on_failure(endpoint, self.now),
            EngineFailure::Broken | EngineFailure::Garbled => {
                self.stats.runs_lost += 1;
                self.endpoints.on_failure(endpoint, self.now);
                if failure == EngineFailure::Garbled {
                    self.cancel_garbled(run);
                }
            }
        }
    }

    fn cancel_garbled(&mut self, run: &Run) {
        if let Some(state) = self.endpoints.get(&run.endpoint) {
            let address = state.address.clone();
            self.out.push(Action::CancelEngine {
                address,
                stream: run.stream.clone(),
            });
        }
    }

    /// Goes on with a generation whose run was lost.
    pub(super) fn resume(&mut self, key: &RequestKey) {
        let Some(answer) = self.answers.get(key) else {
            return;
        };
        if answer.failures >= MAX_ATTEMPTS {
            let refusal = Refusal::unknown(
                Reason::EngineFailed,
                "the generation failed on every engine that was tried",
            );
            return self.give_up_answer(
                key,
                Refusal {
                    retry_after: Some(RETRY_AFTER.into()),
                    ..refusal
                },
            );
        }
        if answer.len() >= answer.request_limit() {
            return self.complete(key, Finish::Length);
        }
        if !self.start_runs(key) {
            self.wait_again(key);
        }
    }

    /// Puts a generation to the head of its queue.
    fn wait_again(&mut self, key: &RequestKey) {
        let Some(answer) = self.answers.get_mut(key) else {
            return;
        };
        if answer.waiting {
            return;
        }
        answer.waiting = true;
        let mut waiting = waiting_for(answer, 1.0);
        // What has begun isn't given up for a deadline.
        waiting.deadline = None;
        let pool = pool_of(answer);
        self.admission.put_back(&pool, waiting);
    }

    /// Tries a generation again that an engine did not take.
    fn retry(&mut self, key: &RequestKey, endpoint: &EndpointId) {
        let Some(answer) = self.answers.get_mut(key) else {
            return;
        };
        let begun = !answer.is_empty() || answer.scribe.is_some();
        if answer.failures >= MAX_ATTEMPTS && begun {
            return self.resume(key);
        }
        if !begun && !self.budgets.take(&answer.request.organisation, endpoint) {
            let refusal = Refusal::not_run(
                Reason::Overloaded,
                RETRY_AFTER,
                "engines have no room and the retry budget is spent; come back later",
            );
            return self.give_up_answer(key, refusal);
        }
        let wait = backoff(answer.failures, &mut self.rng);
        self.out
            .timer(Timer::Retry(key.clone()), self.now.after(wait));
    }

    /// The backoff of a generation or call is over.
    pub(super) fn on_retry(&mut self, key: &RequestKey) {
        let idle = self.answers.get(key).is_some_and(|a| {
            !a.has_sound_run() && !a.waiting && a.finish.is_none() && a.role == Role::Producer
        });
        if idle {
            self.resume(key);
        } else {
            self.retry_call(key);
        }
    }

    /// Asks to be woken when a run has been silent for too long.
    fn arm_suspicion(&mut self, stream: &StreamId) {
        let Some((last, limit)) = self.suspicion_limit(stream) else {
            return;
        };
        self.out
            .timer(Timer::Suspect(stream.clone()), last.after(limit));
    }

    /// When a run last gave a sign, and how long it may be silent.
    fn suspicion_limit(&self, stream: &StreamId) -> Option<(crate::schema::Micros, Duration)> {
        let answer = self.answers.get(&stream.key)?;
        if answer.generation != stream.generation {
            return None;
        }
        let run = answer.run(stream.attempt)?;
        let state = self.endpoints.get(&run.endpoint)?;
        if self.cfg.recovery == Recovery::Timeout {
            return Some((run.last, BASELINE_TIMEOUT));
        }
        if !run.has_token {
            let usual = self.endpoints.first_p99(&run.endpoint);
            return Some((
                run.last,
                suspect_first_after(usual, state.prefill(run.bytes)),
            ));
        }
        let risk = Stake {
            p99: self.endpoints.p99(&run.endpoint),
            extra_work: state.prefill(resume_bytes(answer)),
            loss_per_gap: self.endpoints.losses.per_gap(),
        };
        Some((
            run.last,
            suspect_after(&risk, &answer.bundle.policy().weights),
        ))
    }

    /// A run may have been silent for too long.
    pub(super) fn check_silence(&mut self, stream: &StreamId) {
        let Some((last, limit)) = self.suspicion_limit(stream) else {
            return;
        };
        if self.now < last.after(limit) {
            return self.arm_suspicion(stream);
        }
        let Some(answer) = self.answers.get(&stream.key) else {
            return;
        };
        let suspect = answer
            .run(stream.attempt)
            .map(|r| (r.endpoint.clone(), r.suspected));
        let Some((endpoint, false)) = suspect else {
            return;
        };
        if answer.runs.len() >= MOST_RUNS {
            self.drop_oldest_suspect(&stream.key);
        }
        let import = self
            .import_pays(&stream.key, &endpoint)
            .then_some(endpoint.clone());
        self.out.note(
            "run_suspected",
            &stream.key,
            format!("{endpoint} silent for {} ms", limit.as_millis()),
        );
        if let Some(answer) = self.answers.get_mut(&stream.key) {
            answer.lost_at.get_or_insert(last);
        }
        if self.start_run(&stream.key, import.as_ref()) {
            self.stats.suspected += 1;
            let answer = self.answers.get_mut(&stream.key);
            if let Some(run) = answer.and_then(|a| a.run_mut(stream.attempt)) {
                run.suspected = true;
            }
        } else {
            // Nowhere to go: the silent engine is still the best hope.
            self.out
                .timer(Timer::Suspect(stream.clone()), self.now.after(limit));
        }
    }

    fn drop_oldest_suspect(&mut self, key: &RequestKey) {
        let Some(answer) = self.answers.get_mut(key) else {
            return;
        };
        let Some(place) = answer.runs.iter().position(|r| r.suspected) else {
            return;
        };
        let run = answer.runs.remove(place);
        self.stats.runs_lost += 1;
        self.endpoints.losses.on_loss();
        self.endpoints.on_failure(&run.endpoint, self.now);
        self.cancel_run(&run);
    }

    /// Whether fetching the KV cache from an engine that may be alive is worth its cost.
    fn import_pays(&self, key: &RequestKey, from: &EndpointId) -> bool {
        let (Some(answer), Some(state)) = (self.answers.get(key), self.endpoints.get(from)) else {
            return false;
        };
        let alive = state.report.is_some() && self.now.since(state.reported) < ALIVE_REPORT;
        if !alive {
            return false;
        }
        let bytes = resume_bytes(answer);
        let prefill = state.prefill(bytes).as_secs_f64();
        let per_token = IMPORT_PER_TOKEN.as_secs_f64();
        let import = IMPORT_BASE.as_secs_f64() + (bytes / BYTES_PER_TOKEN) as f64 * per_token;
        let weights = &answer.bundle.policy().weights;
        let by_prefill = ResumeCost {
            latency: prefill,
            extra: prefill,
        };
        let by_import = ResumeCost {
            latency: import,
            extra: 0.0,
        };
        by_import.total(weights) < by_prefill.total(weights)
    }
}

/// Bytes that another engine has to read to go on with an answer.
fn resume_bytes(answer: &Answer) -> usize {
    match &answer.request.kind {
        RequestKind::Generate(generate) => generate.prompt.len() + answer.len() * BYTES_PER_TOKEN,
        RequestKind::Call(_) => 0,
    }
}

fn has_adapter(
    bundle: &crate::bundle::Bundle,
    id: &EndpointId,
    adapter: &crate::schema::AdapterId,
) -> bool {
    bundle.endpoint(id).is_some_and(|spec| match &spec.serves {
        EndpointKind::Engine(engine) => engine.adapters.contains(adapter),
        EndpointKind::Service(_) => false,
    })
}
