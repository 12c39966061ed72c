//! Streams go on only at the software version that began them: decisions of one box, and whole fleets
//! on a simulated clock.

#[path = "gateway/fixtures.rs"]
mod fixtures;

use std::collections::BTreeSet;

use fixtures::{
    GENEROUS, STREAMS, World, box_state, changed, endpoint, first_attempt, listed, refusal, table,
};
use magpiemoor::gateway::dispatch::action::{Action, Attempt};
use magpiemoor::gateway::dispatch::event::{
    Arrival, EndpointChange, EndpointSpec, Event, RequestNumber,
};
use magpiemoor::gateway::dispatch::refusal::RefusalReason;
use magpiemoor::gateway::dispatch::stream_versions::book::{MAX_RECORDS, RecordUse, StreamBook};
use magpiemoor::gateway::dispatch::stream_versions::lookup::LOOKUP_TIMEOUT;
use magpiemoor::schema::{
    BoxState, DomainSize, EndpointIncarnation, Micros, StartTime, StreamKey, StreamRecord,
    StreamUpdate, VersionId,
};
use magpiemoor_lab::gateway::versions::{Beside, Case, Change};
use rstest::rstest;

fn engine(id: &str, version: &str, port: u16) -> EndpointSpec {
    EndpointSpec {
        version: version.parse().unwrap(),
        ..endpoint(id, "engines", "north", port)
    }
}

fn present(spec: EndpointSpec) -> Event {
    changed(vec![EndpointChange::Present(spec)])
}

/// A box that has heard another one of each of two failure domains, before two engines of v1.
fn with_one_version() -> World {
    let mut world = World::empty(GENEROUS);
    world.handle(Event::Table(std::sync::Arc::new(table(1))));
    hear_peers(&mut world, 1);
    let engines = vec![
        engine("engine-1", "v1", 9_001),
        engine("engine-2", "v1", 9_002),
    ];
    world.handle(listed(engines));
    world
}

/// The same with two engines of v2 that have settled.
fn with_two_versions() -> World {
    let mut world = with_one_version();
    for (id, port) in [("engine-3", 9_003), ("engine-4", 9_004)] {
        world.handle(present(engine(id, "v2", port)));
    }
    for beat in 2..12 {
        world.run(400);
        hear_peers(&mut world, beat);
    }
    world
}

fn hear_peers(world: &mut World, beat: u64) {
    let states = [
        box_state("box-3", "north", "127.0.0.8:7200"),
        box_state("box-2", "south", "127.0.0.9:7200"),
    ];
    for state in states {
        let own = DomainSize {
            domain: state.domain.clone(),
            boxes: 1,
            age_ms: 0,
        };
        world.handle(Event::Peer(BoxState {
            beat,
            domains: vec![own],
            ..state
        }));
    }
}

fn version_of(world: &World, attempt: &Attempt) -> String {
    let endpoint = world.dispatcher.fleet().get(&attempt.endpoint).unwrap();
    endpoint.spec.version.to_string()
}

/// A caller that comes back with the stream that the attempt `began` began.
fn taken_up(world: &mut World, began: &str) -> Arrival {
    Arrival {
        after_event: Some(3),
        resumes: Some(began.to_owned()),
        ..world.arrival(STREAMS)
    }
}

/// Messages about streams among actions.
fn updates(actions: &[Action]) -> Vec<&StreamUpdate> {
    let updates = actions.iter().filter_map(|action| match action {
        Action::PublishStreams { update, .. } => Some(update),
        _ => None,
    });
    updates.collect()
}

fn reads_store(actions: &[Action]) -> bool {
    let is_read = |a: &Action| matches!(a, Action::ReadStreams);
    actions.iter().any(is_read)
}

/// Numbers of records in the writes to the store.
fn saved(actions: &[Action]) -> Vec<usize> {
    let saved = actions.iter().filter_map(|action| match action {
        Action::SaveStreams { records, .. } => Some(records.len()),
        _ => None,
    });
    saved.collect()
}

/// Records that another box of the domain sends to the one that writes them to the store.
fn for_store(streams: std::ops::Range<u64>) -> Event {
    let records = streams.map(|stream| StreamRecord {
        stream: StreamKey(stream),
        version: "v1".parse().unwrap(),
        age_ms: 0,
        keep_ms: 30_000,
    });
    let Event::PeerStreams(update) = answer(StreamKey(0), "v1") else {
        unreachable!();
    };
    Event::PeerStreams(StreamUpdate {
        is_for_store: true,
        records: records.collect(),
        answers: Vec::new(),
        ..update
    })
}

/// Runs for some time before a store that takes each write; returns the writes.
fn run_with_store(world: &mut World, millis: u64) -> Vec<(String, Vec<StreamRecord>)> {
    let mut writes = Vec::new();
    for _ in 0..millis / 10 {
        for action in world.run(10) {
            if let Action::SaveStreams { name, records, .. } = action {
                writes.push((name, records));
                world.handle(Event::StreamsSaved { is_saved: true });
            }
        }
    }
    writes
}

#[test]
fn nothing_is_sent_while_a_service_has_one_version() {
    let mut world = with_one_version();
    let (request, first) = world.arrive(STREAMS);
    let mut done = world.actions.clone();
    world.progress(request, first.unwrap().attempt, 1);
    done.extend(world.actions.clone());
    let back = taken_up(&mut world, "an-attempt-at-another-box");
    let (_, second) = world.arrive_as(back);
    done.extend(world.actions.clone());
    done.extend(world.run(1_500));
    assert!(second.is_some() || first_attempt(&done).is_some());
    assert!(updates(&done).is_empty());
    assert!(!reads_store(&done));
    // Only which version the service has is written, once.
    assert_eq!(saved(&done), [1]);
}

#[test]
fn a_record_goes_out_with_the_first_event_and_not_before() {
    let mut world = with_two_versions();
    let (request, first) = world.arrive(STREAMS);
    let first = first.unwrap();
    assert!(updates(&world.actions).is_empty());
    world.progress(request, first.attempt, 1);
    let version = version_of(&world, &first);
    let sent = updates(&world.actions);
    assert_eq!(sent.len(), 2, "one box of each failure domain");
    for update in sent {
        assert_eq!(update.records[0].version.to_string(), version);
    }
}

#[test]
fn what_began_at_the_only_version_is_published_once_there_is_a_second() {
    let mut world = with_one_version();
    let (request, first) = world.arrive(STREAMS);
    world.progress(request, first.unwrap().attempt, 1);
    assert!(updates(&world.actions).is_empty());
    world.handle(present(engine("engine-3", "v2", 9_003)));
    let records = updates(&world.actions).into_iter().flat_map(|u| &u.records);
    let versions: Vec<String> = records.map(|r| r.version.to_string()).collect();
    assert_eq!(versions, ["v1", "v1"]);
}

#[test]
fn no_stream_begins_at_a_version_before_all_boxes_can_know_it() {
    let mut world = with_one_version();
    world.handle(present(engine("engine-3", "v2", 9_003)));
    let begin = |world: &mut World| {
        let (_, attempt) = world.arrive(STREAMS);
        let attempt = attempt.unwrap();
        version_of(world, &attempt)
    };
    for beat in 2..8 {
        assert_eq!(begin(&mut world), "v1");
        hear_peers(&mut world, beat);
        world.run(400);
    }
    world.run(1_000);
    let versions: Vec<String> = (0..6).map(|_| begin(&mut world)).collect();
    assert!(
        versions.iter().any(|version| version == "v2"),
        "{versions:?}"
    );
}

#[test]
fn a_stream_that_nobody_knows_is_refused_and_never_placed() {
    let mut world = with_two_versions();
    let back = taken_up(&mut world, "unknown");
    let (_, attempt) = world.arrive_as(back);
    assert_eq!(attempt, None);
    let done = world.run(LOOKUP_TIMEOUT.as_millis() as u64 + 50);
    assert_eq!(first_attempt(&done), None);
    assert_eq!(refusal(&done), Some(RefusalReason::UnknownVersion));
}

#[test]
fn a_caller_without_the_attempt_that_began_is_refused_where_there_are_two_versions() {
    let mut world = with_two_versions();
    let back = Arrival {
        after_event: Some(3),
        ..world.arrival(STREAMS)
    };
    let (_, attempt) = world.arrive_as(back);
    assert_eq!(attempt, None);
    assert_eq!(refusal(&world.actions), Some(RefusalReason::UnknownVersion));
}

fn answer(stream: StreamKey, version: &str) -> Event {
    let record = StreamRecord {
        stream,
        version: version.parse().unwrap(),
        age_ms: 40,
        keep_ms: 9_000,
    };
    Event::PeerStreams(StreamUpdate {
        from: "box-3".parse().unwrap(),
        reply_to: "127.0.0.8:7200".to_owned(),
        is_passed_on: true,
        is_for_store: false,
        records: Vec::new(),
        queries: Vec::new(),
        answers: vec![record],
        presumed: Vec::new(),
        unknown: Vec::new(),
        sole: Vec::new(),
    })
}

/// Sends a caller back and answers the query for its stream; returns the actions that follow.
fn come_back_to(world: &mut World, version: &str) -> Vec<Action> {
    let back = taken_up(world, "began-elsewhere");
    world.arrive_as(back);
    let query = updates(&world.actions)
        .into_iter()
        .find_map(|update| update.queries.first().cloned());
    let stream = query.expect("no box was asked").stream;
    let mut done = world.handle(answer(stream, version)).to_vec();
    // No engine tells that it keeps the prompt.
    while let Some(request) = done.iter().find_map(located) {
        done = world
            .handle(Event::Located {
                request,
                endpoint: None,
            })
            .to_vec();
    }
    done
}

/// The request for whose prompt an action searches.
fn located(action: &Action) -> Option<RequestNumber> {
    match action {
        Action::Locate { request, .. } => Some(*request),
        _ => None,
    }
}

#[rstest]
#[case::first("v1")]
#[case::second("v2")]
fn a_caller_that_comes_back_goes_on_at_the_version_that_a_peer_names(#[case] version: &str) {
    let mut world = with_two_versions();
    let done = come_back_to(&mut world, version);
    let attempt = first_attempt(&done).expect("it was not placed");
    assert_eq!(version_of(&world, &attempt), version);
}

#[test]
fn a_stream_whose_version_has_no_engine_left_is_refused_at_once() {
    let mut world = with_two_versions();
    for id in ["engine-3", "engine-4"] {
        world.handle(changed(vec![EndpointChange::Absent(id.parse().unwrap())]));
    }
    let back = taken_up(&mut world, "began-elsewhere");
    world.arrive_as(back);
    let query = updates(&world.actions)
        .into_iter()
        .find_map(|update| update.queries.first().cloned());
    let done = world.handle(answer(query.unwrap().stream, "v2")).to_vec();
    assert_eq!(refusal(&done), Some(RefusalReason::VersionGone));
}

/// Runs for some time before a store that refuses each write; returns how many there were.
fn run_without_store(world: &mut World, millis: u64) -> usize {
    let mut writes = 0;
    for _ in 0..millis / 10 {
        let done = world.run(10);
        if !saved(&done).is_empty() {
            writes += 1;
            world.handle(Event::StreamsSaved { is_saved: false });
        }
    }
    writes
}

/// A box wrote to a store that took nothing four times a second.
#[test]
fn failed_writes_of_records_are_repeated_with_longer_pauses() {
    let mut world = with_two_versions();
    world.handle(for_store(0..10));
    let writes = run_without_store(&mut world, 10_000);
    assert!((8..=13).contains(&writes), "{writes} writes in 10 s");
    let first = run_with_store(&mut world, 1_500);
    assert!(!first.is_empty());
    world.handle(for_store(10..11));
    let next = run_with_store(&mut world, 500);
    assert_eq!(next.len(), 1, "pauses as before once a write succeeded");
}

/// The more records a domain kept, the later a new one reached the store, and streams that began in
/// the seconds before all boxes were lost were refused.
#[test]
fn a_new_record_is_in_the_store_soon_however_many_there_are() {
    let mut world = with_two_versions();
    world.handle(for_store(0..2_000));
    run_with_store(&mut world, 10_000);
    for stream in 5_000..5_010 {
        world.handle(for_store(stream..stream + 1));
        let writes = run_with_store(&mut world, 750);
        let is_in = |(_, records): &(String, Vec<StreamRecord>)| {
            records.iter().any(|record| record.stream.0 == stream)
        };
        assert!(writes.iter().any(is_in), "{stream} is not in the store");
    }
}

/// The box that writes may hold a record anew before it is told to write it.
#[test]
fn a_corrected_version_is_written_though_the_record_is_known() {
    let mut world = with_two_versions();
    world.handle(for_store(7..8));
    run_with_store(&mut world, 1_000);
    let version: VersionId = "v2".parse().unwrap();
    for is_for_store in [false, true] {
        let Event::PeerStreams(mut update) = for_store(7..8) else {
            unreachable!();
        };
        update.is_for_store = is_for_store;
        update.records[0].version = version.clone();
        world.handle(Event::PeerStreams(update));
    }
    let writes = run_with_store(&mut world, 1_000);
    let mut written = writes.iter().flat_map(|(_, records)| records);
    assert!(written.any(|r| r.stream.0 == 7 && r.version == version));
}

/// Without its mark in the store a service passes for one of a single version after the loss of all
/// boxes.
#[test]
fn the_mark_of_several_versions_stays_in_the_store_as_long_as_there_are_several() {
    let mut world = with_two_versions();
    let mut left_ms: u64 = 20_000;
    for second in 0..120 {
        hear_peers(&mut world, 20 + second);
        world.handle(Event::StoreAnswered);
        let writes = run_with_store(&mut world, 1_000);
        let kept = writes.iter().flat_map(|(_, records)| records);
        let longest = kept.map(|record| u64::from(record.keep_ms)).max();
        left_ms = longest.unwrap_or(0).max(left_ms.saturating_sub(1_000));
        assert!(left_ms > 0, "no mark is left after {second} s");
    }
}

/// Objects in the store must not grow in number while records come and end.
#[test]
fn the_objects_of_ended_records_are_used_again() {
    let mut world = with_two_versions();
    let mut objects = BTreeSet::new();
    for second in 0..300 {
        world.handle(for_store(second * 20..(second + 1) * 20));
        let writes = run_with_store(&mut world, 1_000);
        objects.extend(writes.into_iter().map(|(name, _)| name));
    }
    // 600 records last at a time, in objects of a hundred.
    assert!(objects.len() <= 8, "{objects:?}");
}

#[test]
fn the_number_of_records_is_bounded_and_dropped_ones_are_counted() {
    let mut book = StreamBook::default();
    let version = "v1".parse().unwrap();
    for number in 0..=MAX_RECORDS as u64 {
        let expires = Micros(1_000_000 + number);
        book.insert(
            StreamKey(number),
            &version,
            Micros::ZERO,
            expires,
            RecordUse::Held,
        );
    }
    assert_eq!(book.len(), MAX_RECORDS);
    assert_eq!(book.take_forgotten(), 1);
    assert!(book.get(StreamKey(0), Micros(5)).is_none());
    assert!(book.get(StreamKey(1), Micros(5)).is_some());
    book.expire(Micros(2_000_000));
    assert!(book.is_empty());
}

/// Plays of whole fleets: versions that come, go and replace each other beside faults.
#[rstest]
fn no_stream_of_a_fleet_joins_two_versions(
    #[values(
        Beside::Nothing,
        Beside::EnginesCrash,
        Beside::BoxesKilled,
        Beside::DomainKilled,
        Beside::AllBoxesKilled,
        Beside::DomainCut,
        Beside::BoxesFrozen,
        Beside::StoreOut,
        Beside::OldBoxes,
        Beside::BoxesCut
    )]
    beside: Beside,
) {
    for (seed, change) in (1..).zip(Change::ALL) {
        let case = Case {
            change,
            beside,
            ..Case::draw(seed, 7)
        };
        let played = case.play();
        assert_eq!(played.counts.joined, 0, "{played}");
    }
}

/// A box that datagrams reach seconds late took itself for in touch, and a service for one of a single
/// version after another one had come.
#[test]
fn a_box_out_of_step_joins_no_stream_to_a_version_that_it_has_not_seen() {
    let case = Case {
        beside: Beside::BoxesCut,
        ..Case::draw(3056, 12)
    };
    let played = case.play();
    assert_eq!(played.counts.joined, 0, "{played}");
}

/// Two engines that no list has named yet may run different software, so they must not be taken for
/// engines of one version.
#[test]
fn each_engine_that_no_list_has_named_has_a_version_of_its_own() {
    let mut versions = BTreeSet::new();
    for engine in 0..100 {
        for born in 1..20 {
            let engine = EndpointIncarnation {
                id: format!("e{engine}").parse().unwrap(),
                born: Some(StartTime(born)),
            };
            let version = VersionId::unlisted(&engine);
            assert!(versions.insert(version), "{engine} has that of another one");
        }
    }
}

#[rstest]
#[case::seed_275(275, Change::InPlace, Beside::BoxesFrozen)]
#[case::seed_165(165, Change::Mixed, Beside::AllBoxesKilled)]
#[case::seed_273(273, Change::Appears, Beside::BoxesFrozen)]
#[case::seed_283(283, Change::InPlace, Beside::BoxesFrozen)]
#[case::seed_257(257, Change::Appears, Beside::DomainCut)]
#[case::seed_201(201, Change::InPlace, Beside::BoxesKilled)]
#[case::seed_2278(2278, Change::InPlace, Beside::StoreOut)]
#[case::seed_2471(2471, Change::InPlace, Beside::StoreOut)]
#[case::seed_2739(2739, Change::InPlace, Beside::DomainCut)]
#[case::seed_2989(2989, Change::InPlace, Beside::StoreOut)]
fn seeds_that_once_joined_two_versions_pass(
    #[case] seed: u64,
    #[case] change: Change,
    #[case] beside: Beside,
) {
    let case = Case::draw(seed, 7);
    assert_eq!((case.change, case.beside), (change, beside));
    let played = case.play();
    assert_eq!(played.counts.joined, 0, "{played}");
}

/// Callers that come back while boxes, domains and engines are lost go on as often as new streams begin.
#[rstest]
fn streams_that_callers_take_up_go_on(
    #[values(
        Beside::Nothing,
        Beside::EnginesCrash,
        Beside::DomainKilled,
        Beside::DomainCut
    )]
    beside: Beside,
) {
    for seed in 1..4 {
        let case = Case {
            change: Change::Replaces,
            beside,
            ..Case::draw(seed, 9)
        };
        let counts = case.play().counts;
        let gap = counts.begun.share() - counts.taken_up.share();
        assert!(gap < 0.05, "{counts:?}");
    }
}
