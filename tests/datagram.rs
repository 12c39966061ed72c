//! Compatibility of datagrams between this version and the version in production.
//!
//! `tests/data/production` holds datagrams written by the version that `deploy/system.toml` names as
//! production, and the commit of that version. That version decodes one postcard message and ignores
//! the bytes that follow it.

use std::path::Path;

use magpiemoor::gateway::dispatch::event::Event;
use magpiemoor::gateway::shell::datagram::{
    read, with_holder, write_contact, write_departures, write_identities, write_limits, write_load,
    write_slots, write_speeds, write_state, write_store_answer, write_streams, write_usage,
    write_usage_counts,
};
use magpiemoor::schema::{
    AnswerTime, BoxState, ContactCheck, CrashReport, CrashUpdate, DatagramSection, DepartureUpdate,
    DutyHolder, EndpointUsage, EngineLoad, EngineLoadReport, EngineSpeed, Fingerprint,
    IdentityReport, IdentityUpdate, Incarnation, LimitReport, LimitUpdate, Micros,
    OrganisationCount, PermitGrant, PermitRequest, RelayReply, RelayRequest, RequestAge,
    RunningBox, ServiceTotals, SlotReturn, SlotReturnReason, SlotUpdate, SpeedUpdate, StoreReader,
    StreamKey, StreamQuery, StreamRecord, StreamUpdate, UsageCountUpdate, UsageUpdate,
    WindowCounts,
};

fn production(file: &str) -> Vec<u8> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/production");
    let text = std::fs::read_to_string(path.join(file)).unwrap();
    hex::decode(text.trim()).unwrap()
}

fn usage() -> EndpointUsage {
    EndpointUsage {
        endpoint: "engine-1@1700000000000".parse().unwrap(),
        running: 3,
        reading: 5_000,
        memory: 17_000,
    }
}

fn state() -> BoxState {
    BoxState {
        from: "box-1".parse().unwrap(),
        incarnation: Incarnation(77),
        domain: "north".parse().unwrap(),
        address: "127.0.0.1:7200".to_owned(),
        table_version: 12,
        stopping: true,
        usage: vec![usage()],
        lost: vec!["engine-2".parse().unwrap()],
        domain_usage: Vec::new(),
        totals: Vec::new(),
        beat: 900,
        members_of: "north".parse().unwrap(),
        members: vec![RunningBox {
            address: vec![127, 0, 0, 2, 28, 32],
            beat: 901,
        }],
        peers: Vec::new(),
        domains: Vec::new(),
        endpoints_at: 44,
        readers: Vec::new(),
        rollouts: Vec::new(),
    }
}

fn usage_update() -> UsageUpdate {
    UsageUpdate {
        from: "box-1".parse().unwrap(),
        usage: vec![usage()],
        answers: Vec::new(),
        totals: vec![ServiceTotals {
            service: "engines".parse().unwrap(),
            requests: 70,
            retries: 3,
            recent_requests: 20,
            recent_retries: 1,
        }],
        samples: Vec::new(),
        rollouts: Vec::new(),
    }
}

fn crashes() -> CrashUpdate {
    let age = RequestAge {
        request: Fingerprint(u64::MAX),
        age_ms: 70,
    };
    CrashUpdate {
        crashes: vec![CrashReport {
            request: Fingerprint(5),
            endpoint: "engine-2".parse().unwrap(),
            age_ms: 51,
            last_event: 14,
            ran_ms: 60,
            beside: 2,
            is_passed: false,
            fell_with_domain: true,
        }],
        served: vec![age.clone()],
        quarantined: vec![age],
    }
}

fn peer(event: &Event) -> &BoxState {
    match event {
        Event::Peer(state) => state,
        other => panic!("{other:?}"),
    }
}

fn peer_usage(event: &Event) -> &UsageUpdate {
    match event {
        Event::PeerUsage(update) => update,
        other => panic!("{other:?}"),
    }
}

fn peer_crashes(events: &[Event]) -> &CrashUpdate {
    match events {
        [_, Event::PeerCrashes { update, .. }] => update,
        other => panic!("{other:?}"),
    }
}

#[test]
fn stored_datagrams_are_those_of_the_production_commit() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let deploy = std::fs::read_to_string(root.join("deploy/system.toml")).unwrap();
    let named = deploy.lines().find_map(|line| {
        let value = line.strip_prefix("production = ")?;
        Some(value.trim_matches('"').to_owned())
    });
    let kept = std::fs::read_to_string(root.join("tests/data/production/commit")).unwrap();
    assert_eq!(named.as_deref(), Some(kept.trim()));
}

#[test]
fn datagrams_of_the_production_version_are_decoded() {
    let events = read(&production("state.hex")).unwrap();
    assert_eq!(events.len(), 1);
    assert_eq!(*peer(&events[0]), state());
    let events = read(&production("usage.hex")).unwrap();
    assert_eq!(events.len(), 1);
    assert_eq!(*peer_usage(&events[0]), usage_update());
}

#[test]
fn datagrams_without_crashes_equal_those_of_the_production_version() {
    let none = CrashUpdate::default();
    assert_eq!(
        write_state(&state(), &none).unwrap(),
        production("state.hex")
    );
    assert_eq!(
        write_usage(&usage_update(), &none).unwrap(),
        production("usage.hex")
    );
}

/// The production version decodes the message after the kind byte with `postcard::from_bytes`.
#[test]
fn the_production_version_ignores_crash_sections() {
    let bytes = write_state(&state(), &crashes()).unwrap();
    assert_eq!(bytes[0], production("state.hex")[0]);
    let read: BoxState = postcard::from_bytes(&bytes[1..]).unwrap();
    assert_eq!(read, state());
    let bytes = write_usage(&usage_update(), &crashes()).unwrap();
    assert_eq!(bytes[0], production("usage.hex")[0]);
    let read: UsageUpdate = postcard::from_bytes(&bytes[1..]).unwrap();
    assert_eq!(read, usage_update());
}

#[test]
fn crashes_are_read_from_the_section_after_a_message() {
    let events = read(&write_state(&state(), &crashes()).unwrap()).unwrap();
    assert_eq!(*peer(&events[0]), state());
    assert_eq!(*peer_crashes(&events), crashes());
    let events = read(&write_usage(&usage_update(), &crashes()).unwrap()).unwrap();
    assert_eq!(*peer_usage(&events[0]), usage_update());
    assert_eq!(*peer_crashes(&events), crashes());
}

/// A later version may add sections, and fields at the end of known sections.
#[test]
fn additions_of_a_later_version_are_ignored() {
    let later = DatagramSection {
        kind: 999,
        content: vec![1, 2, 3],
    };
    let mut bytes = postcard::to_extend(&later, production("state.hex")).unwrap();
    let mut content = postcard::to_stdvec(&crashes()).unwrap();
    content.extend([7; 9]);
    bytes = postcard::to_extend(&DatagramSection { kind: 1, content }, bytes).unwrap();
    let events = read(&bytes).unwrap();
    assert_eq!(*peer(&events[0]), state());
    assert_eq!(*peer_crashes(&events), crashes());
}

#[test]
fn a_truncated_section_is_an_error() {
    let bytes = write_state(&state(), &crashes()).unwrap();
    let message = production("state.hex").len();
    for end in message + 1..bytes.len() {
        assert!(read(&bytes[..end]).is_err(), "{end}");
    }
}

fn usage_counts() -> UsageCountUpdate {
    UsageCountUpdate {
        from: "box-1".parse().unwrap(),
        incarnation: Incarnation(77),
        of_domain: Some("north".parse().unwrap()),
        until_ms: 1_700_000_000_000,
        windows: vec![WindowCounts {
            window: 340_000_000,
            counts: vec![OrganisationCount {
                organisation: "shop".parse().unwrap(),
                began: 412,
            }],
        }],
    }
}

/// The version in production decodes the empty message and ignores the usage counts that follow it.
#[test]
fn usage_counts_follow_an_empty_message() {
    let bytes = write_usage_counts(&usage_counts()).unwrap();
    let events = read(&bytes).unwrap();
    let [Event::PeerUsage(empty), Event::PeerUsageCounts(read)] = &events[..] else {
        panic!("{events:?}");
    };
    assert_eq!(*read, usage_counts());
    assert!(empty.usage.is_empty() && empty.totals.is_empty());
    let as_production: UsageUpdate = postcard::from_bytes(&bytes[1..]).unwrap();
    assert_eq!(as_production, *empty);
}

#[test]
fn the_duty_holder_follows_a_state_message() {
    let holder = DutyHolder {
        token: 412,
        id: "box-1".parse().unwrap(),
        incarnation: Incarnation(77),
        address: "10.1.0.7:7200".to_owned(),
    };
    let message = write_state(&state(), &CrashUpdate::default()).unwrap();
    let bytes = with_holder(message.clone(), Some(holder.clone())).unwrap();
    let events = read(&bytes).unwrap();
    let [Event::Peer(_), Event::PeerHolder(received)] = &events[..] else {
        panic!("{events:?}");
    };
    assert_eq!(*received, holder);
    assert_eq!(with_holder(message.clone(), None).unwrap(), message);
    let as_production: BoxState = postcard::from_bytes(&bytes[1..]).unwrap();
    assert_eq!(as_production, state());
}

/// The version in production decodes the empty message and ignores the limits that follow it.
#[test]
fn limits_follow_an_empty_message() {
    let update = LimitUpdate {
        from: "box-1".parse().unwrap(),
        reply_to: "10.1.0.7:7200".to_owned(),
        is_passed_on: true,
        notes: vec![LimitReport {
            endpoint: "till-1@1700000000000".parse().unwrap(),
            milli_per_second: Some(1_900),
            age_ms: 12,
        }],
        asks: vec![PermitRequest {
            endpoint: "till-1".parse().unwrap(),
            wanted: 2,
        }],
        grants: vec![PermitGrant {
            endpoint: "till-2".parse().unwrap(),
            permits: 1,
        }],
    };
    let bytes = write_limits(&update).unwrap();
    let events = read(&bytes).unwrap();
    let [Event::PeerUsage(empty), Event::PeerLimits(read)] = &events[..] else {
        panic!("{events:?}");
    };
    assert_eq!(*read, update);
    assert!(empty.usage.is_empty() && empty.totals.is_empty());
    let as_production: UsageUpdate = postcard::from_bytes(&bytes[1..]).unwrap();
    assert_eq!(as_production, *empty);
}

/// The version in production decodes the empty message and ignores the departures that follow it.
#[test]
fn departures_follow_an_empty_message() {
    let update = DepartureUpdate {
        from: "box-1".parse().unwrap(),
        endpoints: vec![
            "till-1@1700000000000".parse().unwrap(),
            "till-2".parse().unwrap(),
        ],
    };
    let bytes = write_departures(&update).unwrap();
    let events = read(&bytes).unwrap();
    let [Event::PeerUsage(empty), Event::PeerDepartures(read)] = &events[..] else {
        panic!("{events:?}");
    };
    assert_eq!(*read, update);
    let as_production: UsageUpdate = postcard::from_bytes(&bytes[1..]).unwrap();
    assert_eq!(as_production, *empty);
}

/// The version in production decodes the empty message and ignores the identities that follow it.
#[test]
fn identities_follow_an_empty_message() {
    let update = IdentityUpdate {
        from: "box-1".parse().unwrap(),
        domain: "north".parse().unwrap(),
        reports: vec![IdentityReport {
            endpoint: "engine-1@1700000000000".parse().unwrap(),
            instance: "engine-9".parse().unwrap(),
            is_engine: true,
            age_ms: 12,
        }],
    };
    let bytes = write_identities(&update).unwrap();
    let events = read(&bytes).unwrap();
    let [Event::PeerUsage(empty), Event::PeerIdentities(read)] = &events[..] else {
        panic!("{events:?}");
    };
    assert_eq!(*read, update);
    let as_production: UsageUpdate = postcard::from_bytes(&bytes[1..]).unwrap();
    assert_eq!(as_production, *empty);
}

/// The version in production decodes the empty message and ignores the store's answer that follows it.
#[test]
fn store_answers_follow_an_empty_message() {
    let watcher = StoreReader {
        id: "box-1".parse().unwrap(),
        domain: "north".parse().unwrap(),
        age_ms: 0,
        address: "127.0.0.8:7200".to_owned(),
    };
    let bytes = write_store_answer(&watcher).unwrap();
    let events = read(&bytes).unwrap();
    let [Event::PeerUsage(empty), Event::PeerStoreAnswer(read)] = &events[..] else {
        panic!("{events:?}");
    };
    assert_eq!(*read, watcher);
    let as_production: UsageUpdate = postcard::from_bytes(&bytes[1..]).unwrap();
    assert_eq!(as_production, *empty);
}

/// The version in production decodes the empty message and ignores the load report that follows it.
#[test]
fn questions_about_contact_follow_an_empty_message() {
    let check = ContactCheck {
        asker: "10.0.0.1:7200".to_owned(),
        incarnation: Incarnation(u64::MAX),
        asked_at: Micros(u64::MAX),
        answered_by: Some("10.0.0.2:7200".to_owned()),
    };
    let bytes = write_contact(&"box-1".parse().unwrap(), &check).unwrap();
    let events = read(&bytes).unwrap();
    let [Event::PeerUsage(empty), Event::PeerContact(read)] = &events[..] else {
        panic!("{events:?}");
    };
    assert_eq!(*read, check);
    let as_production: UsageUpdate = postcard::from_bytes(&bytes[1..]).unwrap();
    assert_eq!(as_production, *empty);
}

#[test]
fn load_reports_follow_an_empty_message() {
    let engine = |engine| EngineLoad {
        engine,
        running: 9,
        reading: 20,
        memory: 215,
    };
    let report = EngineLoadReport {
        domain: "north".parse().unwrap(),
        sent_at: 40_000_000,
        age_ms: 12,
        is_forwarded: true,
        engines: (0..128).map(|n| engine(u32::MAX - n)).collect(),
    };
    let bytes = write_load(&"box-1".parse().unwrap(), &report).unwrap();
    assert!(
        bytes.len() <= 1_400,
        "one packet, not {} bytes",
        bytes.len()
    );
    let events = read(&bytes).unwrap();
    let [Event::PeerUsage(empty), Event::PeerLoad(read)] = &events[..] else {
        panic!("{events:?}");
    };
    assert_eq!(*read, report);
    assert!(empty.usage.is_empty() && empty.totals.is_empty());
}

/// The version in production decodes the empty message and ignores the speeds that follow it.
#[test]
fn speeds_follow_an_empty_message() {
    let update = SpeedUpdate {
        from: "box-1".parse().unwrap(),
        engines: vec![EngineSpeed {
            endpoint: u32::MAX,
            prefill: 8_500,
            prefill_count: 3,
            events: 0,
            events_count: 0,
            age_ms: 12_000,
        }],
        answers: vec![AnswerTime {
            endpoint: 7,
            micros: 150_000,
        }],
    };
    let bytes = write_speeds(&update).unwrap();
    let events = read(&bytes).unwrap();
    let [Event::PeerUsage(empty), Event::PeerSpeeds(read)] = &events[..] else {
        panic!("{events:?}");
    };
    assert_eq!(*read, update);
    let as_production: UsageUpdate = postcard::from_bytes(&bytes[1..]).unwrap();
    assert_eq!(as_production, *empty);
}

#[test]
fn slots_follow_an_empty_message() {
    let endpoint = "till-1@1700000000000".parse().unwrap();
    let update = SlotUpdate {
        from: "box-1".parse().unwrap(),
        reply_to: "10.0.0.1:7200".to_owned(),
        is_passed_on: true,
        asks: vec![PermitRequest {
            endpoint,
            wanted: 2,
        }],
        grants: vec![PermitGrant {
            endpoint: "till-1".parse().unwrap(),
            permits: u32::MAX,
        }],
        returns: vec![SlotReturn {
            endpoint: "till-1".parse().unwrap(),
            slots: 1,
            reason: SlotReturnReason::Rejected,
        }],
    };
    let bytes = write_slots(&update).unwrap();
    let events = read(&bytes).unwrap();
    let [Event::PeerUsage(empty), Event::PeerSlots(read)] = &events[..] else {
        panic!("{events:?}");
    };
    assert_eq!(*read, update);
    let as_production: UsageUpdate = postcard::from_bytes(&bytes[1..]).unwrap();
    assert_eq!(as_production, *empty);
}

/// The version in production decodes the empty message and ignores the records that follow it.
#[test]
fn records_of_streams_follow_an_empty_message() {
    let record = |stream| StreamRecord {
        stream: StreamKey(stream),
        version: "v1.2".parse().unwrap(),
        age_ms: 12,
        keep_ms: u32::MAX,
    };
    let update = StreamUpdate {
        from: "box-1".parse().unwrap(),
        reply_to: "10.0.0.1:7200".to_owned(),
        is_passed_on: true,
        is_for_store: false,
        records: (0..40).map(|n| record(u64::MAX - n)).collect(),
        queries: vec![StreamQuery {
            stream: StreamKey(7),
            service: "engines".parse().unwrap(),
        }],
        answers: vec![record(1)],
        presumed: vec![record(2)],
        unknown: vec![StreamKey(3)],
        sole: vec![StreamKey(4)],
    };
    let bytes = write_streams(&update).unwrap();
    assert!(
        bytes.len() <= 1_400,
        "one packet, not {} bytes",
        bytes.len()
    );
    let events = read(&bytes).unwrap();
    let [Event::PeerUsage(empty), Event::PeerStreams(read)] = &events[..] else {
        panic!("{events:?}");
    };
    assert_eq!(*read, update);
    let as_production: UsageUpdate = postcard::from_bytes(&bytes[1..]).unwrap();
    assert_eq!(as_production, *empty);
}

#[test]
fn requests_for_tunnels_and_replies_are_read_as_written() {
    let request = RelayRequest {
        endpoint: "till-1".parse().unwrap(),
    };
    let bytes = postcard::to_stdvec(&request).unwrap();
    assert_eq!(
        postcard::from_bytes::<RelayRequest>(&bytes).unwrap(),
        request
    );
    for reply in [
        RelayReply::Connected,
        RelayReply::Refused,
        RelayReply::Stopping,
    ] {
        let bytes = postcard::to_stdvec(&reply).unwrap();
        assert_eq!(postcard::from_bytes::<RelayReply>(&bytes).unwrap(), reply);
    }
}
