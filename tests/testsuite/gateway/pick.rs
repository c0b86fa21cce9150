//! Choosing an endpoint, or refusing.

use std::time::Duration;

use cinderspoke_core::gateway::pick::{Candidate, Choice, Wish, pick};
use cinderspoke_core::swarm::Distance;

use super::ms;

fn candidate(number: usize, first: Duration, distance: Distance) -> Candidate {
    Candidate { number, distance, first, trial: false }
}

fn wish(returning: bool) -> Wish {
    Wish { target: ms(400), deadline: ms(6000), returning, spread: 7 }
}

#[test]
fn the_endpoint_that_begins_first_is_chosen_and_near_ones_win_ties() {
    let candidates = [
        candidate(0, ms(300), Distance::Zone),
        candidate(1, ms(100), Distance::Far),
        candidate(2, ms(100), Distance::Zone),
    ];
    assert_eq!(pick(&wish(false), &candidates), Choice::Send { number: 2, first: ms(100) });
}

#[test]
fn who_would_be_late_is_refused_once_and_then_served() {
    let late = [candidate(0, ms(900), Distance::Zone)];
    assert!(matches!(pick(&wish(false), &late), Choice::Refuse { best: Some(_), .. }));
    assert!(matches!(pick(&wish(true), &late), Choice::Send { .. }));
    assert!(matches!(pick(&wish(true), &[]), Choice::Refuse { best: None, .. }));
}
