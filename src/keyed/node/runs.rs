//! Runs of generations on engines: starting, following, suspecting, and resuming elsewhere.

mod failures;
mod silence;

use std::time::Duration;

use crate::keyed::node::Node;
use crate::keyed::node::action::{Action, EngineStart};
use crate::keyed::node::answers::{Answer, Role, Run};
use crate::keyed::node::event::{EngineEvent, EngineFailure, StreamId};
use crate::keyed::node::generate::pool_of;
use crate::keyed::node::prefixes;
use crate::keyed::node::routing::{self, Need};
use crate::keyed::settings::Recovery;
use crate::schema::{
    Attempt, AttemptMark, EndpointId, EndpointKind, Finish, GenerateRequest, RequestKey,
    RequestKind, Token,
};

/// The most runs of one generation at the same time.
const MOST_RUNS: usize = 2;
/// Bytes of text that an engine reads for one token of the answer.
const TEXT_BYTES_PER_TOKEN: usize = 4;
/// Time to fetch a KV cache, whatever its size.
const IMPORT_BASE: Duration = Duration::from_millis(30);
/// Time to fetch the KV cache of one token.
const IMPORT_PER_TOKEN: Duration = Duration::from_micros(40);
/// How old a load report may be that shows an engine to be alive.
const ALIVE_REPORT: Duration = Duration::from_millis(800);
/// How many engines on which runs failed lately are avoided.
const ENGINES_AVOIDED: usize = 3;

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
        let Some(stream) = self.add_run(key, &endpoint, generate.prompt.len()) else {
            return false;
        };
        self.count_run(&stream, &endpoint, &generate);
        let Some(start) = self.engine_start(&stream, endpoint, generate, import_from) else {
            return false;
        };
        self.out.note(
            "run_started",
            key,
            format!("{} from token {}", start.endpoint, start.tokens.len()),
        );
        self.out.push(Action::StartEngine(Box::new(start)));
        self.arm_suspicion(&stream);
        self.push_copy(key);
        true
    }

    /// Notes another run of an answer; returns its stream.
    fn add_run(
        &mut self,
        key: &RequestKey,
        endpoint: &EndpointId,
        prompt_bytes: usize,
    ) -> Option<StreamId> {
        let now = self.now;
        let answer = self.answers.get_mut(key)?;
        let attempt = Attempt(answer.next_attempt);
        answer.next_attempt += 1;
        let stream = StreamId {
            key: key.clone(),
            generation: answer.generation,
            attempt,
        };
        answer.mark = Some(AttemptMark {
            attempt,
            endpoint: endpoint.clone(),
            stream: stream.to_string(),
        });
        let bytes = prompt_bytes + answer.len() * TEXT_BYTES_PER_TOKEN;
        answer.runs.push(Run {
            attempt,
            endpoint: endpoint.clone(),
            stream: stream.to_string(),
            started: now,
            last: now,
            has_token: false,
            suspected: false,
            bytes,
        });
        Some(stream)
    }

    /// Counts a run at its engine, and an answer's first run for the budget of retries.
    fn count_run(&mut self, stream: &StreamId, endpoint: &EndpointId, generate: &GenerateRequest) {
        if let Some(answer) = self.answers.get(&stream.key)
            && stream.attempt == Attempt(1)
        {
            let percent = answer.bundle.policy().retry_percent;
            self.budgets
                .on_first_try(&answer.request.organisation, endpoint, percent);
        }
        let blocks = prefixes::blocks(&generate.prompt);
        self.endpoints.prefixes.stored(endpoint, &blocks);
        self.endpoints.on_start(endpoint, self.now);
        self.stats.runs += 1;
    }

    /// What an engine is told of a run that begins.
    fn engine_start(
        &self,
        stream: &StreamId,
        endpoint: EndpointId,
        generate: GenerateRequest,
        import_from: Option<&EndpointId>,
    ) -> Option<EngineStart> {
        let answer = self.answers.get(&stream.key)?;
        let tokens = match self.cfg.recovery {
            Recovery::Restart => Vec::new(),
            Recovery::Resume | Recovery::Timeout | Recovery::Hedge => answer.tokens().to_vec(),
        };
        let address_of = |id: &EndpointId| self.endpoints.get(id).map(|e| e.address.clone());
        Some(EngineStart {
            address: address_of(&endpoint).unwrap_or_default(),
            endpoint,
            stream: stream.clone(),
            attach: None,
            model: generate.model,
            adapter: generate.adapter,
            prompt: generate.prompt,
            tokens,
            max_tokens: generate.max_tokens,
            priority: answer.request.priority,
            import_from: import_from.and_then(address_of),
        })
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
            bytes: generate.prompt.len() + answer.len() * TEXT_BYTES_PER_TOKEN,
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
        let Some(answer) = self.answers.extend(&stream.key, &fresh) else {
            return;
        };
        answer.touched = self.now;
        answer.first_token.get_or_insert(self.now);
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
}

/// Bytes that another engine has to read to go on with an answer.
fn resume_bytes(answer: &Answer) -> usize {
    match &answer.request.kind {
        RequestKind::Generate(generate) => {
            generate.prompt.len() + answer.len() * TEXT_BYTES_PER_TOKEN
        }
        RequestKind::Call(_) => 0,
    }
}

fn has_adapter(
    bundle: &crate::keyed::bundle::Bundle,
    id: &EndpointId,
    adapter: &crate::schema::AdapterId,
) -> bool {
    bundle.endpoint(id).is_some_and(|spec| match &spec.serves {
        EndpointKind::Engine(engine) => engine.adapters.contains(adapter),
        EndpointKind::Service(_) => false,
    })
}
