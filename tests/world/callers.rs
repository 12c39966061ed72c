//! Callers on made-up time: they send requests, check every token that comes, and come back.

use std::collections::BTreeMap;

use magpiemoor::keyed::digest;
use magpiemoor::keyed::node::action::Reply;
use magpiemoor::keyed::node::event::CallerEvent;
use magpiemoor::schema::{
    BoxId, CallRequest, Cursor, DeferredStatus, Finish, GenerateRequest, Kept, Micros, Millis,
    Priority, Ran, Refusal, Request, RequestKey, RequestKind, ServiceAnswer, Token, TokenOffset,
};

use super::World;
use super::endpoints::token;

/// What a caller has of its request.
#[derive(Clone, Debug)]
pub struct Caller {
    pub request: Request,
    pub at: BoxId,
    pub connection: u64,
    /// Whether it waits for a reply now.
    pub waits: bool,
    pub tokens: Vec<Token>,
    pub cursor: Option<Cursor>,
    pub finish: Option<Finish>,
    pub answer: Option<ServiceAnswer>,
    pub refusal: Option<Refusal>,
    pub kept: Option<Kept>,
    pub status: Option<DeferredStatus>,
    /// How often its connection was cut off by the death of its box.
    pub cut: u32,
    pub sent: u32,
    /// When tokens came.
    pub times: Vec<Micros>,
}

/// All callers by key.
#[derive(Debug, Default)]
pub struct Callers {
    pub table: BTreeMap<String, Caller>,
    connections: BTreeMap<u64, String>,
    next: u64,
}

impl Callers {
    pub(super) fn box_died(&mut self, id: &BoxId) {
        for caller in self.table.values_mut().filter(|c| &c.at == id && c.waits) {
            caller.waits = false;
            caller.cut += 1;
        }
    }

    pub fn get(&self, key: &str) -> &Caller {
        &self.table[key]
    }
}

pub fn generation(key: &str, max_tokens: u32) -> Request {
    request(
        key,
        RequestKind::Generate(GenerateRequest {
            model: "drafter".parse().unwrap(),
            adapter: None,
            prompt: format!("the prompt of {key}"),
            max_tokens,
        }),
    )
}

pub fn call(key: &str, name: &str, repeatable: bool) -> Request {
    request(
        key,
        RequestKind::Call(CallRequest {
            service: "till".parse().unwrap(),
            call: name.parse().unwrap(),
            body: "{}".to_owned(),
            repeatable,
        }),
    )
}

pub fn redeem(key: &str) -> Request {
    call(key, "redeem", false)
}

fn request(key: &str, kind: RequestKind) -> Request {
    let key: RequestKey = key.parse().unwrap();
    Request {
        body_hash: digest::body(key.as_bytes()),
        key,
        first: false,
        organisation: "shop".parse().unwrap(),
        priority: Priority::Interactive,
        deadline: None,
        kind,
    }
}

pub fn with_deadline(mut request: Request, millis: u64) -> Request {
    request.deadline = Some(Millis(millis));
    request
}

impl World {
    /// A caller sends a request at a box, or comes back with what it has.
    pub fn send_request(&mut self, at: &str, request: Request) {
        let key = request.key.to_string();
        let at: BoxId = at.parse().unwrap();
        self.callers.next += 1;
        let connection = self.callers.next;
        self.callers.connections.insert(connection, key.clone());
        for service in self.services.values_mut() {
            service.not_run.remove(&key);
        }
        let caller = self.callers.table.entry(key).or_insert_with(|| Caller {
            request: request.clone(),
            at: at.clone(),
            connection,
            waits: true,
            tokens: Vec::new(),
            cursor: None,
            finish: None,
            answer: None,
            refusal: None,
            kept: None,
            status: None,
            cut: 0,
            sent: 0,
            times: Vec::new(),
        });
        caller.at = at.clone();
        caller.connection = connection;
        caller.waits = self.boxes.get(&at).is_some_and(|s| s.node.is_some());
        caller.refusal = None;
        caller.sent += 1;
        let cursor = caller.cursor;
        let event = if request.priority == Priority::Deferrable {
            CallerEvent::Defer(request)
        } else {
            CallerEvent::Submit { request, cursor }
        };
        self.caller_event(&at, connection, event);
    }

    /// A caller comes back for its request at a box.
    pub fn come_back(&mut self, at: &str, key: &str) {
        let request = self.callers.table[key].request.clone();
        self.send_request(at, request);
    }

    /// A caller asks for the result of deferrable work.
    pub fn look_up(&mut self, at: &str, key: &str) {
        let at: BoxId = at.parse().unwrap();
        self.callers.next += 1;
        let connection = self.callers.next;
        self.callers.connections.insert(connection, key.to_owned());
        let caller = self.callers.table.get_mut(key).expect("the caller exists");
        caller.status = None;
        caller.connection = connection;
        caller.at = at.clone();
        let event = CallerEvent::Lookup(key.parse().unwrap());
        self.caller_event(&at, connection, event);
    }

    /// A caller gives up its connection.
    pub fn caller_leaves(&mut self, key: &str) {
        let caller = self.callers.table.get_mut(key).expect("the caller exists");
        caller.waits = false;
        let (at, connection) = (caller.at.clone(), caller.connection);
        // Its sending stays open: it may yet be carried out.
        caller.connection = 0;
        self.caller_event(&at, connection, CallerEvent::Gone);
    }

    pub(super) fn on_reply(&mut self, id: &BoxId, connection: u64, reply: Reply) {
        let Some(key) = self.callers.connections.get(&connection).cloned() else {
            return;
        };
        let now = self.now;
        let engines: Vec<String> = self.engines.keys().cloned().collect();
        let Some(caller) = self.callers.table.get_mut(&key) else {
            return;
        };
        if caller.connection != connection {
            return;
        }
        match reply {
            Reply::Tokens {
                generation,
                end,
                digest,
                tokens,
            } => {
                caller.tokens.extend(tokens);
                caller.times.push(now);
                let whole = digest::extend_all(digest::start(&caller.request.key), &caller.tokens);
                if whole != digest || end.0 as usize != caller.tokens.len() {
                    self.violations.push(format!(
                        "{key}: tokens of two answers, or lost ones, at {id}"
                    ));
                }
                caller.cursor = Some(Cursor {
                    generation,
                    offset: TokenOffset(end.0),
                    digest,
                });
                let strange = caller
                    .tokens
                    .iter()
                    .enumerate()
                    .find(|(place, t)| !engines.iter().any(|e| &&token(e, &key, *place) == t));
                if let Some((place, _)) = strange {
                    self.violations
                        .push(format!("{key}: the token at {place} belongs elsewhere"));
                }
            }
            Reply::Finished(finish) => {
                caller.finish = Some(finish);
                caller.waits = false;
                if let RequestKind::Generate(g) = &caller.request.kind
                    && caller.tokens.len() != g.max_tokens as usize
                {
                    let count = caller.tokens.len();
                    self.violations
                        .push(format!("{key}: whole with {count} tokens"));
                }
            }
            Reply::Refused(refusal) => {
                caller.waits = false;
                let ran = refusal.ran;
                caller.refusal = Some(refusal);
                let once = caller.request.runs_once();
                self.callers.connections.remove(&connection);
                if ran == Ran::No && once {
                    self.check_not_run(&key);
                }
            }
            Reply::Answered(answer) => {
                caller.answer = Some(answer);
                caller.waits = false;
            }
            Reply::Accepted(kept) => {
                caller.kept = Some(kept);
                caller.waits = false;
            }
            Reply::Status(status) => caller.status = Some(status),
        }
    }

    fn check_not_run(&mut self, key: &str) {
        if self.runs_of(key) > 0 {
            self.violations
                .push(format!("{key}: told \"not run\", but it ran"));
        }
        // An earlier sending of the same key that is still on its way may run later.
        if self.callers.connections.values().any(|k| k == key) {
            return;
        }
        for service in self.services.values_mut() {
            service.not_run.insert(key.to_owned());
        }
    }
}
