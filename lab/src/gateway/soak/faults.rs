//! The random faults of a soak: of servers, boxes, the store and the configuration.

use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;

use super::{BOXES, PACE, World};
use crate::gateway::fleet::{config, zone};
use crate::gateway::foreign::foreign_entries;
use crate::gateway::server::{Act, Server};
use crate::gateway::store::Mood;

/// What a server may do with one request.
const ACTS: [Act; 12] = [
    Act::NoRoom,
    Act::Misdirected,
    Act::Error,
    Act::LostAnswer,
    Act::CutOff,
    Act::TornEvent,
    Act::Foreign,
    Act::Surplus,
    Act::Unframed,
    Act::Garbage,
    Act::Unsigned,
    Act::Silent,
];

/// Limits that a server may name, in requests a second; the last one is none.
const LIMITS: [&str; 6] = ["0", "0.5", "2", "20", "200", "a few"];
/// Seconds of rest that a server may ask for; the last one is none.
const RESTS: [&str; 4] = ["0.2", "1", "3", "a while"];
/// Time after a box's start at which it gets SIGHUP, in milliseconds: its program is loaded by then.
const HANG_UP_MS: std::ops::Range<u64> = 20..200;
/// Requests that a server turns away when it asks for a rest.
const TURNED_AWAY: usize = 2;

impl World {
    /// Causes a random fault and records it.
    pub(super) async fn bring_fault(&mut self) {
        let fault = match self.rng.random_range(0..19) {
            0..=3 => self.act(),
            4 => self.replace_model(true).await,
            5 => self.replace_model(false).await,
            6 => self.change_mood(),
            7 => self.change_config(),
            8 => self.kill_box(),
            9 => self.freeze_box().await,
            10 => self.stop_box(),
            11 => self.start_model_again().await,
            12 => self.foreign_entry(),
            13 => self.name_limit(),
            14 => self.ask_for_rest(),
            15 => self.let_model_leave().await,
            16 => self.replace_box(),
            17 => self.hang_up_box().await,
            _ => self.restart_boxes(),
        };
        self.faults.push(fault);
    }

    fn act(&mut self) -> String {
        let act = *ACTS.choose(&mut self.rng).unwrap_or(&Act::Well);
        let servers: Vec<&Server> = self
            .outside
            .models
            .iter()
            .chain(&self.outside.tills)
            .collect();
        let server = servers.choose(&mut self.rng).copied();
        server.map_or_else(String::new, |server| {
            server.act(&[act]);
            format!("{} does {act:?}", server.id)
        })
    }

    /// A server names a limit, or names none any more.
    fn name_limit(&mut self) -> String {
        let servers = self.outside.models.iter().chain(&self.outside.tills);
        let servers: Vec<&Server> = servers.collect();
        let limit = LIMITS.choose(&mut self.rng).copied();
        let limit = limit.filter(|_| self.rng.random());
        let server = servers.choose(&mut self.rng).copied();
        server.map_or_else(String::new, |server| {
            server.name_limit(limit);
            format!("{} names the limit {limit:?}", server.id)
        })
    }

    /// A server turns its next requests away and asks for a rest.
    fn ask_for_rest(&mut self) -> String {
        let servers = self.outside.models.iter().chain(&self.outside.tills);
        let servers: Vec<&Server> = servers.collect();
        let rest = RESTS.choose(&mut self.rng).copied();
        let server = servers.choose(&mut self.rng).copied();
        server.map_or_else(String::new, |server| {
            server.ask_for_rest(rest);
            server.act(&[Act::NoRoom; TURNED_AWAY]);
            format!(
                "{} turns requests away and asks for a rest of {rest:?} s",
                server.id
            )
        })
    }

    /// A model server says in its answers that it is leaving, and another one takes its place; its
    /// entry in the store stays.
    async fn let_model_leave(&mut self) -> String {
        let place = self.rng.random_range(0..self.outside.models.len());
        let Some(new) = self.start_model(place).await else {
            return String::new();
        };
        let old = std::mem::replace(&mut self.outside.models[place], new);
        old.say_leaving();
        let fault = format!("{} says that it is leaving", old.id);
        self.gone.push(old);
        fault
    }

    /// Starts another model server and lists it.
    async fn start_model(&mut self, place: usize) -> Option<Server> {
        self.next_server += 1;
        let id = format!("model-{}", self.next_server);
        let copies = self.outside.copies.clone();
        let new = Server::start(&id, copies, PACE).await.ok()?;
        self.outside.list(&new, "models", zone(place), "ready");
        Some(new)
    }

    /// A model server crashes or falls silent, and another one comes in its place.
    async fn replace_model(&mut self, is_silent: bool) -> String {
        let place = self.rng.random_range(0..self.outside.models.len());
        let Some(new) = self.start_model(place).await else {
            return String::new();
        };
        let id = new.id.clone();
        let old = std::mem::replace(&mut self.outside.models[place], new);
        if is_silent {
            old.fall_silent();
        } else {
            old.crash();
        }
        let fault = format!("{} ends, silently: {is_silent}; {id} comes", old.id);
        self.outside.store.remove("servers", &old.id);
        self.gone.push(old);
        fault
    }

    /// A model server starts again under its id, at its address.
    async fn start_model_again(&mut self) -> String {
        let place = self.rng.random_range(0..self.outside.models.len());
        let Ok(new) = self.outside.models[place].start_again().await else {
            return String::new();
        };
        self.outside.list(&new, "models", zone(place), "ready");
        let fault = format!("{} starts again", new.id);
        let old = std::mem::replace(&mut self.outside.models[place], new);
        self.gone.push(old);
        fault
    }

    /// Another writer makes an entry that names no server to use, some under the id of one that
    /// lives; that one then writes its own anew.
    fn foreign_entry(&mut self) -> String {
        let place = self.rng.random_range(0..self.outside.models.len());
        let server = &self.outside.models[place];
        let name = if self.rng.random() {
            server.id.clone()
        } else {
            format!("foreign-{}", self.rng.random_range(0..20))
        };
        let address = server.address().to_string();
        let number = self.rng.random_range(0..foreign_entries("", "", 0).len());
        let store = &self.outside.store;
        store.put_with("servers", &name, |revision| {
            foreign_entries(&name, &address, revision).swap_remove(number)
        });
        if name == server.id && self.rng.random() {
            self.outside.list(server, "models", zone(place), "ready");
        }
        format!("entry {name} of another writer, kind {number}")
    }

    fn change_mood(&mut self) -> String {
        let moods = [Mood::Well, Mood::Well, Mood::Down, Mood::Silent, Mood::Lost];
        let mood = *moods.choose(&mut self.rng).unwrap_or(&Mood::Well);
        self.outside.store.set_mood(mood);
        format!("the store is {mood:?}")
    }

    fn change_config(&mut self) -> String {
        self.version += 1;
        self.outside
            .store
            .put("config", "main", &config(self.version));
        if self.rng.random() {
            self.outside.store.forget_history();
        }
        format!("configuration {}", self.version)
    }

    fn pick_box(&mut self) -> usize {
        self.rng.random_range(0..BOXES)
    }

    fn kill_box(&mut self) -> String {
        let number = self.pick_box();
        self.boxes.kill(number);
        format!("box {number} killed")
    }

    async fn freeze_box(&mut self) -> String {
        let number = self.pick_box();
        let pause = Duration::from_millis(self.rng.random_range(100..1_200));
        self.boxes.freeze(number, pause).await;
        format!("box {number} frozen for {pause:?}")
    }

    fn stop_box(&mut self) -> String {
        let number = self.pick_box();
        self.boxes.terminate(number);
        format!("box {number} stops")
    }

    fn replace_box(&mut self) -> String {
        let number = self.pick_box();
        self.boxes.replace(number);
        format!("box {number} stops, its successor starts at once")
    }

    async fn hang_up_box(&mut self) -> String {
        let number = self.pick_box();
        let starts_it = self.rng.random();
        let after = Duration::from_millis(self.rng.random_range(HANG_UP_MS));
        self.boxes.hang_up(number, starts_it, after).await;
        format!("box {number} gets SIGHUP, started {after:?} before: {starts_it}")
    }

    fn restart_boxes(&mut self) -> String {
        self.boxes.restart_ended();
        "boxes that ended start again".to_owned()
    }
}
