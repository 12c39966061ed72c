//! How boxes discover each other, on a simulated clock.

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

fn peer_address(domain: &str, port: u16) -> PeerAddress {
    PeerAddress {
        address: address(port).to_string(),
        domain: domain.parse().unwrap(),
    }
}

/// The state of a box that lists other boxes as its peers.
fn state(from: &str, domain: &str, port: u16, peers: Vec<PeerAddress>) -> Event {
    Event::Peer(BoxState {
        peers,
        ..box_state(from, domain, &address(port).to_string())
    })
}

/// The boxes to which updates of attempts are sent.
fn attempt_update_targets(world: &mut World) -> BTreeSet<SocketAddr> {
    world.arrive(STREAMS);
    let actions = world.run(30);
    let targets = actions.iter().filter_map(|action| match action {
        Action::GossipUsage { to, .. } => Some(to.clone()),
        _ => None,
    });
    targets.flatten().collect()
}

/// The ports of the peers that are listed in messages to boxes with these ports, within a while.
fn ports_listed_to(world: &mut World, receivers: std::ops::Range<u16>) -> Vec<Vec<u16>> {
    let mut found = Vec::new();
    for action in world.run(2_500) {
        if let Action::Gossip { to, state, .. } = action
            && to.iter().any(|to| receivers.contains(&to.port()))
        {
            let members = state.members.iter();
            let members = members.map(|member| unpack_address(&member.address).unwrap().port());
            let others = state.peers.iter().map(|peer| {
                let address: SocketAddr = peer.address.parse().unwrap();
                address.port()
            });
            found.push(members.chain(others).collect());
        }
    }
    found
}

#[test]
fn a_box_of_the_own_domain_that_a_peer_lists_is_sent_updates_of_attempts() {
    let mut world = World::ready();
    let peers = vec![peer_address("north", 7_300), peer_address("south", 7_301)];
    world.handle(state("box-2", "south", 7_200, peers));
    assert_eq!(attempt_update_targets(&mut world), [address(7_300)].into());
}

#[test]
fn a_box_that_no_peer_lists_any_more_is_removed() {
    let mut world = World::ready();
    let peers = vec![peer_address("north", 7_300)];
    world.handle(state("box-2", "north", 7_200, peers));
    world.run(31_000);
    assert!(attempt_update_targets(&mut world).is_empty());
}

#[test]
fn a_message_lists_mostly_boxes_of_the_receiving_domain() {
    let mut world = World::ready();
    for number in 0..20 {
        let local = format!("box-n{number}");
        world.handle(state(&local, "north", 7_300 + number, Vec::new()));
        let remote = format!("box-s{number}");
        world.handle(state(&remote, "south", 7_400 + number, Vec::new()));
    }
    let remote = ports_listed_to(&mut world, 7_400..7_420);
    assert!(!remote.is_empty());
    for ports in remote {
        let of_receivers = ports.iter().filter(|port| **port >= 7_400).count();
        assert_eq!((of_receivers, ports.len()), (8, 12), "{ports:?}");
    }
}

#[test]
fn every_box_is_listed_eventually() {
    let mut world = World::ready();
    let mut seen = BTreeSet::new();
    for _ in 0..10 {
        for number in 0..20 {
            let name = format!("box-n{number}");
            world.handle(state(&name, "north", 7_300 + number, Vec::new()));
        }
        seen.extend(
            ports_listed_to(&mut world, 7_300..7_320)
                .into_iter()
                .flatten(),
        );
    }
    assert_eq!(seen.len(), 20, "{seen:?}");
}
