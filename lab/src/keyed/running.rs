//! A fleet as processes on the loopback address: stand-ins, entry boxes, and a bundle in force.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use magpiemoor::cli::bundle::roll_signed;
use magpiemoor::cli::observe::{fetch_status, fetch_timeline};
use magpiemoor::cli::platform::Platform;
use magpiemoor::http::Client;
use magpiemoor::keyed::timeline::{Entry, merge};

use crate::keyed::engine::Behaviour;
use crate::keyed::fleet::{EndpointPlan, Fleet, KEY_ID};
use crate::process::Process;

/// How long the boxes may take to be ready.
const READY_LIMIT: Duration = Duration::from_secs(20);
/// Time between two looks whether they are.
const READY_POLL: Duration = Duration::from_millis(50);

/// A running fleet; its processes end when it is dropped.
pub struct RunningFleet {
    /// Its plan.
    pub fleet: Fleet,
    /// A client.
    pub client: Client,
    /// The engines, in the order of the plan.
    pub engines: Vec<Process>,
    /// The boxes, in the order of the plan.
    pub boxes: Vec<Process>,
    _services: Vec<Process>,
    _platform: Process,
    behaviour: Behaviour,
    folder: PathBuf,
}

impl Drop for RunningFleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl RunningFleet {
    /// Starts all processes; engines behave alike but for their name and slots.
    ///
    /// # Errors
    ///
    /// What the system says.
    pub fn start(fleet: Fleet, behaviour: Behaviour) -> std::io::Result<Self> {
        let name = format!("magpiemoor-lab-{:016x}", rand::random::<u64>());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder)?;
        let platform = ["platform", "--listen", &fleet.platform];
        let platform = Process::start("platform", &platform, &log_file(&folder, "platform"))?;
        let mut services = Vec::new();
        for plan in &fleet.services {
            let args = ["service", "--listen", &plan.address];
            services.push(Process::start(
                &plan.id,
                &args,
                &log_file(&folder, &plan.id),
            )?);
        }
        let mut engines = Vec::new();
        for plan in &fleet.engines {
            engines.push(start_engine(plan, &behaviour, &folder)?);
        }
        let mut boxes = Vec::new();
        for plan in &fleet.boxes {
            let path = folder.join(format!("{}.jsonc", plan.id));
            fleet.write_settings(plan, &path)?;
            let args = ["box", "--settings", path.to_str().unwrap_or_default()];
            boxes.push(Process::start(
                &plan.id,
                &args,
                &log_file(&folder, &plan.id),
            )?);
        }
        Ok(Self {
            fleet,
            client: Client::default(),
            engines,
            boxes,
            _services: services,
            _platform: platform,
            behaviour,
            folder,
        })
    }

    /// Signs and rolls the first bundle.
    ///
    /// # Errors
    ///
    /// That the platform did not take it.
    pub async fn roll_bundle(&self) -> Result<(), String> {
        let signed = self.fleet.signed(&self.fleet.source(1));
        let key = KEY_ID
            .parse()
            .map_err(|_| "the key's name is not one".to_owned())?;
        let platform = Platform::new(&self.fleet.platform);
        roll_signed(&platform, &signed, &key)
            .await
            .map(drop)
            .map_err(|e| e.to_string())
    }

    /// Waits until every box has the bundle and all slices are open.
    ///
    /// # Errors
    ///
    /// That they were not ready in time.
    pub async fn wait_ready(&self) -> Result<(), String> {
        let slices =
            usize::from(magpiemoor::keyed::node::roster::SLICES) * self.fleet.domains.len();
        let began = Instant::now();
        while began.elapsed() < READY_LIMIT {
            let mut ready = 0;
            let mut open = 0;
            for plan in &self.fleet.boxes {
                if let Ok(status) = fetch_status(&self.client, &plan.operators).await {
                    ready += usize::from(status.ready);
                    open += status.open_slices;
                }
            }
            if ready == self.fleet.boxes.len() && open == slices {
                return Ok(());
            }
            tokio::time::sleep(READY_POLL).await;
        }
        Err(format!(
            "the boxes were not ready in {READY_LIMIT:?}; see their logs"
        ))
    }

    /// Where callers reach a box.
    #[must_use]
    pub fn callers(&self, place: usize) -> &str {
        &self.fleet.boxes[place].callers
    }

    /// The merged time line of the boxes that answer.
    pub async fn timeline(&self, subject: Option<&str>) -> Vec<Entry> {
        let mut lines = Vec::new();
        for plan in &self.fleet.boxes {
            if let Ok(line) = fetch_timeline(&self.client, &plan.operators, subject).await {
                lines.push(line);
            }
        }
        merge(lines)
    }

    /// The place of the engine that serves a request now, by the time line.
    pub async fn serving_engine(&self, key: &str) -> Option<usize> {
        let events = self.timeline(Some(key)).await;
        let last = events.iter().rev().find(|e| e.event == "run_started")?;
        let name = last.detail.split(' ').next()?;
        self.fleet.engines.iter().position(|e| e.id == name)
    }

    /// Starts an engine anew after it was killed, without what it had.
    ///
    /// # Errors
    ///
    /// What the system says.
    pub fn restart_engine(&mut self, place: usize) -> std::io::Result<()> {
        let plan = &self.fleet.engines[place];
        self.engines[place] = start_engine(plan, &self.behaviour, &self.folder)?;
        Ok(())
    }
}

fn log_file(folder: &Path, name: &str) -> PathBuf {
    folder.join(format!("{name}.log"))
}

fn start_engine(
    plan: &EndpointPlan,
    behaviour: &Behaviour,
    folder: &Path,
) -> std::io::Result<Process> {
    let behaviour = Behaviour {
        name: plan.id.clone(),
        slots: plan.slots as usize,
        ..behaviour.clone()
    };
    let behaviour = serde_json::to_string(&behaviour)?;
    let args = [
        "engine",
        "--listen",
        &plan.address,
        "--behaviour",
        &behaviour,
    ];
    Process::start(&plan.id, &args, &log_file(folder, &plan.id))
}
