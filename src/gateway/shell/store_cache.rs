//! What was read from the platform's store, as it was read, for peers that ask.
//!
//! Owns: the last table, packed; the list of endpoints, and which of them changed at which
//! revision. A peer that is behind by no more than [`CHANGES_KEPT`] changes gets those, another one
//! the whole list, packed: 326 endpoints are some 90 KB of text, and at 20 Mbit/s it took 0.28 s
//! until the median box of 59 had them all from the two that read the store.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{Error, Result};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::gateway::dispatch::table::TableVersion;
use crate::gateway::shell::dialect::Entry;
use crate::gateway::shell::packed::PackedText;
use crate::schema::{PackedEntries, StateEntry};

/// A configuration that was read.
#[derive(Clone, Debug)]
pub struct CachedTable {
    /// Its version.
    pub version: TableVersion,
    /// Its text.
    pub text: PackedText,
    /// When the store answered the box that read it, by this box's clock.
    pub read_at: Instant,
}

impl CachedTable {
    /// How long ago the store answered the box that read it.
    #[must_use]
    pub fn age(&self) -> Duration {
        self.read_at.elapsed()
    }
}

/// What was read from the platform, as it was read.
#[derive(Debug, Default)]
pub(super) struct StoreCache {
    pub(super) table: Option<CachedTable>,
    endpoints: BTreeMap<String, String>,
    /// The revision at which the list of endpoints changed last.
    pub(super) endpoints_at: u64,
    /// What has changed, the newest last.
    changes: VecDeque<(u64, String)>,
    /// The revision after which all changes are kept.
    changes_after: u64,
    /// The whole list at a revision, packed.
    whole: Mutex<Option<(u64, PackedEntries)>>,
}

/// How many changes of the list of endpoints are kept for peers.
const CHANGES_KEPT: usize = 2_048;

impl StoreCache {
    /// Takes entries in; returns whether any of them has changed. A page from before the revision
    /// that is known tells nothing new, though it came late: it would bring back what has changed
    /// since.
    pub(super) fn take(&mut self, entries: &[Entry], is_whole: bool, at: u64) -> bool {
        if at < self.endpoints_at {
            return false;
        }
        let changed = self.changed(entries, at);
        let gone = if is_whole {
            self.missing_from(entries)
        } else {
            Vec::new()
        };
        let is_first = self.endpoints_at == 0;
        if changed.is_empty() && gone.is_empty() && !is_first {
            return false;
        }
        let names = changed.into_iter().chain(gone.clone());
        self.changes.extend(names.map(|name| (at, name)));
        for entry in entries {
            match &entry.text {
                Some(text) => self.endpoints.insert(entry.name.clone(), text.clone()),
                None => self.endpoints.remove(&entry.name),
            };
        }
        self.endpoints.retain(|name, _| !gone.contains(name));
        self.endpoints_at = self.endpoints_at.max(at);
        if is_first {
            self.changes_after = at;
        }
        while self.changes.len() > CHANGES_KEPT {
            if let Some((at, _)) = self.changes.pop_front() {
                self.changes_after = at;
            }
        }
        true
    }

    /// The entries that tell something new.
    fn changed(&self, entries: &[Entry], at: u64) -> Vec<String> {
        let is_news = at > self.endpoints_at;
        let changed = entries.iter().filter(|entry| {
            // An endpoint that came and went between two reads is known to some boxes by its own
            // word, so its going is passed on though it was never listed here. Without that one sent
            // a request 3.9 s after it had said that it leaves (docs/FINDINGS.md).
            let is_going = is_news && entry.text.is_none();
            is_going || self.endpoints.get(&entry.name) != entry.text.as_ref()
        });
        changed.map(|entry| entry.name.clone()).collect()
    }

    /// What is known and doesn't stand in a whole list.
    fn missing_from(&self, entries: &[Entry]) -> Vec<String> {
        let listed: BTreeSet<&String> = entries.iter().map(|entry| &entry.name).collect();
        let known = self.endpoints.keys();
        known
            .filter(|name| !listed.contains(name))
            .cloned()
            .collect()
    }

    /// What has changed after a revision, or all there is, packed; and which of the two.
    ///
    /// # Errors
    ///
    /// If it is too long.
    pub(super) fn packed_since(&self, after: u64) -> Result<(PackedEntries, bool)> {
        if after >= self.endpoints_at {
            return Ok((pack(&[])?, false));
        }
        if after < self.changes_after {
            return Ok((self.packed_whole()?, true));
        }
        let newer = self.changes.iter().filter(|(at, _)| *at > after);
        let names: BTreeSet<&String> = newer.map(|(_, name)| name).collect();
        let changed = names.into_iter().map(|name| StateEntry {
            name: name.clone(),
            text: self.endpoints.get(name).cloned(),
        });
        Ok((pack(&changed.collect::<Vec<_>>())?, false))
    }

    /// The whole list, packed once for all that ask before it changes.
    fn packed_whole(&self) -> Result<PackedEntries> {
        let mut kept = self
            .whole
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        if let Some((at, packed)) = &*kept
            && *at == self.endpoints_at
        {
            return Ok(packed.clone());
        }
        let all = self.endpoints.iter().map(|(name, text)| StateEntry {
            name: name.clone(),
            text: Some(text.clone()),
        });
        let packed = pack(&all.collect::<Vec<_>>())?;
        *kept = Some((self.endpoints_at, packed.clone()));
        Ok(packed)
    }
}

fn pack(entries: &[StateEntry]) -> Result<PackedEntries> {
    let text = serde_json::to_string(entries).map_err(Error::other)?;
    let packed = PackedText::pack(&text)?;
    Ok(PackedEntries {
        text_bytes: packed.text_bytes,
        packed: packed.bytes.to_vec(),
    })
}

/// Reads entries that a peer packed.
///
/// # Errors
///
/// If they are no packed entries.
pub fn unpack(packed: PackedEntries) -> Result<Vec<StateEntry>> {
    let text = PackedText {
        text_bytes: packed.text_bytes,
        bytes: packed.packed.into(),
    };
    serde_json::from_str(&text.unpack()?).map_err(Error::other)
}
