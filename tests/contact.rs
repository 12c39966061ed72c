//! Contact with other failure domains, by questions and answers between boxes.

#[path = "gateway/fixtures.rs"]
mod fixtures;

use fixtures::{STREAMS, World, box_state};
use magpiemoor::gateway::dispatch::action::Action;
use magpiemoor::gateway::dispatch::event::{Arrival, Event};
use magpiemoor::schema::{BoxState, ContactCheck, Incarnation};
use rstest::rstest;

/// A box of another failure domain.
const REMOTE: &str = "127.0.0.3:7200";
/// Time between two messages of that box, in milliseconds.
const GOSSIP_MS: u64 = 300;

/// A message of the box in the other domain.
fn message(beat: u64) -> BoxState {
    BoxState {
        beat,
        ..box_state("box-3", "south", REMOTE)
    }
}

/// The questions and answers among actions, with their receivers.
fn checks(actions: &[Action]) -> Vec<(&str, &ContactCheck)> {
    let checks = actions.iter().filter_map(|action| match action {
        Action::PublishContact { to, check } => Some((to, check)),
        _ => None,
    });
    let remote = checks.inspect(|(to, _)| assert_eq!(to[0].to_string(), REMOTE));
    remote.map(|(_, check)| (REMOTE, check)).collect()
}

/// Passes time in which the other box is heard, and answers questions if it `answers`; returns how
/// many it was asked.
fn pass(world: &mut World, millis: u64, answers: bool) -> usize {
    let mut asked = 0;
    for beat in 0..millis / GOSSIP_MS {
        let state = message(world.now.0 + beat);
        world.handle(Event::Peer(state));
        let actions = world.run(GOSSIP_MS);
        let questions = checks(&actions).into_iter().map(|(_, check)| check.clone());
        for question in questions.collect::<Vec<_>>() {
            assert_eq!(question.answered_by, None);
            asked += 1;
            if answers {
                let answer = ContactCheck {
                    answered_by: Some(REMOTE.to_owned()),
                    ..question
                };
                world.handle(Event::PeerContact(answer));
            }
        }
    }
    asked
}

/// Whether the box is sure that the service of streams has one version: it looks for the prompt of a stream
/// that a caller takes up, before it has asked anyone which version began it.
fn is_sure_of_one_version(world: &mut World) -> bool {
    let arrival = Arrival {
        after_event: Some(3),
        resumes: Some("elsewhere".to_owned()),
        ..world.arrival(STREAMS)
    };
    world.arrive_as(arrival);
    let mut actions = world.actions.iter();
    actions.any(|action| matches!(action, Action::Locate { .. }))
}

#[test]
fn a_box_asks_another_domain_twice_a_second_at_most() {
    let mut world = World::ready();
    let asked = pass(&mut world, 6_000, true);
    assert!((10..=12).contains(&asked), "{asked}");
}

#[test]
fn a_question_comes_back_with_the_time_at_which_it_was_asked() {
    let mut world = World::ready();
    let question = ContactCheck {
        asker: REMOTE.to_owned(),
        incarnation: Incarnation(44),
        asked_at: world.now,
        answered_by: None,
    };
    let actions = world.handle(Event::PeerContact(question.clone()));
    let expected = ContactCheck {
        answered_by: Some("127.0.0.1:7200".to_owned()),
        ..question
    };
    assert_eq!(checks(actions), [(REMOTE, &expected)]);
}

/// Messages that were sent before a cut and arrive late made a box take itself for in touch.
#[rstest]
#[case::answered(true, true)]
#[case::heard_but_not_answered(false, false)]
fn a_box_that_is_heard_from_but_gets_no_answer_presumes_no_version(
    #[case] answers: bool,
    #[case] presumes: bool,
) {
    let mut world = World::ready();
    pass(&mut world, 3_000, true);
    assert!(is_sure_of_one_version(&mut world));
    pass(&mut world, 3_000, answers);
    assert_eq!(is_sure_of_one_version(&mut world), presumes);
    pass(&mut world, 900, true);
    assert!(is_sure_of_one_version(&mut world));
}

/// Boxes of earlier versions never answer; beside them a box is in touch while it hears them.
#[test]
fn a_box_beside_boxes_that_never_answered_is_in_touch_while_it_hears_them() {
    let mut world = World::ready();
    assert!(pass(&mut world, 6_000, false) > 0);
    assert!(is_sure_of_one_version(&mut world));
}

/// An answer to an earlier process of this box, or from the future, shows nothing.
#[rstest]
#[case::earlier_process(Incarnation(9), 0)]
#[case::from_the_future(Incarnation(1), 60_000_000)]
fn an_answer_to_no_question_of_this_process_is_ignored(
    #[case] incarnation: Incarnation,
    #[case] ahead: u64,
) {
    let mut world = World::ready();
    pass(&mut world, 3_000, true);
    pass(&mut world, 3_000, false);
    let answer = ContactCheck {
        asker: "127.0.0.1:7200".to_owned(),
        incarnation,
        asked_at: magpiemoor::schema::Micros(world.now.0 + ahead),
        answered_by: Some(REMOTE.to_owned()),
    };
    world.handle(Event::PeerContact(answer));
    world.run(GOSSIP_MS);
    assert!(!is_sure_of_one_version(&mut world));
}
