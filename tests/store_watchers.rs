//! Which boxes watch the store, and what a box that starts is sent, on a simulated clock.

#[path = "gateway/fixtures.rs"]
mod fixtures;

use fixtures::{GENEROUS, World, box_state, config};
use magpiemoor::gateway::dispatch::Dispatcher;
use magpiemoor::gateway::dispatch::action::Action;
use magpiemoor::gateway::dispatch::event::Event;
use magpiemoor::schema::{BoxState, Incarnation, Micros, StoreReader};
use rstest::rstest;

fn peer(from: &str, version: u64) -> BoxState {
    BoxState {
        table_version: version,
        ..box_state(from, "north", "127.0.0.2:7200")
    }
}

fn reader(id: &str, domain: &str, age_ms: u32) -> StoreReader {
    StoreReader {
        id: id.parse().unwrap(),
        domain: domain.parse().unwrap(),
        age_ms,
        address: "127.0.0.8:7200".to_owned(),
    }
}

fn reads_store(actions: &[Action]) -> Option<bool> {
    actions.iter().find_map(|action| match action {
        Action::WatchStore(is_watching) => Some(*is_watching),
        _ => None,
    })
}

#[rstest]
#[case::two_before_it(&["a", "b"], "north", 100, Some(false))]
#[case::one_before_it(&["a"], "north", 100, None)]
#[case::after_it(&["x", "y"], "north", 100, None)]
#[case::of_another_domain(&["a", "b"], "south", 100, None)]
#[case::not_answered_lately(&["a", "b"], "north", 9_000, None)]
fn a_box_stops_reading_the_store_for_two_others_of_its_domain(
    #[case] readers: &[&str],
    #[case] domain: &str,
    #[case] age_ms: u32,
    #[case] change: Option<bool>,
) {
    let mut world = World::ready();
    assert_eq!(reads_store(&world.run(1_000)), Some(true));
    let mut done = Vec::new();
    for _ in 0..8 {
        let mut state = peer("box-2", 1);
        state.readers = readers
            .iter()
            .map(|id| reader(id, domain, age_ms))
            .collect();
        world.handle(Event::Peer(state));
        done.extend(world.run(1_000));
    }
    assert_eq!(reads_store(&done), change);
}

#[test]
fn a_box_reads_the_store_again_when_its_readers_are_lost() {
    let mut world = World::ready();
    assert_eq!(reads_store(&world.run(1_000)), Some(true));
    let mut done = Vec::new();
    for _ in 0..8 {
        let mut state = peer("box-2", 1);
        state.readers = vec![reader("a", "north", 0), reader("b", "north", 0)];
        world.handle(Event::Peer(state));
        done.extend(world.run(1_000));
    }
    assert_eq!(reads_store(&done), Some(false));
    assert_eq!(reads_store(&world.run(6_000)), Some(true));
}

#[test]
fn a_box_that_starts_reads_the_store_soon_if_no_peer_reports_readers() {
    let mut world = World::empty(GENEROUS);
    assert_eq!(reads_store(&world.run(450)), Some(true));
}

#[test]
fn a_box_that_starts_does_not_read_the_store_if_peers_report_readers() {
    let mut world = World::empty(GENEROUS);
    for _ in 0..4 {
        let mut state = peer("box-2", 1);
        state.readers = vec![reader("a", "north", 0), reader("b", "north", 0)];
        world.handle(Event::Peer(state));
        assert_eq!(reads_store(&world.run(500)), None);
    }
}

#[test]
fn boxes_that_start_together_decide_at_different_times() {
    let first_reads = (0..20).map(|seed| {
        let mut dispatcher = Dispatcher::new(config(GENEROUS), seed, Micros(0));
        (0..150).find(|step| {
            let now = Micros(step * 3_000);
            reads_store(&dispatcher.handle(now, Event::Tick)).is_some()
        })
    });
    let times: std::collections::BTreeSet<_> = first_reads.collect();
    assert!(times.len() > 8, "{times:?}");
}

#[test]
fn a_box_that_begins_to_read_the_store_notifies_its_domain_at_once() {
    let mut world = World::empty(GENEROUS);
    world.handle(Event::Peer(peer("box-2", 1)));
    let done = world.run(500);
    let began = done
        .iter()
        .position(|a| matches!(a, Action::WatchStore(true)));
    let claims = done[began.unwrap()..]
        .iter()
        .filter_map(|action| match action {
            Action::Gossip { to, state, .. } => Some((to, state)),
            _ => None,
        });
    let (to, state) = claims.into_iter().next().unwrap();
    assert!(to.contains(&"127.0.0.2:7200".parse().unwrap()));
    assert!(state.readers.iter().any(|r| r.id.as_str() == "box-1"));
}

#[test]
fn boxes_that_lose_their_readers_together_do_not_all_begin_to_read() {
    let mut boxes: Vec<Dispatcher> = (0..30)
        .map(|seed| {
            let mut cfg = config(GENEROUS);
            cfg.me = format!("box-{seed}").parse().unwrap();
            cfg.address = format!("127.0.1.{seed}:7200").parse().unwrap();
            cfg.seeds = (0..30)
                .map(|n| format!("127.0.1.{n}:7200").parse().unwrap())
                .collect();
            Dispatcher::new(cfg, seed, Micros(0))
        })
        .collect();
    let mut reading = 0;
    let mut mail: Vec<(usize, BoxState)> = Vec::new();
    for step in 0..200_u64 {
        let now = Micros(step * 5_000);
        let events = std::mem::take(&mut mail);
        let peers = events
            .into_iter()
            .map(|(to, state)| (to, Event::Peer(state)));
        let ticks = (0..boxes.len()).map(|to| (to, Event::Tick));
        let events: Vec<_> = peers.chain(ticks).collect();
        for (to, event) in events {
            for action in boxes[to].handle(now, event) {
                match action {
                    Action::WatchStore(true) => reading += 1,
                    Action::Gossip { to, state, .. } => {
                        let numbers = to.iter().map(|address| match address.ip() {
                            std::net::IpAddr::V4(ip) => usize::from(ip.octets()[3]),
                            std::net::IpAddr::V6(_) => 0,
                        });
                        mail.extend(numbers.map(|number| (number, (*state).clone())));
                    }
                    _ => {}
                }
            }
        }
    }
    assert!((2..=8).contains(&reading), "{reading} of 30 began to read");
}

#[test]
fn a_box_that_starts_is_sent_the_states_of_others_at_once() {
    let mut world = World::ready();
    let is_sent_state = |actions: &[Action]| {
        actions.iter().any(|action| {
            matches!(action, Action::Gossip { to, .. } if *to == vec!["127.0.0.2:7200".parse().unwrap()])
        })
    };
    world.run(50);
    world.handle(Event::Peer(peer("box-2", 1)));
    assert!(is_sent_state(&world.actions));
    world.pass(20);
    world.handle(Event::Peer(peer("box-2", 1)));
    assert!(!is_sent_state(&world.actions), "it is known now");
    world.pass(20);
    let mut restarted = peer("box-2", 1);
    restarted.incarnation = Incarnation(2);
    world.handle(Event::Peer(restarted.clone()));
    assert!(is_sent_state(&world.actions));
    restarted.incarnation = Incarnation(3);
    restarted.readers = vec![reader("a", "north", 0), reader("b", "north", 0)];
    world.handle(Event::Peer(restarted));
    assert!(
        !is_sent_state(&world.actions),
        "other boxes sent it their states"
    );
}
