//! Notices runs that have been silent for too long, and has others go on in their place.

use super::{
    ALIVE_REPORT, IMPORT_BASE, IMPORT_PER_TOKEN, MOST_RUNS, TEXT_BYTES_PER_TOKEN, resume_bytes,
};
use crate::keyed::node::Node;
use crate::keyed::node::config::BASELINE_TIMEOUT;
use crate::keyed::node::event::{StreamId, Timer};
use crate::keyed::node::suspicion::{ResumeCost, Stake, suspect_after, suspect_first_after};
use crate::keyed::settings::Recovery;
use crate::schema::{EndpointId, RequestKey};
use std::time::Duration;

impl Node {
    /// Asks to be woken when a run has been silent for too long.
    pub(super) fn arm_suspicion(&mut self, stream: &StreamId) {
        let Some((last, limit)) = self.suspicion_limit(stream) else {
            return;
        };
        self.out
            .timer(Timer::Suspect(stream.clone()), last.after(limit));
    }

    /// When a run last gave a sign, and how long it may be silent.
    pub(super) fn suspicion_limit(
        &self,
        stream: &StreamId,
    ) -> Option<(crate::schema::Micros, Duration)> {
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
    pub(in crate::keyed::node) fn check_silence(&mut self, stream: &StreamId) {
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
        self.endpoints.on_suspicion(&endpoint, self.now);
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

    pub(super) fn drop_oldest_suspect(&mut self, key: &RequestKey) {
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
    pub(super) fn import_pays(&self, key: &RequestKey, from: &EndpointId) -> bool {
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
        let import = IMPORT_BASE.as_secs_f64() + (bytes / TEXT_BYTES_PER_TOKEN) as f64 * per_token;
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
