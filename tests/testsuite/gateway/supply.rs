//! When chunks do not come, and what is done meanwhile.

use cinderspoke_core::gateway::supply::{Supply, is_worth_loading, time_to_collect};

use super::ms;

#[test]
fn a_version_whose_chunks_come_is_not_stalled() {
    let mut supply = Supply::new(0, ms(0));
    for chunk in 1..20 {
        let now = ms(500) * chunk;
        assert!(!supply.is_stalled(now), "a chunk came half a second ago");
        supply.holds(chunk as usize, now);
    }
}

#[test]
fn a_version_of_which_no_chunk_comes_is_stalled_from_the_start_or_later() {
    let mut supply = Supply::new(0, ms(100));
    assert!(supply.is_stalled(ms(1100)), "not even the first one came");
    supply.holds(5, ms(1200));
    supply.holds(5, ms(2100));
    assert!(supply.is_stalled(ms(2200)), "it was looked at, and nothing had come");
}

// An engine that goes over answers nothing for a second, so that a version with less
// than a few seconds left costs more than it brings; and nothing may begin on one
// whose time is not known.
#[test]
fn a_version_is_taken_up_again_only_while_enough_of_its_time_is_known_to_be_left() {
    assert!(is_worth_loading(Some(ms(6000))));
    assert!(!is_worth_loading(Some(ms(1000))));
    assert!(!is_worth_loading(None));
    assert_eq!(time_to_collect(Some(ms(1000))), None);
    assert_eq!(time_to_collect(Some(ms(2500))), None, "collecting it takes a part of that");
    assert_eq!(time_to_collect(None), None);
    let left = ms(6000);
    let time = time_to_collect(Some(left)).unwrap();
    assert!(time >= ms(1500), "agents give each other half of a version in so long");
    assert!(is_worth_loading(Some(left - time)), "what came in time is loaded");
}
