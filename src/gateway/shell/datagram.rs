//! How datagrams between boxes are encoded.
//!
//! A datagram is a byte for its kind, a message in postcard, and sections. Postcard isn't
//! self-describing, so messages stay as boxes in production know them. What is new goes into a section
//! of its own behind the message: a box that knows none reads the message and leaves the rest, one that
//! doesn't know a section's kind passes over it, and bytes behind what it knows of a section are left
//! too. Weighed in docs/design/evolution.md.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::gateway::dispatch::event::Event;
use crate::schema::{
    BoxId, BoxState, CrashUpdate, DatagramSection, DutyHolder, LimitUpdate, UsageCountUpdate,
    UsageUpdate,
};

/// The first byte of a datagram with a [`BoxState`].
const STATE: u8 = 5;
/// The first byte of a datagram with [`UsageUpdate`].
const USAGE: u8 = 4;
/// The kind of a section with [`CrashUpdate`].
const CRASHES: u16 = 1;
/// The kind of a section with [`UsageCountUpdate`].
const BEGAN: u16 = 2;
/// The kind of a section with a [`DutyHolder`].
const HOLDER: u16 = 3;
/// The kind of a section with [`LimitUpdate`].
const LIMITS: u16 = 4;

/// The datagram with a box's state.
///
/// # Errors
///
/// If it can't be encoded.
pub fn write_state(state: &BoxState, crashes: &CrashUpdate) -> Result<Vec<u8>, postcard::Error> {
    let message = postcard::to_extend(state, vec![STATE])?;
    with_crashes(message, crashes)
}

/// The datagram with what a box has just begun and ended.
///
/// # Errors
///
/// If it can't be encoded.
pub fn write_usage(news: &UsageUpdate, crashes: &CrashUpdate) -> Result<Vec<u8>, postcard::Error> {
    let message = postcard::to_extend(news, vec![USAGE])?;
    with_crashes(message, crashes)
}

/// Adds who holds the duty to report usage to a datagram with a box's state.
///
/// # Errors
///
/// If it can't be encoded.
pub fn with_holder(
    message: Vec<u8>,
    holder: Option<DutyHolder>,
) -> Result<Vec<u8>, postcard::Error> {
    match holder {
        Some(holder) => with_section(message, HOLDER, &holder),
        None => Ok(message),
    }
}

/// The datagram with how many requests began to run at a box, behind a message that tells nothing.
///
/// # Errors
///
/// If it can't be encoded.
pub fn write_usage_counts(began: &UsageCountUpdate) -> Result<Vec<u8>, postcard::Error> {
    with_section(telling_nothing(&began.from)?, BEGAN, began)
}

/// The datagram with what a box tells of limits, behind a message that tells nothing.
///
/// # Errors
///
/// If it can't be encoded.
pub fn write_limits(news: &LimitUpdate) -> Result<Vec<u8>, postcard::Error> {
    with_section(telling_nothing(&news.from)?, LIMITS, news)
}

/// A message that tells nothing, for what stands behind it.
fn telling_nothing(from: &BoxId) -> Result<Vec<u8>, postcard::Error> {
    let nothing = UsageUpdate {
        from: from.clone(),
        usage: Vec::new(),
        answers: Vec::new(),
        totals: Vec::new(),
        samples: Vec::new(),
        rollouts: Vec::new(),
    };
    postcard::to_extend(&nothing, vec![USAGE])
}

fn with_crashes(message: Vec<u8>, crashes: &CrashUpdate) -> Result<Vec<u8>, postcard::Error> {
    if *crashes == CrashUpdate::default() {
        return Ok(message);
    }
    with_section(message, CRASHES, crashes)
}

fn with_section(
    message: Vec<u8>,
    kind: u16,
    content: &impl Serialize,
) -> Result<Vec<u8>, postcard::Error> {
    let content = postcard::to_stdvec(content)?;
    postcard::to_extend(&DatagramSection { kind, content }, message)
}

/// Reads a datagram of another box: its message, and what its sections tell.
///
/// # Errors
///
/// If it is of an unknown kind, or can't be read.
pub fn read(bytes: &[u8]) -> Result<Vec<Event>, postcard::Error> {
    let (kind, body) = bytes
        .split_first()
        .ok_or(postcard::Error::DeserializeUnexpectedEnd)?;
    let (message, domain, sections) = match *kind {
        STATE => {
            let (state, sections) = postcard::take_from_bytes::<BoxState>(body)?;
            let domain = Some(state.domain.clone());
            (Event::Peer(state), domain, sections)
        }
        USAGE => {
            let (news, sections) = postcard::take_from_bytes(body)?;
            (Event::PeerUsage(news), None, sections)
        }
        _ => return Err(postcard::Error::DeserializeBadEnum),
    };
    let mut events = vec![message];
    for section in read_sections(sections)? {
        if section.kind == CRASHES {
            let news = read_content(&section)?;
            let domain = domain.clone();
            events.push(Event::PeerCrashes {
                domain,
                update: news,
            });
        } else if section.kind == HOLDER {
            events.push(Event::PeerHolder(read_content(&section)?));
        } else if section.kind == BEGAN {
            events.push(Event::PeerUsageCounts(read_content(&section)?));
        } else if section.kind == LIMITS {
            events.push(Event::PeerLimits(read_content(&section)?));
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
