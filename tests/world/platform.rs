//! The platform on made-up time: objects with versions, outages, lost answers and stale reads.

use std::collections::BTreeMap;
use std::time::Duration;

use magpiemoor::keyed::node::action::{Expect, PlatformOp};
use magpiemoor::keyed::node::event::{Event, Object, PlatformAnswer};
use magpiemoor::schema::{BoxId, FleetEntry, FleetList, FleetState, Incarnation, Micros};

use super::World;

/// The objects and the list, and what goes wrong.
#[derive(Debug, Default)]
pub struct FakePlatform {
    pub objects: BTreeMap<String, (u64, String)>,
    pub before: BTreeMap<String, (u64, String)>,
    pub lists: BTreeMap<String, FleetList>,
    pub outage: bool,
    /// How many answers to writes are lost after the write took effect.
    pub lose_answers: u32,
    pub stale: bool,
    /// The list doesn't change while it lags.
    pub list_lags: bool,
    late: Vec<(String, FleetEntry)>,
    version: u64,
    watches: Vec<(BoxId, u64, u64, Micros, String, u64)>,
}

impl FakePlatform {
    pub fn list(
        &mut self,
        domain: &str,
        id: &str,
        state: FleetState,
        incarnation: Option<Incarnation>,
    ) {
        self.late.push((
            domain.to_owned(),
            FleetEntry {
                id: id.to_owned(),
                state,
                incarnation,
            },
        ));
        if !self.list_lags {
            self.catch_up();
        }
    }

    /// Lets the list show what it lagged behind.
    pub fn catch_up(&mut self) {
        for (domain, entry) in std::mem::take(&mut self.late) {
            let empty = || FleetList {
                version: 0,
                entries: Vec::new(),
            };
            let list = self.lists.entry(domain).or_insert_with(empty);
            list.version += 1;
            list.entries.retain(|e| e.id != entry.id);
            list.entries.push(entry);
        }
    }

    pub fn put(&mut self, name: &str, value: String) -> u64 {
        self.version += 1;
        if let Some(before) = self.objects.insert(name.to_owned(), (self.version, value)) {
            self.before.insert(name.to_owned(), before);
        }
        self.version
    }

    fn answer(&mut self, op: &PlatformOp) -> PlatformAnswer {
        match op {
            PlatformOp::Get { name, known } => {
                let stale = self.before.get(name).filter(|_| self.stale);
                match stale.or_else(|| self.objects.get(name)) {
                    None => PlatformAnswer::Missing,
                    Some((version, _)) if Some(*version) == *known => PlatformAnswer::Unchanged,
                    Some((version, value)) => PlatformAnswer::Object(Object {
                        name: name.clone(),
                        version: *version,
                        value: value.clone(),
                    }),
                }
            }
            PlatformOp::Put {
                name,
                expect,
                value,
            } => {
                let present = self.objects.get(name).map(|(version, _)| *version);
                let fits = match expect {
                    Expect::Absent => present.is_none(),
                    Expect::Version(version) => present == Some(*version),
                };
                if !fits {
                    return PlatformAnswer::Conflict;
                }
                let version = self.put(name, value.clone());
                if self.lose_answers > 0 {
                    self.lose_answers -= 1;
                    return PlatformAnswer::NoAnswer;
                }
                PlatformAnswer::Written(version)
            }
            PlatformOp::Delete(name) => {
                self.objects.remove(name);
                PlatformAnswer::Written(0)
            }
            PlatformOp::List(prefix) => {
                let names = self
                    .objects
                    .keys()
                    .filter(|n| n.starts_with(prefix))
                    .cloned();
                PlatformAnswer::Names(names.collect())
            }
            PlatformOp::Fleet { domain, known } => match self.lists.get(domain.as_str()) {
                Some(list) if list.version != *known => PlatformAnswer::Fleet(list.clone()),
                _ => PlatformAnswer::Unchanged,
            },
            PlatformOp::Watch { .. } => PlatformAnswer::Unchanged,
        }
    }
}

impl World {
    pub(super) fn platform_call(
        &mut self,
        id: &BoxId,
        life: u64,
        call: u64,
        asked: Micros,
        op: &PlatformOp,
    ) {
        if self.platform.outage || self.is_cut(id, "platform") {
            let event = Event::Platform {
                id: call,
                asked,
                answer: PlatformAnswer::NoAnswer,
            };
            return self.event_for_life(id, life, Self::platform_limit(), event);
        }
        if let PlatformOp::Watch { name, after } = op {
            let known = self
                .platform
                .objects
                .get(name)
                .map_or(0, |(version, _)| *version);
            if known <= *after {
                self.platform
                    .watches
                    .push((id.clone(), life, call, asked, name.clone(), *after));
                return;
            }
            let get = PlatformOp::Get {
                name: name.clone(),
                known: None,
            };
            let answer = self.platform.answer(&get);
            return self.platform_reply(id, life, call, asked, answer);
        }
        let answer = self.platform.answer(op);
        self.platform_reply(id, life, call, asked, answer);
        self.wake_watches();
    }

    fn platform_reply(
        &mut self,
        id: &BoxId,
        life: u64,
        call: u64,
        asked: Micros,
        answer: PlatformAnswer,
    ) {
        let wait = match answer {
            PlatformAnswer::NoAnswer => Self::platform_limit(),
            _ => Duration::from_millis(1),
        };
        self.event_for_life(
            id,
            life,
            wait,
            Event::Platform {
                id: call,
                asked,
                answer,
            },
        );
    }

    /// Ends the watches whose object has changed.
    pub fn wake_watches(&mut self) {
        for (id, life, call, asked, name, after) in std::mem::take(&mut self.platform.watches) {
            let known = self
                .platform
                .objects
                .get(&name)
                .map_or(0, |(version, _)| *version);
            if known > after && !self.is_cut(&id, "platform") {
                let get = PlatformOp::Get { name, known: None };
                let answer = self.platform.answer(&get);
                self.platform_reply(&id, life, call, asked, answer);
            } else {
                self.platform
                    .watches
                    .push((id, life, call, asked, name, after));
            }
        }
    }

    /// Starts an outage of the platform; what waits for it gets no answer.
    pub fn platform_out(&mut self) {
        self.platform.outage = true;
        for (id, life, call, asked, _, _) in std::mem::take(&mut self.platform.watches) {
            let event = Event::Platform {
                id: call,
                asked,
                answer: PlatformAnswer::NoAnswer,
            };
            self.event_for_life(&id, life, Self::platform_limit(), event);
        }
    }
}
