//! CONFIG: the platform's store turns the machines away that watch it, and serves the others and the
//! operator; a new configuration moves a route to another service.

use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::daemon::{Daemon, Ports, address, free_port};
use crate::http::{Wire, answer};
use crate::play::{HOST, KEY, Play, Route, Service, TENANTS, Verdict, config, server_entry};
use crate::store::Store;

const ZONES: [&str; 3] = ["north", "south", "east"];
/// Machines of a zone.
const PER_ZONE: usize = 6;
const MACHINES: usize = ZONES.len() * PER_ZONE;
/// The largest share of the machines that the store turns away at once.
const MOST_TURNED_AWAY: f64 = 0.35;
/// How long the store turns them away.
const TURNED_AWAY_FOR: Duration = Duration::from_secs(9);
/// Time from then until the operator writes the new configuration.
const CHANGE_AFTER: Duration = Duration::from_millis(300);
/// `configApplyMs` of integra-quito-grown.
const CONFIG_APPLY: Duration = Duration::from_millis(3_000);
/// Time between two rounds of requests.
const ROUND: Duration = Duration::from_millis(200);
/// How long the machines run before.
const STEADY: Duration = Duration::from_secs(10);

/// A run at a server.
#[derive(Clone)]
struct Run {
    id: String,
    service: &'static str,
}

type Runs = Arc<Mutex<Vec<Run>>>;

fn serve(listener: TcpListener, instance: String, service: &'static str, runs: Runs) {
    for socket in listener.incoming().flatten() {
        let (instance, runs) = (instance.clone(), Arc::clone(&runs));
        thread::spawn(move || {
            let mut wire = Wire::new(socket);
            while let Ok(Some(request)) = wire.request() {
                let bytes = match request.header("magpiemoor-attempt-id") {
                    None => answer(200, &[("Magpiemoor-Instance-Id", instance.as_str())], b""),
                    Some(id) => {
                        let id = id.to_owned();
                        let run = Run {
                            id: id.clone(),
                            service,
                        };
                        runs.lock()
                            .unwrap_or_else(PoisonError::into_inner)
                            .push(run);
                        let headers = [
                            ("Magpiemoor-Attempt-Id", id.as_str()),
                            ("Magpiemoor-Server-Stamp", "3e1b.07.5a2.600.0.c9f2a4d1"),
                        ];
                        answer(200, &headers, service.as_bytes())
                    }
                };
                if wire.send(&bytes).is_err() {
                    return;
                }
            }
        });
    }
}

/// Sends a request on a new connection; returns the status, 0 for none.
fn ask(to: SocketAddr, path: &str, id: &str) -> u16 {
    let request = format!(
        "GET {path}{id} HTTP/1.1\r\nHost: {HOST}\r\nMagpiemoor-Attempt-Id: {id}\r\nMagpiemoor-Deadline-Ms: 1500\r\nMagpiemoor-Credential: {KEY}\r\nConnection: close\r\n\r\n"
    );
    let asked = Wire::connect(to).and_then(|mut wire| {
        wire.socket.set_read_timeout(Some(Duration::from_secs(3)))?;
        wire.send(request.as_bytes())?;
        wire.answer()
    });
    asked.map_or(0, |answer| answer.status())
}

fn routes(moved: bool) -> Vec<Route> {
    let route = |prefix, service| Route {
        prefix,
        kind: "safe",
        service,
        timeout_ms: 1_500,
        target_ms: 150,
        attempts: 2,
    };
    let mut routes = vec![route("/quote/", if moved { "new" } else { "old" })];
    if moved {
        routes.push(route("/added/", "new"));
    }
    routes
}

fn services() -> [Service; 2] {
    ["old", "new"].map(|name| Service {
        name,
        engine_slots: None,
    })
}

/// Starts servers of both services, listed in the store.
fn start_servers(store: &Store, runs: &Runs) -> std::io::Result<()> {
    for service in ["old", "new"] {
        for (number, zone) in ZONES.into_iter().enumerate() {
            let at = address(1, free_port());
            let instance = format!("i-{service}-{number}");
            let entry = server_entry(service, &at.to_string(), zone, 16, "ready");
            store.put_text("servers", &instance, &entry);
            let listener = TcpListener::bind(at)?;
            let runs = Arc::clone(runs);
            thread::spawn(move || serve(listener, instance, service, runs));
        }
    }
    Ok(())
}

/// A request of a round, and what the client got.
struct Asked {
    id: String,
    machine: usize,
    path: &'static str,
    sent_after: Duration,
    status: u16,
}

/// Asks all machines in rounds until a time after the acknowledgement.
fn ask_in_rounds(fronts: &[(usize, SocketAddr)], acked: Instant, until: Duration) -> Vec<Asked> {
    let mut threads = Vec::new();
    for (machine, front) in fronts.iter().copied() {
        threads.push(thread::spawn(move || {
            let mut asked = Vec::new();
            for round in 0.. {
                let sent_after = acked.elapsed();
                if sent_after >= until {
                    break;
                }
                for path in ["/quote/", "/added/"] {
                    let id = format!("m{machine}-{round}{}", path.replace('/', "-"));
                    let sent_after = acked.elapsed();
                    let status = ask(front, path, &id);
                    asked.push(Asked {
                        id,
                        machine,
                        path,
                        sent_after,
                        status,
                    });
                }
                thread::sleep((sent_after + ROUND).saturating_sub(acked.elapsed()));
            }
            asked
        }));
    }
    threads
        .into_iter()
        .filter_map(|thread| thread.join().ok())
        .flatten()
        .collect()
}

pub fn run(play: &Play) -> std::io::Result<Verdict> {
    let store_port = free_port();
    let store = Store::start(address(100, store_port))?;
    let runs = Runs::default();
    start_servers(&store, &runs)?;
    store.put_text(
        "config",
        "main",
        &config(7, &routes(false), &services(), &TENANTS),
    );
    let ports = Ports::free();
    let mut daemons = Vec::new();
    for machine in 0..MACHINES {
        let ip = u8::try_from(machine + 1).unwrap_or(u8::MAX);
        let platform = address(101 + u8::try_from(machine).unwrap_or(0), store_port);
        store.listen(platform, machine)?;
        let zone = ZONES[machine % ZONES.len()];
        let mut daemon = Daemon::plan(ip, zone, ports, platform, &play.folder);
        daemon.start()?;
        daemons.push(daemon);
    }
    if !daemons
        .iter()
        .all(|daemon| daemon.until_ready(Duration::from_secs(20)))
    {
        play.note("the daemons did not become ready");
        return Ok(Verdict::Unplayed);
    }
    thread::sleep(STEADY);
    let watchers = store.watchers("config", Duration::from_secs(4));
    play.note(&format!(
        "{MACHINES} machines in {} zones; the store is watched by {}",
        ZONES.len(),
        watchers
            .iter()
            .map(|m| daemons[*m].name.clone())
            .collect::<Vec<_>>()
            .join(", ")
    ));
    let share = watchers.len() as f64 / MACHINES as f64;
    if watchers.is_empty() || share > MOST_TURNED_AWAY {
        play.note(&format!(
            "a share of {share:.2} is more than the store turns away at once"
        ));
        return Ok(Verdict::Unplayed);
    }
    let turned_away: BTreeSet<usize> = if play.has_trouble {
        watchers
    } else {
        BTreeSet::new()
    };
    let since = Instant::now();
    store.turn_away(turned_away.clone());
    play.note(&format!(
        "the store turns {} machines away and serves the others",
        turned_away.len()
    ));
    thread::sleep(CHANGE_AFTER);
    store.put_text(
        "config",
        "main",
        &config(11, &routes(true), &services(), &TENANTS),
    );
    let acked = Instant::now();
    play.note(
        "the operator's version 11 is acknowledged: /quote/ moves from old to new, /added/ is new",
    );
    let in_touch: Vec<(usize, SocketAddr)> = (0..MACHINES)
        .filter(|machine| !turned_away.contains(machine))
        .map(|machine| (machine, daemons[machine].front))
        .collect();
    let asked = ask_in_rounds(
        &in_touch,
        acked,
        TURNED_AWAY_FOR.saturating_sub(since.elapsed()),
    );
    store.turn_away(BTreeSet::new());
    Ok(judge(play, &daemons, &asked, &runs))
}

fn judge(play: &Play, daemons: &[Daemon], asked: &[Asked], runs: &Runs) -> Verdict {
    let runs = runs.lock().unwrap_or_else(PoisonError::into_inner);
    let mut stale = 0;
    let mut served = 0;
    let mut last = Duration::ZERO;
    for of in asked {
        let service = runs
            .iter()
            .find(|run| run.id == of.id)
            .map(|run| run.service);
        let is_old = of.path == "/quote/" && service == Some("old")
            || of.path == "/added/" && of.status == 404;
        served += usize::from(service == Some("new"));
        if is_old {
            last = last.max(of.sent_after);
        }
        if is_old && of.sent_after > CONFIG_APPLY {
            stale += 1;
            play.note(&format!(
                "{} sent to {} {:.3} s after the acknowledgement: status {}, ran at {}",
                of.id,
                daemons[of.machine].name,
                of.sent_after.as_secs_f64(),
                of.status,
                service.unwrap_or("no server")
            ));
        }
    }
    play.note(&format!(
        "{} requests, {served} ran at the new service; the last one handled as an older version allows was sent {:.3} s after the acknowledgement; {stale} of these were sent later than {} ms after it",
        asked.len(),
        last.as_secs_f64(),
        CONFIG_APPLY.as_millis()
    ));
    if served == 0 {
        return Verdict::Unplayed;
    }
    if stale > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
