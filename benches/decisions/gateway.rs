//! What one decision of a gateway box costs: an arrival, a stream's progress, a tick, a lost
//! domain.

use std::sync::Arc;

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group};
use magpiemoor::gateway::dispatch::action::Attempt;
use magpiemoor::gateway::dispatch::event::{EndpointSpec, Event, Fault, Outcome, RequestNumber};

use crate::fixtures::{GENEROUS, STREAMS, World, endpoint, listed, table};

/// Endpoints of a site: as today, of the grown sites, and of the largest size that was played.
const ENDPOINTS: [usize; 3] = [27, 120, 320];
/// Streams that run on the box meanwhile.
const STREAMS_RUNNING: usize = 100;
/// Failure domains over which the engines are spread.
const DOMAINS: [&str; 3] = ["north", "south", "west"];
/// The failure domain that is lost: that of the box, where most attempts are made.
const LOST_DOMAIN: &str = "north";

/// A box with streams that run, and the attempt of each.
struct Loaded {
    world: World,
    streams: Vec<(RequestNumber, Attempt)>,
}

fn engines(count: usize) -> Vec<EndpointSpec> {
    let numbered = (0..count).zip(9_000..);
    let engine = |(n, port)| {
        let domain = DOMAINS[n % DOMAINS.len()];
        endpoint(&format!("engine-{n}-{domain}"), "engines", domain, port)
    };
    numbered.map(engine).collect()
}

fn loaded(count: usize) -> Loaded {
    let mut world = World::empty(GENEROUS);
    world.handle(Event::Table(Arc::new(table(1))));
    world.handle(listed(engines(count)));
    let streams = (0..STREAMS_RUNNING)
        .map(|_| {
            let (request, attempt) = world.arrive(STREAMS);
            let attempt = attempt.expect("an engine takes it");
            world.progress(request, attempt.attempt, 1);
            (request, attempt)
        })
        .collect();
    Loaded { world, streams }
}

fn arrival(c: &mut Criterion) {
    measure(c, "arrival placed", |loaded| {
        loaded.world.arrive(STREAMS);
    });
}

fn progress(c: &mut Criterion) {
    measure(c, "stream progress", |loaded| {
        let (request, attempt) = &loaded.streams[0];
        loaded.world.progress(*request, attempt.attempt, 2);
    });
}

fn tick(c: &mut Criterion) {
    measure(c, "tick with 100 streams", |loaded| {
        loaded.world.handle(Event::Tick);
    });
}

/// The connections of all streams in one failure domain break at once.
fn lost_domain(c: &mut Criterion) {
    measure(c, "domain lost", |loaded| {
        let lost = loaded
            .streams
            .iter()
            .filter(|(_, attempt)| attempt.endpoint.ends_with(LOST_DOMAIN));
        for (request, attempt) in lost {
            let outcome = Outcome::Broken(Fault::Closed);
            loaded.world.end(*request, attempt.attempt, outcome);
        }
    });
}

fn measure(c: &mut Criterion, name: &str, decide: impl Fn(&mut Loaded)) {
    let mut group = c.benchmark_group(name);
    for count in ENDPOINTS {
        group.bench_function(BenchmarkId::from_parameter(count), |b| {
            b.iter_batched(
                || {
                    let mut loaded = loaded(count);
                    loaded.world.pass(100);
                    loaded
                },
                |mut loaded| {
                    decide(&mut loaded);
                    loaded
                },
                BatchSize::LargeInput,
            );
        });
    }
    group.finish();
}

criterion_group!(benches, arrival, progress, tick, lost_domain);
