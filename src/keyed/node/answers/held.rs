//! The answers that a node holds, and how many tokens they have together.
//!
//! Owns: the answers. Tokens are added and forgotten here alone, so that the sum, by which a node
//! refuses new requests, is that of the answers.

use std::collections::BTreeMap;

use super::Answer;
use crate::schema::{RequestKey, Token};

/// The answers of a node.
#[derive(Debug, Default)]
pub struct Answers {
    by_key: BTreeMap<RequestKey, Answer>,
    tokens: usize,
}

impl Answers {
    /// How many there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Whether there is none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// Tokens of all of them.
    #[must_use]
    pub fn tokens(&self) -> usize {
        self.tokens
    }

    /// Whether there is one for a request.
    #[must_use]
    pub fn contains(&self, key: &RequestKey) -> bool {
        self.by_key.contains_key(key)
    }

    /// The answer to a request.
    #[must_use]
    pub fn get(&self, key: &RequestKey) -> Option<&Answer> {
        self.by_key.get(key)
    }

    /// The answer to a request, to change all but its tokens.
    pub fn get_mut(&mut self, key: &RequestKey) -> Option<&mut Answer> {
        self.by_key.get_mut(key)
    }

    /// Iterates over all, by their requests' keys.
    pub fn values(&self) -> impl Iterator<Item = &Answer> {
        self.by_key.values()
    }

    /// Keeps an answer, in place of an earlier one to the same request.
    pub fn insert(&mut self, answer: Answer) {
        let key = answer.key().clone();
        self.remove(&key);
        self.tokens += answer.len();
        self.by_key.insert(key, answer);
    }

    /// Forgets an answer.
    pub fn remove(&mut self, key: &RequestKey) -> Option<Answer> {
        let answer = self.by_key.remove(key)?;
        self.tokens -= answer.len();
        Some(answer)
    }

    /// Adds tokens to the end of an answer.
    pub fn extend(&mut self, key: &RequestKey, tokens: &[Token]) -> Option<&mut Answer> {
        let answer = self.by_key.get_mut(key)?;
        answer.extend(tokens);
        self.tokens += tokens.len();
        Some(answer)
    }

    /// Forgets the tokens of an answer, for a newer generation.
    pub fn clear(&mut self, key: &RequestKey) {
        if let Some(answer) = self.by_key.get_mut(key) {
            self.tokens -= answer.len();
            answer.clear();
        }
    }
}
