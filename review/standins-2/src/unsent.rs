//! LOST: a daemon gets SIGTERM while answers are on their way to clients that read slowly.

use std::io::Read;
use std::net::{SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::daemon::{Daemon, Ports, address, free_port};
use crate::http::{Wire, answer};
use crate::play::{HOST, KEY, Play, Route, Service, TENANTS, Verdict, config, server_entry};
use crate::store::Store;
use crate::sys;

/// Size of an answer.
const ANSWER_BYTES: usize = 4_000_000;
/// Bytes that a client reads at a time, and the time between two reads: 600 kB a second.
const READ_BYTES: usize = 60_000;
const READ_INTERVAL: Duration = Duration::from_millis(100);
/// Receive buffer of a client.
const RECEIVE_BUFFER: i32 = 32_768;
/// Clients that ask at the same time.
const CLIENTS: usize = 6;
/// How long the clients wait.
const DEADLINE: Duration = Duration::from_secs(20);
/// When SIGTERM is sent, after the requests.
const TERM_AFTER: Duration = Duration::from_millis(600);
/// `graceS` of the settings.
const GRACE: Duration = Duration::from_secs(8);

fn body_of(id: &str) -> Vec<u8> {
    let line = format!("{id} 0123456789 abcdefghijklmnopqrstuvwxyz\n");
    line.bytes().cycle().take(ANSWER_BYTES).collect()
}

/// A sound server: answers each request at once with its whole body.
fn serve(listener: TcpListener, instance: String, play: Play, runs: Arc<AtomicUsize>) {
    for socket in listener.incoming().flatten() {
        let (instance, play, runs) = (instance.clone(), play.clone(), Arc::clone(&runs));
        thread::spawn(move || {
            let mut wire = Wire::new(socket);
            while let Ok(Some(request)) = wire.request() {
                let Some(id) = request.header("magpiemoor-attempt-id").map(str::to_owned) else {
                    let health = [("Magpiemoor-Instance-Id", instance.as_str())];
                    let _ = wire.send(&answer(200, &health, b""));
                    continue;
                };
                runs.fetch_add(1, Ordering::Relaxed);
                let headers = [
                    ("Magpiemoor-Attempt-Id", id.as_str()),
                    ("Magpiemoor-Server-Stamp", "3e1b.07.5a2.600.0.c9f2a4d1"),
                    ("Content-Type", "text/plain"),
                ];
                let sent = wire.send(&answer(200, &headers, &body_of(&id)));
                play.note(&format!(
                    "server {instance} ran {id}; whole answer sent: {}",
                    sent.is_ok()
                ));
                if sent.is_err() {
                    return;
                }
            }
        });
    }
}

/// What a client got.
struct Got {
    id: String,
    status: u16,
    bytes: usize,
    is_whole: bool,
    ended_after: Duration,
}

/// Sends a request and reads its answer slowly, in whole steps of [`READ_INTERVAL`].
fn ask(to: SocketAddrV4, id: &str, play: &Play) -> std::io::Result<Got> {
    let socket = sys::connect_as_remote(to, RECEIVE_BUFFER)?;
    let request = format!(
        "GET /report/{id} HTTP/1.1\r\nHost: {HOST}\r\nMagpiemoor-Attempt-Id: {id}\r\nMagpiemoor-Deadline-Ms: {}\r\nMagpiemoor-Credential: {KEY}\r\n\r\n",
        DEADLINE.as_millis()
    );
    let started = Instant::now();
    let mut wire = Wire::new(socket);
    wire.send(request.as_bytes())?;
    play.note(&format!("client sends {id}"));
    let head = wire.head()?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
    let mut body = wire.take_buffer();
    let length = head.length().unwrap_or_default();
    let mut socket: TcpStream = wire.socket;
    socket.set_read_timeout(Some(DEADLINE))?;
    let mut part = vec![0; READ_BYTES];
    while body.len() < length {
        thread::sleep(READ_INTERVAL);
        match socket.read(&mut part) {
            Ok(0) | Err(_) => break,
            Ok(count) => body.extend_from_slice(&part[..count]),
        }
    }
    Ok(Got {
        id: id.to_owned(),
        status: head.status(),
        bytes: body.len(),
        is_whole: body == body_of(id),
        ended_after: started.elapsed(),
    })
}

fn v4(address: SocketAddr) -> SocketAddrV4 {
    match address {
        SocketAddr::V4(v4) => v4,
        SocketAddr::V6(_) => unreachable!("all addresses are of IPv4"),
    }
}

pub fn run(play: &Play) -> std::io::Result<Verdict> {
    let store = Store::start(address(1, free_port()))?;
    let routes = [Route {
        prefix: "/report/",
        kind: "safe",
        service: "reports",
        timeout_ms: 25_000,
        target_ms: 4_500,
        attempts: 2,
    }];
    let services = [Service {
        name: "reports",
        engine_slots: None,
    }];
    let runs = Arc::new(AtomicUsize::new(0));
    for (number, zone) in ["north", "south"].into_iter().enumerate() {
        let at = address(1, free_port());
        let instance = format!("i-report-{number}");
        let entry = server_entry("reports", &at.to_string(), zone, 16, "ready");
        store.put_text("servers", &instance, &entry);
        let listener = TcpListener::bind(at)?;
        let (play, runs) = (play.clone(), Arc::clone(&runs));
        thread::spawn(move || serve(listener, instance, play, runs));
    }
    store.put_text("config", "main", &config(7, &routes, &services, &TENANTS));
    let ports = Ports::free();
    let mut daemons: Vec<Daemon> = [(1, "north"), (2, "south")]
        .into_iter()
        .map(|(ip, zone)| Daemon::plan(ip, zone, ports, store.address, &play.folder))
        .collect();
    for daemon in &mut daemons {
        daemon.start()?;
    }
    if !daemons
        .iter()
        .all(|daemon| daemon.until_ready(Duration::from_secs(15)))
    {
        play.note("the daemons did not become ready");
        return Ok(Verdict::Unplayed);
    }
    // The machine has been in touch for longer than contactMs.
    thread::sleep(Duration::from_millis(4_500));

    let front = v4(daemons[0].front);
    let results: Arc<Mutex<Vec<Got>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (play, results) = (play.clone(), Arc::clone(&results));
            thread::spawn(move || {
                let id = format!("report{number:02}");
                match ask(front, &id, &play) {
                    Ok(got) => results
                        .lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .push(got),
                    Err(e) => play.note(&format!("client {id} got no head: {e}")),
                }
            })
        })
        .collect();
    thread::sleep(TERM_AFTER);
    let term = Instant::now();
    if play.has_trouble {
        play.note(&format!("platform sends SIGTERM to {}", daemons[0].name));
        daemons[0].signal(sys::SIGTERM);
        while !daemons[0].has_ended() && term.elapsed() < GRACE {
            thread::sleep(Duration::from_millis(10));
        }
        play.note(&format!(
            "{} has ended by itself {:.2} s after SIGTERM; graceS is {} s",
            daemons[0].name,
            term.elapsed().as_secs_f64(),
            GRACE.as_secs()
        ));
    }
    for client in clients {
        let _ = client.join();
    }
    let results = results.lock().unwrap_or_else(PoisonError::into_inner);
    let mut lost = CLIENTS - results.len();
    for got in results.iter() {
        play.note(&format!(
            "client {} got {}, {} of {ANSWER_BYTES} bytes, whole: {}, after {:.2} s",
            got.id,
            got.status,
            got.bytes,
            got.is_whole,
            got.ended_after.as_secs_f64()
        ));
        if !got.is_whole {
            lost += 1;
        }
    }
    play.note(&format!(
        "requests that servers ran: {}; requests without a complete answer: {lost}",
        runs.load(Ordering::Relaxed)
    ));
    if runs.load(Ordering::Relaxed) < CLIENTS {
        return Ok(Verdict::Unplayed);
    }
    Ok(if lost > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
