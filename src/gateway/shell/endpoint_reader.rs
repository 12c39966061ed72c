//! Reads entries of the list of endpoints from the store or from a peer, each independently, and
//! caches them for peers.
//!
//! Other programs write entries too. An entry that can't be read makes no endpoint available and
//! doesn't affect other entries; it is passed on, and peers treat it in the same way. It is counted
//! and logged once, with its name. An entry whose name isn't a valid endpoint id is skipped, and a
//! text longer than [`MAX_ENTRY_BYTES`] is replaced by an empty one, which can't be read either.

use crate::gateway::dispatch::event::{EndpointChange, EndpointSpec, Event};
use crate::gateway::shell::GatewayShared;
use crate::gateway::shell::dialect::Entry;
use crate::gateway::shell::faults::FaultKind;
use crate::gateway::shell::watcher::StoreChange;
use crate::schema::EndpointId;

/// Maximum length of an entry that is read, in bytes; an entry that an endpoint writes has about
/// 300.
const MAX_ENTRY_BYTES: usize = 16 << 10;

/// Caches entries that were read at a revision of the store for peers; returns the event for the
/// dispatcher, or `None` if nothing has changed.
pub fn load_endpoints(change: StoreChange, revision: u64, shared: &GatewayShared) -> Option<Event> {
    let (entries, is_whole) = match change {
        StoreChange::Listed(entries) => (entries, true),
        StoreChange::Changed(entries) => (entries, false),
    };
    let with_ids = entries.into_iter().filter_map(|e| with_id(e, shared));
    let (ids, entries): (Vec<EndpointId>, Vec<Entry>) = with_ids.unzip();
    let at = shared.cache_endpoints(&entries, is_whole, revision)?;
    let with_ids = ids.iter().zip(&entries);
    let changes = with_ids.map(|(id, entry)| read_change(id, entry, shared));
    let changes: Vec<EndpointChange> = changes.collect();
    if !is_whole {
        return Some(Event::EndpointsChanged { changes, at });
    }
    let (specs, unreadable) = split_list(changes);
    Some(Event::EndpointsListed {
        specs,
        unreadable,
        at,
    })
}

/// An entry with the id of its endpoint, if its name is a valid id. Clears a text that is too long.
fn with_id(entry: Entry, shared: &GatewayShared) -> Option<(EndpointId, Entry)> {
    let id = match entry.name.parse() {
        Ok(id) => id,
        Err(e) => {
            let detail = format_args!("{:?}: {e}; remove the entry", entry.name);
            shared
                .faults
                .report_once(FaultKind::EndpointEntry, &entry.name, &detail);
            return None;
        }
    };
    let is_too_long = entry
        .text
        .as_ref()
        .is_some_and(|text| text.len() > MAX_ENTRY_BYTES);
    let text = if is_too_long {
        Some(String::new())
    } else {
        entry.text
    };
    Some((id, Entry { text, ..entry }))
}

/// Reads the change of an endpoint from its entry.
fn read_change(id: &EndpointId, entry: &Entry, shared: &GatewayShared) -> EndpointChange {
    let Some(text) = &entry.text else {
        return EndpointChange::Absent(id.clone());
    };
    match shared.dialect.read_endpoint(entry) {
        Ok(spec) => EndpointChange::Present(spec),
        Err(e) => {
            let content = format!("{id} {text}");
            shared
                .faults
                .report_once(FaultKind::EndpointEntry, &content, &e);
            EndpointChange::Unreadable(id.clone())
        }
    }
}

/// Splits a full list into endpoints and the ids of entries that can't be read.
fn split_list(changes: Vec<EndpointChange>) -> (Vec<EndpointSpec>, Vec<EndpointId>) {
    let mut specs = Vec::new();
    let mut unreadable = Vec::new();
    for change in changes {
        match change {
            EndpointChange::Present(spec) => specs.push(spec),
            EndpointChange::Unreadable(id) => unreadable.push(id),
            EndpointChange::Absent(_) => {}
        }
    }
    (specs, unreadable)
}
