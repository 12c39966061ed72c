//! The memory that a box holds for the bodies of requests and answers and for events, and its limit,
//! the setting `held_bytes`.
//!
//! Requests reserve their memory before their body is read; answers and events as they arrive. What is
//! reserved is released once the bytes are dropped. Answers and events of up to [`MIN_HELD_BYTES`] are
//! held whether or not the limit is reached.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::{Bytes, BytesMut};

use crate::http::read_limit::{PeerBody, ReadError, read_limited};

/// Size up to which an answer or an event is held in any case: the usual ones fit into it.
const MIN_HELD_BYTES: usize = 64 << 10;

/// The memory of a box for bodies and events; clones count towards the same limit.
#[derive(Clone, Debug)]
pub struct HeldMemory {
    reserved_bytes: Arc<AtomicUsize>,
    limit: usize,
}

impl HeldMemory {
    /// Memory of which nothing is reserved, with a limit in bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            reserved_bytes: Arc::default(),
            limit,
        }
    }

    /// Reserves memory; returns `None` if the limit would be exceeded.
    #[must_use]
    pub fn reserve(&self, bytes: usize) -> Option<Reservation> {
        let mut reservation = self.reserve_nothing();
        let total = reservation.grow_to(bytes);
        (total <= self.limit).then_some(reservation)
    }

    /// Reads the complete body of an answer, up to `max_bytes`, and holds it for as long as the
    /// returned bytes exist.
    ///
    /// # Errors
    ///
    /// Fails if the body is too long, there is no memory for it, or it is cut short.
    pub async fn hold_answer(&self, body: PeerBody, max_bytes: usize) -> Result<Bytes, ReadError> {
        let mut reservation = self.reserve_nothing();
        let is_admitted = |bytes| reservation.admits(bytes);
        let bytes = read_limited(body, max_bytes, is_admitted).await?;
        Ok(Bytes::from_owner(HeldAnswer {
            bytes,
            _reservation: reservation,
        }))
    }

    /// Holds an event for as long as the returned bytes exist. Returns `None` if there is no memory
    /// for it.
    #[must_use]
    pub fn hold(&self, bytes: Bytes) -> Option<Bytes> {
        let mut reservation = self.reserve_nothing();
        reservation.admits(bytes.len()).then(|| {
            Bytes::from_owner(HeldEvent {
                bytes,
                _reservation: reservation,
            })
        })
    }

    /// Memory for the part of a stream that waits for the end of an event; none is reserved yet.
    #[must_use]
    pub fn of_stream(&self) -> StreamMemory {
        StreamMemory {
            reservation: self.reserve_nothing(),
        }
    }

    fn reserve_nothing(&self) -> Reservation {
        Reservation {
            memory: self.clone(),
            bytes: 0,
        }
    }
}

/// Memory reserved for a body or an event; released when it is dropped.
#[derive(Debug)]
pub struct Reservation {
    memory: HeldMemory,
    bytes: usize,
}

impl Reservation {
    /// Reserves memory up to `bytes`; returns how many bytes the box then has reserved in all.
    fn grow_to(&mut self, bytes: usize) -> usize {
        let more = bytes.saturating_sub(self.bytes);
        let reserved = &self.memory.reserved_bytes;
        let before = reserved.fetch_add(more, Ordering::Relaxed);
        self.bytes += more;
        before + more
    }

    /// Reserves memory for an answer or event that now takes `bytes`. Returns whether that is within
    /// the limit, or within [`MIN_HELD_BYTES`].
    fn admits(&mut self, bytes: usize) -> bool {
        let total = self.grow_to(bytes);
        bytes <= MIN_HELD_BYTES || total <= self.memory.limit
    }

    /// Releases memory above `bytes`.
    fn shrink_to(&mut self, bytes: usize) {
        let less = self.bytes.saturating_sub(bytes);
        let reserved = &self.memory.reserved_bytes;
        reserved.fetch_sub(less, Ordering::Relaxed);
        self.bytes -= less;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}

/// Memory for the part of a stream that waits for the end of an event.
#[derive(Debug)]
pub struct StreamMemory {
    reservation: Reservation,
}

impl StreamMemory {
    /// Sets how many bytes wait. Returns whether there is memory for them.
    pub fn set(&mut self, bytes: usize) -> bool {
        self.reservation.shrink_to(bytes);
        self.reservation.admits(bytes)
    }
}

/// An event on its way to a caller, and the memory reserved for it.
struct HeldEvent {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for HeldEvent {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// The body of an answer, and the memory reserved for it.
struct HeldAnswer {
    bytes: BytesMut,
    _reservation: Reservation,
}

impl AsRef<[u8]> for HeldAnswer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
