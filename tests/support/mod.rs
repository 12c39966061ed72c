//! Real boxes as processes, with the stand-ins in this process, on free ports.

#![allow(dead_code)] // Each test file uses a part of it.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use magpiemoor::cli::bundle::roll_signed;
use magpiemoor::cli::observe::fetch_status;
use magpiemoor::cli::platform::Platform as PlatformClient;
use magpiemoor::http::{Call, Client};
use magpiemoor_lab::keyed::engine::{Behaviour, Engine};
use magpiemoor_lab::keyed::fleet::{Fleet, KEY_ID, Size};
use magpiemoor_lab::keyed::platform::Platform;
use magpiemoor_lab::keyed::service::Service;
use magpiemoor_lab::process::Process;
use tokio::net::TcpListener;

/// How long anything that is waited for may take on a busy machine.
pub const PATIENCE: Duration = Duration::from_secs(60);

/// A running fleet.
pub struct Running {
    pub fleet: Fleet,
    pub platform: Platform,
    pub engines: Vec<Engine>,
    pub services: Vec<Service>,
    pub boxes: Vec<Process>,
    pub client: Client,
    pub folder: PathBuf,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.boxes.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

pub fn size(domains: &[&str], boxes: usize, engines: usize) -> Size {
    Size {
        domains: domains.iter().map(ToString::to_string).collect(),
        boxes,
        engines,
        slots: 4,
        services: domains.len(),
    }
}

/// Starts a fleet, rolls its first bundle, and waits until all slices are open.
pub async fn start(size: &Size) -> Running {
    let running = start_without_bundle(size).await;
    running.roll(1).await;
    running.wait_ready().await;
    running
}

pub async fn start_without_bundle(size: &Size) -> Running {
    let fleet = Fleet::plan(size).unwrap();
    let name = format!(
        "magpiemoor-test-{}-{:016x}",
        std::process::id(),
        rand::random::<u64>()
    );
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder).unwrap();
    let platform = Platform::default();
    tokio::spawn(
        platform
            .clone()
            .serve(TcpListener::bind(&fleet.platform).await.unwrap()),
    );
    let mut engines = Vec::new();
    for plan in &fleet.engines {
        let behaviour = Behaviour {
            name: plan.id.clone(),
            slots: 4,
            ..Behaviour::default()
        };
        let engine = Engine::new(behaviour);
        tokio::spawn(
            engine
                .clone()
                .serve(TcpListener::bind(&plan.address).await.unwrap()),
        );
        engines.push(engine);
    }
    let mut services = Vec::new();
    for plan in &fleet.services {
        let service = Service::default();
        tokio::spawn(
            service
                .clone()
                .serve(TcpListener::bind(&plan.address).await.unwrap()),
        );
        services.push(service);
    }
    let mut running = Running {
        fleet,
        platform,
        engines,
        services,
        boxes: Vec::new(),
        client: Client::default(),
        folder,
    };
    for place in 0..running.fleet.boxes.len() {
        let started = running.start_box(place);
        running.boxes.push(started);
    }
    running
}

impl Running {
    /// Starts the process of a box.
    pub fn start_box(&self, place: usize) -> Process {
        let plan = &self.fleet.boxes[place];
        let path = self.folder.join(format!("{}.jsonc", plan.id));
        self.fleet.write_settings(plan, &path).unwrap();
        let log = self.folder.join(format!("{}.log", plan.id));
        let program = Path::new(env!("CARGO_BIN_EXE_magpiemoord"));
        let args = ["--settings", path.to_str().unwrap()];
        Process::start_program(program, &plan.id, &args, &log).unwrap()
    }

    pub async fn roll(&self, version: u64) {
        let signed = self.fleet.signed(&self.fleet.source(version));
        let platform = PlatformClient::new(&self.fleet.platform);
        roll_signed(&platform, &signed, &KEY_ID.parse().unwrap())
            .await
            .unwrap();
    }

    pub async fn wait_ready(&self) {
        let slices =
            usize::from(magpiemoor::keyed::node::roster::SLICES) * self.fleet.domains.len();
        self.wait_for("the fleet to be ready", async || {
            let mut open = 0;
            for plan in &self.fleet.boxes {
                match fetch_status(&self.client, &plan.operators).await {
                    Ok(status) if status.ready => open += status.open_slices,
                    _ => return false,
                }
            }
            open == slices
        })
        .await;
    }

    /// Waits until something holds; only a hang makes this fail.
    pub async fn wait_for(&self, what: &str, mut holds: impl AsyncFnMut() -> bool) {
        let began = Instant::now();
        while !holds().await {
            assert!(began.elapsed() < PATIENCE, "waited in vain for {what}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    pub fn callers(&self, place: usize) -> String {
        self.fleet.boxes[place].callers.clone()
    }

    pub fn all_callers(&self) -> Vec<String> {
        self.fleet.boxes.iter().map(|b| b.callers.clone()).collect()
    }

    pub fn engine_names(&self) -> Vec<String> {
        self.fleet.engines.iter().map(|e| e.id.clone()).collect()
    }

    pub async fn get(&self, address: &str, path: &str) -> magpiemoor::http::Answer {
        let call = Call::new(gotham::hyper::Method::GET, address, path);
        self.client.send(call, PATIENCE).await.unwrap()
    }
}
