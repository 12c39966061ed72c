//! Ports for processes that are started later, which no other process of the laboratory or the
//! tests takes meanwhile.
//!
//! A port that was found free can be taken by another process before it is used. So each process
//! claims whole blocks: it listens on the first port of a block for as long as it lives, and hands
//! out the rest.

use std::net::TcpListener;
use std::ops::Range;
use std::sync::{Mutex, PoisonError};

use crate::process::hold_starts;

/// The ports that are handed out: below those that the system gives to outgoing connections, which
/// could otherwise take the port of a process that is about to be started again.
const PORTS: Range<u16> = 10_000..32_000;
/// Ports of a block, the first of which claims it. Chosen: a test needs some 20.
const BLOCK: u16 = 100;

/// A block that this process has claimed.
#[derive(Debug)]
pub struct Block {
    _claim: TcpListener,
    left: Range<u16>,
}

impl Block {
    /// Claims the first block that nobody has, beginning with the one of this number.
    #[must_use]
    pub fn claim(number: u32) -> Option<Self> {
        let blocks = u32::from((PORTS.end - PORTS.start) / BLOCK);
        let candidates = (0..blocks).map(|n| ((number + n) % blocks) as u16);
        candidates.into_iter().find_map(|number| {
            let first = PORTS.start + number * BLOCK;
            let claim = TcpListener::bind(("127.0.0.1", first)).ok()?;
            Some(Self {
                _claim: claim,
                left: first + 1..first + BLOCK,
            })
        })
    }

    /// The next port of the block on which nobody listens.
    pub fn next_free(&mut self) -> Option<u16> {
        // A process that is started meanwhile would hold the port a little longer.
        let _no_starts = hold_starts();
        self.left
            .find(|port| TcpListener::bind(("127.0.0.1", *port)).is_ok())
    }
}

/// The blocks of this process; only the last one has ports left.
static CLAIMED: Mutex<Vec<Block>> = Mutex::new(Vec::new());

/// Finds ports of the loopback address that are free now; none is handed out twice in a process.
///
/// # Errors
///
/// That there are none.
pub fn free_ports(count: usize) -> std::io::Result<Vec<u16>> {
    let mut claimed = CLAIMED.lock().unwrap_or_else(PoisonError::into_inner);
    let mut ports = Vec::new();
    while ports.len() < count {
        if let Some(port) = claimed.last_mut().and_then(Block::next_free) {
            ports.push(port);
            continue;
        }
        let block = Block::claim(std::process::id())
            .ok_or_else(|| std::io::Error::other("no free ports; end processes that listen"))?;
        claimed.push(block);
    }
    Ok(ports)
}
