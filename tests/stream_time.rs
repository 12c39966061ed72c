//! A box's estimate of how long streams take.

use std::time::Duration;

use magpiemoor::gateway::dispatch::stream_time::StreamTime;

fn after(streams: &[u64]) -> Duration {
    let mut time = StreamTime::default();
    for ms in streams {
        time.on_answered(Duration::from_millis(*ms));
    }
    time.expected()
}

#[test]
fn a_longer_stream_raises_the_estimate_at_once() {
    assert_eq!(after(&[]), Duration::from_secs(5));
    assert_eq!(after(&[7_200]), Duration::from_millis(7_200));
}

#[test]
fn shorter_streams_lower_the_estimate_gradually() {
    let soon = after(&[9_000, 6_000, 6_000]);
    assert!(soon > Duration::from_secs(8), "{soon:?}");
    let later = after(&[&[9_000][..], &[6_000; 40]].concat());
    assert!(later < Duration::from_millis(6_100), "{later:?}");
    assert!(later >= Duration::from_secs(6), "{later:?}");
}
