//! Gateway parts that need no sockets: event splitting, the store watcher, settings, headers, messages and the log.

use std::io::Write;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use gotham::hyper::{HeaderMap, Uri, header};
use magpiemoor::gateway::dispatch::record::Record;
use magpiemoor::gateway::dispatch::store_watchers::MAX_ANSWER_INTERVAL;
use magpiemoor::gateway::settings::{GatewaySettings, defaults};
use magpiemoor::gateway::shell::decision_log::DecisionLog;
use magpiemoor::gateway::shell::dialect::{Entry, ObjectKind, StorePage};
use magpiemoor::gateway::shell::events::{EventSplitter, RawEvent};
use magpiemoor::gateway::shell::headers;
use magpiemoor::gateway::shell::store::watch_head_timeout;
use magpiemoor::gateway::shell::watch_phase::WatchPhase;
use magpiemoor::gateway::shell::watcher::{StoreAnswer, StoreChange, StoreRequest, Watcher};
use magpiemoor::schema::{
    AnswerTimes, BoxState, DomainSize, DomainTally, DomainUsage, EndpointAnswers, EndpointUsage,
    GatewaySettingsFile, Incarnation, PackedEntries, PackedTable, PeerAddress, RolloutPhase,
    RolloutProgress, RolloutSample, RolloutState, RunningBox, SeriesTally, ServiceTotals,
    StateReply, StateRequest, StoreReader, UsageUpdate,
};
use magpiemoor::settings::file::parse_as;
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

fn split_events(parts: &[&[u8]]) -> (Vec<RawEvent>, EventSplitter) {
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    for part in parts {
        splitter.push(part);
        while let Some(event) = splitter.next_event().unwrap() {
            events.push(event);
        }
    }
    (events, splitter)
}

/// Time after a disruption from which on callers hold a box to the bounds.
const IN_TOUCH_AFTER: Duration = Duration::from_secs(3);
/// Time to connect anew and to read a list.
const READ_TIME: Duration = Duration::from_millis(150);

/// A dropped route was served for as long as a box waited on a connection to the store that had gone silent.
#[rstest]
#[case::table(ObjectKind::Table)]
#[case::endpoints(ObjectKind::Endpoints)]
fn a_watch_on_a_silent_connection_is_given_up_before_the_bounds_hold(#[case] kind: ObjectKind) {
    let settings = GatewaySettings::try_from(defaults()).unwrap();
    let lost_after = watch_head_timeout(kind.watch_timeout(settings.watch));
    assert!(lost_after + READ_TIME < IN_TOUCH_AFTER, "{lost_after:?}");
}

/// A watcher counts only while the store answers it, so that two watches must not end together.
#[rstest]
#[case::together(0, 0)]
#[case::shortly_after(0, 30)]
#[case::out_of_step(0, 1_100)]
fn the_store_answers_a_watcher_in_each_interval(#[case] table_at: u64, #[case] endpoints_at: u64) {
    const CALL: Duration = Duration::from_millis(4);
    let longest = GatewaySettings::try_from(defaults()).unwrap().watch;
    let (phase, begin) = (WatchPhase::default(), Instant::now());
    let mut due = [
        (ObjectKind::Table, begin + Duration::from_millis(table_at)),
        (
            ObjectKind::Endpoints,
            begin + Duration::from_millis(endpoints_at),
        ),
    ];
    let (mut last, mut answers) = (begin, 0);
    while answers < 40 {
        let next = usize::from(due[1].1 < due[0].1);
        let (kind, now) = due[next];
        assert!(now - last <= MAX_ANSWER_INTERVAL + 2 * CALL, "{answers}");
        (last, answers) = (now, answers + 1);
        phase.on_answer(now);
        due[next].1 = now + phase.begin_watch(kind, longest, now) + CALL;
    }
    let took = last - begin;
    assert!(took > MAX_ANSWER_INTERVAL * 36, "{took:?}");
}

/// A box whose lists and tables are stuck must not count as a watcher because it receives roll-out changes.
#[rstest]
#[case::table(ObjectKind::Table, true, 3, 30)]
#[case::endpoints(ObjectKind::Endpoints, true, 3, 30)]
#[case::rollouts(ObjectKind::Rollouts, false, 9, 30)]
#[case::quarantine(ObjectKind::Quarantine, false, 3, 30)]
fn rollout_orders_are_watched_longer_and_make_no_watcher(
    #[case] kind: ObjectKind,
    #[case] shows_store_access: bool,
    #[case] seconds_of_three: u64,
    #[case] seconds_of_thirty: u64,
) {
    let wait = |seconds| kind.watch_timeout(Duration::from_secs(seconds)).as_secs();
    assert_eq!(kind.shows_store_access(), shows_store_access);
    assert_eq!(wait(3), seconds_of_three);
    assert_eq!(wait(30), seconds_of_thirty);
}

#[rstest]
#[case::one(&[&b"id: 3\ndata: a\n\n"[..]], &[Some(3)], false)]
#[case::torn(&[&b"id: 1\nda"[..], &b"ta: a\n"[..], &b"\nid: 2\n"[..]], &[Some(1)], true)]
#[case::carriage_returns(&[&b"id:7\r\ndata: a\r\n\r"[..], &b"\n"[..]], &[Some(7)], false)]
#[case::without_id(&[&b"data: a\n\n"[..]], &[None], false)]
#[case::two_at_once(&[&b"id: 1\n\nid: 2\n\n"[..]], &[Some(1), Some(2)], false)]
#[case::no_number(&[&b"id: x\n\n"[..]], &[None], false)]
fn events_are_split_at_their_ends(
    #[case] parts: &[&[u8]],
    #[case] ids: &[Option<u64>],
    #[case] has_incomplete_event: bool,
) {
    let (events, splitter) = split_events(parts);
    let found: Vec<Option<u64>> = events.iter().map(|e| e.id).collect();
    assert_eq!(found, ids);
    assert_eq!(splitter.has_incomplete_event(), has_incomplete_event);
}

proptest! {
    #[test]
    fn splitting_changes_no_byte_however_the_bytes_arrive(
        bytes in proptest::collection::vec(prop_oneof![Just(b'\n'), Just(b'\r'), Just(b'i'), any::<u8>()], 0..400),
        places in proptest::collection::vec(0_usize..400, 0..8),
    ) {
        let whole: Vec<u8> = split_events(&[&bytes]).0.iter().flat_map(|e| e.bytes.to_vec()).collect();
        prop_assert!(bytes.starts_with(&whole));
        let mut places: Vec<usize> = places.into_iter().map(|p| p.min(bytes.len())).collect();
        places.sort_unstable();
        let mut parts: Vec<&[u8]> = Vec::new();
        let mut from = 0;
        for place in places {
            parts.push(&bytes[from..place]);
            from = place;
        }
        parts.push(&bytes[from..]);
        let torn: Vec<u8> = split_events(&parts).0.iter().flat_map(|e| e.bytes.to_vec()).collect();
        prop_assert_eq!(whole, torn);
    }
}

fn entry(name: &str) -> Entry {
    Entry {
        name: name.to_owned(),
        text: Some("{}".to_owned()),
    }
}

/// A roll-out with something in each of its fields.
fn rollout_state() -> RolloutState {
    let times = |failed| AnswerTimes {
        failed,
        took: vec![0, 3, 70_000],
    };
    RolloutState {
        service: "s".parse().unwrap(),
        order: u64::MAX,
        target: "v2".parse().unwrap(),
        duration_ms: 12_000,
        age_ms: 1_500,
        seen_ms: 20,
        phase: RolloutPhase::Switch,
        tallies: vec![DomainTally {
            domain: "d".parse().unwrap(),
            age_ms: 300,
            is_clear: true,
            series: vec![SeriesTally {
                series: u32::MAX,
                baseline: times(1),
                target: times(2),
                worst: times(3),
                servers: 2,
            }],
        }],
    }
}

fn page(names: &[&str], more: bool, at: u64) -> StoreAnswer {
    StoreAnswer::Page(StorePage {
        entries: names.iter().map(|n| entry(n)).collect(),
        unnamed: Vec::new(),
        more,
        at,
    })
}

#[test]
fn a_list_of_several_pages_is_watched_from_its_first_page_on() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut watcher = Watcher::default();
    assert_eq!(watcher.next_request(), StoreRequest::List { after: None });
    assert_eq!(
        watcher
            .on_answer(page(&["a", "b"], true, 10), &mut rng)
            .change,
        None
    );
    let after = Some("b".to_owned());
    assert_eq!(watcher.next_request(), StoreRequest::List { after });
    let next = watcher.on_answer(page(&["c"], false, 14), &mut rng);
    let all = ["a", "b", "c"].map(entry).to_vec();
    assert_eq!(next.change, Some(StoreChange::Listed(all)));
    assert_eq!(watcher.next_request(), StoreRequest::Watch { revision: 10 });
    let next = watcher.on_answer(page(&["d"], false, 15), &mut rng);
    assert_eq!(next.change, Some(StoreChange::Changed(vec![entry("d")])));
    assert_eq!(watcher.next_request(), StoreRequest::Watch { revision: 15 });
}

#[rstest]
#[case::history_lost(StoreAnswer::HistoryLost)]
#[case::failed(StoreAnswer::Failed)]
fn a_watch_that_ends_badly_is_followed_by_a_list(#[case] answer: StoreAnswer) {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut watcher = Watcher::default();
    watcher.on_answer(page(&["a"], false, 10), &mut rng);
    watcher.on_answer(answer, &mut rng);
    assert_eq!(watcher.next_request(), StoreRequest::List { after: None });
}

/// Guards against retries without a pause: an unexpected 404 led to 65,493 calls in 34 s.
#[test]
fn whatever_a_store_answers_it_is_called_only_a_few_times_a_second() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut watcher = Watcher::default();
    let mut waited = Duration::ZERO;
    let mut calls = 0;
    while waited < Duration::from_secs(34) {
        let pause = watcher.on_answer(StoreAnswer::Failed, &mut rng).pause;
        assert!(
            pause >= Duration::from_millis(25),
            "call {calls} after {pause:?}"
        );
        waited += pause;
        calls += 1;
    }
    assert!(calls < 100, "{calls} calls");
}

#[test]
fn the_settings_that_are_sampled_are_the_defaults() {
    let text = include_str!("../samples/gateway.jsonc");
    let sample: GatewaySettingsFile = parse_as(text).unwrap();
    assert_eq!(
        GatewaySettings::try_from(sample),
        GatewaySettings::try_from(defaults())
    );
}

#[rstest]
#[case::no_address("callers", r#"{"callers": "localhost"}"#)]
#[case::bad_seed("seeds", r#"{"seeds": ["box-2"]}"#)]
#[case::ratio_out_of_range("retry_ratio", r#"{"retry_ratio": -1}"#)]
#[case::no_share("rollout_share", r#"{"rollout_share": 0}"#)]
#[case::too_fast("gossip_ms", r#"{"gossip_ms": 1}"#)]
#[case::no_level("log_level", r#"{"log_level": "loud"}"#)]
fn a_wrong_setting_is_named_with_its_value_and_the_remedy(#[case] field: &str, #[case] text: &str) {
    let file: GatewaySettingsFile = parse_as(text).unwrap();
    let errors = GatewaySettings::try_from(file).unwrap_err();
    assert_eq!(errors.len(), 1);
    assert_eq!(errors[0].field, field);
    assert!(!errors[0].remedy.is_empty() && !errors[0].value.is_empty());
}

#[test]
fn settings_that_are_not_known_are_ignored_and_seeds_take_the_own_port() {
    let text =
        r#"{"peers_address": "127.0.0.1:7200", "seeds": ["127.0.0.2:9", "127.0.0.3"], "later": 1}"#;
    let file: GatewaySettingsFile = parse_as(text).unwrap();
    let settings = GatewaySettings::try_from(file).unwrap();
    let seeds: Vec<String> = settings.seeds.iter().map(ToString::to_string).collect();
    assert_eq!(seeds, ["127.0.0.2:7200", "127.0.0.3:7200"]);
}

#[test]
fn headers_of_one_connection_are_not_passed_on() {
    let mut headers = HeaderMap::new();
    headers.insert(header::CONNECTION, "close, x-own".parse().unwrap());
    headers.insert("x-own", "1".parse().unwrap());
    headers.insert("keep-alive", "timeout=5".parse().unwrap());
    headers.insert(header::TRANSFER_ENCODING, "chunked".parse().unwrap());
    headers.insert("x-other", "2".parse().unwrap());
    let passed = headers::end_to_end_headers(&headers);
    assert_eq!(passed.len(), 1);
    assert!(passed.contains_key("x-other"));
}

#[test]
fn path_and_query_stay_as_they_came() {
    let uri: Uri = "http://h/a%20b/../c?x=%2F&y".parse().unwrap();
    assert_eq!(
        headers::origin_form(&uri).to_string(),
        "/a%20b/../c?x=%2F&y"
    );
}

#[test]
fn messages_between_boxes_survive_their_encoding() {
    let state = BoxState {
        from: "box-1".parse().unwrap(),
        incarnation: Incarnation(5),
        domain: "north".parse().unwrap(),
        address: "127.0.0.1:7200".to_owned(),
        table_version: 9,
        stopping: true,
        usage: vec![EndpointUsage {
            endpoint: "e".parse().unwrap(),
            running: 1,
            reading: 2,
            memory: 3,
        }],
        lost: vec!["f".parse().unwrap()],
        domain_usage: vec![DomainUsage {
            domain: "south".parse().unwrap(),
            age_ms: 70,
            usage: vec![EndpointUsage {
                endpoint: "t".parse().unwrap(),
                running: 4,
                reading: 0,
                memory: 0,
            }],
        }],
        totals: vec![ServiceTotals {
            service: "s".parse().unwrap(),
            requests: 12,
            retries: 3,
            recent_requests: 5,
            recent_retries: 1,
        }],
        beat: 70_000,
        members_of: "south".parse().unwrap(),
        members: vec![RunningBox {
            address: vec![127, 0, 0, 3, 28, 32],
            beat: 69_998,
        }],
        domains: vec![DomainSize {
            domain: "south".parse().unwrap(),
            boxes: 3,
            age_ms: 250,
        }],
        peers: vec![PeerAddress {
            address: "127.0.0.2:7200".to_owned(),
            domain: "south".parse().unwrap(),
        }],
        endpoints_at: 7,
        readers: vec![StoreReader {
            id: "box-3".parse().unwrap(),
            domain: "north".parse().unwrap(),
            age_ms: 12,
            address: "127.0.0.4:7200".to_owned(),
        }],
        rollouts: vec![rollout_state()],
    };
    let update = UsageUpdate {
        from: "box-1".parse().unwrap(),
        usage: state.usage.clone(),
        answers: vec![EndpointAnswers {
            endpoint: "e".parse().unwrap(),
            served: 4,
            errors: 1,
            broken: 2,
        }],
        totals: state.totals.clone(),
        samples: vec![RolloutSample {
            endpoint: "e".parse().unwrap(),
            series: 7,
            step: 255,
        }],
        rollouts: vec![RolloutProgress {
            service: "s".parse().unwrap(),
            order: 9,
            phase: RolloutPhase::Bad,
            is_clear: false,
            address: vec![10, 0, 0, 1, 28, 32],
        }],
    };
    let request = StateRequest {
        table_after: 3,
        endpoints_after: 4,
    };
    let reply = StateReply {
        is_busy: false,
        table: Some(PackedTable {
            age_ms: 40,
            text_bytes: 7,
            packed: vec![0, 255, 3],
        }),
        endpoints: PackedEntries {
            text_bytes: 2,
            packed: vec![1, 2],
        },
        endpoints_at: 9,
        is_whole: false,
    };
    let bytes = postcard::to_stdvec(&(&state, &update, &request, &reply)).unwrap();
    let read: (BoxState, UsageUpdate, StateRequest, StateReply) =
        postcard::from_bytes(&bytes).unwrap();
    assert_eq!(read, (state, update, request, reply));
}

/// An output that blocks writes until it is released.
struct BlockedWriter {
    go: Receiver<()>,
    is_open: bool,
    written: Sender<Vec<u8>>,
}

impl Write for BlockedWriter {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        if !self.is_open {
            let _ = self.go.recv();
            self.is_open = true;
        }
        let _ = self.written.send(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_blocked_log_delays_nothing_and_reports_dropped_lines() {
    let (open, go) = channel();
    let (written, lines) = channel();
    let out = BlockedWriter {
        go,
        is_open: false,
        written,
    };
    let log = DecisionLog::start("box-1".parse().unwrap(), out).unwrap();
    let record = Record::TableInForce { version: 1 };
    for _ in 0..10_000 {
        log.write(&record);
    }
    open.send(()).unwrap();
    let mut is_reported = false;
    while !is_reported {
        log.write(&record);
        let bytes = lines.recv().unwrap();
        is_reported = String::from_utf8(bytes)
            .unwrap()
            .contains("log_lines_left_out");
    }
}
