//! Reads a configuration from the store or from a peer, caches it for peers, and sends it to the
//! control thread.
//!
//! The processor time for unpacking, checking and packing grows with the configuration (73 ms for
//! 0.8 MB on 0.12 of a core), so a blocking thread does it and not a traffic thread.

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
    /// As read from the store.
    Plain(Entry),
    /// As received from a peer.
    Packed(PackedText),
}

/// Origin of a configuration.
#[derive(Clone, Debug)]
pub struct TableSource {
    /// `store`, or the address of a peer.
    pub from: String,
    /// Time at which the store answered the box that read it, by this box's clock.
    pub read_at: Instant,
}

/// Checks a configuration; caches it and sends it to the control thread if it is newer.
pub async fn load_table(text: TableText, source: TableSource, shared: &GatewayShared) {
    let started_at = Instant::now();
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
    for ignored in table.ignored() {
        shared.record(&Record::Process {
            state: "table_value_ignored".into(),
            detail: ignored.clone(),
        });
    }
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
        check_ms: started_at.elapsed().as_millis() as u64,
        age_ms: source.read_at.elapsed().as_millis() as u64,
        is_newer,
    });
    if is_newer {
        let event = Event::Table(std::sync::Arc::new(table));
        shared.send(Input::Event(event)).await;
    }
}

/// A table, and its text as it is sent to peers.
type CheckedTable = (RoutingTable, PackedText);

/// Reads and checks a text; `None` if it isn't a configuration.
fn read(text: TableText, dialect: &dyn Dialect) -> Option<Result<CheckedTable, TableError>> {
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
        message: format!("the configuration can't be read: {e}; write a valid one"),
    }
}
