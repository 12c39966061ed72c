//! A link of limited rate, and a relay that leads connections over it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::Instant;

/// How many bytes pass a link at once, so that transfers that share it get equal parts.
const LINK_STEP: usize = 4 << 10;
/// The way out of a box: bytes pass at a limited rate, in the order in which they come.
#[derive(Debug)]
pub(super) struct Link {
    rate: f64,
    state: Mutex<(Instant, u64)>,
}

impl Link {
    /// A link that takes so many bytes each second.
    pub(super) fn new(rate: f64) -> Self {
        Self {
            rate,
            state: Mutex::new((Instant::now(), 0)),
        }
    }

    async fn pass(&self, bytes: usize) {
        let due = {
            let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
            let from = state.0.max(Instant::now());
            state.0 = from + Duration::from_secs_f64(bytes as f64 / self.rate);
            state.1 += bytes as u64;
            state.0
        };
        tokio::time::sleep_until(due).await;
    }

    /// Bytes that have passed.
    pub(super) fn passed(&self) -> u64 {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).1
    }
}

/// Leads connections to a box, whose answers pass its link.
pub(super) async fn relay(listener: TcpListener, to: SocketAddr, link: Arc<Link>) {
    let mut open = JoinSet::new();
    while let Ok((asker, _)) = listener.accept().await {
        let link = Arc::clone(&link);
        open.spawn(async move {
            if let Ok(giver) = TcpStream::connect(to).await {
                // What ends a connection is seen by the asker.
                let _ = carry(asker, giver, &link).await;
            }
        });
    }
}

async fn carry(asker: TcpStream, giver: TcpStream, link: &Link) -> std::io::Result<()> {
    let (mut from_asker, mut to_asker) = asker.into_split();
    let (mut from_giver, mut to_giver) = giver.into_split();
    let questions = async {
        tokio::io::copy(&mut from_asker, &mut to_giver).await?;
        // The asker has closed; its answer is of no use.
        Err::<(), std::io::Error>(std::io::ErrorKind::BrokenPipe.into())
    };
    let answers = async {
        let mut buf = vec![0; LINK_STEP];
        loop {
            let read = from_giver.read(&mut buf).await?;
            if read == 0 {
                return to_asker.shutdown().await;
            }
            link.pass(read).await;
            to_asker.write_all(&buf[..read]).await?;
        }
    };
    tokio::select! {
        ended = questions => ended,
        ended = answers => ended,
    }
}
