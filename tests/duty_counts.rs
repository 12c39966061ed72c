//! Which requests a box counts as begun, and to which boxes it reports the counts.

#[path = "gateway/fixtures.rs"]
mod fixtures;

use std::sync::Arc;
use std::time::Duration;

use fixtures::{
    GENEROUS, QUOTES, STREAMS, World, box_state, config, endpoints, first_attempt, listed, table,
};
use magpiemoor::clock::UnixMillis;
use magpiemoor::gateway::dispatch::DispatchConfig;
use magpiemoor::gateway::dispatch::action::Action;
use magpiemoor::gateway::dispatch::duty::DutyPolicy;
use magpiemoor::gateway::dispatch::event::{Event, Fault, NotRunCause, Outcome};
use magpiemoor::schema::{BoxState, StoreReader, UsageCountUpdate};

/// A time of day within a window.
const DAY: u64 = 1_700_000_001_000;

fn world() -> World {
    let mut world = World::with(DispatchConfig {
        duty: Some(DutyPolicy {
            window: Duration::from_secs(5),
            late: Duration::from_secs(10),
            lease: Duration::from_secs(3),
        }),
        ..config(GENEROUS)
    });
    world.handle(Event::Table(Arc::new(table(1))));
    world.handle(listed(endpoints()));
    world.handle(Event::TimeOfDay(UnixMillis(DAY)));
    world
}

/// The usage counts that the box reports to the store's watcher a while later.
fn reported(world: &mut World) -> Option<UsageCountUpdate> {
    world.pass(1_000);
    world.handle(Event::Peer(BoxState {
        readers: vec![StoreReader {
            id: "box-0".parse().unwrap(),
            domain: "north".parse().unwrap(),
            age_ms: 0,
            address: "127.0.0.8:7200".to_owned(),
        }],
        ..box_state("box-0", "north", "127.0.0.8:7200")
    }));
    let done = world.handle(Event::TimeOfDay(UnixMillis(DAY + 1_000)));
    done.iter().find_map(|action| match action {
        Action::PublishUsageCounts { to, update } if *to == ["127.0.0.8:7200".parse().unwrap()] => {
            Some(update.clone())
        }
        _ => None,
    })
}

fn began(update: &UsageCountUpdate) -> u64 {
    let counts = update.windows.iter().flat_map(|window| &window.counts);
    counts.map(|count| count.began).sum()
}

#[test]
fn a_stream_counts_once_wherever_it_continues() {
    let mut world = world();
    let (request, first) = world.arrive(STREAMS);
    let first = first.unwrap();
    world.progress(request, first.attempt, 1);
    world.end(request, first.attempt, Outcome::Broken(Fault::Closed));
    let done = world.actions.clone();
    let second = first_attempt(&done).or_else(|| first_attempt(&world.run(1_000)));
    world.progress(request, second.unwrap().attempt, 2);
    assert_eq!(began(&reported(&mut world).unwrap()), 1);
}

#[test]
fn a_call_counts_where_it_ran_and_not_where_it_was_turned_away() {
    let mut world = world();
    let (request, first) = world.arrive(QUOTES);
    let turned_away = Outcome::NotRun(NotRunCause::NoRoom);
    world.end(request, first.unwrap().attempt, turned_away);
    let (request, second) = world.arrive(QUOTES);
    let answered = Outcome::Answered { status: 200 };
    world.end(request, second.unwrap().attempt, answered);
    assert_eq!(began(&reported(&mut world).unwrap()), 1);
}

#[test]
fn nothing_is_reported_where_no_duty_is_configured() {
    let mut world = World::ready();
    world.handle(Event::TimeOfDay(UnixMillis(DAY)));
    assert!(world.actions.is_empty());
}
