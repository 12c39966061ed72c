//! The demonstration of roll-outs: a bad version while the store is down for a while, and a good one
//! while a box is killed. What callers get meanwhile is counted.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering::Relaxed};
use std::time::{Duration, Instant};

use serde_json::json;

use super::{Deployment, start};
use crate::gateway::caller::{Asked, ask};
use crate::gateway::fleet::{BoxPlan, HOST, KEY, Outside, PAYMENTS, QUOTES, until, zone};
use crate::gateway::rollout::score::{EXPOSURE_SHARE, EXPOSURE_SLACK};
use crate::gateway::server::{Act, Pace, Server};
use crate::gateway::store::Mood;

/// Boxes, and tills of each version.
const BOXES: usize = 3;
const TILLS: usize = 2;
/// Callers, and how long each waits between two calls.
const CALLERS: usize = 8;
const PAUSE: Duration = Duration::from_millis(10);
/// How long an order may take.
const ORDER_S: u64 = 6;
/// When the store goes down or a box is killed, after the order, and for how long.
const FAULT_AFTER: Duration = Duration::from_millis(1_500);
const FAULT_FOR: Duration = Duration::from_secs(2);
/// How long is looked on once an order has ended.
const AFTERWARDS: Duration = Duration::from_secs(1);
/// How long after its time an order is given up.
const PATIENCE: Duration = Duration::from_secs(10);
/// The number of no box.
const NO_BOX: usize = usize::MAX;

/// Calls that are made all the time, and what came of them.
#[derive(Debug)]
struct Traffic {
    made: AtomicU32,
    /// Answered with anything but 200.
    failed: AtomicU32,
    /// Not answered by a box that lives.
    lost: AtomicU32,
    /// The box that is killed or starts again.
    away: AtomicUsize,
    is_over: AtomicBool,
}

impl Traffic {
    fn start(plans: &[BoxPlan]) -> Arc<Self> {
        let traffic = Arc::new(Self {
            made: AtomicU32::new(0),
            failed: AtomicU32::new(0),
            lost: AtomicU32::new(0),
            away: AtomicUsize::new(NO_BOX),
            is_over: AtomicBool::new(false),
        });
        for caller in 0..CALLERS {
            tokio::spawn(Arc::clone(&traffic).keep_calling(caller, plans.to_vec()));
        }
        traffic
    }

    async fn keep_calling(self: Arc<Self>, caller: usize, plans: Vec<BoxPlan>) {
        let mut number = caller;
        while !self.is_over.load(Relaxed) {
            number += 1;
            tokio::time::sleep(PAUSE).await;
            let at = number % plans.len();
            if at != self.away.load(Relaxed) {
                self.call(&plans[at], at, &format!("demo-{caller}-{number}"))
                    .await;
            }
        }
    }

    async fn call(&self, plan: &BoxPlan, at: usize, id: &str) {
        let made = self.made.fetch_add(1, Relaxed);
        let path = if made.is_multiple_of(2) {
            QUOTES
        } else {
            PAYMENTS
        };
        let answer = ask(
            plan.callers,
            &Asked::call(&format!("{path}x"), id),
            HOST,
            KEY,
        )
        .await;
        match answer {
            Ok(answer) if answer.status() == 200 => {}
            Ok(_) => _ = self.failed.fetch_add(1, Relaxed),
            Err(_) if at == self.away.load(Relaxed) => {}
            Err(_) => _ = self.lost.fetch_add(1, Relaxed),
        }
    }

    fn made(&self) -> u32 {
        self.made.load(Relaxed)
    }

    fn failed(&self) -> u32 {
        self.failed.load(Relaxed)
    }

    fn lost(&self) -> u32 {
        self.lost.load(Relaxed)
    }
}

/// Runs the demonstration; returns whether all held.
///
/// # Errors
///
/// What could not be started.
pub async fn run() -> Result<bool, String> {
    let pace = Pace {
        events: 1,
        gap: Duration::from_millis(10),
        names_server: false,
    };
    let mut deployment = start(BOXES, 1, TILLS, pace).await?;
    println!("{BOXES} boxes before {TILLS} tills of v1 are ready");
    let traffic = Traffic::start(&deployment.plans);
    let is_left = show_bad_version(&deployment, &traffic).await?;
    let is_reached = show_good_version(&mut deployment, &traffic).await?;
    traffic.is_over.store(true, Relaxed);
    Ok(is_left && is_reached)
}

async fn show_bad_version(deployment: &Deployment, traffic: &Traffic) -> Result<bool, String> {
    let outside = &deployment.outside;
    let tills = add_tills(outside, "v2").await?;
    println!("\nv2 is ordered; it turns bad while the store is down");
    let (made, failed) = (traffic.made(), traffic.failed());
    let store_fails = async {
        tokio::time::sleep(FAULT_AFTER).await;
        outside.store.set_mood(Mood::Down);
        for till in &tills {
            till.act_always(Act::Error);
        }
        println!("the store is down, and v2 fails all of its answers from now on");
        tokio::time::sleep(FAULT_FOR).await;
        let got = runs(&tills);
        outside.store.set_mood(Mood::Well);
        println!("the store answers again; v2 has got {got} calls");
        got
    };
    let (state, got_before) = tokio::join!(order(outside, "v2"), store_fails);
    let (got, all) = (runs(&tills), traffic.made() - made);
    tokio::time::sleep(AFTERWARDS).await;
    let later = runs(&tills) - got;
    let failed = traffic.failed() - failed;
    println!(
        "{state}; v2 got {got} of {all} calls, {later} after that; callers saw {failed} of its errors"
    );
    let allowed = EXPOSURE_SHARE * f64::from(all) + EXPOSURE_SLACK;
    let is_left = later == 0 && got == got_before;
    let held = state == "rolled_back" && f64::from(got) <= allowed && is_left && failed <= got;
    outside.store.remove("rollouts", "tills");
    for till in &tills {
        outside.store.remove("servers", &till.id);
    }
    Ok(told(held && traffic.lost() == 0))
}

async fn show_good_version(deployment: &mut Deployment, traffic: &Traffic) -> Result<bool, String> {
    let tills = add_tills(&deployment.outside, "v3").await?;
    println!("\nv3 is ordered; it is as good as v1, and a box is killed meanwhile");
    let failed = traffic.failed();
    let doomed_at = BOXES - 1;
    let (plan, launcher) = (
        deployment.plans[doomed_at].clone(),
        deployment.launcher.clone(),
    );
    let doomed = &mut deployment.boxes[doomed_at];
    let box_dies = async {
        tokio::time::sleep(FAULT_AFTER).await;
        traffic.away.store(doomed_at, Relaxed);
        doomed.kill();
        println!("{} is killed", plan.name);
        tokio::time::sleep(FAULT_FOR).await;
        let started = launcher.start(&plan).map_err(|e| e.to_string())?;
        *doomed = started;
        until(|| super::is_ready(&plan)).await;
        traffic.away.store(NO_BOX, Relaxed);
        println!("{} is back", plan.name);
        Ok::<(), String>(())
    };
    let outside = &deployment.outside;
    let (state, died) = tokio::join!(order(outside, "v3"), box_dies);
    died?;
    for till in &outside.tills {
        till.crash();
    }
    println!("{state}; the tills of v1 have stopped");
    tokio::time::sleep(AFTERWARDS).await;
    let (failed, lost) = (traffic.failed() - failed, traffic.lost());
    let got = runs(&tills);
    println!("v3 got {got} calls; {failed} calls failed, {lost} had no answer from a living box");
    Ok(told(state == "completed" && failed == 0 && lost == 0))
}

/// Starts tills of a version beside the others.
async fn add_tills(outside: &Outside, version: &str) -> Result<Vec<Server>, String> {
    let mut tills = Vec::new();
    for number in 0..TILLS {
        let id = format!("till-{version}-{number}");
        let pace = Pace {
            events: 1,
            gap: PAUSE,
            names_server: false,
        };
        let till = Server::start(&id, outside.copies.clone(), pace).await;
        let till = till.map_err(|e| e.to_string())?;
        outside.list_version(&till, "tills", zone(number), "ready", version);
        tills.push(till);
    }
    Ok(tills)
}

/// Orders a version; returns how that ended.
async fn order(outside: &Outside, version: &str) -> String {
    let spec = json!({"service": "tills", "targetVersion": version, "durationS": ORDER_S});
    outside.store.put("rollouts", "tills", &spec);
    let ordered = Instant::now();
    let limit = Duration::from_secs(ORDER_S) + PATIENCE;
    let ended = until(|| async { is_final(&state(outside)) });
    let _ = tokio::time::timeout(limit, ended).await;
    let state = state(outside);
    println!(
        "the store says {state} after {:.1} s",
        ordered.elapsed().as_secs_f64()
    );
    state
}

fn is_final(state: &str) -> bool {
    matches!(state, "completed" | "rolled_back")
}

fn state(outside: &Outside) -> String {
    let object = outside.store.object("rollouts", "tills");
    let told = object.and_then(|o| o["status"]["state"].as_str().map(str::to_owned));
    told.unwrap_or_else(|| "nothing".to_owned())
}

fn runs(tills: &[Server]) -> u32 {
    tills.iter().map(|till| till.runs().len() as u32).sum()
}

fn told(held: bool) -> bool {
    println!("{}", if held { "held" } else { "NOT held" });
    held
}
