//! How far a configuration is behind.

use std::time::Duration;

use cinderspoke_core::gateway::lag::Lag;

use super::ms;

#[test]
fn it_counts_from_the_first_newer_version_that_was_heard_of() {
    let mut lag = Lag::default();
    assert_eq!(lag.behind(0, ms(100)), Duration::ZERO, "nothing was heard");
    assert!(lag.record(3, ms(100)) && lag.record(5, ms(400)));
    assert!(!lag.record(4, ms(500)), "an older one is no news");
    assert_eq!(lag.newest(), 5);
    assert_eq!(lag.behind(2, ms(600)), ms(500));
    assert_eq!(lag.behind(3, ms(600)), ms(200));
    assert_eq!(lag.behind(5, ms(600)), Duration::ZERO);
}

#[test]
fn what_is_remembered_is_bounded_and_the_newest_stays() {
    let mut lag = Lag::default();
    for version in 1..=1000 {
        lag.record(version, ms(version));
    }
    assert_eq!(lag.newest(), 1000);
    assert_eq!(lag.behind(999, ms(1500)), ms(500));
    assert!(lag.behind(0, ms(1500)) >= ms(500));
}
