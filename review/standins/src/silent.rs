//! The open connections to the platform's store go silent, while new ones work, and a configuration
//! drops a route. Do machines that are in touch again still run its requests?

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::daemons::{Daemons, ZONES};
use crate::http::Wire;
use crate::record::Record;
use crate::server::{Plan, Run, Server};
use crate::store::Store;

/// `contactMs` and `configApplyMs` of the site.
const CONTACT: Duration = Duration::from_secs(3);
const CONFIG_APPLY: Duration = Duration::from_secs(2);
/// Time added to both bounds, for what the stand-ins themselves take.
const MARGIN: Duration = Duration::from_millis(50);
const DEADLINE: Duration = Duration::from_millis(1_500);
const PAUSE: Duration = Duration::from_millis(25);
const OBSERVED: Duration = Duration::from_secs(7);

const OLD: &str = "/old/";
const KEPT: &str = "/kept/";
const NEW: &str = "/new/";

/// A configuration with routes to these prefixes.
fn config(version: u64, prefixes: &[&str]) -> String {
    let routes = prefixes.iter().map(|prefix| {
        format!(
            r#"{{"name":"r{}","host":"shop.example","pathPrefix":"{prefix}","type":"unsafe","timeoutMs":800,"targetLatencyMs":100,"priority":2,"service":"till-points","maxAttempts":1,"anonymous":false}}"#,
            prefix.trim_matches('/')
        )
    });
    let routes: Vec<String> = routes.collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"till-points","healthPath":"/healthz","maxConnections":100,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"shop","apiKeys":["key-of-shop"],"priority":1}}]}}"#,
        routes.join(",")
    )
}

struct Sent {
    id: String,
    at: Duration,
    status: Option<u16>,
}

/// Returns how many requests on the dropped route ran too late.
pub fn run(record: &str, has_trouble: bool) -> Result<usize, String> {
    let record = Record::create(record)?;
    let store = Store::start()?;
    store.put("config", "main", &config(1, &[OLD, KEPT]));
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    for (number, zone) in ZONES.into_iter().enumerate() {
        let plan = Plan {
            id: format!("i-till-{number}"),
            service: "till-points",
            zone,
            slots: 6,
            work: Duration::from_millis(15),
            surplus: None,
        };
        Server::start(plan, &store, &record, &runs)?;
    }
    let daemons = Daemons::start(store.address)?;
    thread::sleep(Duration::from_secs(4));
    store.put("config", "main", &config(2, &[OLD, KEPT, NEW]));
    record.line("version 2 is acknowledged: a route is added");
    thread::sleep(Duration::from_millis(300));
    if has_trouble {
        store.silence();
        record.line("all open connections to the store go silent");
    }
    let silent_at = record.now();
    thread::sleep(Duration::from_millis(100));
    store.put("config", "main", &config(3, &[KEPT, NEW]));
    let acknowledged_at = record.now();
    record.line("version 3 is acknowledged: the route of /old/ is dropped");
    let clients: Vec<_> = daemons
        .all
        .iter()
        .enumerate()
        .map(|(number, daemon)| {
            let (front, record) = (daemon.front, record.clone());
            thread::spawn(move || send_requests(number, front, &record))
        })
        .collect();
    let sent: Vec<Sent> = clients
        .into_iter()
        .flat_map(|c| c.join().unwrap_or_default())
        .collect();
    let runs = runs.lock().unwrap();
    let bound = (acknowledged_at + CONFIG_APPLY).max(silent_at + CONTACT) + MARGIN;
    let mut late = 0;
    for request in &sent {
        let run = runs.iter().find(|run| run.id == request.id);
        record.line(&format!(
            "{} sent at {:.3} s, {}, status {:?}",
            request.id,
            request.at.as_secs_f64(),
            run.map_or("not run".to_owned(), |run| format!("run by {}", run.server)),
            request.status
        ));
        if request.at >= bound && run.is_some() {
            late += 1;
            record.line(&format!(
                "CONFIG: {} was sent {:.3} s after version 3 was acknowledged and {:.3} s after the connections went silent, and was run",
                request.id,
                (request.at - acknowledged_at).as_secs_f64(),
                (request.at - silent_at).as_secs_f64()
            ));
        }
    }
    let summary = format!(
        "{} requests on the dropped route, {late} of them run too late",
        sent.len()
    );
    record.line(&summary);
    println!("{summary}");
    Ok(late)
}

/// Sends requests on the dropped route, one after the other, each on a new connection.
fn send_requests(client: usize, front: SocketAddr, record: &Record) -> Vec<Sent> {
    let end = record.now() + OBSERVED;
    let mut sent = Vec::new();
    while record.now() < end {
        let id = format!("old-{client}-{}", sent.len());
        let at = record.now();
        let status = send(&id, front);
        sent.push(Sent { id, at, status });
        thread::sleep(PAUSE);
    }
    sent
}

/// Sends a request; its status, if it was answered.
fn send(id: &str, front: SocketAddr) -> Option<u16> {
    let mut wire = Wire::connect(front, Duration::from_secs(1)).ok()?;
    wire.socket.set_read_timeout(Some(DEADLINE)).ok()?;
    let text = format!(
        "POST {OLD}2f HTTP/1.1\r\nHost: shop.example\r\nMagpiemoor-Attempt-Id: {id}\r\nMagpiemoor-Deadline-Ms: {}\r\nMagpiemoor-Credential: key-of-shop\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody",
        DEADLINE.as_millis()
    );
    wire.send(text.as_bytes()).ok()?;
    Some(wire.read().ok()??.status())
}
