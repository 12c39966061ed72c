//! How the stand-in answers on its connections.

use std::collections::BTreeMap;
use std::sync::MutexGuard;
use std::time::Instant;

use serde_json::json;
use tokio::net::TcpListener;

use super::brittle::Reception;
use super::endless::Endless;
use super::{
    Act, Copy, HANDLES, LARGE_ANSWER_BYTES, LOOK, OTHER, Run, Serving, chunk, event_text,
    last_part, lock, lock_copies, named, named_event_text, whole,
};
use crate::gateway::wire::{Message, Wire};

impl Serving {
    pub(super) async fn accept(self, listener: TcpListener) {
        let mut connections = tokio::task::JoinSet::new();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = self.crashed.notified() => return,
            };
            let Ok((socket, _)) = accepted else {
                return;
            };
            let serving = self.clone();
            connections.spawn(async move {
                let mut wire = Wire::muted_by(socket, serving.is_muted.clone());
                // A caller that breaks off is no fault of the server.
                let _ = serving.talk(&mut wire).await;
            });
        }
    }

    fn is_silent(&self) -> bool {
        lock(&self.state).is_silent
    }

    async fn talk(&self, wire: &mut Wire) -> std::io::Result<()> {
        while let Some(head) = wire.read_request_head().await? {
            if self.is_silent() {
                std::future::pending::<()>().await;
            }
            let endless = lock(&self.state).endless_reports;
            let is_end = match head.path() {
                "/v1/report" | "/healthz" if endless.is_some() => {
                    let signed = format!("Magpiemoor-Instance-Id: {}\r\n", self.id);
                    let endless = endless.unwrap_or(Endless::Body);
                    self.send_endless(wire, endless, &signed).await?
                }
                "/v1/report" => self.report(wire).await?,
                "/healthz" => self.health(wire).await?,
                path if path.starts_with("/v1/kv-events") => self.kept(wire).await?,
                "/v1/kv-move" => self.copy_run(wire, head).await?,
                path if path.starts_with(HANDLES) => self.drop_copy(wire, head).await?,
                _ => self.run(wire, head).await?,
            };
            if is_end {
                return Ok(());
            }
        }
        Ok(())
    }

    async fn report(&self, wire: &mut Wire) -> std::io::Result<bool> {
        let body = json!({"phase": "combined", "models": [{"name": "m"}], "queued": 0, "active": 0, "kvUsed": 0, "born": self.born}).to_string();
        wire.send(whole(200, "", &body)).await?;
        Ok(false)
    }

    async fn health(&self, wire: &mut Wire) -> std::io::Result<bool> {
        let headers = format!("Magpiemoor-Instance-Id: {}\r\n", self.id);
        wire.send(whole(200, &headers, "")).await?;
        Ok(false)
    }

    async fn kept(&self, wire: &mut Wire) -> std::io::Result<bool> {
        let kept = {
            let state = lock(&self.state);
            let kept = state.kept.iter().filter(|_| !state.hides_kept);
            kept.cloned().collect::<Vec<_>>()
        };
        let events = kept.iter().enumerate();
        let events: Vec<_> = events
            .map(|(number, part)| json!([number, "+", "", part, 5000, "m"]))
            .collect();
        let body = json!({"epoch": 1, "nextToken": events.len(), "lost": false, "events": events});
        wire.send(whole(200, "", &body.to_string())).await?;
        Ok(false)
    }

    /// Copies the memory of a run that goes on to another server.
    async fn copy_run(&self, wire: &mut Wire, head: Message) -> std::io::Result<bool> {
        let mut ask = head;
        wire.finish_request(&mut ask).await?;
        let asked: serde_json::Value = serde_json::from_str(&ask.text()).unwrap_or_default();
        let run = asked["id"].as_str().unwrap_or_default();
        let going = lock(&self.state).going.get(run).copied();
        let Some(events) = going else {
            wire.send(whole(404, "", "")).await?;
            return Ok(false);
        };
        let name = format!("h-{run}");
        let copy = Copy {
            holder: asked["targetVersion"]
                .as_str()
                .unwrap_or_default()
                .to_owned(),
            events,
        };
        self.copies()
            .insert((self.address.to_string(), name.clone()), copy);
        lock(&self.state).copies_made += 1;
        let body = json!({"kvHandle": name, "made": events}).to_string();
        wire.send(whole(200, "", &body)).await?;
        Ok(false)
    }

    async fn drop_copy(&self, wire: &mut Wire, head: Message) -> std::io::Result<bool> {
        let name = head.path().trim_start_matches(HANDLES).to_owned();
        let found = self.copies().remove(&(self.address.to_string(), name));
        lock(&self.state).copies_dropped += u32::from(found.is_some());
        wire.send(whole(if found.is_some() { 200 } else { 404 }, "", ""))
            .await?;
        Ok(false)
    }

    fn copies(&self) -> MutexGuard<'_, BTreeMap<(String, String), Copy>> {
        lock_copies(&self.copies)
    }

    /// Serves a request; returns whether the connection ends.
    async fn run(&self, wire: &mut Wire, head: Message) -> std::io::Result<bool> {
        let act = {
            let mut state = lock(&self.state);
            state.arrived += 1;
            let next = state.acts.pop_front();
            next.or(state.always).unwrap_or_default()
        };
        let id = head
            .header("magpiemoor-attempt-id")
            .unwrap_or_default()
            .to_owned();
        if act == Act::Early {
            let answer = whole(400, &self.signed(&id), "too early");
            wire.send(answer).await?;
            return Ok(true);
        }
        let mut ask = head;
        wire.finish_request(&mut ask).await?;
        let expected = ask.header("magpiemoor-expect-instance");
        if act == Act::Misdirected || expected.is_some_and(|e| e != self.id) {
            let id = if act == Act::Misdirected {
                "other"
            } else {
                &self.id
            };
            lock(&self.state).turned_away += 1;
            wire.send(whole(421, &format!("Magpiemoor-Instance-Id: {id}\r\n"), ""))
                .await?;
            return Ok(false);
        }
        if act == Act::NoRoom || !self.has_copy(&ask) {
            let headers = format!(
                "Magpiemoor-Attempt-Id: {id}\r\nMagpiemoor-Not-Executed: 1\r\n{}{}",
                self.words(),
                self.rest()
            );
            wire.send(whole(503, &headers, "")).await?;
            return Ok(false);
        }
        match self.receive() {
            Reception::Away => return Ok(true),
            Reception::Rejects => {
                let headers = format!(
                    "Magpiemoor-Attempt-Id: {id}\r\nMagpiemoor-Not-Executed: 1\r\n{}",
                    self.words()
                );
                wire.send(whole(503, &headers, "")).await?;
                return Ok(false);
            }
            Reception::Runs => {}
        }
        lock(&self.state).runs.push(Run {
            has_read_prompt: ask.header("kv-from").is_none(),
            ask: ask.clone(),
        });
        if lock(&self.state).crashes_on == Some(ask.text()) {
            self.crashed.notify_one();
            std::future::pending::<()>().await;
        }
        if let Some(part) = last_part(&ask) {
            lock(&self.state).kept.push(part);
        }
        if ask.header("magpiemoor-prefix-hash").is_some() {
            self.stream(wire, &ask, act).await
        } else {
            self.answer(wire, &id, act).await
        }
    }

    fn receive(&self) -> Reception {
        let mut state = lock(&self.state);
        let brittle = state.brittle.as_mut();
        brittle.map_or(Reception::Runs, |b| b.receive(Instant::now()))
    }

    /// Takes the time that a call takes at a brittle server.
    async fn work(&self) {
        let work = lock(&self.state).brittle.as_ref().map(|b| b.work);
        if let Some(work) = work {
            tokio::time::sleep(work).await;
            if let Some(brittle) = lock(&self.state).brittle.as_mut() {
                brittle.end();
            }
        }
    }

    fn has_copy(&self, ask: &Message) -> bool {
        let Some(from) = ask.header("kv-from") else {
            return true;
        };
        let Some((address, id)) = from.split_once('/') else {
            return false;
        };
        let mut copies = self.copies();
        let place = (address.to_owned(), id.to_owned());
        let is_here = copies
            .get(&place)
            .is_some_and(|copy| copy.holder == self.address.to_string());
        // A copy serves once.
        is_here && copies.remove(&place).is_some()
    }

    fn signed(&self, id: &str) -> String {
        format!(
            "Magpiemoor-Attempt-Id: {id}\r\nMagpiemoor-Server-Stamp: {}\r\n{}",
            self.id,
            self.words()
        )
    }

    /// The lines that name the limit and that it is leaving, where it says so.
    fn words(&self) -> String {
        let state = lock(&self.state);
        let limit = state.limit.as_ref();
        let limit = limit.map_or(String::new(), |limit| format!("Server-Limit: {limit}\r\n"));
        let leaving = if state.says_leaving {
            "Server-Leaving: 1\r\n"
        } else {
            ""
        };
        let brittle = state.brittle.as_ref();
        let brittle = brittle.map_or(String::new(), |b| {
            format!("Server-Brittle: {}\r\n", b.bears)
        });
        limit + leaving + &brittle
    }

    /// The line that asks for a rest, if there is one.
    fn rest(&self) -> String {
        let rest = lock(&self.state).rest.clone();
        rest.map_or(String::new(), |rest| format!("Retry-After: {rest}\r\n"))
    }

    /// Answers a plain call.
    async fn answer(&self, wire: &mut Wire, id: &str, act: Act) -> std::io::Result<bool> {
        self.work().await;
        let body = format!("answer to {id}");
        let signed = self.signed(id);
        match act {
            Act::Endless(endless) => return self.send_endless(wire, endless, &signed).await,
            Act::Cut(cut) => return self.send_cut(wire, cut, &signed, &body).await,
            Act::Error => wire.send(whole(500, &signed, "error")).await?,
            Act::Status(status) => wire.send(whole(status, &signed, &body)).await?,
            Act::Large => {
                let body = "x".repeat(LARGE_ANSWER_BYTES);
                wire.send(whole(200, &signed, &body)).await?;
            }
            Act::LostAnswer => return Ok(true),
            Act::Garbage => {
                wire.send("\x01\x02 no answer\r\n\r\n").await?;
                return Ok(true);
            }
            Act::CutOff => {
                let answer = whole(200, &signed, &body);
                wire.send(&answer[..answer.len() - 4]).await?;
                return Ok(true);
            }
            Act::Foreign => {
                wire.send(whole(
                    200,
                    &self.signed(OTHER),
                    &format!("answer to {OTHER}"),
                ))
                .await?;
            }
            Act::Unsigned => {
                let headers = format!("Magpiemoor-Attempt-Id: {id}\r\n");
                wire.send(whole(200, &headers, &body)).await?;
            }
            Act::ForeignMisdirected => {
                let headers = format!("Magpiemoor-Attempt-Id: {OTHER}\r\n");
                wire.send(whole(421, &headers, "")).await?;
            }
            Act::Surplus => {
                let answer = whole(200, &signed, &body);
                wire.send(answer.repeat(2)).await?;
            }
            Act::Unframed => {
                wire.send(format!("HTTP/1.1 200 OK\r\n{signed}\r\n{body}"))
                    .await?;
                return Ok(true);
            }
            Act::Silent => std::future::pending().await,
            _ => wire.send(whole(200, &signed, &body)).await?,
        }
        Ok(false)
    }

    /// Streams events; each run's memory is copied where the request says.
    async fn stream(&self, wire: &mut Wire, ask: &Message, act: Act) -> std::io::Result<bool> {
        let id = ask.header("magpiemoor-attempt-id").unwrap_or_default();
        let part = last_part(ask).unwrap_or_default();
        let first = ask.number("last-event-id").unwrap_or(0) + 1;
        let backup = ask.header("magpiemoor-kv-backup").map(str::to_owned);
        let signed = self.signed(id);
        if let Act::Endless(endless) = act {
            return self.send_endless(wire, endless, &signed).await;
        }
        if let Act::Status(status) = act {
            wire.send(whole(status, &signed, "")).await?;
            return Ok(false);
        }
        let typed = format!("Content-Type: text/event-stream\r\n{signed}");
        if let Act::Cut(cut) = act {
            let events: String = (first..first + 2).map(|e| event_text(&part, e)).collect();
            return self.send_cut(wire, cut, &typed, &events).await;
        }
        wire.send(format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n{typed}\r\n"
        ))
        .await?;
        for event in first..=self.pace.events {
            if self.is_silent() {
                std::future::pending::<()>().await;
            }
            let text = if self.pace.names_server {
                let software = lock(&self.state).software.clone();
                let name = named(&self.id, software.as_deref());
                named_event_text(&part, event, &name)
            } else {
                event_text(&part, event)
            };
            let is_second = event == first + 1;
            match act {
                Act::TornEvent if is_second => {
                    wire.send(chunk(&text[..text.len() / 2])).await?;
                    return Ok(true);
                }
                Act::CutOff if is_second => return Ok(true),
                Act::Silent if is_second => std::future::pending().await,
                _ => wire.send(chunk(&text)).await?,
            }
            if let Some(address) = &backup {
                let copy = Copy {
                    holder: address.clone(),
                    events: event,
                };
                self.copies().insert((address.clone(), id.to_owned()), copy);
            }
            lock(&self.state).going.insert(id.to_owned(), event);
            tokio::time::sleep(self.pace.gap).await;
            while lock(&self.state).paused_after == Some(event) {
                tokio::time::sleep(LOOK).await;
            }
            let mut state = lock(&self.state);
            state.is_silent |= state.silent_after == Some(event);
        }
        lock(&self.state).going.remove(id);
        wire.send("0\r\n\r\n").await?;
        Ok(false)
    }
}
