//! What runs at endpoints as reported by peers, on a simulated clock.

#[path = "gateway/fixtures.rs"]
mod fixtures;

use std::net::SocketAddr;

use fixtures::{QUOTES, STREAMS, World, box_state};
use magpiemoor::gateway::dispatch::action::Action;
use magpiemoor::gateway::dispatch::event::{Event, Outcome};
use magpiemoor::schema::{
    BoxState, DomainUsage, EndpointAnswers, EndpointId, EndpointUsage, UsageUpdate,
};
use rstest::rstest;

fn usage(endpoint: &str, running: u32, reading: u32) -> EndpointUsage {
    EndpointUsage {
        endpoint: endpoint.parse().unwrap(),
        running,
        reading,
        memory: 5_700 * running,
    }
}

fn usage_update(from: &str, usage: Vec<EndpointUsage>) -> Event {
    Event::PeerUsage(UsageUpdate {
        from: from.parse().unwrap(),
        usage,
        answers: Vec::new(),
        totals: Vec::new(),
        samples: Vec::new(),
        rollouts: Vec::new(),
    })
}

fn state(from: &str, domain: &str, port: u16, usage: Vec<EndpointUsage>) -> Event {
    Event::Peer(BoxState {
        usage,
        ..box_state(from, domain, &format!("127.0.0.9:{port}"))
    })
}

fn published(actions: &[Action]) -> Vec<(Vec<SocketAddr>, UsageUpdate)> {
    let published = actions.iter().filter_map(|action| match action {
        Action::GossipUsage { to, update, .. } => Some((to.clone(), update.clone())),
        _ => None,
    });
    published.collect()
}

/// The engine that a new stream goes to.
fn next_engine(world: &mut World) -> EndpointId {
    world.arrive(STREAMS).1.unwrap().endpoint
}

fn running_at(world: &World, endpoint: &str) -> (u32, u32) {
    let fleet = world.dispatcher.fleet();
    let endpoint = fleet.get(&endpoint.parse().unwrap()).unwrap();
    let usage = fleet.usage(endpoint, world.now);
    (usage.running, usage.prefill)
}

#[test]
fn a_sent_prompt_is_published_at_once_to_boxes_of_the_own_domain() {
    let mut world = World::ready();
    world.handle(state("box-2", "north", 7_200, Vec::new()));
    world.handle(state("box-3", "south", 7_201, Vec::new()));
    let engine = next_engine(&mut world);
    let published = published(&world.run(30));
    assert_eq!(published.len(), 1);
    let (to, update) = &published[0];
    assert_eq!(*to, vec!["127.0.0.9:7200".parse().unwrap()]);
    assert_eq!(update.usage.len(), 1);
    assert_eq!(update.usage[0].endpoint.id, engine);
    assert_eq!(update.usage[0].reading, 5_000);
}

#[test]
fn attempts_of_the_same_moment_are_published_together() {
    let mut world = World::ready();
    world.handle(state("box-2", "north", 7_200, Vec::new()));
    next_engine(&mut world);
    next_engine(&mut world);
    let published = published(&world.run(30));
    assert_eq!(published.len(), 1);
    assert_eq!(published[0].1.usage.len(), 2);
}

#[rstest]
#[case::by_its_news(false)]
#[case::by_its_account(true)]
fn an_engine_that_reads_the_prompt_of_another_box_is_avoided(#[case] whole: bool) {
    let mut world = World::ready();
    for (busy, free) in [("engine-n1", "engine-n2"), ("engine-n2", "engine-n1")] {
        let reads = vec![usage(busy, 1, 5_000)];
        let event = if whole {
            state("box-2", "north", 7_200, reads)
        } else {
            usage_update("box-2", reads)
        };
        world.handle(event);
        world.handle(usage_update("box-2", vec![usage(free, 0, 0)]));
        let (request, sent) = world.arrive(STREAMS);
        assert_eq!(sent.unwrap().endpoint.as_str(), free);
        world.handle(Event::CallerDisconnected(request));
    }
}

#[test]
fn prompts_of_other_boxes_are_assumed_to_be_read_gradually() {
    let mut world = World::ready();
    world.handle(usage_update("box-2", vec![usage("engine-n1", 1, 5_000)]));
    world.pass(400);
    assert_eq!(running_at(&world, "engine-n1"), (1, 3_000));
    world.pass(700);
    assert_eq!(running_at(&world, "engine-n1"), (1, 0));
    world.pass(4_000);
    assert_eq!(running_at(&world, "engine-n1"), (0, 0));
}

#[test]
fn the_latest_report_of_a_box_replaces_its_earlier_ones() {
    let mut world = World::ready();
    world.handle(usage_update("box-2", vec![usage("engine-n1", 2, 9_000)]));
    world.handle(usage_update("box-3", vec![usage("engine-n1", 1, 100)]));
    world.handle(usage_update("box-2", vec![usage("engine-n1", 1, 0)]));
    assert_eq!(running_at(&world, "engine-n1"), (2, 100));
    // A full report omits what has ended.
    world.handle(state("box-2", "north", 7_200, Vec::new()));
    assert_eq!(running_at(&world, "engine-n1"), (1, 100));
}

#[test]
fn updates_about_an_unlisted_endpoint_are_ignored() {
    let mut world = World::ready();
    world.handle(usage_update("box-2", vec![usage("engine-x9", 1, 5_000)]));
    assert!(
        world
            .dispatcher
            .fleet()
            .get(&"engine-x9".parse().unwrap())
            .is_none()
    );
}

#[test]
fn most_messages_go_to_the_own_domain() {
    let mut world = World::ready();
    for number in 0..20 {
        let domain = if number % 2 == 0 { "north" } else { "south" };
        let from = format!("box-{}", number + 2);
        world.handle(state(&from, domain, 7_300 + number, Vec::new()));
    }
    let (mut local, mut remote) = (0, 0);
    for action in world.run(2_500) {
        if let Action::Gossip { to, .. } = action {
            let ports = to.iter().map(SocketAddr::port);
            let is_local = ports.map(|port| port >= 7_300 && port % 2 == 0);
            for is_local in is_local {
                if is_local { local += 1 } else { remote += 1 }
            }
        }
    }
    assert!(
        local > remote && remote > 0,
        "{local} local, {remote} remote"
    );
}

#[test]
fn calls_at_plain_services_are_published_when_they_begin_and_when_they_end() {
    let mut world = World::ready();
    world.handle(state("box-2", "north", 7_200, Vec::new()));
    let (request, attempt) = world.arrive(QUOTES);
    let attempt = attempt.unwrap();
    let begun = published(&world.run(5));
    assert_eq!(begun.len(), 1, "{begun:?}");
    assert_eq!(begun[0].1.usage[0].running, 1);
    world.end(request, attempt.attempt, Outcome::Answered { status: 200 });
    let ended = published(&world.run(5));
    assert_eq!(ended.len(), 1, "{ended:?}");
    assert_eq!(ended[0].1.usage[0].running, 0);
    let answers = &ended[0].1.answers;
    let ended = (answers[0].served, answers[0].errors, answers[0].broken);
    assert_eq!(ended, (1, 0, 0));
}

/// Without a bound, 84 requests a second on a box with 25 peers would make 2,000 datagrams a second.
#[test]
fn updates_about_attempts_are_rate_limited() {
    let mut world = World::ready();
    for number in 0..24 {
        let from = format!("box-{}", number + 2);
        world.handle(state(&from, "north", 7_300 + number, Vec::new()));
    }
    let mut datagrams = 0;
    for _ in 0..84 {
        let (request, attempt) = world.arrive(QUOTES);
        datagrams += published(&world.run(6))
            .iter()
            .map(|(to, _)| to.len())
            .sum::<usize>();
        let attempt = attempt.unwrap().attempt;
        world.end(request, attempt, Outcome::Answered { status: 200 });
        datagrams += published(&world.run(6))
            .iter()
            .map(|(to, _)| to.len())
            .sum::<usize>();
    }
    // 300 a second, and a burst of four messages.
    assert!((250..=400).contains(&datagrams), "{datagrams}");
}

fn remote_sum(from: &str, domain: &str, age_ms: u32, running: u32) -> Event {
    let Event::Peer(mut state) = state(from, "south", 7_400, Vec::new()) else {
        unreachable!("the event is a peer state");
    };
    state.domain_usage = vec![DomainUsage {
        domain: domain.parse().unwrap(),
        age_ms,
        usage: vec![EndpointUsage {
            memory: 0,
            ..usage("till-s1", running, 0)
        }],
    }];
    Event::Peer(state)
}

/// A mirror is placed in another domain and uses memory there, which the boxes of that domain must know of.
#[test]
fn engines_and_sums_of_plain_services_are_published_to_other_domains() {
    let mut world = World::ready();
    world.handle(state("box-2", "south", 7_200, Vec::new()));
    let attempt = world.arrive(STREAMS).1.unwrap();
    world.arrive(QUOTES);
    let published = world.run(600).into_iter().find_map(|action| match action {
        Action::Gossip { state, .. } if state.members_of.as_str() == "south" => Some(*state),
        _ => None,
    });
    let published = published.unwrap();
    let engines: Vec<&str> = published
        .usage
        .iter()
        .map(|u| u.endpoint.id.as_str())
        .collect();
    assert!(
        engines.contains(&attempt.endpoint.as_str()),
        "{published:?}"
    );
    assert_eq!(engines.len(), 2, "the engine and the host of its mirror");
    let sums = &published.domain_usage[0];
    assert_eq!(sums.domain.as_str(), "north");
    assert_eq!(sums.usage.len(), 1);
    assert_eq!(sums.usage[0].running, 1);
}

#[test]
fn the_newest_sum_of_another_domain_counts_whoever_reports_it() {
    let mut world = World::ready();
    world.run(1_000);
    world.handle(remote_sum("box-7", "south", 0, 5));
    world.handle(remote_sum("box-8", "south", 300, 2));
    assert_eq!(running_at(&world, "till-s1").0, 5);
    world.run(200);
    world.handle(remote_sum("box-8", "south", 10, 3));
    assert_eq!(running_at(&world, "till-s1").0, 3);
    // Usage in the own domain is counted from the reports of its own boxes.
    world.handle(remote_sum("box-9", "north", 0, 4));
    assert_eq!(running_at(&world, "till-s1").0, 3);
}

#[test]
fn a_server_that_fails_for_other_boxes_is_avoided() {
    let mut world = World::ready();
    let answers = |endpoint: &str, served, errors| EndpointAnswers {
        endpoint: endpoint.parse().unwrap(),
        served,
        errors,
        broken: 0,
    };
    let first = |world: &mut World| world.arrive(QUOTES).1.unwrap().endpoint;
    // One error in five answers at all servers of a service is no fault of one server.
    let report = |local, remote| {
        Event::PeerUsage(UsageUpdate {
            from: "box-2".parse().unwrap(),
            usage: Vec::new(),
            answers: vec![local, remote],
            totals: Vec::new(),
            samples: Vec::new(),
            rollouts: Vec::new(),
        })
    };
    world.handle(report(answers("till-n1", 16, 4), answers("till-s1", 16, 4)));
    assert_eq!(first(&mut world).as_str(), "till-n1");
    world.handle(report(answers("till-n1", 12, 8), answers("till-s1", 20, 0)));
    world.handle(report(answers("till-n1", 12, 8), answers("till-s1", 20, 0)));
    assert_eq!(first(&mut world).as_str(), "till-s1");
    world.run(9_000);
    assert_eq!(
        first(&mut world).as_str(),
        "till-n1",
        "the server is tried again"
    );
}

/// A mirror at a failing engine is of no use.
#[test]
fn a_mirror_is_not_placed_at_an_engine_that_fails_for_other_boxes() {
    let mut world = World::ready();
    for (failing, sound) in [("engine-s1", 9_004), ("engine-s2", 9_003)] {
        let answers = EndpointAnswers {
            endpoint: failing.parse().unwrap(),
            served: 0,
            errors: 0,
            broken: 20,
        };
        world.handle(Event::PeerUsage(UsageUpdate {
            from: "box-2".parse().unwrap(),
            usage: Vec::new(),
            answers: vec![answers],
            totals: Vec::new(),
            samples: Vec::new(),
            rollouts: Vec::new(),
        }));
        let (request, attempt) = world.arrive(STREAMS);
        let mirror = attempt.unwrap().mirror_to.unwrap();
        assert_eq!(mirror.port(), sound);
        world.handle(Event::CallerDisconnected(request));
        world.run(20_000);
    }
}
