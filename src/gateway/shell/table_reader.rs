//! Reads a configuration wherever it came from, keeps it for peers, and hands it on.
//!
//! Unpacking, checking and packing take processor time that grows with the configuration (73 ms for
//! 0.8 MB on 0.12 of a core, docs/incidents/late-table.md), so a thread that moves no bytes of
//! callers does it.

use std::time::Instant;

use crate::gateway::dispatch::event::Event;
use crate::gateway::dispatch::record::Record;
use crate::gateway::dispatch::table::{RoutingTable, TableError};
use crate::gateway::shell::GatewayShared;
use crate::gateway::shell::dialect::{Dialect, Entry};
use crate::gateway::shell::input::Input;
use crate::gateway::shell::packed::PackedText;
use crate::gateway::shell::store_cache::CachedTable;

/// The text of a configuration.
#[derive(Clone, Debug)]
pub enum TableText {
    /// As the store gave it.
    Plain(Entry),
    /// As a peer passed it on.
    Packed(PackedText),
}

/// Where a configuration was read.
#[derive(Clone, Debug)]
pub struct TableSource {
    /// `store`, or the address of a peer.
    pub from: String,
    /// When the store answered the box that read it.
    pub read_at: Instant,
}

/// Takes a configuration in.
pub async fn take_table(text: TableText, source: TableSource, shared: &GatewayShared) {
    let began = Instant::now();
    let dialect = shared.dialect.clone();
    let reading = tokio::task::spawn_blocking(move || read(text, dialect.as_ref()));
    let read = match reading.await {
        Ok(Some(read)) => read,
        Ok(None) => return,
        Err(e) => Err(error(&e)),
    };
    let (table, packed) = match read {
        Ok(read) => read,
        Err(e) => {
            return shared.record(&Record::Process {
                state: "table_refused".into(),
                detail: e.to_string(),
            });
        }
    };
    let version = table.version();
    let text_bytes = packed.text_bytes;
    let is_newer = shared.cache_table(CachedTable {
        version,
        text: packed,
        read_at: source.read_at,
    });
    shared.record(&Record::TableRead {
        version: version.0,
        from: source.from,
        bytes: text_bytes.into(),
        check_ms: began.elapsed().as_millis() as u64,
        age_ms: source.read_at.elapsed().as_millis() as u64,
        is_newer,
    });
    if is_newer {
        let event = Event::Table(std::sync::Arc::new(table));
        shared.send(Input::Event(event)).await;
    }
}

/// A table, and its text as peers get it.
type Checked = (RoutingTable, PackedText);

/// Reads and checks a text; `None` where it is no configuration.
fn read(text: TableText, dialect: &dyn Dialect) -> Option<Result<Checked, TableError>> {
    match text {
        TableText::Plain(entry) => {
            let text = entry.text.as_deref()?;
            let table = dialect.read_table(&entry)?;
            Some(table.and_then(|table| {
                let packed = PackedText::pack(text).map_err(|e| error(&e))?;
                Ok((table, packed))
            }))
        }
        TableText::Packed(packed) => {
            let text = match packed.unpack() {
                Ok(text) => text,
                Err(e) => return Some(Err(error(&e))),
            };
            let entry = Entry {
                name: String::new(),
                text: Some(text),
            };
            let table = dialect.read_table(&entry)?;
            Some(table.map(|table| (table, packed)))
        }
    }
}

fn error(e: &dyn std::fmt::Display) -> TableError {
    TableError {
        message: format!("the configuration can't be read: {e}; write it anew"),
    }
}
