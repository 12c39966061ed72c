//! A fleet to measure: boxes as processes, and the stand-ins in this process, each engine on a
//! thread of its own, so that it can die alone.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use gotham::hyper::Method;
use magpiemoor::cli::bundle::roll_signed;
use magpiemoor::cli::observe::fetch_status;
use magpiemoor::cli::platform::Platform as PlatformClient;
use magpiemoor::http::{Call, Client};
use tokio::net::TcpListener;
use tokio::sync::oneshot;

use crate::engine::{Behaviour, Engine, Spent};
use crate::fleet::{EndpointPlan, Fleet, KEY_ID};
use crate::platform::Platform;
use crate::process::Process;
use crate::service::{self, Service};

/// How long the fleet may take to be ready.
const READY_LIMIT: Duration = Duration::from_secs(40);

/// An engine on a thread of its own.
#[derive(Debug)]
pub struct EngineHost {
    /// Where it is.
    pub plan: EndpointPlan,
    /// The engine in its present life.
    pub engine: Engine,
    behaviour: Behaviour,
    past: Vec<Engine>,
    stop: Option<oneshot::Sender<()>>,
}

impl EngineHost {
    /// Starts an engine.
    #[must_use]
    pub fn start(plan: EndpointPlan, behaviour: Behaviour) -> Self {
        let engine = Engine::new(behaviour.clone());
        let stop = run_on_thread(engine.clone(), plan.address.clone());
        Self {
            plan,
            engine,
            behaviour,
            past: Vec::new(),
            stop: Some(stop),
        }
    }

    /// Kills it: all its connections are closed at once.
    pub fn kill(&mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
    }

    /// Starts it anew, without what it had.
    pub fn revive(&mut self) {
        self.kill();
        let fresh = Engine::new(self.behaviour.clone());
        self.past.push(std::mem::replace(&mut self.engine, fresh));
        self.stop = Some(run_on_thread(
            self.engine.clone(),
            self.plan.address.clone(),
        ));
    }

    /// What it has spent in all its lives.
    #[must_use]
    pub fn spent(&self) -> Spent {
        let lives = self.past.iter().chain(std::iter::once(&self.engine));
        lives.map(Engine::spent).fold(Spent::default(), add)
    }
}

fn add(a: Spent, b: Spent) -> Spent {
    Spent {
        tokens: a.tokens + b.tokens,
        prefill_seconds: a.prefill_seconds + b.prefill_seconds,
        resume_seconds: a.resume_seconds + b.resume_seconds,
        cached_bytes: a.cached_bytes + b.cached_bytes,
        read_bytes: a.read_bytes + b.read_bytes,
        imports: a.imports + b.imports,
        streams: a.streams + b.streams,
        orders_refused: a.orders_refused + b.orders_refused,
        orders_taken: a.orders_taken + b.orders_taken,
    }
}

fn run_on_thread(engine: Engine, address: String) -> oneshot::Sender<()> {
    let (stop, stopped) = oneshot::channel();
    std::thread::spawn(move || {
        let Ok(runtime) = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
        else {
            return;
        };
        runtime.block_on(async {
            let served = async {
                // The address may be taken for a moment by connections of the life before.
                loop {
                    match TcpListener::bind(&address).await {
                        Ok(listener) => engine.clone().serve(listener).await,
                        Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
                    }
                }
            };
            tokio::select! {
                () = served => {}
                _ = stopped => {}
            }
        });
        runtime.shutdown_background();
    });
    stop
}

/// A running fleet.
pub struct Field {
    /// Its plan.
    pub fleet: Fleet,
    /// The platform.
    pub platform: Platform,
    /// The engines.
    pub engines: Vec<EngineHost>,
    /// The plain services.
    pub services: Vec<Service>,
    /// The boxes.
    pub boxes: Vec<Process>,
    /// A client.
    pub client: Client,
    folder: PathBuf,
}

impl Drop for Field {
    fn drop(&mut self) {
        self.boxes.clear();
        for engine in &mut self.engines {
            engine.kill();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Field {
    /// Starts a fleet and waits until it is ready.
    ///
    /// # Errors
    ///
    /// Says what could not be started.
    pub async fn start(
        fleet: Fleet,
        behaviour: &Behaviour,
        answer_ms: u64,
    ) -> Result<Self, String> {
        let text = |e: std::io::Error| e.to_string();
        let name = format!(
            "magpiemoor-bench-{}-{:08x}",
            std::process::id(),
            rand::random::<u32>()
        );
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).map_err(text)?;
        let platform = Platform::default();
        let listener = TcpListener::bind(&fleet.platform).await.map_err(text)?;
        tokio::spawn(platform.clone().serve(listener));
        let mut services = Vec::new();
        for plan in &fleet.services {
            let service = Service::new(service::Behaviour {
                answer_ms,
                ..Default::default()
            });
            let listener = TcpListener::bind(&plan.address).await.map_err(text)?;
            tokio::spawn(service.clone().serve(listener));
            services.push(service);
        }
        let engines = fleet
            .engines
            .iter()
            .enumerate()
            .map(|(n, plan)| {
                let behaviour = Behaviour {
                    name: plan.id.clone(),
                    slots: plan.slots as usize,
                    seed: n as u64,
                    ..behaviour.clone()
                };
                EngineHost::start(plan.clone(), behaviour)
            })
            .collect();
        let mut boxes = Vec::new();
        for plan in &fleet.boxes {
            let path = folder.join(format!("{}.jsonc", plan.id));
            fleet.write_settings(plan, &path).map_err(text)?;
            let args = ["box", "--settings", path.to_str().unwrap_or_default()];
            let log = folder.join(format!("{}.log", plan.id));
            boxes.push(Process::start(&plan.id, &args, &log).map_err(text)?);
        }
        let field = Self {
            fleet,
            platform,
            engines,
            services,
            boxes,
            client: Client::default(),
            folder,
        };
        let signed = field.fleet.signed(&field.fleet.source(1));
        let key = KEY_ID
            .parse()
            .map_err(|_| "the key's name is not one".to_owned())?;
        let client = PlatformClient::new(&field.fleet.platform);
        roll_signed(&client, &signed, &key)
            .await
            .map_err(|e| e.to_string())?;
        field.wait_ready().await?;
        Ok(field)
    }

    async fn wait_ready(&self) -> Result<(), String> {
        let began = Instant::now();
        let slices = usize::from(magpiemoor::node::roster::SLICES) * self.fleet.domains.len();
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
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        Err("the fleet was not ready in time".to_owned())
    }

    /// The callers' addresses of all boxes.
    #[must_use]
    pub fn callers(&self) -> Vec<String> {
        self.fleet.boxes.iter().map(|b| b.callers.clone()).collect()
    }

    /// What all engines have spent.
    #[must_use]
    pub fn spent(&self) -> Spent {
        self.engines
            .iter()
            .map(EngineHost::spent)
            .fold(Spent::default(), add)
    }

    /// The sum of a metric over all boxes that answer.
    pub async fn metric(&self, name: &str) -> f64 {
        let mut sum = 0.0;
        for plan in &self.fleet.boxes {
            sum += self.metric_of(&plan.operators, name).await;
        }
        sum
    }

    /// A metric of one box, or zero.
    pub async fn metric_of(&self, operators: &str, name: &str) -> f64 {
        let call = Call::new(Method::GET, operators, "/metrics");
        let Ok(answer) = self.client.send(call, Duration::from_secs(2)).await else {
            return 0.0;
        };
        let wanted = format!("magpiemoor_{name} ");
        let text = answer.text();
        let line = text.lines().find_map(|l| l.strip_prefix(&wanted));
        line.and_then(|value| value.parse().ok()).unwrap_or(0.0)
    }
}
