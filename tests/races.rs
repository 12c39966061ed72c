//! Operators who race each other, and a platform whose answers are lost.

mod support;

use magpiemoor::cli::CliError;
use magpiemoor::cli::bundle::roll_signed;
use magpiemoor::cli::observe::fetch_status;
use magpiemoor::cli::platform::Platform;
use magpiemoor_lab::keyed::fleet::KEY_ID;
use magpiemoor_lab::keyed::platform::Faults;
use support::{size, start};

#[tokio::test(flavor = "multi_thread")]
async fn of_two_operators_who_roll_the_same_version_one_is_refused() {
    let running = start(&size(&["north"], 1, 1)).await;
    let platform = Platform::new(&running.fleet.platform);
    let key = KEY_ID.parse().unwrap();
    let mut other = running.fleet.source(2);
    other.policy.queue_limit += 1;
    let (ours, theirs) = (
        running.fleet.signed(&running.fleet.source(2)),
        running.fleet.signed(&other),
    );
    let (a, b) = tokio::join!(
        roll_signed(&platform, &ours, &key),
        roll_signed(&platform, &theirs, &key)
    );
    assert_eq!(u8::from(a.is_ok()) + u8::from(b.is_ok()), 1);
    assert!(matches!(a.err().or(b.err()), Some(CliError::Conflict(_))));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_lost_after_the_winning_write_is_settled_by_reading_back() {
    let running = start(&size(&["north", "south"], 2, 1)).await;
    let platform = Platform::new(&running.fleet.platform);
    // The parts are stored before; then the pointer's own answer is lost.
    let signed = running.fleet.signed(&running.fleet.source(2));
    running.platform.set_faults(Faults {
        lose_answers: 1,
        ..Faults::default()
    });
    roll_signed(&platform, &signed, &KEY_ID.parse().unwrap())
        .await
        .unwrap();
    let smaller = running.fleet.signed(&running.fleet.source(1));
    let refused = roll_signed(&platform, &smaller, &KEY_ID.parse().unwrap()).await;
    assert!(matches!(refused, Err(CliError::Conflict(_))));
    running
        .wait_for("version 2 everywhere", async || {
            for plan in &running.fleet.boxes {
                let status = fetch_status(&running.client, &plan.operators).await;
                if status.ok().and_then(|s| s.bundle) != Some(2) {
                    return false;
                }
            }
            true
        })
        .await;
}
