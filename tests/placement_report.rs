//! The report of `magpiemoor explain --placement` on the logs of several boxes.

use magpiemoor::gateway::dispatch::record::{Record, STARTED, WATCHES_STORE};
use magpiemoor::gateway::explain::{LogLine, TimedLine};
use magpiemoor::gateway::placement_report::report;
use magpiemoor::schema::HybridTime;

const SLOTS: u32 = 2;

/// Log lines of several boxes in order of time.
#[derive(Default)]
struct Log(Vec<TimedLine>);

impl Log {
    fn write(&mut self, seconds: f64, box_id: &str, record: Record) {
        let line = LogLine {
            at: HybridTime(0),
            r#box: box_id.to_owned(),
            record,
        };
        self.0.push(TimedLine { seconds, line });
    }

    fn sent(&mut self, seconds: f64, request: &str, endpoint: &str, running: u32) {
        let domain = endpoint.split('-').next().unwrap();
        let sent = Record::Sent {
            request: request.to_owned(),
            attempt: 1,
            endpoint: endpoint.to_owned(),
            service: "till".to_owned(),
            domain: domain.to_owned(),
            is_near: domain == "north",
            slots: SLOTS,
            backup: None,
            from_backup: false,
            after_event: None,
            reading: 0,
            running,
            left_ms: 1_000,
            tier: None,
            waited_ms: None,
            version: None,
            doubt: None,
        };
        self.write(seconds, "box-1", sent);
    }

    fn ended(&mut self, seconds: f64, request: &str, endpoint: &str) {
        let ended = Record::Ended {
            request: request.to_owned(),
            attempt: 1,
            endpoint: endpoint.to_owned(),
            outcome: "answered".into(),
            status: 200,
            after_ms: 60,
            last_event: None,
        };
        self.write(seconds, "box-1", ended);
    }

    fn arrived(&mut self, seconds: f64, request: &str, prompt: u32) {
        let arrived = Record::Arrived {
            request: request.to_owned(),
            tier: None,
            route: "r".to_owned(),
            table: 1,
            fingerprint: String::new(),
            prompt,
        };
        self.write(seconds, "box-1", arrived);
    }
}

fn process(state: &'static str, detail: &str) -> Record {
    Record::Process {
        state: state.into(),
        detail: detail.to_owned(),
    }
}

#[test]
fn attempts_at_a_full_endpoint_are_counted_by_free_slots_elsewhere() {
    let mut log = Log::default();
    log.write(0.0, "box-1", process(STARTED, "north"));
    for (request, endpoint) in [("a", "north-1"), ("b", "south-1"), ("c", "north-2")] {
        log.sent(1.0, request, endpoint, 0);
        log.ended(1.1, request, endpoint);
    }
    log.sent(2.0, "d", "south-1", 0);
    log.sent(2.0, "e", "south-1", 0);
    // The endpoint in domain south is full; both in the box's own domain have free slots.
    log.sent(2.1, "f", "south-1", 0);
    log.ended(2.2, "d", "south-1");
    log.ended(2.2, "e", "south-1");
    log.sent(2.3, "g", "south-1", 1);
    let report = report(&log.0);
    let till = &report.services["till"];
    assert_eq!((till.sent, till.near), (7, 2));
    assert_eq!(
        (
            till.full,
            till.full_with_room_elsewhere,
            till.full_with_room_near
        ),
        (1, 1, 1)
    );
    assert!((till.running - 4.0 / 7.0).abs() < 1e-9, "{till:?}");
    assert!((till.running_believed - 1.0 / 7.0).abs() < 1e-9);
}

#[test]
fn concurrent_prefills_are_counted_until_their_first_event() {
    let mut log = Log::default();
    log.write(0.0, "box-1", process(STARTED, "north"));
    for request in ["a", "b", "c", "d"] {
        log.arrived(0.9, request, 5_000);
    }
    log.sent(1.0, "a", "north-1", 0);
    log.sent(1.2, "b", "north-1", 1);
    let begun = |request: &str| Record::Begun {
        request: request.to_owned(),
        endpoint: "north-1".to_owned(),
        after_ms: 1_000,
    };
    log.write(2.0, "box-1", begun("a"));
    log.write(2.1, "box-1", begun("b"));
    log.sent(2.2, "c", "north-1", 2);
    log.write(3.0, "box-1", begun("c"));
    log.sent(3.1, "d", "north-2", 2);
    let report = report(&log.0);
    let till = &report.services["till"];
    assert_eq!((till.prompts, till.beside_a_prompt), (4, 1));
    assert_eq!(till.beside_a_prompt_with_room_near, 0);
}

#[test]
fn a_restarted_box_has_no_attempts_and_boxes_that_watch_the_store_are_listed() {
    let mut log = Log::default();
    log.write(0.0, "box-1", process(STARTED, "north"));
    log.write(0.5, "box-1", process(WATCHES_STORE, "others that watch: 0"));
    log.sent(1.0, "a", "north-1", 0);
    log.sent(1.0, "b", "north-1", 1);
    log.write(2.0, "box-1", process(STARTED, "north"));
    log.sent(3.0, "c", "north-1", 0);
    let report = report(&log.0);
    assert_eq!(report.services["till"].full, 0);
    assert_eq!(report.store.len(), 1);
    let text = report.text();
    assert!(text.contains("others that watch: 0, at 0.5 s"), "{text}");
}
