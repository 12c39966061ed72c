//! How boxes come to know each other, on made-up time.

#[path = "gateway/fixtures.rs"]
mod fixtures;

use std::collections::BTreeSet;
use std::net::SocketAddr;

use fixtures::{STREAMS, World, box_state};
use magpiemoor::gateway::dispatch::action::Action;
use magpiemoor::gateway::dispatch::event::Event;
use magpiemoor::gateway::dispatch::roster::unpack_address;
use magpiemoor::schema::{BoxState, PeerAddress};

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 9], port))
}

fn named(domain: &str, port: u16) -> PeerAddress {
    PeerAddress {
        address: address(port).to_string(),
        domain: domain.parse().unwrap(),
    }
}

/// The state of a box that names others.
fn state(from: &str, domain: &str, port: u16, peers: Vec<PeerAddress>) -> Event {
    Event::Peer(BoxState {
        peers,
        ..box_state(from, domain, &address(port).to_string())
    })
}

/// Whom the news of attempts go to.
fn told_of_attempts(world: &mut World) -> BTreeSet<SocketAddr> {
    world.arrive(STREAMS);
    let actions = world.run(30);
    let told = actions.iter().filter_map(|action| match action {
        Action::GossipUsage { to, .. } => Some(to.clone()),
        _ => None,
    });
    told.flatten().collect()
}

/// What boxes of a port are sent, within a while: the ports of the boxes that are named to them.
fn named_to(world: &mut World, receivers: std::ops::Range<u16>) -> Vec<Vec<u16>> {
    let mut found = Vec::new();
    for action in world.run(2_500) {
        if let Action::Gossip { to, state, .. } = action
            && to.iter().any(|to| receivers.contains(&to.port()))
        {
            let members = state.members.iter();
            let members = members.map(|member| unpack_address(&member.address).unwrap().port());
            let others = state.peers.iter().map(|named| {
                let address: SocketAddr = named.address.parse().unwrap();
                address.port()
            });
            found.push(members.chain(others).collect());
        }
    }
    found
}

#[test]
fn a_box_of_the_own_domain_that_a_peer_names_is_told_of_attempts() {
    let mut world = World::ready();
    let peers = vec![named("north", 7_300), named("south", 7_301)];
    world.handle(state("box-2", "south", 7_200, peers));
    assert_eq!(told_of_attempts(&mut world), [address(7_300)].into());
}

#[test]
fn a_box_that_nobody_names_any_more_is_forgotten() {
    let mut world = World::ready();
    let peers = vec![named("north", 7_300)];
    world.handle(state("box-2", "north", 7_200, peers));
    world.run(31_000);
    assert!(told_of_attempts(&mut world).is_empty());
}

#[test]
fn a_message_names_mostly_boxes_of_the_domain_that_it_goes_to() {
    let mut world = World::ready();
    for number in 0..20 {
        let near = format!("box-n{number}");
        world.handle(state(&near, "north", 7_300 + number, Vec::new()));
        let far = format!("box-s{number}");
        world.handle(state(&far, "south", 7_400 + number, Vec::new()));
    }
    let far = named_to(&mut world, 7_400..7_420);
    assert!(!far.is_empty());
    for ports in far {
        let of_receivers = ports.iter().filter(|port| **port >= 7_400).count();
        assert_eq!((of_receivers, ports.len()), (8, 12), "{ports:?}");
    }
}

#[test]
fn in_time_every_box_is_named() {
    let mut world = World::ready();
    let mut seen = BTreeSet::new();
    for _ in 0..10 {
        for number in 0..20 {
            let name = format!("box-n{number}");
            world.handle(state(&name, "north", 7_300 + number, Vec::new()));
        }
        seen.extend(named_to(&mut world, 7_300..7_320).into_iter().flatten());
    }
    assert_eq!(seen.len(), 20, "{seen:?}");
}
