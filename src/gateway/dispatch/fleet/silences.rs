//! Which endpoints gave no answer to a probe, and what kind of failure that suggests.
//!
//! | state | begins | ends |
//! |---|---|---|
//! | silent | a probe made a new connection and got no answer | a message from the endpoint; [`UNRESPONSIVE_FOR`] after the last probe |
//! | out of contact | a probe made no connection, or it was closed | the same |
//!
//! A sound server may say nothing for a second or so and then go on with nothing lost: its host takes
//! connections meanwhile. So a silent endpoint is avoided by this box but is no loss: it isn't
//! reported to peers and suspects no failure domain. It counts as lost once it is silent for longer
//! than [`MAX_SOUND_SILENCE`].
//!
//! Engines seldom fall silent at the same moment by themselves. If at least [`COMMON_SILENCE`] of a
//! service are silent, and more than were heard meanwhile, the silence has a common cause, such as a
//! pause of their network. A move then costs a prompt and a retry, leads to an engine that the cause
//! may reach too, and those that were heard have no room for all.
//!
//! Inputs: results of probes, and when endpoints were last seen. State: the probes without an answer
//! since each endpoint was last seen.

use std::time::Duration;

use super::{Endpoint, Fleet};
use crate::schema::{EndpointId, Micros, ServiceId};

/// Time after an unanswered probe for which the endpoint counts as unresponsive: longer than the time
/// between two probes of an attempt without events.
const UNRESPONSIVE_FOR: Duration = Duration::from_secs(1);
/// Time since the first unanswered probe after which a silent endpoint counts as lost. Sound servers
/// are silent for up to 1.5 s, some 0.2 s of which precede the first probe.
const MAX_SOUND_SILENCE: Duration = Duration::from_millis(1_600);
/// Least number of silent endpoints of a service that may have a common cause.
const COMMON_SILENCE: usize = 2;
/// Age of the last message up to which an endpoint counts as heard.
const HEARD_WITHIN: Duration = Duration::from_millis(250);

/// What an endpoint's failure to answer a probe suggests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Contact {
    /// Its host takes connections, so it may go on.
    Silent,
    /// It, its host or the path to it is lost.
    Lost,
}

/// The probes of an endpoint that were not answered since it was last seen.
#[derive(Clone, Copy, Debug)]
pub(super) struct Unanswered {
    /// When the first one was sent.
    since: Micros,
    /// When the last one was sent.
    probed: Micros,
    /// What the last one showed.
    contact: Contact,
}

impl Endpoint {
    fn unanswered(&self, now: Micros) -> Option<Unanswered> {
        self.unanswered.filter(|unanswered| {
            self.last_seen <= unanswered.probed && now.since(unanswered.probed) < UNRESPONSIVE_FOR
        })
    }

    /// What unanswered probes suggest; `None` if there are none since it was last seen.
    #[must_use]
    pub fn lost_contact(&self, now: Micros) -> Option<Contact> {
        self.unanswered(now).map(|unanswered| unanswered.contact)
    }

    /// Whether it left the last probe without an answer, a short time ago.
    #[must_use]
    pub fn is_unresponsive(&self, now: Micros) -> bool {
        self.unanswered(now).is_some()
    }

    /// Whether its host takes connections but it says nothing.
    #[must_use]
    pub fn is_silent(&self, now: Micros) -> bool {
        self.lost_contact(now) == Some(Contact::Silent)
    }

    /// Whether an attempt that was last seen at `attempt_seen` got nothing since a probe that is
    /// unanswered.
    #[must_use]
    pub fn stalls(&self, attempt_seen: Micros, now: Micros) -> Option<Contact> {
        let unanswered = self.unanswered(now)?;
        let contact = self.lost_contact(now)?;
        (attempt_seen <= unanswered.probed).then_some(contact)
    }

    /// Records a probe sent at `sent` that was not answered. A silence lasts until the endpoint is
    /// heard, however rarely it is probed.
    pub fn on_unanswered(&mut self, contact: Contact, sent: Micros, now: Micros) {
        let before = self.unanswered;
        let before = before.filter(|before| self.last_seen <= before.probed);
        let since = before.map_or(sent, |before| before.since);
        let is_too_long = now.since(since) >= MAX_SOUND_SILENCE;
        self.unanswered = Some(Unanswered {
            since,
            probed: sent,
            contact: if is_too_long { Contact::Lost } else { contact },
        });
    }
}

impl Fleet {
    /// Whether an endpoint said something lately, and since another one fell silent.
    #[must_use]
    pub fn is_heard_since_silence_of(
        &self,
        endpoint: &Endpoint,
        silent: &EndpointId,
        now: Micros,
    ) -> bool {
        let unanswered = self.get(silent).and_then(|e| e.unanswered(now));
        let since = unanswered.map_or(Micros::ZERO, |unanswered| unanswered.since);
        endpoint.last_seen >= since.max(now.before(HEARD_WITHIN))
    }

    /// Whether so many endpoints of a service are silent that the silence has a common cause.
    #[must_use]
    pub fn is_silence_common(&self, service: &ServiceId, now: Micros) -> bool {
        let silent = self.of_service(service).filter(|e| e.is_silent(now));
        let since: Vec<Micros> = silent
            .filter_map(|e| e.unanswered(now).map(|unanswered| unanswered.since))
            .collect();
        let Some(first) = since.iter().min() else {
            return false;
        };
        let others = self.of_service(service).filter(|e| !e.is_silent(now));
        let heard = others.filter(|e| e.last_seen >= *first).count();
        since.len() >= COMMON_SILENCE && since.len() > heard
    }
}
