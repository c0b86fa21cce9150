//! Ages of versions if updates about them arrive late at some processes and in time at others.

use std::time::Duration;

use cinderspoke_core::gateway::rollout::{Rollout, Version};
use cinderspoke_core::gateway::timeline::{Age, Timeline};
use cinderspoke_core::gateway::watch::{Freshness, Watch};

use super::ms;

const OVERLAP: Duration = Duration::from_millis(5000);

fn named(version: u64) -> Rollout {
    let mut rollout = Rollout::default();
    rollout.advance("m".into(), Version(version));
    rollout
}

fn left(timeline: &Timeline, version: u64, now: u64) -> Option<Duration> {
    timeline.remaining(&"m".into(), Version(version), OVERLAP, ms(now))
}

/// A process on which three versions follow one another at 10 s.
fn follow(timeline: &mut Timeline) {
    for version in 3..=5 {
        timeline.record(&named(version), Age::Seen(Duration::ZERO), ms(10_000));
    }
}

#[test]
fn a_version_stays_expired_after_a_merge_with_a_process_that_saw_newer_ones() {
    let (mut timeline, mut other) = (Timeline::default(), Timeline::default());
    timeline.record(&named(2), Age::Within(ms(6000)), ms(10_000));
    follow(&mut timeline);
    follow(&mut other);
    assert_eq!(left(&timeline, 1, 10_000), Some(Duration::ZERO));
    timeline.merge(&other.ages(ms(10_000)), ms(10_000));
    assert_eq!(left(&timeline, 1, 10_000), Some(Duration::ZERO));
}

#[test]
fn a_version_that_was_expired_at_the_start_stays_expired_as_newer_ones_follow() {
    let mut timeline = Timeline::default();
    timeline.record(&named(2), Age::Found, ms(10_000));
    assert_eq!(left(&timeline, 1, 10_000), Some(Duration::ZERO));
    follow(&mut timeline);
    assert_eq!(left(&timeline, 1, 10_000), Some(Duration::ZERO));
}

// Everything that a re-established watch delivers counts as old until the watch has answered once,
// so the watch has to answer soon.
#[test]
fn an_update_long_after_a_watch_was_re_established_is_new() {
    let mut watch = Watch::new(ms(0));
    watch.record_complete(ms(10_000));
    watch.record_failure(ms(1000));
    let answered = ms(15_000) + watch.wait(150, 1.0);
    assert!(answered < ms(16_000));
    watch.record_complete(answered);
    assert_eq!(watch.freshness(ms(25_000)), Freshness::New);
}
