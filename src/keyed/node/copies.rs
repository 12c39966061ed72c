//! Copies of answers: tokens go to another box before they are released, and that box goes on if
//! the producer is lost.

use crate::keyed::node::Node;
use crate::keyed::node::answers::{Answer, CopyState, Role, next_generation};
use crate::schema::{BoxId, RequestKey, TokenAck, TokenCopy, TokenOffset, TokenRefused};

impl Node {
    /// Sends the copy holder what it doesn't have yet.
    pub(super) fn push_copy(&mut self, key: &RequestKey) {
        self.push_copy_as(key, false);
    }

    /// Sends the copy holder what it doesn't have yet; on a handover it goes on in this box's
    /// place.
    pub(super) fn push_copy_as(&mut self, key: &RequestKey, handover: bool) {
        self.ensure_copy(key);
        let Some(answer) = self.answers.get_mut(key) else {
            return;
        };
        let Some(mut copy) = answer.copy.take() else {
            return self.release(key);
        };
        let finish = answer.finish.filter(|_| !copy.finish_sent || handover);
        let message = TokenCopy {
            request: (!copy.request_sent).then(|| answer.request.clone()),
            key: key.clone(),
            generation: answer.generation,
            offset: TokenOffset(copy.sent as u32),
            tokens: answer.tokens()[copy.sent..].to_vec(),
            mark: answer.mark.clone(),
            finish,
            handover,
        };
        copy.request_sent = true;
        copy.sent = answer.len();
        copy.finish_sent |= finish.is_some();
        self.out.send(&copy.to, message);
        answer.copy = Some(copy);
    }

    /// Takes in a copy.
    pub(super) fn on_token_copy(&mut self, from: &BoxId, copy: TokenCopy) {
        let key = copy.key.clone();
        let handover = copy.handover;
        let held = match self.apply_copy(from, copy) {
            Ok(ack) => {
                self.reply_to(from, ack);
                true
            }
            Err(refused) => {
                self.stats.copies_refused += 1;
                self.reply_to(from, refused);
                false
            }
        };
        if handover && held {
            self.take_over(&key);
        }
    }

    fn reply_to(&mut self, to: &BoxId, message: impl Into<crate::schema::PeerMessage>) {
        if let Some(member) = self.member(to) {
            self.out.send(&member, message);
        }
    }

    /// Takes in tokens of another box's answer, if they follow what is held.
    fn apply_copy(&mut self, from: &BoxId, copy: TokenCopy) -> Result<TokenAck, TokenRefused> {
        self.begin_copy(from, &copy)?;
        let offset = copy.offset.0 as usize;
        let Some(answer) = self.answers.get(&copy.key) else {
            return Err(refused(&copy, 0));
        };
        if copy.generation < answer.generation {
            return Err(TokenRefused {
                generation: answer.generation,
                ..refused(&copy, 0)
            });
        }
        let newer = copy.generation > answer.generation;
        if (newer && offset != 0) || offset > answer.len() {
            return Err(refused(&copy, if newer { 0 } else { answer.len() }));
        }
        if newer && answer.role == Role::Producer {
            self.step_down(&copy.key, from);
        }
        self.merge_copy(from, copy, newer)
    }

    /// Begins the copy of an answer that is not known yet.
    fn begin_copy(&mut self, from: &BoxId, copy: &TokenCopy) -> Result<(), TokenRefused> {
        if self.answers.contains(&copy.key) {
            return Ok(());
        }
        let request = copy.request.clone().filter(|_| copy.offset.0 == 0);
        let (Some(request), Some(bundle)) = (request, self.bundles.current()) else {
            return Err(refused(copy, 0));
        };
        let role = Role::CopyOf(from.clone());
        let answer = Answer::new(request, bundle, role, copy.generation, self.now);
        self.answers.insert(answer);
        Ok(())
    }

    /// Adds the tokens that are new to an answer.
    fn merge_copy(
        &mut self,
        from: &BoxId,
        copy: TokenCopy,
        newer: bool,
    ) -> Result<TokenAck, TokenRefused> {
        if newer {
            self.answers.clear(&copy.key);
        }
        let known = self.answers.get(&copy.key).map_or(0, Answer::len);
        let skipped = known.checked_sub(copy.offset.0 as usize);
        let fresh = skipped.and_then(|skipped| copy.tokens.get(skipped..));
        let Some(answer) = self.answers.extend(&copy.key, fresh.unwrap_or_default()) else {
            return Err(refused(&copy, 0));
        };
        if newer {
            answer.generation = copy.generation;
        }
        answer.role = Role::CopyOf(from.clone());
        answer.mark = copy.mark;
        answer.finish = copy.finish.or(answer.finish);
        answer.touched = self.now;
        let ack = TokenAck {
            key: copy.key,
            generation: answer.generation,
            held: TokenOffset(answer.len() as u32),
            finished: answer.finish.is_some(),
        };
        Ok(ack)
    }

    /// The copy holder has what it was sent.
    pub(super) fn on_token_ack(&mut self, from: &BoxId, ack: &TokenAck) {
        let Some(answer) = self.answers.get_mut(&ack.key) else {
            return;
        };
        if answer.generation != ack.generation || answer.role != Role::Producer {
            return;
        }
        let length = answer.len();
        let Some(copy) = answer.copy.as_mut().filter(|c| &c.to.id == from) else {
            return;
        };
        copy.held = copy.held.max(ack.held.0 as usize).min(length);
        copy.finish_held |= ack.finished;
        self.release(&ack.key);
        self.after_handover(from, &ack.key);
    }

    /// The copy holder lacks the start, or has moved on to a newer generation.
    pub(super) fn on_token_refused(&mut self, from: &BoxId, refused: &TokenRefused) {
        let Some(answer) = self.answers.get_mut(&refused.key) else {
            return;
        };
        if answer.role != Role::Producer {
            return;
        }
        if refused.generation > answer.generation {
            return self.step_down(&refused.key, from);
        }
        let Some(copy) = answer.copy.as_mut().filter(|c| &c.to.id == from) else {
            return;
        };
        if refused.generation == answer.generation {
            copy.sent = (refused.held.0 as usize).min(copy.sent);
            copy.request_sent = copy.sent > 0;
            copy.finish_sent = false;
            self.push_copy_again(&refused.key);
        }
    }

    /// Sends the copy again, on a handover as a handover.
    fn push_copy_again(&mut self, key: &RequestKey) {
        let handover = self.stopping.is_begun();
        self.push_copy_as(key, handover);
    }

    /// Goes on with an answer of which this box holds the copy.
    pub(super) fn take_over(&mut self, key: &RequestKey) {
        let me = self.cfg.me.clone();
        let Some(answer) = self.answers.get_mut(key) else {
            return;
        };
        let Role::CopyOf(owner) = answer.role.clone() else {
            return;
        };
        answer.role = Role::Producer;
        answer.generation = next_generation(answer.generation, &me);
        answer.copy = None;
        answer.runs.clear();
        answer.touched = self.now;
        self.stats.takeovers += 1;
        let length = answer.len();
        self.out
            .note("takeover", key, format!("from {owner} at token {length}"));
        if answer.finish.is_some() {
            return self.push_copy(key);
        }
        answer.lost_at = Some(self.now);
        match answer.mark.clone() {
            Some(mark) => self.attach_run(key, &mark),
            None => self.resume(key),
        }
    }

    /// Goes on with all answers that a lost box produced.
    pub(super) fn take_over_from(&mut self, owner: &BoxId) {
        let role = Role::CopyOf(owner.clone());
        let keys: Vec<RequestKey> = self
            .answers
            .values()
            .filter(|a| a.role == role)
            .map(|a| a.key().clone())
            .collect();
        for key in keys {
            self.take_over(&key);
        }
    }

    /// Finds another holder for all copies that a lost box held.
    pub(super) fn move_copies_from(&mut self, holder: &BoxId) {
        let keys: Vec<RequestKey> = self
            .answers
            .values()
            .filter(|a| {
                a.copy
                    .as_ref()
                    .is_some_and(|c: &CopyState| &c.to.id == holder)
            })
            .map(|a| a.key().clone())
            .collect();
        for key in keys {
            if let Some(answer) = self.answers.get_mut(&key) {
                answer.copy = None;
            }
            self.push_copy(&key);
        }
    }
}

/// Refuses a copy, with how many tokens are held.
fn refused(copy: &TokenCopy, held: usize) -> TokenRefused {
    TokenRefused {
        key: copy.key.clone(),
        generation: copy.generation,
        held: TokenOffset(held as u32),
    }
}
