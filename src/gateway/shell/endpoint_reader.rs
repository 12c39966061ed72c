//! Reads entries of the list of endpoints, each alone, wherever they came from, and keeps them for
//! peers.
//!
//! Other writers make entries too. One that can't be read names no endpoint to use and spoils no
//! other; a peer that gets it passed on comes to the same verdict. It is counted and told once, by its
//! name. One whose name can't be an endpoint's is left out, and no text of an entry takes more than
//! [`LONGEST_ENTRY`].

use crate::gateway::dispatch::event::{EndpointChange, EndpointSpec, Event};
use crate::gateway::shell::GatewayShared;
use crate::gateway::shell::dialect::Entry;
use crate::gateway::shell::faults::FaultKind;
use crate::gateway::shell::watcher::StoreChange;
use crate::schema::EndpointId;

/// The longest entry that is read, in bytes: an endpoint's own is some 300 bytes.
const LONGEST_ENTRY: usize = 16 << 10;

/// Keeps entries that were read at a revision of the store for peers; returns what they say, if any
/// of them has changed.
pub fn take_endpoints(change: StoreChange, at: u64, shared: &GatewayShared) -> Option<Event> {
    let (entries, is_whole) = match change {
        StoreChange::Listed(entries) => (entries, true),
        StoreChange::Changed(entries) => (entries, false),
    };
    let named = entries.into_iter().filter_map(|e| named(e, shared));
    let (ids, entries): (Vec<EndpointId>, Vec<Entry>) = named.unzip();
    let at = shared.cache_endpoints(&entries, is_whole, at)?;
    let named = ids.iter().zip(&entries);
    let changes = named.map(|(id, entry)| change_of(id, entry, shared));
    let changes: Vec<EndpointChange> = changes.collect();
    if !is_whole {
        return Some(Event::EndpointsChanged { changes, at });
    }
    let (specs, unreadable) = whole_list(changes);
    Some(Event::EndpointsListed {
        specs,
        unreadable,
        at,
    })
}

/// An entry with the id of its endpoint, if its name can be one; a text that is too long is left out.
fn named(entry: Entry, shared: &GatewayShared) -> Option<(EndpointId, Entry)> {
    let id = match entry.name.parse() {
        Ok(id) => id,
        Err(e) => {
            let detail = format_args!("{:?}: {e}; take the entry away", entry.name);
            shared
                .faults
                .report_once(FaultKind::EndpointEntry, &entry.name, &detail);
            return None;
        }
    };
    let is_too_long = entry
        .text
        .as_ref()
        .is_some_and(|text| text.len() > LONGEST_ENTRY);
    let text = if is_too_long {
        Some(String::new())
    } else {
        entry.text
    };
    Some((id, Entry { text, ..entry }))
}

/// What an entry says of its endpoint.
fn change_of(id: &EndpointId, entry: &Entry, shared: &GatewayShared) -> EndpointChange {
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

/// The endpoints of a whole list, and those whose entries can't be read.
fn whole_list(changes: Vec<EndpointChange>) -> (Vec<EndpointSpec>, Vec<EndpointId>) {
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
