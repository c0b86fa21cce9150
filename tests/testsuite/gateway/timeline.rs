//! For how long versions have been named, and how long older ones may go on.

use std::time::Duration;

use cinderspoke_core::gateway::rollout::{Rollout, Version};
use cinderspoke_core::gateway::timeline::{Age, Timeline};

use super::ms;

const OVERLAP: Duration = Duration::from_millis(5000);

const NEW: Age = Age::Seen(Duration::ZERO);

fn named(version: u64) -> Rollout {
    let mut rollout = Rollout::default();
    rollout.advance("m".into(), Version(version));
    rollout
}

/// How much longer a version may begin requests, in milliseconds.
fn left(timeline: &Timeline, version: u64, now: u64) -> Option<u64> {
    let left = timeline.remaining(&"m".into(), Version(version), OVERLAP, ms(now));
    left.map(|left| left.as_millis() as u64)
}

#[test]
fn a_version_named_while_the_process_runs_leaves_the_old_one_its_time() {
    let mut timeline = Timeline::default();
    timeline.record(&Rollout::default(), Age::Found, ms(100));
    timeline.record(&named(2), NEW, ms(20_000));
    assert_eq!(left(&timeline, 1, 21_000), Some(4000));
    assert_eq!(left(&timeline, 2, 21_000), None);
    timeline.record(&named(3), NEW, ms(22_000));
    assert_eq!(left(&timeline, 1, 24_000), Some(1000));
    assert_eq!(left(&timeline, 2, 24_000), Some(3000));
    assert_eq!(left(&timeline, 2, 40_000), Some(0));
}

#[test]
fn a_version_found_at_the_start_leaves_an_older_one_nothing() {
    let mut timeline = Timeline::default();
    timeline.record(&named(2), Age::Found, ms(3));
    assert_eq!(left(&timeline, 1, 3), Some(0));
    assert_eq!(left(&timeline, 1, 1000), Some(0));
    assert_eq!(left(&timeline, 2, 1000), None, "the newest serves on");
}

#[test]
fn whoever_saw_a_version_named_tells_those_who_found_it() {
    let (mut old, mut young) = (Timeline::default(), Timeline::default());
    old.record(&named(2), NEW, ms(60_000));
    young.record(&named(2), Age::Found, ms(3));
    // Another one that only found it tells nothing.
    young.merge(&young.ages(ms(4)), ms(4));
    assert_eq!(left(&young, 1, 4), Some(0));
    young.merge(&old.ages(ms(63_000)), ms(10));
    assert_eq!(left(&young, 1, 10), Some(2000));
    assert_eq!(left(&young, 1, 1010), Some(1000));
    old.merge(&young.ages(ms(1010)), ms(64_000));
    assert_eq!(left(&old, 1, 64_000), Some(1000), "what was found takes nothing back");
}

#[test]
fn an_age_that_began_before_the_process_is_kept_whole() {
    let (mut old, mut young) = (Timeline::default(), Timeline::default());
    old.record(&named(2), NEW, ms(0));
    young.merge(&old.ages(ms(100_000)), ms(1));
    assert_eq!(left(&young, 1, 1), Some(0));
}

#[test]
fn the_greatest_age_counts_since_news_may_have_come_late() {
    let (mut prompt, mut late) = (Timeline::default(), Timeline::default());
    prompt.record(&named(2), NEW, ms(1000));
    late.record(&named(2), NEW, ms(4000));
    prompt.merge(&late.ages(ms(4500)), ms(4500));
    late.merge(&prompt.ages(ms(4500)), ms(4500));
    assert_eq!(left(&prompt, 1, 4500), Some(1500));
    assert_eq!(left(&late, 1, 4500), Some(1500));
}

#[test]
fn an_older_version_ends_with_the_first_that_followed_it() {
    let (mut one, mut other) = (Timeline::default(), Timeline::default());
    one.record(&named(3), NEW, ms(10_000));
    other.record(&named(2), NEW, ms(7000));
    one.merge(&other.ages(ms(10_000)), ms(10_000));
    assert_eq!(left(&one, 1, 10_000), Some(2000));
    assert_eq!(left(&one, 2, 10_000), Some(5000));
    assert_eq!(one.ages(ms(10_000)).rollout(), named(3));
}

#[test]
fn a_version_that_has_ended_never_begins_again_however_many_follow() {
    let mut timeline = Timeline::default();
    for (version, at) in [(2, 0), (3, 3500), (4, 4000), (5, 4500), (6, 4900), (7, 5100)] {
        timeline.record(&named(version), NEW, ms(at));
        let first = left(&timeline, 1, at);
        assert_eq!(first, Some(5000_u64.saturating_sub(at)), "once {version} is named");
    }
    assert_eq!(left(&timeline, 6, 5100), Some(5000));
}

#[test]
fn an_older_version_that_another_process_still_keeps_ends_with_its_own_time() {
    let (mut one, mut other) = (Timeline::default(), Timeline::default());
    other.record(&named(2), NEW, ms(0));
    for (version, at) in [(3, 3500), (4, 4000), (5, 4500)] {
        one.record(&named(version), NEW, ms(at));
    }
    assert!(!one.merge(&other.ages(ms(4600)), ms(4600)), "it is no news");
    assert_eq!(left(&one, 1, 4600), Some(400));
}

const LATE: Age = Age::Within(Duration::from_millis(3000));

#[test]
fn a_version_heard_of_late_counts_as_old_as_it_may_be() {
    let mut timeline = Timeline::default();
    assert!(timeline.record(&named(2), LATE, ms(10_000)));
    assert_eq!(left(&timeline, 1, 10_000), Some(2000));
    assert_eq!(left(&timeline, 1, 11_000), Some(1000));
}

#[test]
fn of_all_that_heard_of_a_version_late_who_heard_least_late_counts() {
    let (mut timeline, mut other) = (Timeline::default(), Timeline::default());
    timeline.record(&named(2), LATE, ms(10_000));
    other.record(&named(2), Age::Within(ms(1000)), ms(500));
    assert!(!timeline.merge(&other.ages(ms(500)), ms(10_000)), "it was known before");
    assert_eq!(left(&timeline, 1, 10_000), Some(4000));
    other.merge(&timeline.ages(ms(10_000)), ms(500));
    assert_eq!(left(&other, 1, 500), Some(4000));
}

#[test]
fn whoever_saw_a_version_named_goes_before_who_heard_of_it_late() {
    let (mut timeline, mut other) = (Timeline::default(), Timeline::default());
    timeline.record(&named(2), LATE, ms(10_000));
    other.record(&named(2), NEW, ms(500));
    assert!(timeline.merge(&other.ages(ms(700)), ms(10_000)), "it is better known");
    assert_eq!(left(&timeline, 1, 10_000), Some(4800));
    timeline.record(&named(2), LATE, ms(10_000));
    assert_eq!(left(&timeline, 1, 10_000), Some(4800), "late news take nothing back");
}

#[test]
fn what_a_forgotten_version_ended_stays_ended_by_one_that_was_heard_of_late() {
    let mut timeline = Timeline::default();
    timeline.record(&named(2), Age::Within(ms(6000)), ms(10_000));
    for version in 3..=5 {
        timeline.record(&named(version), NEW, ms(10_000));
    }
    assert_eq!(left(&timeline, 1, 10_000), Some(0));
    assert_eq!(left(&timeline, 4, 10_000), Some(5000));
}
