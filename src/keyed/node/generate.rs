//! The home of a generation: takes the request, attaches callers, releases tokens.

use crate::keyed::node::Node;
use crate::keyed::node::admission::{Pool, Waiting};
use crate::keyed::node::answers::{Answer, CopyState, Role, Subscriber, first_generation};
use crate::keyed::node::config::{FINISHED_KEPT, MAX_HOPS, ORPHAN_KEPT, RETRY_AFTER};
use crate::schema::{
    BoxId, DeferredDone, DeferredResult, DeferredText, Detach, GenerateRequest, Moved, Output,
    Priority, Reason, Refusal, Refused, Request, RequestKey, RequestKind, Submit, TokenOffset,
};

/// Prompt bytes that are reckoned as one token of work.
const BYTES_PER_WORK: usize = 16;

impl Node {
    /// Takes a request that was handed to this box.
    pub(super) fn on_submit(&mut self, submit: Submit) {
        match &submit.request.kind {
            RequestKind::Call(_) => self.submit_call(submit),
            RequestKind::Generate(_) => self.submit_generation(submit),
        }
    }

    fn submit_generation(&mut self, submit: Submit) {
        let key = submit.request.key.clone();
        let Some(answer) = self.answers.get(&key) else {
            return self.submit_unknown(submit);
        };
        if answer.request.body_hash != submit.request.body_hash {
            return self.refuse_submit(&submit, key_reused());
        }
        match &answer.role {
            Role::Producer => self.attach(submit),
            Role::CopyOf(owner) => {
                let owner = owner.clone();
                let passes = !submit.repeated && submit.hops < MAX_HOPS;
                if passes && self.membership.is_live(&owner, self.now) {
                    self.pass_on(submit, &owner);
                } else {
                    self.take_over(&key);
                    self.attach(submit);
                }
            }
        }
    }

    /// Takes a request of which this box holds nothing. One that may have been begun elsewhere is
    /// looked for along the ranking before it is started or given up.
    fn submit_unknown(&mut self, submit: Submit) {
        let begun = submit.cursor.is_some() || submit.repeated;
        if begun && submit.hops < MAX_HOPS {
            let ranked = self
                .membership
                .ranked(&self.cfg.domain, &submit.request.key, self.now);
            let place = ranked
                .iter()
                .position(|m| m.id == self.cfg.me.id)
                .unwrap_or(ranked.len());
            if let Some(next) = ranked.get(place + 1).map(|m| m.id.clone()) {
                return self.pass_on(submit, &next);
            }
        }
        if self.stopping.is_begun() && submit.hops < MAX_HOPS {
            let ranked = self
                .membership
                .ranked(&self.cfg.domain, &submit.request.key, self.now);
            let other = ranked.into_iter().find(|m| m.id != self.cfg.me.id);
            if let Some(other) = other {
                return self.pass_on(submit, &other.id);
            }
        }
        if submit.cursor.as_ref().is_some_and(|c| c.offset.0 > 0) {
            return self.refuse_submit(&submit, start_over());
        }
        match self.start_answer(submit.request.clone()) {
            Ok(()) => self.attach(submit),
            Err(refusal) => self.refuse_submit(&submit, refusal),
        }
    }

    fn pass_on(&mut self, mut submit: Submit, to: &BoxId) {
        submit.hops += 1;
        if let Some(member) = self.member(to) {
            self.out.send(&member, submit);
        }
    }

    /// Refuses what a caller's box submitted.
    pub(super) fn refuse_submit(&mut self, submit: &Submit, refusal: Refusal) {
        let refused = Refused {
            subscription: submit.subscription,
            refusal,
        };
        self.out.send(&submit.receiver, refused);
    }

    /// Starts an answer, which then waits for an engine.
    pub(super) fn start_answer(&mut self, request: Request) -> Result<(), Refusal> {
        let RequestKind::Generate(generate) = &request.kind else {
            return Err(Refusal::unknown(Reason::UnknownRequest, "not a generation"));
        };
        let bundle = self.bundles.current().ok_or_else(no_bundle)?;
        check_generate(&bundle, &request, generate)?;
        self.make_room()?;
        let pool = Pool::Model(generate.model.clone());
        let cost = f64::from(generate.max_tokens) + (generate.prompt.len() / BYTES_PER_WORK) as f64;
        let generation = first_generation(&self.cfg.me);
        let answer = Answer::new(request, bundle, Role::Producer, generation, self.now);
        let waiting = waiting_for(&answer, cost);
        let key = answer.key().clone();
        self.admit(&pool, waiting)?;
        self.stats.generations += 1;
        self.out.note("generation_started", &key, generation);
        let mut answer = answer;
        answer.waiting = true;
        self.answers.insert(answer);
        self.ensure_copy(&key);
        self.dispatch(&pool);
        Ok(())
    }

    /// Makes room for one more request, or says that there is none.
    pub(super) fn make_room(&mut self) -> Result<(), Refusal> {
        let held = self.answers.len() + self.calls.active();
        let crowded =
            held >= self.cfg.max_requests || self.answers.tokens() >= self.cfg.max_tokens_held;
        if !crowded {
            return Ok(());
        }
        let oldest = self
            .answers
            .values()
            .filter(|a| a.finish_releasable() && a.subscribers.is_empty() && a.scribe.is_none())
            .min_by_key(|a| a.touched)
            .map(|a| a.key().clone());
        if let Some(key) = oldest {
            self.drop_answer(&key);
            return Ok(());
        }
        Err(Refusal::not_run(
            Reason::Overloaded,
            RETRY_AFTER,
            "this box holds as many requests as it may; try again later or at another box",
        ))
    }

    /// Lets a caller's box receive an answer from its cursor on.
    fn attach(&mut self, submit: Submit) {
        let key = submit.request.key.clone();
        let Some(answer) = self.answers.get_mut(&key) else {
            return;
        };
        if submit.cursor.is_some_and(|c| !answer.fits(&c)) {
            return self.refuse_submit(&submit, start_over());
        }
        let next = submit.cursor.map_or(0, |c| c.offset.0 as usize);
        let same =
            |s: &Subscriber| s.to.id == submit.receiver.id && s.subscription == submit.subscription;
        answer.subscribers.retain(|s| !same(s));
        answer.subscribers.push(Subscriber {
            to: submit.receiver,
            subscription: submit.subscription,
            next,
            done: false,
        });
        answer.touched = self.now;
        self.release(&key);
    }

    /// Sends callers' boxes what may be released.
    pub(super) fn release(&mut self, key: &RequestKey) {
        let Some(answer) = self.answers.get_mut(key) else {
            return;
        };
        let end = answer.releasable();
        let finish = answer
            .finish
            .filter(|_| answer.finish_releasable() && end == answer.len());
        let mut subscribers = std::mem::take(&mut answer.subscribers);
        for subscriber in &mut subscribers {
            let next = subscriber.next;
            if next >= end && finish.is_none() {
                continue;
            }
            let Some(digest) = answer.digest(next) else {
                continue;
            };
            let output = Output {
                subscription: subscriber.subscription,
                generation: answer.generation,
                offset: TokenOffset(next as u32),
                digest,
                tokens: answer.tokens()[next.min(end)..end].to_vec(),
                finish,
            };
            subscriber.next = end.max(next);
            subscriber.done = finish.is_some();
            self.out.send(&subscriber.to, output);
        }
        subscribers.retain(|s| !s.done);
        answer.subscribers = subscribers;
        answer.touched = self.now;
        if finish.is_some() {
            self.report_deferred(key);
        }
    }

    /// Tells the scribe that waits for it the result of deferrable work.
    fn report_deferred(&mut self, key: &RequestKey) {
        let Some(answer) = self.answers.get_mut(key) else {
            return;
        };
        let Some(scribe) = answer.scribe.take() else {
            return;
        };
        let text = DeferredText {
            tokens: answer.len() as u32,
            digest: answer
                .digest(answer.len())
                .unwrap_or(crate::keyed::digest::start(key)),
            text: answer.text(),
        };
        let done = DeferredDone {
            key: key.clone(),
            result: DeferredResult::Text(text),
        };
        if let Some(member) = self.member(&scribe) {
            self.out.send(&member, done);
        }
    }

    /// Gives a generation up: every caller gets its final answer at once.
    pub(super) fn give_up_answer(&mut self, key: &RequestKey, refusal: Refusal) {
        let Some(answer) = self.answers.get(key) else {
            return;
        };
        let subscribers = answer.subscribers.clone();
        let scribe = answer.scribe.clone();
        self.out.note("generation_given_up", key, &refusal.detail);
        for subscriber in subscribers {
            let refused = Refused {
                subscription: subscriber.subscription,
                refusal: refusal.clone(),
            };
            self.out.send(&subscriber.to, refused);
        }
        if let Some(member) = scribe.and_then(|s| self.member(&s)) {
            let result = DeferredResult::Failed(refusal);
            self.out.send(
                &member,
                DeferredDone {
                    key: key.clone(),
                    result,
                },
            );
        }
        self.drop_answer(key);
    }

    /// Forgets an answer; runs that are still going are cancelled.
    pub(super) fn drop_answer(&mut self, key: &RequestKey) {
        self.cancel_runs(key);
        let Some(answer) = self.answers.remove(key) else {
            return;
        };
        if answer.waiting {
            self.admission.remove(&pool_of(&answer), key);
        }
    }

    /// Lets go of an answer that another box now produces.
    pub(super) fn step_down(&mut self, key: &RequestKey, to: &BoxId) {
        let Some(answer) = self.answers.get_mut(key) else {
            return;
        };
        answer.role = Role::CopyOf(to.clone());
        answer.copy = None;
        let subscribers = std::mem::take(&mut answer.subscribers);
        let runs = std::mem::take(&mut answer.runs);
        let waiting = std::mem::replace(&mut answer.waiting, false);
        let pool = pool_of(answer);
        if waiting {
            self.admission.remove(&pool, key);
        }
        for run in runs {
            // Not cancelled: the new producer may have attached to the same stream, and an engine
            // ends a stream that no one reads.
            self.endpoints.on_end(&run.endpoint);
        }
        self.out.note("generation_moved", key, to);
        for subscriber in subscribers {
            let moved = Moved {
                subscription: subscriber.subscription,
                to: Some(to.clone()),
            };
            self.out.send(&subscriber.to, moved);
        }
    }

    /// A caller has gone.
    pub(super) fn on_detach(&mut self, from: &BoxId, detach: &Detach) {
        if let Some(answer) = self.answers.get_mut(&detach.key) {
            answer
                .subscribers
                .retain(|s| &s.to.id != from || s.subscription != detach.subscription);
            answer.touched = self.now;
        }
        self.detach_call(from, detach);
    }

    /// Drops answers that no one has asked for in a while.
    pub(super) fn sweep_answers(&mut self) {
        let now = self.now;
        let stale: Vec<RequestKey> = self
            .answers
            .values()
            .filter(|a| a.subscribers.is_empty() && a.scribe.is_none())
            .filter(|a| {
                let kept = if a.finish.is_some() {
                    FINISHED_KEPT
                } else {
                    ORPHAN_KEPT
                };
                now.since(a.touched) > kept
            })
            .map(|a| a.key().clone())
            .collect();
        for key in stale {
            self.drop_answer(&key);
        }
    }

    /// Chooses the box that holds the copy, if there is none yet and there is one to choose.
    pub(super) fn ensure_copy(&mut self, key: &RequestKey) {
        let ranked = self.membership.ranked(&self.cfg.domain, key, self.now);
        let other = ranked.into_iter().find(|m| m.id != self.cfg.me.id);
        let Some(answer) = self.answers.get_mut(key) else {
            return;
        };
        if answer.role == Role::Producer && answer.copy.is_none() {
            answer.copy = other.map(CopyState::new);
        }
    }
}

/// The queue that an answer's runs wait in.
pub(super) fn pool_of(answer: &Answer) -> Pool {
    match &answer.request.kind {
        RequestKind::Generate(generate) => Pool::Model(generate.model.clone()),
        RequestKind::Call(call) => Pool::Service(call.service.clone()),
    }
}

/// An answer's place in its queue.
pub(super) fn waiting_for(answer: &Answer, cost: f64) -> Waiting {
    let organisation = &answer.request.organisation;
    Waiting {
        key: answer.key().clone(),
        organisation: organisation.clone(),
        weight: answer
            .bundle
            .organisation(organisation)
            .map_or(1, |o| o.weight),
        priority: answer.request.priority,
        cost,
        deadline: answer
            .deadline
            .filter(|_| answer.request.priority != Priority::Deferrable),
    }
}

fn check_generate(
    bundle: &crate::keyed::bundle::Bundle,
    request: &Request,
    generate: &GenerateRequest,
) -> Result<(), Refusal> {
    let refuse = |reason, detail: &str| Err(not_served(reason, detail));
    let Some(organisation) = bundle.organisation(&request.organisation) else {
        return refuse(
            Reason::UnknownOrganisation,
            "the bundle in force has no such organisation",
        );
    };
    if bundle.model(&generate.model).is_none() || !organisation.models.contains(&generate.model) {
        return refuse(
            Reason::UnknownModel,
            "the organisation is not served by this model",
        );
    }
    Ok(())
}

/// Refuses what the bundle in force doesn't serve.
pub(super) fn not_served(reason: Reason, detail: &str) -> Refusal {
    Refusal {
        retry_after: None,
        ..Refusal::not_run(reason, RETRY_AFTER, detail)
    }
}

pub(super) fn no_bundle() -> Refusal {
    Refusal::not_run(
        Reason::NoEndpoint,
        RETRY_AFTER,
        "no bundle is in force yet; roll one with `magpiemoor bundle roll`",
    )
}

pub(super) fn key_reused() -> Refusal {
    not_served(
        Reason::KeyReused,
        "the key was used for another request; choose a new one",
    )
}

fn start_over() -> Refusal {
    Refusal::unknown(
        Reason::StartOver,
        "the answer that the cursor belongs to is lost; send the request again without a cursor, under a new key",
    )
}
