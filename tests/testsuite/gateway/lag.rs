//! How far a configuration is behind the newest known one.

use std::time::Duration;

use cinderspoke_core::gateway::lag::Lag;

use super::ms;

#[test]
fn lag_counts_from_the_first_known_newer_version() {
    let mut lag = Lag::default();
    assert_eq!(lag.behind(0, ms(100)), Duration::ZERO, "no version is known");
    assert!(lag.record(3, ms(100)) && lag.record(5, ms(400)));
    assert!(!lag.record(4, ms(500)), "an older version is not new");
    assert_eq!(lag.newest(), 5);
    assert_eq!(lag.behind(2, ms(600)), ms(500));
    assert_eq!(lag.behind(3, ms(600)), ms(200));
    assert_eq!(lag.behind(5, ms(600)), Duration::ZERO);
}

#[test]
fn remembered_versions_are_bounded_and_include_the_newest() {
    let mut lag = Lag::default();
    for version in 1..=1000 {
        lag.record(version, ms(version));
    }
    assert_eq!(lag.newest(), 1000);
    assert_eq!(lag.behind(999, ms(1500)), ms(500));
    assert!(lag.behind(0, ms(1500)) >= ms(500));
}
