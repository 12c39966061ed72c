//! A server sends a surplus answer now and then, late, in the place where the next answer is due. Its id
//! shows that it belongs to an earlier request. Is each request that must not be repeated run once?

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::daemons::{Daemons, ZONES};
use crate::http::Wire;
use crate::ingress::Ingress;
use crate::record::Record;
use crate::server::{Plan, Run, Server, Surplus};
use crate::store::Store;

const CONFIG: &str = r#"{"version":1,"routes":[{"name":"balance-check","host":"shop.example","pathPrefix":"/balance/","type":"unsafe","timeoutMs":800,"targetLatencyMs":100,"priority":2,"service":"till-points","maxAttempts":1,"anonymous":false}],"services":[{"name":"till-points","healthPath":"/healthz","maxConnections":100,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"shop","apiKeys":["key-of-shop"],"priority":1}]}"#;

const CLIENTS: usize = 9;
const REST: Duration = Duration::from_millis(120);
const DEADLINE: Duration = Duration::from_millis(1_500);
const DURATION: Duration = Duration::from_secs(40);
/// One server in three sends a surplus answer after one answer in 34, within the shares of the site.
const SURPLUS: Surplus = Surplus { one_in: 34 };

/// Returns how many requests ran more than once.
pub fn run(record: &str, has_trouble: bool) -> Result<usize, String> {
    let record = Record::create(record)?;
    let store = Store::start()?;
    store.put("config", "main", CONFIG);
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    for (number, zone) in ZONES.into_iter().enumerate() {
        let plan = Plan {
            id: format!("i-till-{number}"),
            service: "till-points",
            zone,
            slots: 6,
            work: Duration::from_millis(15),
            surplus: (number == 0 && has_trouble).then_some(SURPLUS),
        };
        Server::start(plan, &store, &record, &runs)?;
    }
    let daemons = Daemons::start(store.address)?;
    let ingress = Ingress::start(&daemons.all);
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (is_over, record, ingress) =
                (Arc::clone(&is_over), record.clone(), ingress.clone());
            thread::spawn(move || {
                let mut number = 0;
                let mut kept = None;
                while !is_over.load(Ordering::SeqCst) {
                    number += 1;
                    let id = format!("balance-{client}-{number}");
                    kept = send(&id, kept, ingress.front(client), &record);
                    thread::sleep(REST);
                }
            })
        })
        .collect();
    thread::sleep(DURATION);
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let mut by_id: BTreeMap<String, Vec<Run>> = BTreeMap::new();
    for run in runs.lock().unwrap().iter() {
        by_id.entry(run.id.clone()).or_default().push(run.clone());
    }
    let mut twice = 0;
    for (id, runs) in by_id.iter().filter(|(_, runs)| runs.len() > 1) {
        twice += 1;
        let at: Vec<String> = runs
            .iter()
            .map(|run| format!("{} at {:.3} s", run.server, run.began.as_secs_f64()))
            .collect();
        record.line(&format!("TWICE: {id} was run by {}", at.join(" and by ")));
    }
    let summary = format!(
        "{} requests were run, {twice} of them more than once",
        by_id.len()
    );
    record.line(&summary);
    println!("{summary}");
    Ok(twice)
}

/// Sends a request and records its answer; returns the connection if it can be kept.
fn send(
    id: &str,
    kept: Option<Wire>,
    front: std::net::SocketAddr,
    record: &Record,
) -> Option<Wire> {
    let mut wire = kept.or_else(|| Wire::connect(front, Duration::from_secs(1)).ok())?;
    let body = "o".repeat(600);
    let text = format!(
        "POST /balance/2f HTTP/1.1\r\nHost: shop.example\r\nMagpiemoor-Attempt-Id: {id}\r\nMagpiemoor-Deadline-Ms: {}\r\nMagpiemoor-Credential: key-of-shop\r\nContent-Length: {}\r\n\r\n{body}",
        DEADLINE.as_millis(),
        body.len()
    );
    record.line(&format!("{id} is sent"));
    let exchange = |wire: &mut Wire| {
        wire.socket.set_read_timeout(Some(DEADLINE))?;
        wire.send(text.as_bytes())?;
        wire.read()
    };
    match exchange(&mut wire) {
        Ok(Some(answer)) => {
            record.line(&format!("{id} is answered: {}", answer.status()));
            (!answer.says_close()).then_some(wire)
        }
        Ok(None) | Err(_) => {
            record.line(&format!("{id} gets no answer"));
            None
        }
    }
}
