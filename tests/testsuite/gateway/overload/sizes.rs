//! Overload with few long prompts among many short ones: the shares that are served by size.

use super::figures::Outcome;
use super::fleet::{Faults, Fleet, Rule};
use super::work::Work;
use super::world::World;
use super::{GROWN, LOADS, LOSSY, REQUIRED, SMALL, oracle};

/// Half of the engines are so slow that a long prompt takes most of the target.
const SLOW: Faults = Faults { slow: (2, 3.0), ..LOSSY };

/// The shares of a kind's requests that satisfy a condition.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Shares {
    /// Of all of them.
    whole: f64,
    /// Of the largest tenth.
    largest: f64,
    /// Of the fifth below it.
    below: f64,
}

impl Shares {
    /// The shares of the requests of a kind for which `is_good` holds.
    fn new(outcomes: &[Outcome], kind: usize, is_good: fn(&Outcome) -> bool) -> Self {
        let mut kind: Vec<_> = outcomes.iter().filter(|outcome| outcome.kind == kind).collect();
        kind.sort_by(|one, other| one.prompt.total_cmp(&other.prompt));
        let share = |outcomes: &[&Outcome]| {
            let good = outcomes.iter().filter(|outcome| is_good(outcome)).count();
            good as f64 / outcomes.len().max(1) as f64
        };
        let at = |part: f64| (part * kind.len() as f64) as usize;
        let (below, largest) = (&kind[at(0.7)..at(0.9)], &kind[at(0.9)..]);
        Self { whole: share(&kind), largest: share(largest), below: share(below) }
    }
}

/// Number of runs, each with its own seed.
const RUNS: u64 = 3;

fn play(fleet: Fleet, faults: Faults, load: f64) -> Vec<Outcome> {
    let world = |seed| World::new(fleet, Rule::Gateway, faults).with_seed(seed);
    let outcomes = |seed| world(seed).with_work(Work::lognormal()).outcomes(load);
    (0..RUNS).flat_map(outcomes).collect()
}

/// Lower bound on the share of the largest prompts that is served, as a fraction of the share of
/// their whole kind.
const LEAST: f64 = 0.8;

// Long prompts wait as long as short ones and have a longer prefill. If the same limit applied to
// their time to first token, they would be refused first, and again at each retry.
#[test]
fn large_requests_are_served_about_as_often_as_others() {
    let mut missed = Vec::new();
    for (fleet, faults) in [(SMALL, LOSSY), (GROWN, LOSSY), (SMALL, SLOW), (GROWN, SLOW)] {
        for load in LOADS {
            let outcomes = play(fleet, faults, load);
            for kind in 0..Work::lognormal().kinds() {
                let shares = Shares::new(&outcomes, kind, |outcome| outcome.is_served);
                if shares.largest.min(shares.below) < LEAST * shares.whole {
                    missed
                        .push(format!("{fleet:?}, {faults:?} at {load}, kind {kind}: {shares:?}"));
                }
            }
        }
    }
    assert!(missed.is_empty(), "{missed:#?}");
}

// Long prompts that are served are late or take the engine time of several short ones. The share of
// all requests that is answered in time must not fall because of that.
#[test]
fn most_of_what_an_oracle_serves_in_time_is_served_of_all_sizes() {
    for fleet in [SMALL, GROWN] {
        for load in LOADS {
            let outcomes = play(fleet, LOSSY, load);
            let in_time = outcomes.iter().filter(|outcome| outcome.is_in_time).count();
            let share = in_time as f64 / outcomes.len() as f64;
            assert!(share >= REQUIRED * oracle(load), "{fleet:?} at {load}: {share:.3}");
        }
    }
}
