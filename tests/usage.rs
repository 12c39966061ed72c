//! What runs at endpoints by the word of other boxes, on made-up time.

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

fn news(from: &str, usage: Vec<EndpointUsage>) -> Event {
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

fn told(actions: &[Action]) -> Vec<(Vec<SocketAddr>, UsageUpdate)> {
    let told = actions.iter().filter_map(|action| match action {
        Action::GossipUsage {
            to, update: news, ..
        } => Some((to.clone(), news.clone())),
        _ => None,
    });
    told.collect()
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
fn boxes_of_the_own_domain_are_told_at_once_of_a_prompt_that_was_sent() {
    let mut world = World::ready();
    world.handle(state("box-2", "north", 7_200, Vec::new()));
    world.handle(state("box-3", "south", 7_201, Vec::new()));
    let engine = next_engine(&mut world);
    let told = told(&world.run(30));
    assert_eq!(told.len(), 1);
    let (to, news) = &told[0];
    assert_eq!(*to, vec!["127.0.0.9:7200".parse().unwrap()]);
    assert_eq!(news.usage.len(), 1);
    assert_eq!(news.usage[0].endpoint.id, engine);
    assert_eq!(news.usage[0].reading, 5_000);
}

#[test]
fn sendings_of_the_same_moment_are_told_together() {
    let mut world = World::ready();
    world.handle(state("box-2", "north", 7_200, Vec::new()));
    next_engine(&mut world);
    next_engine(&mut world);
    let told = told(&world.run(30));
    assert_eq!(told.len(), 1);
    assert_eq!(told[0].1.usage.len(), 2);
}

#[rstest]
#[case::by_its_news(false)]
#[case::by_its_account(true)]
fn an_engine_that_reads_the_prompt_of_another_box_is_left_alone(#[case] whole: bool) {
    let mut world = World::ready();
    for (busy, free) in [("engine-n1", "engine-n2"), ("engine-n2", "engine-n1")] {
        let reads = vec![usage(busy, 1, 5_000)];
        let event = if whole {
            state("box-2", "north", 7_200, reads)
        } else {
            news("box-2", reads)
        };
        world.handle(event);
        world.handle(news("box-2", vec![usage(free, 0, 0)]));
        let (request, sent) = world.arrive(STREAMS);
        assert_eq!(sent.unwrap().endpoint.as_str(), free);
        world.handle(Event::CallerDisconnected(request));
    }
}

#[test]
fn prompts_of_other_boxes_are_taken_to_be_read_by_and_by() {
    let mut world = World::ready();
    world.handle(news("box-2", vec![usage("engine-n1", 1, 5_000)]));
    world.pass(400);
    assert_eq!(running_at(&world, "engine-n1"), (1, 3_000));
    world.pass(700);
    assert_eq!(running_at(&world, "engine-n1"), (1, 0));
    world.pass(4_000);
    assert_eq!(running_at(&world, "engine-n1"), (0, 0));
}

#[test]
fn what_a_box_told_last_takes_the_place_of_what_it_told_before() {
    let mut world = World::ready();
    world.handle(news("box-2", vec![usage("engine-n1", 2, 9_000)]));
    world.handle(news("box-3", vec![usage("engine-n1", 1, 100)]));
    world.handle(news("box-2", vec![usage("engine-n1", 1, 0)]));
    assert_eq!(running_at(&world, "engine-n1"), (2, 100));
    // A whole account leaves out what has ended.
    world.handle(state("box-2", "north", 7_200, Vec::new()));
    assert_eq!(running_at(&world, "engine-n1"), (1, 100));
}

#[test]
fn news_of_an_endpoint_that_is_not_listed_are_no_use() {
    let mut world = World::ready();
    world.handle(news("box-2", vec![usage("engine-x9", 1, 5_000)]));
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
    let (mut near, mut far) = (0, 0);
    for action in world.run(2_500) {
        if let Action::Gossip { to, .. } = action {
            let ports = to.iter().map(SocketAddr::port);
            let is_near = ports.map(|port| port >= 7_300 && port % 2 == 0);
            for is_near in is_near {
                if is_near { near += 1 } else { far += 1 }
            }
        }
    }
    assert!(near > far && far > 0, "{near} near, {far} far");
}

#[test]
fn calls_at_plain_services_are_told_when_they_begin_and_when_they_end() {
    let mut world = World::ready();
    world.handle(state("box-2", "north", 7_200, Vec::new()));
    let (request, attempt) = world.arrive(QUOTES);
    let attempt = attempt.unwrap();
    let begun = told(&world.run(5));
    assert_eq!(begun.len(), 1, "{begun:?}");
    assert_eq!(begun[0].1.usage[0].running, 1);
    world.end(request, attempt.attempt, Outcome::Answered { status: 200 });
    let ended = told(&world.run(5));
    assert_eq!(ended.len(), 1, "{ended:?}");
    assert_eq!(ended[0].1.usage[0].running, 0);
    let answers = &ended[0].1.answers;
    let ended = (answers[0].served, answers[0].errors, answers[0].broken);
    assert_eq!(ended, (1, 0, 0));
}

/// 84 requests a second on a box of 25 peers would make 2,000 datagrams a second.
#[test]
fn news_of_attempts_keep_to_a_rate() {
    let mut world = World::ready();
    for number in 0..24 {
        let from = format!("box-{}", number + 2);
        world.handle(state(&from, "north", 7_300 + number, Vec::new()));
    }
    let mut datagrams = 0;
    for _ in 0..84 {
        let (request, attempt) = world.arrive(QUOTES);
        datagrams += told(&world.run(6))
            .iter()
            .map(|(to, _)| to.len())
            .sum::<usize>();
        let attempt = attempt.unwrap().attempt;
        world.end(request, attempt, Outcome::Answered { status: 200 });
        datagrams += told(&world.run(6))
            .iter()
            .map(|(to, _)| to.len())
            .sum::<usize>();
    }
    // 300 a second, and a burst of four messages.
    assert!((250..=400).contains(&datagrams), "{datagrams}");
}

fn far(from: &str, domain: &str, age_ms: u32, running: u32) -> Event {
    let Event::Peer(mut state) = state(from, "south", 7_400, Vec::new()) else {
        unreachable!("it is a state");
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

/// A mirror stands in another domain and takes memory there, which the boxes there must know of.
#[test]
fn boxes_of_other_domains_are_told_of_engines_and_of_sums_of_plain_services() {
    let mut world = World::ready();
    world.handle(state("box-2", "south", 7_200, Vec::new()));
    let attempt = world.arrive(STREAMS).1.unwrap();
    world.arrive(QUOTES);
    let told = world.run(600).into_iter().find_map(|action| match action {
        Action::Gossip { state, .. } if state.members_of.as_str() == "south" => Some(*state),
        _ => None,
    });
    let told = told.unwrap();
    let engines: Vec<&str> = told.usage.iter().map(|u| u.endpoint.id.as_str()).collect();
    assert!(engines.contains(&attempt.endpoint.as_str()), "{told:?}");
    assert_eq!(engines.len(), 2, "the engine and the host of its mirror");
    let sums = &told.domain_usage[0];
    assert_eq!(sums.domain.as_str(), "north");
    assert_eq!(sums.usage.len(), 1);
    assert_eq!(sums.usage[0].running, 1);
}

#[test]
fn the_newest_sum_of_another_domain_counts_whoever_tells_it() {
    let mut world = World::ready();
    world.run(1_000);
    world.handle(far("box-7", "south", 0, 5));
    world.handle(far("box-8", "south", 300, 2));
    assert_eq!(running_at(&world, "till-s1").0, 5);
    world.run(200);
    world.handle(far("box-8", "south", 10, 3));
    assert_eq!(running_at(&world, "till-s1").0, 3);
    // What is told of the own domain is counted by its boxes' own accounts.
    world.handle(far("box-9", "north", 0, 4));
    assert_eq!(running_at(&world, "till-s1").0, 3);
}

#[test]
fn a_server_that_fails_for_other_boxes_is_left_alone() {
    let mut world = World::ready();
    let answers = |endpoint: &str, served, errors| EndpointAnswers {
        endpoint: endpoint.parse().unwrap(),
        served,
        errors,
        broken: 0,
    };
    let first = |world: &mut World| world.arrive(QUOTES).1.unwrap().endpoint;
    // One error in five answers of the same service everywhere is no fault of a server.
    let told = |near, far| {
        Event::PeerUsage(UsageUpdate {
            from: "box-2".parse().unwrap(),
            usage: Vec::new(),
            answers: vec![near, far],
            totals: Vec::new(),
            samples: Vec::new(),
            rollouts: Vec::new(),
        })
    };
    world.handle(told(answers("till-n1", 16, 4), answers("till-s1", 16, 4)));
    assert_eq!(first(&mut world).as_str(), "till-n1");
    world.handle(told(answers("till-n1", 12, 8), answers("till-s1", 20, 0)));
    world.handle(told(answers("till-n1", 12, 8), answers("till-s1", 20, 0)));
    assert_eq!(first(&mut world).as_str(), "till-s1");
    world.run(9_000);
    assert_eq!(first(&mut world).as_str(), "till-n1", "it is tried again");
}

/// A mirror at an engine that fails is a mirror less.
#[test]
fn a_mirror_does_not_stand_at_an_engine_that_fails_for_other_boxes() {
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
