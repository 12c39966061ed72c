//! Whatever the platform answers, a box asks it only a few times a second.

use std::collections::BTreeMap;
use std::time::Duration;

use magpiemoor::keyed::node::Node;
use magpiemoor::keyed::node::action::Action;
use magpiemoor::keyed::node::config::NodeConfig;
use magpiemoor::keyed::node::event::{Event, PlatformAnswer, Timer};
use magpiemoor::keyed::settings::{Settings, defaults};
use magpiemoor::schema::{Incarnation, Micros};
use rstest::rstest;

/// How long the platform takes to answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// How long the box runs.
const RUN: Duration = Duration::from_secs(34);
/// The most calls that are right in that time.
const MOST_CALLS: usize = 1_000;

/// What is due, by time and order.
type Agenda = BTreeMap<(Micros, u64), Event>;

struct Box {
    node: Node,
    agenda: Agenda,
    timers: BTreeMap<String, (Micros, u64)>,
    next: u64,
    calls: usize,
}

impl Box {
    fn schedule(&mut self, at: Micros, event: Event) -> (Micros, u64) {
        self.next += 1;
        let place = (at, self.next);
        self.agenda.insert(place, event);
        place
    }

    fn set_timer(&mut self, timer: Timer, at: Micros) {
        let name = format!("{timer:?}");
        if let Some(place) = self.timers.remove(&name) {
            self.agenda.remove(&place);
        }
        let place = self.schedule(at, Event::Timer(timer));
        self.timers.insert(name, place);
    }

    fn handle(&mut self, now: Micros, event: Event, answer: &PlatformAnswer) {
        for action in self.node.handle(now, event) {
            match action {
                Action::SetTimer { timer, at } => self.set_timer(timer, at),
                Action::Platform { id, .. } => {
                    self.calls += 1;
                    let answer = answer.clone();
                    let event = Event::Platform {
                        id,
                        asked: now,
                        answer,
                    };
                    self.schedule(now.after(ANSWER_TIME), event);
                }
                _ => {}
            }
        }
    }
}

/// The trial on the users' platform saw 65,493 calls in 34 s, all answered 404.
#[rstest]
#[case::missing(PlatformAnswer::Missing)]
#[case::conflict(PlatformAnswer::Conflict)]
#[case::throttled(PlatformAnswer::Throttled)]
#[case::no_answer(PlatformAnswer::NoAnswer)]
fn a_platform_that_answers_badly_is_not_asked_without_end(#[case] answer: PlatformAnswer) {
    let settings = Settings::try_from(defaults()).unwrap();
    let cfg = NodeConfig::new(&settings, Incarnation(1), "127.0.0.1:1".to_owned());
    let start = Micros(1_000_000);
    let mut this = Box {
        node: Node::new(cfg, 7, start),
        agenda: Agenda::new(),
        timers: BTreeMap::new(),
        next: 0,
        calls: 0,
    };
    this.handle(start, Event::Start, &answer);
    while let Some(((now, _), event)) = this.agenda.pop_first() {
        if now.since(start) > RUN || this.calls > 10 * MOST_CALLS {
            break;
        }
        this.handle(now, event, &answer);
    }
    assert!(this.calls <= MOST_CALLS, "{} calls", this.calls);
}
