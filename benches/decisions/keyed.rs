//! What one decision costs where requests are known by a key: a route, a token batch, a heartbeat,
//! a new bundle.

use std::sync::Arc;
use std::time::Duration;

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group};
use magpiemoor::keyed::bundle::parts::{join, split};
use magpiemoor::keyed::bundle::sign::unsigned;
use magpiemoor::keyed::bundle::{Bundle, SignedBundle};
use magpiemoor::keyed::node::Node;
use magpiemoor::keyed::node::action::Action;
use magpiemoor::keyed::node::config::NodeConfig;
use magpiemoor::keyed::node::endpoints::Endpoints;
use magpiemoor::keyed::node::event::{CallerEvent, EngineEvent, Event, StreamId};
use magpiemoor::keyed::node::prefixes;
use magpiemoor::keyed::node::routing::{Need, choose};
use magpiemoor::keyed::settings::{Recovery, Routing};
use magpiemoor::schema::{
    BundleSource, BundleVersion, DomainId, EndpointId, EndpointKind, EndpointSpec, EngineSpec,
    Epoch, GenerateRequest, Heartbeat, HybridTime, Incarnation, LoadReport, Member, Micros, Millis,
    ModelId, ModelSpec, OrganisationSpec, Policy, Priority, Request, RequestKind, Token, Weights,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const ENDPOINTS: [usize; 3] = [10, 100, 400];
const ORGANISATIONS: usize = 2_600;
const BOXES: usize = 25;

fn source(endpoints: usize, organisations: usize, version: u64) -> BundleSource {
    let model: ModelId = "drafter".parse().unwrap();
    BundleSource {
        version: BundleVersion(version),
        models: vec![ModelSpec {
            id: model.clone(),
            context: 32_768,
            max_tokens: 8_192,
            version: 1,
            adapters: Vec::new(),
        }],
        services: Vec::new(),
        organisations: (0..organisations)
            .map(|n| OrganisationSpec {
                id: format!("organisation-{n}").parse().unwrap(),
                weight: 1 + (n as u32 + u32::from(n == 7) * version as u32) % 9,
                priority: Priority::Interactive,
                models: vec![model.clone()],
                services: Vec::new(),
            })
            .collect(),
        endpoints: (0..endpoints)
            .map(|n| EndpointSpec {
                id: format!("engine-{n}").parse().unwrap(),
                domain: "north".parse().unwrap(),
                address: format!("127.0.0.1:{}", n + 1),
                checks_orders: true,
                serves: EndpointKind::Engine(EngineSpec {
                    models: vec![model.clone()],
                    adapters: Vec::new(),
                    slots: 8,
                }),
            })
            .collect(),
        policy: Policy {
            weights: Weights {
                resume_second: 10.0,
                extra_second: 1.0,
            },
            retry_horizon: Millis(600_000),
            retry_percent: 10,
            queue_limit: 256,
        },
    }
}

fn bundle(endpoints: usize, version: u64) -> (Arc<Bundle>, Arc<SignedBundle>) {
    let signed = unsigned(split(&source(endpoints, ORGANISATIONS, version)));
    (Arc::new(join(&signed).unwrap()), Arc::new(signed))
}

fn node(endpoints: usize) -> Node {
    let cfg = NodeConfig {
        me: Member {
            id: "box-0".parse().unwrap(),
            incarnation: Incarnation(1),
            address: "a".to_owned(),
        },
        domain: "north".parse().unwrap(),
        domains: vec!["north".parse().unwrap()],
        seeds: Vec::new(),
        lease: Duration::from_secs(3),
        heartbeat: Duration::from_millis(200),
        clock_bound: Duration::from_millis(200),
        max_requests: 4_096,
        max_tokens_held: 10_000_000,
        stop_grace: Duration::from_secs(60),
        recovery: Recovery::Resume,
        routing: Routing::Cost,
    };
    let mut node = Node::new(cfg, 1, Micros(1));
    let (bundle, signed) = bundle(endpoints, 1);
    node.handle(Micros(2), Event::Start);
    node.handle(Micros(3), Event::Bundle { bundle, signed });
    node
}

fn heartbeat(from: usize, sequence: u64) -> Heartbeat {
    Heartbeat {
        from: format!("box-{from}").parse().unwrap(),
        incarnation: Incarnation(1),
        domain: "north".parse().unwrap(),
        address: format!("box-{from}"),
        sequence,
        epoch: Epoch(0),
        bundle: None,
        stopping: false,
        clock: HybridTime(0),
        ask: None,
        grants: Vec::new(),
        loads: (0..16)
            .map(|n| LoadReport {
                endpoint: format!("engine-{n}").parse().unwrap(),
                running: 3,
                queued: 0,
                model_version: 1,
                leaving: false,
            })
            .collect(),
        leaving: Vec::new(),
    }
}

fn request(key: &str, max_tokens: u32) -> Request {
    Request {
        key: key.parse().unwrap(),
        first: true,
        organisation: "organisation-5".parse().unwrap(),
        priority: Priority::Interactive,
        deadline: None,
        body_hash: 1,
        kind: RequestKind::Generate(GenerateRequest {
            model: "drafter".parse().unwrap(),
            adapter: None,
            prompt: "a prompt ".repeat(200),
            max_tokens,
        }),
    }
}

fn route(c: &mut Criterion) {
    let mut group = c.benchmark_group("route");
    for count in ENDPOINTS {
        let (bundle, _) = bundle(count, 1);
        let mut endpoints = Endpoints::default();
        endpoints.adopt(&bundle);
        let blocks = prefixes::blocks(&"a prompt ".repeat(200));
        for n in 0..count {
            let id: EndpointId = format!("engine-{n}").parse().unwrap();
            endpoints.prefixes.stored(&id, &blocks[..n % blocks.len()]);
        }
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let domain: DomainId = "north".parse().unwrap();
        let model: ModelId = "drafter".parse().unwrap();
        group.bench_function(BenchmarkId::from_parameter(count), |b| {
            b.iter(|| {
                let need = Need {
                    candidates: bundle.engines_for(&model),
                    avoid: &[],
                    adapter: None,
                    blocks: &blocks,
                    bytes: 1_800,
                    domain: &domain,
                };
                choose(Routing::Cost, &endpoints, &need, Micros(5), &mut rng)
            });
        });
    }
    group.finish();
}

/// A token that an engine sent: taken in, and released to the caller.
fn token(c: &mut Criterion) {
    c.bench_function("token", |b| {
        let mut node = node(100);
        let mut now = 10;
        let mut place = 0;
        let mut turn = 0;
        let mut stream: Option<StreamId> = None;
        b.iter(|| {
            if stream.is_none() || place >= 8_000 {
                turn += 1;
                place = 0;
                let event = CallerEvent::Submit {
                    request: request(&format!("key-{turn}"), 8_192),
                    cursor: None,
                };
                let actions = node.handle(
                    Micros(now),
                    Event::Caller {
                        connection: turn,
                        event,
                    },
                );
                stream = actions.into_iter().find_map(|a| match a {
                    Action::StartEngine(start) => Some(start.stream),
                    _ => None,
                });
            }
            now += 100;
            let tokens = vec![Token {
                id: place as u32,
                text: " token".to_owned(),
            }];
            let event = EngineEvent::Tokens {
                offset: place,
                tokens,
            };
            place += 1;
            node.handle(
                Micros(now),
                Event::Engine {
                    stream: stream.clone().unwrap(),
                    event,
                },
            )
        });
    });
}

fn beat(c: &mut Criterion) {
    let mut node = node(400);
    let mut sequence = 0;
    c.bench_function("heartbeat received", |b| {
        b.iter(|| {
            sequence += 1;
            let beat = Box::new(heartbeat(sequence as usize % BOXES + 1, sequence));
            node.handle(Micros(1_000 + sequence), Event::Heartbeat(beat))
        });
    });
    c.bench_function("heartbeat sent", |b| {
        b.iter(|| {
            sequence += 1;
            let timer = magpiemoor::keyed::node::event::Timer::Heartbeat;
            node.handle(Micros(1_000 + sequence), Event::Timer(timer))
        });
    });
}

fn change(c: &mut Criterion) {
    let mut group = c.benchmark_group("bundle");
    group.sample_size(10);
    for count in ENDPOINTS {
        let (next, signed) = bundle(count, 2);
        group.bench_function(BenchmarkId::new("adopt", count), |b| {
            b.iter_batched(
                || node(count),
                |mut node| {
                    let event = Event::Bundle {
                        bundle: Arc::clone(&next),
                        signed: Arc::clone(&signed),
                    };
                    node.handle(Micros(10), event);
                    node
                },
                BatchSize::LargeInput,
            );
        });
        group.bench_function(BenchmarkId::new("check and index", count), |b| {
            b.iter(|| join(&signed).unwrap());
        });
    }
    group.finish();
}

criterion_group!(benches, route, token, beat, change);
