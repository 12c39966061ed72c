//! Tunnels over real sockets: how the end of a server's connection and the loss of the forwarding
//! process are told apart.

use std::sync::Arc;

use magpiemoor::http::tunnel::{Tunnel, TunnelState, forward};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

struct Forwarded {
    tunnel: Tunnel,
    server: TcpStream,
    forwarding: JoinHandle<()>,
    stop: oneshot::Sender<()>,
}

async fn pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let near = TcpStream::connect(listener.local_addr().unwrap());
    let (near, accepted) = tokio::join!(near, listener.accept());
    (near.unwrap(), accepted.unwrap().0)
}

async fn forwarded() -> Forwarded {
    let (near, far) = pair().await;
    let (to_server, server) = pair().await;
    let (stop, stopped) = oneshot::channel::<()>();
    let stopping = async {
        if stopped.await.is_err() {
            std::future::pending::<()>().await;
        }
    };
    Forwarded {
        tunnel: Tunnel::new(near),
        server,
        forwarding: tokio::spawn(forward(far, to_server, stopping)),
        stop,
    }
}

async fn read_to_end(tunnel: &mut Tunnel) -> std::io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    tunnel.reader.read_to_end(&mut bytes).await.map(|_| bytes)
}

fn state(tunnel: &Tunnel) -> Arc<TunnelState> {
    Arc::clone(&tunnel.state)
}

#[tokio::test]
async fn bytes_pass_both_ways_until_the_server_closes() {
    let mut all = forwarded().await;
    all.tunnel.writer.write_all(b"ask").await.unwrap();
    let mut asked = [0; 3];
    all.server.read_exact(&mut asked).await.unwrap();
    assert_eq!(&asked, b"ask");
    all.server.write_all(b"answer").await.unwrap();
    drop(all.server);
    assert_eq!(read_to_end(&mut all.tunnel).await.unwrap(), b"answer");
    assert!(!state(&all.tunnel).is_lost());
}

#[tokio::test]
async fn a_reset_of_the_server_is_an_error_and_no_loss_of_the_tunnel() {
    let mut all = forwarded().await;
    all.server.write_all(b"half").await.unwrap();
    let mut half = [0; 4];
    all.tunnel.reader.read_exact(&mut half).await.unwrap();
    all.server.set_zero_linger().unwrap();
    drop(all.server);
    assert!(read_to_end(&mut all.tunnel).await.is_err());
    assert!(!state(&all.tunnel).is_lost());
}

/// A process that exits closes its connections, which would complete an answer without a length.
#[tokio::test]
async fn the_exit_of_the_forwarding_process_is_an_error_and_a_loss() {
    let mut all = forwarded().await;
    all.server.write_all(b"half").await.unwrap();
    let mut half = [0; 4];
    all.tunnel.reader.read_exact(&mut half).await.unwrap();
    all.forwarding.abort();
    assert!(read_to_end(&mut all.tunnel).await.is_err());
    assert!(state(&all.tunnel).is_lost());
}

#[tokio::test]
async fn the_server_is_left_when_the_near_side_closes() {
    let mut all = forwarded().await;
    drop(all.tunnel);
    let mut rest = Vec::new();
    assert_eq!(all.server.read_to_end(&mut rest).await.unwrap(), 0);
}

#[tokio::test]
async fn a_process_that_stops_says_so_while_it_forwards_on() {
    let mut all = forwarded().await;
    all.stop.send(()).unwrap();
    all.server.write_all(b"1").await.unwrap();
    let mut byte = [0];
    all.tunnel.reader.read_exact(&mut byte).await.unwrap();
    while !state(&all.tunnel).is_stopping() {
        all.server.write_all(b"2").await.unwrap();
        all.tunnel.reader.read_exact(&mut byte).await.unwrap();
    }
}
