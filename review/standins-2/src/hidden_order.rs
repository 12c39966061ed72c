//! EXPOSURE: the platform's store turns the machines away that watch the orders of roll-outs, and
//! serves the others and the operator; the operator orders a version that is bad.

use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::daemon::{Daemon, Ports, address, free_port};
use crate::http::{Wire, answer};
use crate::play::{HOST, KEY, Play, Route, Service, TENANTS, Verdict, config, versioned_entry};
use crate::store::Store;

const ZONES: [&str; 3] = ["north", "south", "east"];
/// Machines of a zone.
const PER_ZONE: usize = 6;
const MACHINES: usize = ZONES.len() * PER_ZONE;
/// Servers of each version in a zone.
const SERVERS_PER_ZONE: usize = 2;
/// The largest share of the machines that the store turns away at once.
const MOST_TURNED_AWAY: f64 = 0.35;
/// How long the store turns them away.
const TURNED_AWAY_FOR: Duration = Duration::from_secs(9);
/// Time from then until the order, and from the order until the servers of the new version start.
const ORDER_AFTER: Duration = Duration::from_millis(300);
const SERVERS_AFTER: Duration = Duration::from_millis(200);
/// `durationS` of the order.
const ORDER_TIME: Duration = Duration::from_secs(8);
/// `exposureShare` and `exposureSlack` of the settings.
const EXPOSURE_SHARE: f64 = 0.1;
const EXPOSURE_SLACK: f64 = 50.0;
/// Requests a second at each machine.
const RATE: u32 = 15;
/// The route on which the version is bad, and one request in how many goes there.
const BAD_PREFIX: &str = "/label/";
const BAD_EACH: u32 = 10;
/// Time that a server works on a request.
const WORK: Duration = Duration::from_millis(20);
/// How long the machines run before.
const STEADY: Duration = Duration::from_secs(10);

/// A run at a server.
struct Run {
    id: String,
    version: &'static str,
    at: Instant,
}

type Runs = Arc<Mutex<Vec<Run>>>;

/// Serves a version; the bad one fails every second request of one route.
fn serve(listener: TcpListener, instance: String, version: &'static str, runs: Runs) {
    let count = Arc::new(AtomicUsize::new(0));
    for socket in listener.incoming().flatten() {
        let (instance, runs, count) = (instance.clone(), Arc::clone(&runs), Arc::clone(&count));
        thread::spawn(move || {
            let mut wire = Wire::new(socket);
            while let Ok(Some(request)) = wire.request() {
                let bytes = match request.header("magpiemoor-attempt-id") {
                    None => answer(200, &[("Magpiemoor-Instance-Id", instance.as_str())], b""),
                    Some(id) => {
                        let id = id.to_owned();
                        let run = Run {
                            id: id.clone(),
                            version,
                            at: Instant::now(),
                        };
                        runs.lock()
                            .unwrap_or_else(PoisonError::into_inner)
                            .push(run);
                        thread::sleep(WORK);
                        let fails = version == "v2"
                            && request.path().starts_with(BAD_PREFIX)
                            && count.fetch_add(1, Ordering::Relaxed).is_multiple_of(2);
                        let headers = [
                            ("Magpiemoor-Attempt-Id", id.as_str()),
                            ("Magpiemoor-Server-Stamp", "3e1b.07.5a2.600.0.c9f2a4d1"),
                        ];
                        answer(if fails { 500 } else { 200 }, &headers, version.as_bytes())
                    }
                };
                if wire.send(&bytes).is_err() {
                    return;
                }
            }
        });
    }
}

fn start_servers(store: &Store, runs: &Runs, version: &'static str) -> std::io::Result<()> {
    for number in 0..ZONES.len() * SERVERS_PER_ZONE {
        let at = address(1, free_port());
        let instance = format!("i-{version}-{number}");
        let listener = TcpListener::bind(at)?;
        let (serving, runs) = (instance.clone(), Arc::clone(runs));
        thread::spawn(move || serve(listener, serving, version, runs));
        let zone = ZONES[number % ZONES.len()];
        let entry = versioned_entry("desk", version, &at.to_string(), zone, 16, "ready");
        store.put_text("servers", &instance, &entry);
    }
    Ok(())
}

/// Sends requests to a machine, one after the other on a kept connection, at a steady rate.
fn send_requests(machine: usize, front: SocketAddr, ends: &AtomicBool) {
    let mut kept: Option<Wire> = None;
    let interval = Duration::from_secs(1) / RATE;
    let mut next = Instant::now();
    for number in 0.. {
        if ends.load(Ordering::Relaxed) {
            return;
        }
        thread::sleep(next.saturating_duration_since(Instant::now()));
        next += interval;
        let path = if number % BAD_EACH == 0 {
            BAD_PREFIX
        } else {
            "/booking/"
        };
        let request = format!(
            "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nMagpiemoor-Attempt-Id: m{machine}-{number}\r\nMagpiemoor-Deadline-Ms: 1500\r\nMagpiemoor-Credential: {KEY}\r\nContent-Length: 2\r\n\r\n{{}}"
        );
        let wire = match kept.take() {
            Some(wire) => Ok(wire),
            None => Wire::connect(front),
        };
        let asked = wire.and_then(|mut wire| {
            wire.socket.set_read_timeout(Some(Duration::from_secs(2)))?;
            wire.send(request.as_bytes())?;
            wire.answer()?;
            Ok(wire)
        });
        kept = asked.ok();
    }
}

pub fn run(play: &Play) -> std::io::Result<Verdict> {
    let store_port = free_port();
    let store = Store::start(address(100, store_port))?;
    let runs = Runs::default();
    start_servers(&store, &runs, "v1")?;
    let routes = ["/booking/", BAD_PREFIX].map(|prefix| Route {
        prefix,
        kind: "unsafe",
        service: "desk",
        timeout_ms: 1_500,
        target_ms: 300,
        attempts: 1,
    });
    let services = [Service {
        name: "desk",
        engine_slots: None,
    }];
    store.put_text("config", "main", &config(7, &routes, &services, &TENANTS));
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
    let ends = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = daemons
        .iter()
        .enumerate()
        .map(|(machine, daemon)| {
            let (front, ends) = (daemon.front, Arc::clone(&ends));
            thread::spawn(move || send_requests(machine, front, &ends))
        })
        .collect();
    thread::sleep(STEADY);
    let watchers = store.watchers("rollouts", Duration::from_secs(4));
    play.note(&format!(
        "{MACHINES} machines in {} zones; the orders of roll-outs are watched by {}",
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
    thread::sleep(ORDER_AFTER);
    let order = format!(
        r#"{{"service":"desk","targetVersion":"v2","durationS":{}}}"#,
        ORDER_TIME.as_secs()
    );
    store.put_text("rollouts", "desk", &order);
    let ordered = Instant::now();
    play.note("the operator's order to move desk to v2 is acknowledged");
    thread::sleep(SERVERS_AFTER);
    start_servers(&store, &runs, "v2")?;
    play.note("the servers of v2 have started; they fail every second request of /label/");
    thread::sleep(ORDER_TIME.saturating_sub(ordered.elapsed()));
    play.note("the time of the order is over");
    thread::sleep(TURNED_AWAY_FOR.saturating_sub(since.elapsed()));
    store.turn_away(BTreeSet::new());
    play.note("the store serves all machines again");
    ends.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    Ok(judge(play, &turned_away, ordered, &runs))
}

fn machine_of(run: &Run) -> Option<usize> {
    run.id.strip_prefix('m')?.split('-').next()?.parse().ok()
}

fn judge(play: &Play, turned_away: &BTreeSet<usize>, ordered: Instant, runs: &Runs) -> Verdict {
    let runs = runs.lock().unwrap_or_else(PoisonError::into_inner);
    let within = |run: &&Run| run.at >= ordered && run.at < ordered + ORDER_TIME;
    let all = runs.iter().filter(within).count();
    let exposed = runs.iter().filter(within).filter(|run| {
        let in_touch = machine_of(run).is_some_and(|machine| !turned_away.contains(&machine));
        run.version == "v2" && in_touch
    });
    let exposed: Vec<&Run> = exposed.collect();
    for second in 0..ORDER_TIME.as_secs() {
        let in_second = |run: &Run| run.at.duration_since(ordered).as_secs() == second;
        let of_second = runs
            .iter()
            .filter(within)
            .filter(|run| in_second(run))
            .count();
        let to_bad = exposed.iter().filter(|run| in_second(run)).count();
        play.note(&format!("second {second} of the order: {of_second} requests reached desk; {to_bad} reached v2 from machines in touch"));
    }
    let allowed = EXPOSURE_SHARE * all as f64 + EXPOSURE_SLACK;
    play.note(&format!(
        "{all} requests reached desk between the order and its deadline, {} of them v2 from machines in touch; {allowed:.0} are allowed",
        exposed.len()
    ));
    if all == 0 {
        return Verdict::Unplayed;
    }
    if exposed.len() as f64 > allowed {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
