//! Leases of the slots of endpoints that bear few rejections.

#[path = "gateway/fixtures.rs"]
mod fixtures;

use std::net::SocketAddr;
use std::time::Duration;

use fixtures::{PAYMENTS, World, box_state, first_attempt};
use magpiemoor::gateway::dispatch::action::{Action, Attempt};
use magpiemoor::gateway::dispatch::event::{Event, NotRunCause, Outcome, RequestNumber};
use magpiemoor::gateway::dispatch::fleet::directives::AnswerDirectives;
use magpiemoor::gateway::dispatch::fleet::directives::tolerance::Tolerance;
use magpiemoor::gateway::dispatch::slots::lease_book::{LeaseBook, SlotRequest};
use magpiemoor::schema::{
    Micros, PermitGrant, PermitRequest, SlotReturn, SlotReturnReason, SlotUpdate,
};

const LIFETIME: Duration = Duration::from_secs(3);
const START: Micros = Micros(1_000_000);
/// Slots of each till of the fixtures.
const SLOTS: u32 = 8;

fn holder(number: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, number], 7_200))
}

fn request(number: u8, slots: u32) -> SlotRequest {
    let holder = holder(number);
    SlotRequest { holder, slots }
}

fn total(granted: &[SlotRequest]) -> u32 {
    granted.iter().map(|of| of.slots).sum()
}

#[test]
fn no_more_leases_are_out_than_the_endpoint_has_slots() {
    let mut book = LeaseBook::new(3, START);
    for number in 1..=5 {
        book.on_request(request(number, 1), START);
    }
    assert_eq!(total(&book.grant(0, LIFETIME, START)), 3);
    assert_eq!(total(&book.grant(0, LIFETIME, START)), 0);
    book.on_returned(request(5, 1));
    assert_eq!(total(&book.grant(0, LIFETIME, START)), 1);
}

#[test]
fn the_latest_requester_comes_first() {
    let mut book = LeaseBook::new(1, START);
    book.on_request(request(1, 1), START);
    book.on_request(request(2, 1), START);
    assert_eq!(book.grant(0, LIFETIME, START), vec![request(2, 1)]);
}

#[test]
fn requests_without_a_lease_take_slots_too() {
    let mut book = LeaseBook::new(3, START);
    book.on_request(request(1, 3), START);
    assert_eq!(total(&book.grant(2, LIFETIME, START)), 1);
}

#[test]
fn a_lease_whose_return_was_lost_lapses() {
    let mut book = LeaseBook::new(1, START);
    book.on_request(request(1, 1), START);
    book.grant(0, LIFETIME, START);
    let later = START.after(LIFETIME);
    book.on_request(request(2, 1), later);
    assert_eq!(total(&book.grant(0, LIFETIME, later)), 1);
}

#[test]
fn a_rejection_lowers_the_capacity_which_rises_again() {
    let mut book = LeaseBook::new(6, START);
    book.on_request(request(1, 6), START);
    book.grant(0, LIFETIME, START);
    book.on_rejected(START);
    assert_eq!(book.capacity(), 5);
    book.on_returned(request(1, 6));
    let later = START.after(Duration::from_secs(1));
    book.on_request(request(1, 6), later);
    assert_eq!(total(&book.grant(0, LIFETIME, later)), 6);
}

#[test]
fn nothing_is_granted_before_the_former_owners_calls_have_ended() {
    let starts = START.after(Duration::from_secs(1));
    let mut book = LeaseBook::new(6, starts);
    book.on_request(request(1, 1), START);
    assert_eq!(total(&book.grant(0, LIFETIME, START)), 0);
    book.on_request(request(1, 1), starts);
    assert_eq!(total(&book.grant(0, LIFETIME, starts)), 1);
}

fn state_tolerance(world: &mut World, request: RequestNumber, attempt: &Attempt, stated: bool) {
    let directives = AnswerDirectives {
        tolerance: stated.then_some(Tolerance(3)),
        ..AnswerDirectives::default()
    };
    world.handle(Event::DirectivesRead {
        request,
        attempt: attempt.attempt,
        directives,
    });
}

fn slot_updates(actions: &[Action]) -> Vec<SlotUpdate> {
    let sent = actions.iter().filter_map(|action| match action {
        Action::PublishSlots { update, .. } => Some(update.clone()),
        _ => None,
    });
    sent.collect()
}

/// A box that is alone, before tills that state a tolerance.
fn alone() -> World {
    let mut world = World::ready();
    let (request, attempt) = world.arrive(PAYMENTS);
    let attempt = attempt.unwrap();
    state_tolerance(&mut world, request, &attempt, true);
    world.end(request, attempt.attempt, Outcome::Answered { status: 200 });
    world
}

#[test]
fn endpoints_that_bear_few_rejections_get_no_more_requests_than_slots() {
    let mut world = alone();
    let started = (0..40).filter(|_| world.arrive(PAYMENTS).1.is_some());
    assert_eq!(started.count(), 2 * SLOTS as usize);
}

#[test]
fn a_waiting_request_starts_when_a_slot_is_given_back() {
    let mut world = alone();
    let running: Vec<_> = (0..2 * SLOTS).map(|_| world.arrive(PAYMENTS)).collect();
    let (_, waiting) = world.arrive(PAYMENTS);
    assert!(waiting.is_none());
    let (request, attempt) = running.into_iter().next().unwrap();
    let served = Outcome::Answered { status: 200 };
    world.end(request, attempt.unwrap().attempt, served);
    assert!(first_attempt(&world.actions).is_some());
}

#[test]
fn requests_go_out_freely_once_answers_state_no_tolerance_any_more() {
    let mut world = alone();
    let running: Vec<_> = (0..2 * SLOTS).map(|_| world.arrive(PAYMENTS)).collect();
    world.pass(600);
    let (request, attempt) = running.into_iter().next().unwrap();
    let attempt = attempt.unwrap();
    assert!(
        attempt.is_limited,
        "the answer is reported also without one"
    );
    state_tolerance(&mut world, request, &attempt, false);
    assert!(world.arrive(PAYMENTS).1.is_some());
}

/// The owner of the till is the other box of its domain: this box asks, and uses or returns what it
/// gets.
#[test]
fn a_lease_comes_from_the_owner_and_goes_back_with_its_reason() {
    let mut world = World::ready();
    let peers = (2..10).map(|n| (format!("box-{n}"), format!("127.0.0.{n}:7200")));
    for (name, address) in peers {
        world.handle(Event::Peer(box_state(&name, "north", &address)));
        world.handle(Event::Peer(box_state(&name, "north", &address)));
    }
    let (first, attempt) = world.arrive(PAYMENTS);
    let attempt = attempt.unwrap();
    state_tolerance(&mut world, first, &attempt, true);
    let (second, none) = world.arrive(PAYMENTS);
    let asked: Vec<PermitRequest> = slot_updates(&world.actions)
        .into_iter()
        .flat_map(|update| update.asks)
        .collect();
    let Some(ask) = asked.first() else {
        // This box owns both tills.
        assert!(none.is_some());
        return;
    };
    assert!(none.is_none());
    let grant = PermitGrant {
        endpoint: ask.endpoint.clone(),
        permits: 2,
    };
    world.handle(Event::PeerSlots(SlotUpdate {
        from: "box-2".parse().unwrap(),
        reply_to: "127.0.0.2:7200".to_owned(),
        is_passed_on: false,
        asks: Vec::new(),
        grants: vec![grant],
        returns: Vec::new(),
    }));
    let started = first_attempt(&world.actions).unwrap();
    let reasons = |actions: &[Action]| -> Vec<(u32, SlotReturnReason)> {
        let returns = slot_updates(actions).into_iter().flat_map(|u| u.returns);
        returns
            .map(|SlotReturn { slots, reason, .. }| (slots, reason))
            .collect()
    };
    assert_eq!(reasons(&world.actions), vec![(1, SlotReturnReason::Unused)]);
    let rejected = Outcome::NotRun(NotRunCause::NoRoom);
    world.end(second, started.attempt, rejected);
    assert_eq!(
        reasons(&world.actions),
        vec![(1, SlotReturnReason::Rejected)]
    );
}
