//! How a configuration spreads over a fleet whose boxes have thin links.
//!
//! Each box is a real dispatcher with the real transfer between boxes, and has an address that
//! leads over a link of limited rate. Datagrams are handed over in memory, callers and
//! endpoints are left out. The boxes that watch the store by their own decision are given each
//! configuration, as if the store had just answered them; the others have to get it from peers.
//!
//! Time is real, so a figure depends on the machine; a test judges by events only.

mod link;

use std::collections::{BTreeMap, HashMap};
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use magpiemoor::gateway::dispatch::action::Action;
use magpiemoor::gateway::dispatch::event::Event;
use magpiemoor::gateway::dispatch::record::{FETCH_BUSY, FETCHED_WHOLE, Record};
use magpiemoor::gateway::dispatch::rollout::exposure::ExposureLimit;
use magpiemoor::gateway::dispatch::{DispatchConfig, Dispatcher};
use magpiemoor::gateway::explain::LogLine;
use magpiemoor::gateway::settings::{GatewaySettings, defaults};
use magpiemoor::gateway::shell::dialect::{Entry, ObjectKind};
use magpiemoor::gateway::shell::input::Input;
use magpiemoor::gateway::shell::watcher::StoreChange;
use magpiemoor::gateway::shell::{GatewayShared, store, transfer};
use magpiemoor::schema::Incarnation;
use magpiemoor_platform::dialect::PlatformDialect;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::Instant;

use link::{Link, relay};

use super::fleet::{KEY, PAYMENTS, QUOTES, STREAMS, config_with};

/// How many inputs may wait for a box.
const INPUTS: usize = 4_096;
/// How often the outcome is looked at.
const LOOK: Duration = Duration::from_millis(10);
/// How often endpoints are replaced.
pub const REPLACE_EVERY: Duration = Duration::from_millis(500);
/// How long boxes that have started take to decide for the first time whether they watch the store.
const FIRST_DECISIONS: Duration = Duration::from_millis(500);
/// How many boxes of a domain watch the store once they have settled.
const WATCHERS_PER_DOMAIN: usize = 2;

/// A fleet, and what it is given.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Boxes of each failure domain.
    pub boxes_per_domain: usize,
    /// Failure domains.
    pub domains: usize,
    /// Bytes that a box's link takes each second.
    pub link_rate: f64,
    /// Routes of each configuration that is given, one after the other.
    pub routes: Vec<usize>,
    /// Endpoints that are listed.
    pub endpoints: usize,
    /// How many of them are replaced each [`REPLACE_EVERY`].
    pub replaced: usize,
    /// How many fetches of a table may fail at one box before the fleet is given up.
    pub most_failures: usize,
    /// Seed of names and choices.
    pub seed: u64,
}

/// What became of one configuration.
#[derive(Clone, Debug, Default)]
pub struct Spread {
    /// Bytes of its text.
    pub text_bytes: usize,
    /// How long after the store's answer each box had it in force, sorted.
    pub in_force: Vec<Duration>,
    /// Boxes that never had it.
    pub missing: usize,
    /// Fetches of a table that brought it.
    pub fetched: usize,
    /// Fetches from boxes that were busy.
    pub turned_away: usize,
    /// Fetches that failed.
    pub failed: usize,
    /// Bytes that went over all links meanwhile, endpoints included.
    pub link_bytes: u64,
}

/// The decision log of one box, as the fleet reads it.
#[derive(Clone, Debug, Default)]
struct Notes(Arc<Mutex<BoxNotes>>);

#[derive(Debug, Default)]
struct BoxNotes {
    is_watching: bool,
    version: u64,
    in_force: HashMap<u64, Instant>,
    fetched: usize,
    turned_away: usize,
    failed: usize,
}

impl Notes {
    fn lock(&self) -> std::sync::MutexGuard<'_, BoxNotes> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Write for Notes {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        if let Ok(line) = serde_json::from_slice::<LogLine>(line)
            && let Record::TableFetched { outcome, .. } = &line.record
        {
            let mut notes = self.lock();
            match outcome.as_ref() {
                FETCHED_WHOLE => notes.fetched += 1,
                FETCH_BUSY => notes.turned_away += 1,
                _ => notes.failed += 1,
            }
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// A box of the fleet.
struct Member {
    shared: GatewayShared,
    notes: Notes,
    link: Arc<Link>,
}

/// The way of datagrams: the inputs of each box by its address.
type Wires = Arc<BTreeMap<SocketAddr, mpsc::Sender<Input>>>;

struct Fleet {
    members: Vec<Member>,
    tasks: JoinSet<()>,
    rng: ChaCha8Rng,
    revision: u64,
    servers: Vec<String>,
}

/// Gives a fleet one configuration after the other, each once the one before is in force
/// everywhere; ends when one box has failed too often.
///
/// # Errors
///
/// What the system says.
pub async fn spread(plan: &Plan) -> std::io::Result<Vec<Spread>> {
    let mut fleet = Fleet::start(plan).await?;
    fleet.settle(plan).await;
    fleet.list_endpoints(plan).await;
    // The first one is small, so that all boxes begin with a configuration and know each other.
    fleet.give(plan, 1, 0).await;
    let mut spreads = Vec::new();
    for (number, routes) in plan.routes.iter().enumerate() {
        let spread = fleet.give(plan, number as u64 + 2, *routes).await;
        let is_given_up = spread.missing > 0;
        spreads.push(spread);
        if is_given_up {
            break;
        }
    }
    Ok(spreads)
}

impl Fleet {
    async fn start(plan: &Plan) -> std::io::Result<Self> {
        let mut tasks = JoinSet::new();
        let mut wires = BTreeMap::new();
        let mut members = Vec::new();
        let mut started = Vec::new();
        for number in 0..plan.boxes_per_domain * plan.domains {
            let front = TcpListener::bind("127.0.0.1:0").await?;
            let own = TcpListener::bind("127.0.0.1:0").await?;
            let address = front.local_addr()?;
            let (inputs, received) = mpsc::channel(INPUTS);
            wires.insert(address, inputs.clone());
            let notes = Notes::default();
            let settings = settings(number, plan, address)?;
            let dialect = Arc::new(PlatformDialect);
            let shared = GatewayShared::start(settings, dialect, inputs, notes.clone())
                .map_err(std::io::Error::other)?;
            let link = Arc::new(Link::new(plan.link_rate));
            tasks.spawn(relay(front, own.local_addr()?, Arc::clone(&link)));
            tasks.spawn(transfer::accept(Arc::new(own), shared.clone()));
            members.push(Member {
                shared: shared.clone(),
                notes: notes.clone(),
                link,
            });
            started.push((shared, received, notes));
        }
        let wires: Wires = Arc::new(wires);
        let seeds: Vec<SocketAddr> = wires.keys().copied().take(plan.domains).collect();
        for (number, (shared, received, notes)) in started.into_iter().enumerate() {
            let seed = plan.seed + number as u64;
            let dispatcher = dispatcher(&shared, seeds.clone(), seed);
            tasks.spawn(run_box(
                dispatcher,
                shared,
                received,
                notes,
                Arc::clone(&wires),
            ));
        }
        Ok(Self {
            members,
            tasks,
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            revision: 1,
            servers: Vec::new(),
        })
    }

    fn watchers(&self) -> impl Iterator<Item = &Member> {
        self.members
            .iter()
            .filter(|member| member.notes.lock().is_watching)
    }

    /// Waits until as many boxes of each domain watch the store as have to; those that do are
    /// answered.
    async fn settle(&mut self, plan: &Plan) {
        tokio::time::sleep(FIRST_DECISIONS).await;
        while (0..plan.domains).any(|domain| self.watchers_of(domain, plan) != WATCHERS_PER_DOMAIN)
        {
            self.answer_watchers().await;
            tokio::time::sleep(LOOK).await;
        }
    }

    fn watchers_of(&self, domain: usize, plan: &Plan) -> usize {
        let of_domain = self.members.iter().skip(domain).step_by(plan.domains);
        of_domain.filter(|m| m.notes.lock().is_watching).count()
    }

    async fn answer_watchers(&self) {
        for member in self.watchers() {
            member.shared.send(Input::Event(Event::StoreAnswered)).await;
        }
    }

    async fn list_endpoints(&mut self, plan: &Plan) {
        self.servers = (0..plan.endpoints).map(|n| format!("i-{n:08x}")).collect();
        let entries: Vec<Entry> = self.servers.iter().map(|id| server(id)).collect();
        for member in self.watchers() {
            let change = StoreChange::Listed(entries.clone());
            store::apply_change(ObjectKind::Endpoints, change, self.revision, &member.shared).await;
        }
    }

    async fn replace_endpoints(&mut self, count: usize) {
        self.revision += 1;
        let mut entries = Vec::new();
        for _ in 0..count {
            let new = format!("i-{:08x}", self.rng.random::<u32>());
            let place = self.rng.random_range(0..self.servers.len());
            let name = std::mem::replace(&mut self.servers[place], new);
            entries.push(Entry { name, text: None });
            entries.push(server(&self.servers[place]));
        }
        for member in self.watchers() {
            let change = StoreChange::Changed(entries.clone());
            store::apply_change(ObjectKind::Endpoints, change, self.revision, &member.shared).await;
        }
    }

    /// Has the watchers read a configuration, and waits until all boxes have it or one has failed
    /// too often.
    async fn give(&mut self, plan: &Plan, version: u64, routes: usize) -> Spread {
        let text = configuration(version, routes, &mut self.rng);
        let entry = Entry {
            name: "main".to_owned(),
            text: Some(text),
        };
        let before: u64 = self.members.iter().map(|m| m.link.passed()).sum();
        for member in &self.members {
            let mut notes = member.notes.lock();
            (notes.fetched, notes.turned_away, notes.failed) = (0, 0, 0);
        }
        let given = Instant::now();
        for member in self.watchers() {
            let shared = member.shared.clone();
            let change = StoreChange::Changed(vec![entry.clone()]);
            tokio::spawn(async move {
                store::apply_change(ObjectKind::Table, change, 0, &shared).await;
            });
        }
        let mut next_replacement = given + REPLACE_EVERY;
        while !self.is_over(plan, version) {
            tokio::time::sleep(LOOK).await;
            if Instant::now() >= next_replacement {
                next_replacement += REPLACE_EVERY;
                self.answer_watchers().await;
                self.replace_endpoints(plan.replaced).await;
            }
        }
        let passed: u64 = self.members.iter().map(|m| m.link.passed()).sum();
        self.tell(
            version,
            given,
            passed - before,
            entry.text.map_or(0, |t| t.len()),
        )
    }

    fn is_over(&self, plan: &Plan, version: u64) -> bool {
        let mut notes = self.members.iter().map(|m| m.notes.lock());
        let is_lost =
            |notes: &BoxNotes| notes.version < version && notes.failed >= plan.most_failures;
        let mut all = true;
        notes.any(|notes| {
            all &= notes.version >= version;
            is_lost(&notes)
        }) || all
    }

    fn tell(&self, version: u64, given: Instant, link_bytes: u64, text_bytes: usize) -> Spread {
        let mut spread = Spread {
            text_bytes,
            link_bytes,
            ..Spread::default()
        };
        for member in &self.members {
            let notes = member.notes.lock();
            spread.fetched += notes.fetched;
            spread.turned_away += notes.turned_away;
            spread.failed += notes.failed;
            match notes.in_force.get(&version) {
                Some(at) => spread.in_force.push(at.saturating_duration_since(given)),
                None => spread.missing += 1,
            }
        }
        spread.in_force.sort_unstable();
        spread
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.tasks.abort_all();
    }
}

fn settings(number: usize, plan: &Plan, address: SocketAddr) -> std::io::Result<GatewaySettings> {
    let mut file = defaults();
    file.box_id = Some(format!("box-{number}"));
    file.domain = Some(format!("domain-{}", number % plan.domains));
    file.peers_address = Some(address.to_string());
    let faults = |faults: Vec<magpiemoor::settings::SettingsError>| {
        let texts: Vec<String> = faults.iter().map(ToString::to_string).collect();
        std::io::Error::other(texts.join("; "))
    };
    GatewaySettings::try_from(file).map_err(faults)
}

fn dispatcher(shared: &GatewayShared, seeds: Vec<SocketAddr>, seed: u64) -> Dispatcher {
    let settings = &shared.settings;
    let cfg = DispatchConfig {
        me: settings.box_id.clone(),
        incarnation: Incarnation(1),
        domain: settings.domain.clone(),
        address: settings.peers_address,
        seeds,
        first_start: true,
        gossip: settings.gossip,
        fleet_boxes: settings.fleet_boxes,
        retries: settings.retries,
        exposure: ExposureLimit {
            share: 0.1,
            reserve: 50.0,
        },
        duty: None,
    };
    Dispatcher::new(cfg, seed, shared.clock.now())
}

/// Feeds a box's dispatcher and carries out what concerns its peers.
async fn run_box(
    mut dispatcher: Dispatcher,
    shared: GatewayShared,
    mut inputs: mpsc::Receiver<Input>,
    notes: Notes,
    wires: Wires,
) {
    loop {
        let tick = shared.clock.instant(dispatcher.next_tick());
        let event = tokio::select! {
            biased;
            input = inputs.recv() => match input {
                Some(Input::Event(event)) => event,
                Some(_) => continue,
                None => return,
            },
            () = tokio::time::sleep_until(tick.into()) => Event::Tick,
        };
        for action in dispatcher.handle(shared.clock.now(), event) {
            perform(action, &shared, &notes, &wires);
        }
    }
}

fn perform(action: Action, shared: &GatewayShared, notes: &Notes, wires: &Wires) {
    match action {
        Action::Gossip { to, state, .. } => {
            for inputs in to.iter().filter_map(|address| wires.get(address)) {
                // A datagram that finds no room is lost.
                let _ = inputs.try_send(Input::Event(Event::Peer((*state).clone())));
            }
        }
        Action::FetchState { from, kind, wanted } => {
            tokio::spawn(transfer::fetch(from, kind, wanted, shared.clone()));
        }
        Action::WatchStore(is_watching) => notes.lock().is_watching = is_watching,
        Action::Record(Record::TableInForce { version }) => {
            let mut notes = notes.lock();
            notes.version = version;
            notes.in_force.insert(version, Instant::now());
        }
        _ => {}
    }
}

fn server(id: &str) -> Entry {
    let spec = json!({
        "service": "models", "address": "127.0.0.1:9", "zone": "domain-0", "version": "v1",
        "slots": 8, "state": "ready", "coldRemainingMs": 0, "sequence": 1,
    });
    let object =
        json!({"metadata": {"name": id, "revision": 1, "made": 1, "finalizers": []}, "spec": spec});
    Entry {
        name: id.to_owned(),
        text: Some(object.to_string()),
    }
}

/// A configuration with some routes more than the usual ones, each with names of its own.
fn configuration(version: u64, routes: usize, rng: &mut ChaCha8Rng) -> String {
    let mut spec = config_with(version, &[STREAMS, QUOTES, PAYMENTS], &[KEY]);
    let sample = spec["routes"][1].clone();
    if let Some(list) = spec["routes"].as_array_mut() {
        list.extend((0..routes).map(|_| added_route(&sample, rng)));
    }
    json!({"metadata": {"name": "main", "revision": version}, "spec": spec}).to_string()
}

fn added_route(sample: &Value, rng: &mut ChaCha8Rng) -> Value {
    let mut word = || -> String {
        let letters = std::iter::repeat_with(|| char::from(rng.random_range(b'a'..=b'z')));
        letters.take(8).collect()
    };
    let mut route = sample.clone();
    route["name"] = json!(format!("r-{}", word()));
    route["host"] = json!(format!("{}.example", word()));
    route["pathPrefix"] = json!(format!("/{}/", word()));
    route
}
