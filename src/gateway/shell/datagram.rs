//! Encoding of datagrams between boxes.
//!
//! A datagram is a byte for its kind, a message in postcard, and sections. Postcard isn't
//! self-describing, so the formats of messages never change. New data goes into a section of its
//! own after the message: a box that doesn't know sections reads the message and ignores the rest,
//! a box that doesn't know a section's kind skips it, and bytes after the known content of a
//! section are ignored too. docs/design/evolution.md compares the alternatives.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::gateway::dispatch::event::Event;
use crate::schema::{
    BoxId, BoxState, ContactCheck, CrashUpdate, DatagramSection, DepartureUpdate, DutyHolder,
    EngineLoadReport, IdentityUpdate, LimitUpdate, SlotUpdate, SpeedUpdate, StoreReader,
    StreamUpdate, UsageCountUpdate, UsageUpdate,
};

/// The first byte of a datagram with a [`BoxState`].
const STATE_MESSAGE: u8 = 5;
/// The first byte of a datagram with [`UsageUpdate`].
const USAGE_MESSAGE: u8 = 4;
/// The kind of a section with [`CrashUpdate`].
const CRASHES_SECTION: u16 = 1;
/// The kind of a section with [`UsageCountUpdate`].
const USAGE_COUNTS_SECTION: u16 = 2;
/// The kind of a section with a [`DutyHolder`].
const HOLDER_SECTION: u16 = 3;
/// The kind of a section with [`LimitUpdate`].
const LIMITS_SECTION: u16 = 4;
/// The kind of a section with [`DepartureUpdate`].
const DEPARTURES_SECTION: u16 = 5;
/// The kind of a section with an [`EngineLoadReport`].
const LOAD_SECTION: u16 = 6;
/// The kind of a section with [`SpeedUpdate`].
const SPEEDS_SECTION: u16 = 7;
/// The kind of a section with [`SlotUpdate`].
const SLOTS_SECTION: u16 = 8;
/// The kind of a section with [`StreamUpdate`].
const STREAMS_SECTION: u16 = 9;
/// The kind of a section with [`IdentityUpdate`].
const IDENTITIES_SECTION: u16 = 10;
/// The kind of a section with a [`StoreReader`] that the store has just answered.
const STORE_ANSWER_SECTION: u16 = 11;
/// Kind of the section with a question about contact, or its answer.
const CONTACT_SECTION: u16 = 12;

/// Encodes a box's state as a datagram.
///
/// # Errors
///
/// If it can't be encoded.
pub fn write_state(state: &BoxState, crashes: &CrashUpdate) -> Result<Vec<u8>, postcard::Error> {
    let message = postcard::to_extend(state, vec![STATE_MESSAGE])?;
    with_crashes(message, crashes)
}

/// Encodes a box's recent starts and ends of attempts as a datagram.
///
/// # Errors
///
/// If it can't be encoded.
pub fn write_usage(
    update: &UsageUpdate,
    crashes: &CrashUpdate,
) -> Result<Vec<u8>, postcard::Error> {
    let message = postcard::to_extend(update, vec![USAGE_MESSAGE])?;
    with_crashes(message, crashes)
}

/// Adds the holder of the duty to report usage to a datagram with a box's state.
///
/// # Errors
///
/// If it can't be encoded.
pub fn with_holder(
    message: Vec<u8>,
    holder: Option<DutyHolder>,
) -> Result<Vec<u8>, postcard::Error> {
    match holder {
        Some(holder) => with_section(message, HOLDER_SECTION, &holder),
        None => Ok(message),
    }
}

/// Encodes the numbers of requests that started to run at a box, as a section after an empty
/// message.
///
/// # Errors
///
/// If it can't be encoded.
pub fn write_usage_counts(counts: &UsageCountUpdate) -> Result<Vec<u8>, postcard::Error> {
    with_section(empty_message(&counts.from)?, USAGE_COUNTS_SECTION, counts)
}

/// Encodes a box's update of limits, as a section after an empty message.
///
/// # Errors
///
/// If it can't be encoded.
pub fn write_limits(update: &LimitUpdate) -> Result<Vec<u8>, postcard::Error> {
    with_section(empty_message(&update.from)?, LIMITS_SECTION, update)
}

/// Encodes the endpoints that said to a box that they are leaving, as a section after an empty
/// message.
///
/// # Errors
///
/// If it can't be encoded.
pub fn write_departures(update: &DepartureUpdate) -> Result<Vec<u8>, postcard::Error> {
    with_section(empty_message(&update.from)?, DEPARTURES_SECTION, update)
}

/// Encodes a failure domain's report of its load on engines, as a section after an empty message of
/// the box that sends or forwards it.
///
/// # Errors
///
/// If it can't be encoded.
pub fn write_load(from: &BoxId, report: &EngineLoadReport) -> Result<Vec<u8>, postcard::Error> {
    with_section(empty_message(from)?, LOAD_SECTION, report)
}

/// Encodes the speeds of endpoints that a box observed, as a section after an empty message.
///
/// # Errors
///
/// If it can't be encoded.
pub fn write_speeds(update: &SpeedUpdate) -> Result<Vec<u8>, postcard::Error> {
    with_section(empty_message(&update.from)?, SPEEDS_SECTION, update)
}

/// Encodes requests for leases of slots, grants and returns, as a section after an empty message.
///
/// # Errors
///
/// If it can't be encoded.
pub fn write_slots(update: &SlotUpdate) -> Result<Vec<u8>, postcard::Error> {
    with_section(empty_message(&update.from)?, SLOTS_SECTION, update)
}

/// Encodes records of streams, queries and answers, as a section after an empty message.
///
/// # Errors
///
/// If it can't be encoded.
pub fn write_streams(update: &StreamUpdate) -> Result<Vec<u8>, postcard::Error> {
    with_section(empty_message(&update.from)?, STREAMS_SECTION, update)
}

/// Encodes which processes are at the addresses of endpoints, as a section after an empty message.
///
/// # Errors
///
/// If it can't be encoded.
pub fn write_identities(update: &IdentityUpdate) -> Result<Vec<u8>, postcard::Error> {
    with_section(empty_message(&update.from)?, IDENTITIES_SECTION, update)
}

/// Encodes that the platform's store has just answered a box, as a section after an empty message.
///
/// # Errors
///
/// If it can't be encoded.
pub fn write_store_answer(watcher: &StoreReader) -> Result<Vec<u8>, postcard::Error> {
    with_section(empty_message(&watcher.id)?, STORE_ANSWER_SECTION, watcher)
}

/// Encodes a question about contact, or an answer, as a section after an empty message.
///
/// # Errors
///
/// If it can't be encoded.
pub fn write_contact(from: &BoxId, check: &ContactCheck) -> Result<Vec<u8>, postcard::Error> {
    with_section(empty_message(from)?, CONTACT_SECTION, check)
}

/// A message without content, to which a section is added.
fn empty_message(from: &BoxId) -> Result<Vec<u8>, postcard::Error> {
    let empty = UsageUpdate {
        from: from.clone(),
        usage: Vec::new(),
        answers: Vec::new(),
        totals: Vec::new(),
        samples: Vec::new(),
        rollouts: Vec::new(),
    };
    postcard::to_extend(&empty, vec![USAGE_MESSAGE])
}

fn with_crashes(message: Vec<u8>, crashes: &CrashUpdate) -> Result<Vec<u8>, postcard::Error> {
    if *crashes == CrashUpdate::default() {
        return Ok(message);
    }
    with_section(message, CRASHES_SECTION, crashes)
}

fn with_section(
    message: Vec<u8>,
    kind: u16,
    content: &impl Serialize,
) -> Result<Vec<u8>, postcard::Error> {
    let content = postcard::to_stdvec(content)?;
    postcard::to_extend(&DatagramSection { kind, content }, message)
}

/// Decodes a datagram of another box: an event for its message, and one for each known section.
///
/// # Errors
///
/// If its kind is unknown, or it can't be decoded.
pub fn read(bytes: &[u8]) -> Result<Vec<Event>, postcard::Error> {
    let (kind, body) = bytes
        .split_first()
        .ok_or(postcard::Error::DeserializeUnexpectedEnd)?;
    let (message, domain, sections) = match *kind {
        STATE_MESSAGE => {
            let (state, sections) = postcard::take_from_bytes::<BoxState>(body)?;
            let domain = Some(state.domain.clone());
            (Event::Peer(state), domain, sections)
        }
        USAGE_MESSAGE => {
            let (update, sections) = postcard::take_from_bytes(body)?;
            (Event::PeerUsage(update), None, sections)
        }
        _ => return Err(postcard::Error::DeserializeBadEnum),
    };
    let mut events = vec![message];
    for section in read_sections(sections)? {
        if section.kind == CRASHES_SECTION {
            let update = read_content(&section)?;
            let domain = domain.clone();
            events.push(Event::PeerCrashes { domain, update });
        } else if section.kind == HOLDER_SECTION {
            events.push(Event::PeerHolder(read_content(&section)?));
        } else if section.kind == USAGE_COUNTS_SECTION {
            events.push(Event::PeerUsageCounts(read_content(&section)?));
        } else if section.kind == LIMITS_SECTION {
            events.push(Event::PeerLimits(read_content(&section)?));
        } else if section.kind == DEPARTURES_SECTION {
            events.push(Event::PeerDepartures(read_content(&section)?));
        } else if section.kind == LOAD_SECTION {
            events.push(Event::PeerLoad(read_content(&section)?));
        } else if section.kind == SPEEDS_SECTION {
            events.push(Event::PeerSpeeds(read_content(&section)?));
        } else if section.kind == SLOTS_SECTION {
            events.push(Event::PeerSlots(read_content(&section)?));
        } else if section.kind == STREAMS_SECTION {
            events.push(Event::PeerStreams(read_content(&section)?));
        } else if section.kind == IDENTITIES_SECTION {
            events.push(Event::PeerIdentities(read_content(&section)?));
        } else if section.kind == STORE_ANSWER_SECTION {
            events.push(Event::PeerStoreAnswer(read_content(&section)?));
        } else if section.kind == CONTACT_SECTION {
            events.push(Event::PeerContact(read_content(&section)?));
        }
    }
    Ok(events)
}

fn read_sections(mut bytes: &[u8]) -> Result<Vec<DatagramSection>, postcard::Error> {
    let mut sections = Vec::new();
    while !bytes.is_empty() {
        let (section, rest) = postcard::take_from_bytes(bytes)?;
        sections.push(section);
        bytes = rest;
    }
    Ok(sections)
}

fn read_content<T: DeserializeOwned>(section: &DatagramSection) -> Result<T, postcard::Error> {
    postcard::from_bytes(&section.content)
}
