//! Versions that models are to have, and how long old ones may go on.

use cinderspoke_core::gateway::rollout::{Rollout, Timeline, Version};

use super::ms;

fn named(version: u64) -> Rollout {
    let mut rollout = Rollout::default();
    rollout.name("m".into(), Version(version));
    rollout
}

#[test]
fn a_version_named_while_the_process_runs_leaves_the_old_one_its_time() {
    // The first version that a process hears of was once taken for one named long ago.
    let mut timeline = Timeline::default();
    timeline.learn(&Rollout::default(), ms(100), ms(4000));
    timeline.learn(&named(2), ms(20_000), ms(4000));
    assert_eq!(timeline.ends(&"m".into(), Version(1), ms(5000)), Some(ms(25_000)));
    assert_eq!(timeline.ends(&"m".into(), Version(2), ms(5000)), None);
    timeline.learn(&named(3), ms(22_000), ms(4000));
    assert_eq!(timeline.ends(&"m".into(), Version(1), ms(5000)), Some(ms(25_000)));
    assert_eq!(timeline.ends(&"m".into(), Version(2), ms(5000)), Some(ms(27_000)));
}

#[test]
fn a_version_that_is_found_at_the_start_may_be_old() {
    let mut timeline = Timeline::default();
    timeline.learn(&named(2), ms(1000), ms(4000));
    assert_eq!(timeline.ends(&"m".into(), Version(1), ms(5000)), Some(ms(5000)));
}

#[test]
fn versions_never_go_back() {
    let mut rollout = named(3);
    assert!(!rollout.merge(&named(2)));
    assert_eq!(rollout.version(&"m".into()), Version(3));
}
