//! Judging how often requests are served by their sizes.

use std::time::Duration;

use super::judge::{Breach, Promise};

/// How often the largest have to be served at least, of how often all are, as the platform allows.
const LEAST: f64 = 0.5;

/// How many callers there have to be: with fewer, a tenth of them tells nothing.
const FEWEST: usize = 300;

/// A caller with a request, served at any of its attempts or not.
#[derive(Debug, Clone, Copy)]
pub struct Caller {
    /// Tokens of its prompt.
    pub prompt: u32,
    /// Whether it had a whole answer.
    pub is_served: bool,
    /// Whether a fault ended the connection before an answer.
    pub is_broken_off: bool,
}

/// The parts of callers who were served; those whom a fault broke off are left out.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Shares {
    /// How many callers count.
    pub callers: usize,
    /// Of all of them.
    pub all: f64,
    /// Of those with the largest tenth of prompts.
    pub largest: f64,
    /// Of those with the fifth below it.
    pub below: f64,
}

impl Shares {
    /// Adds callers up.
    #[must_use]
    pub fn new(callers: &[Caller]) -> Self {
        let mut callers: Vec<_> = callers.iter().filter(|caller| !caller.is_broken_off).collect();
        callers.sort_by_key(|caller| caller.prompt);
        let bound = |part: f64| (part * callers.len() as f64) as usize;
        Self {
            callers: callers.len(),
            all: share(&callers),
            largest: share(&callers[bound(0.9)..]),
            below: share(&callers[bound(0.7)..bound(0.9)]),
        }
    }

    /// What is broken where the callers have been seen by this time.
    #[must_use]
    pub fn judge(&self, at: Duration) -> Vec<Breach> {
        if self.callers < FEWEST {
            return Vec::new();
        }
        let parts = [("largest tenth", self.largest), ("fifth below it", self.below)];
        let unfair = parts.into_iter().filter(|(_, share)| *share < LEAST * self.all);
        let breach = |(name, share): (&str, f64)| {
            let what = format!("of the {name} {share:.2} were served, of all {:.2}", self.all);
            Breach { promise: Promise::Sizes, at, excused: false, what }
        };
        unfair.map(breach).collect()
    }
}

/// The part of callers who were served.
fn share(callers: &[&Caller]) -> f64 {
    let served = callers.iter().filter(|caller| caller.is_served).count();
    served as f64 / callers.len().max(1) as f64
}
