//! How long ago versions were named, and for how long requests may begin on older ones.

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

/// Returns for how much longer requests may begin on a version, in milliseconds.
fn remaining(timeline: &Timeline, version: u64, now: u64) -> Option<u64> {
    let remaining = timeline.remaining(&"m".into(), Version(version), OVERLAP, ms(now));
    remaining.map(|remaining| remaining.as_millis() as u64)
}

#[test]
fn a_version_named_while_the_process_runs_leaves_the_old_one_the_overlap() {
    let mut timeline = Timeline::default();
    timeline.record(&Rollout::default(), Age::Found, ms(100));
    timeline.record(&named(2), NEW, ms(20_000));
    assert_eq!(remaining(&timeline, 1, 21_000), Some(4000));
    assert_eq!(remaining(&timeline, 2, 21_000), None);
    timeline.record(&named(3), NEW, ms(22_000));
    assert_eq!(remaining(&timeline, 1, 24_000), Some(1000));
    assert_eq!(remaining(&timeline, 2, 24_000), Some(3000));
    assert_eq!(remaining(&timeline, 2, 40_000), Some(0));
}

#[test]
fn a_version_found_at_the_start_leaves_an_older_one_no_time() {
    let mut timeline = Timeline::default();
    timeline.record(&named(2), Age::Found, ms(3));
    assert_eq!(remaining(&timeline, 1, 3), Some(0));
    assert_eq!(remaining(&timeline, 1, 1000), Some(0));
    assert_eq!(remaining(&timeline, 2, 1000), None, "the newest version has no limit");
}

#[test]
fn a_process_that_saw_a_version_being_named_informs_those_that_found_it() {
    let (mut old, mut young) = (Timeline::default(), Timeline::default());
    old.record(&named(2), NEW, ms(60_000));
    young.record(&named(2), Age::Found, ms(3));
    // The ages of a process that only found it add nothing.
    young.merge(&young.ages(ms(4)), ms(4));
    assert_eq!(remaining(&young, 1, 4), Some(0));
    young.merge(&old.ages(ms(63_000)), ms(10));
    assert_eq!(remaining(&young, 1, 10), Some(2000));
    assert_eq!(remaining(&young, 1, 1010), Some(1000));
    old.merge(&young.ages(ms(1010)), ms(64_000));
    assert_eq!(remaining(&old, 1, 64_000), Some(1000), "a found age does not shorten a seen one");
}

#[test]
fn an_age_that_began_before_the_process_is_kept_whole() {
    let (mut old, mut young) = (Timeline::default(), Timeline::default());
    old.record(&named(2), NEW, ms(0));
    young.merge(&old.ages(ms(100_000)), ms(1));
    assert_eq!(remaining(&young, 1, 1), Some(0));
}

#[test]
fn the_greatest_seen_age_counts_since_updates_may_arrive_late() {
    let (mut prompt, mut late) = (Timeline::default(), Timeline::default());
    prompt.record(&named(2), NEW, ms(1000));
    late.record(&named(2), NEW, ms(4000));
    prompt.merge(&late.ages(ms(4500)), ms(4500));
    late.merge(&prompt.ages(ms(4500)), ms(4500));
    assert_eq!(remaining(&prompt, 1, 4500), Some(1500));
    assert_eq!(remaining(&late, 1, 4500), Some(1500));
}

#[test]
fn an_older_version_ends_with_the_first_that_followed_it() {
    let (mut one, mut other) = (Timeline::default(), Timeline::default());
    one.record(&named(3), NEW, ms(10_000));
    other.record(&named(2), NEW, ms(7000));
    one.merge(&other.ages(ms(10_000)), ms(10_000));
    assert_eq!(remaining(&one, 1, 10_000), Some(2000));
    assert_eq!(remaining(&one, 2, 10_000), Some(5000));
    assert_eq!(one.ages(ms(10_000)).rollout(), named(3));
}

#[test]
fn a_version_that_has_ended_is_never_used_again_however_many_follow() {
    let mut timeline = Timeline::default();
    for (version, at) in [(2, 0), (3, 3500), (4, 4000), (5, 4500), (6, 4900), (7, 5100)] {
        timeline.record(&named(version), NEW, ms(at));
        let first = remaining(&timeline, 1, at);
        assert_eq!(first, Some(5000_u64.saturating_sub(at)), "once {version} is named");
    }
    assert_eq!(remaining(&timeline, 6, 5100), Some(5000));
}

#[test]
fn an_evicted_version_that_another_process_still_keeps_is_not_new() {
    let (mut one, mut other) = (Timeline::default(), Timeline::default());
    other.record(&named(2), NEW, ms(0));
    for (version, at) in [(3, 3500), (4, 4000), (5, 4500)] {
        one.record(&named(version), NEW, ms(at));
    }
    assert!(!one.merge(&other.ages(ms(4600)), ms(4600)), "it is not new");
    assert_eq!(remaining(&one, 1, 4600), Some(400));
}

const LATE: Age = Age::Within(Duration::from_millis(3000));

#[test]
fn a_version_learned_late_counts_as_old_as_it_may_be() {
    let mut timeline = Timeline::default();
    assert!(timeline.record(&named(2), LATE, ms(10_000)));
    assert_eq!(remaining(&timeline, 1, 10_000), Some(2000));
    assert_eq!(remaining(&timeline, 1, 11_000), Some(1000));
}

#[test]
fn of_all_upper_bounds_of_an_age_the_smallest_counts() {
    let (mut timeline, mut other) = (Timeline::default(), Timeline::default());
    timeline.record(&named(2), LATE, ms(10_000));
    other.record(&named(2), Age::Within(ms(1000)), ms(500));
    assert!(!timeline.merge(&other.ages(ms(500)), ms(10_000)), "the version is known already");
    assert_eq!(remaining(&timeline, 1, 10_000), Some(4000));
    other.merge(&timeline.ages(ms(10_000)), ms(500));
    assert_eq!(remaining(&other, 1, 500), Some(4000));
}

#[test]
fn a_seen_age_replaces_an_upper_bound() {
    let (mut timeline, mut other) = (Timeline::default(), Timeline::default());
    timeline.record(&named(2), LATE, ms(10_000));
    other.record(&named(2), NEW, ms(500));
    assert!(timeline.merge(&other.ages(ms(700)), ms(10_000)), "the age is more accurate");
    assert_eq!(remaining(&timeline, 1, 10_000), Some(4800));
    timeline.record(&named(2), LATE, ms(10_000));
    assert_eq!(
        remaining(&timeline, 1, 10_000),
        Some(4800),
        "a late age does not replace a seen one"
    );
}

#[test]
fn a_version_ended_by_an_evicted_one_that_was_learned_late_stays_ended() {
    let mut timeline = Timeline::default();
    timeline.record(&named(2), Age::Within(ms(6000)), ms(10_000));
    for version in 3..=5 {
        timeline.record(&named(version), NEW, ms(10_000));
    }
    assert_eq!(remaining(&timeline, 1, 10_000), Some(0));
    assert_eq!(remaining(&timeline, 4, 10_000), Some(5000));
}
