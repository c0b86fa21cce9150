//! Whether a version's chunks still come, and what to do while they do not.
//!
//! A version that was given up for a newer one may lie in pieces among its agents,
//! all of it together. While the newer one does not come, they can still give it to
//! each other, and answer with it for as long as an older version may go on.

use std::time::Duration;

/// How long no chunk has to come for a version to be taken as not coming: several
/// come in a tenth of a second while it spreads, and one may have to be asked for
/// twice.
const STALLED: Duration = Duration::from_millis(600);

/// How much of its time a version must have left to be taken up again: what other
/// agents still have to give takes one to two seconds and the changeover one, and
/// nothing is sent to it in the last part of its time.
const WORTH: Duration = Duration::from_millis(4000);

/// How much of its time a version must have left for its engine to go over to it: an
/// engine that does answers nothing for a second.
const WORTH_LOADING: Duration = Duration::from_millis(2500);

/// How a version's chunks come in.
#[derive(Debug, Clone, Copy)]
pub struct Supply {
    held: usize,
    // When the last chunk came, or it began.
    at: Duration,
}

impl Supply {
    /// So many chunks are there.
    #[must_use]
    pub fn new(held: usize, now: Duration) -> Self {
        Self { held, at: now }
    }

    /// Takes in how many chunks are there.
    pub fn holds(&mut self, held: usize, now: Duration) {
        if held != self.held {
            *self = Self::new(held, now);
        }
    }

    /// Whether no chunk has come for so long that the version is taken as not coming.
    #[must_use]
    pub fn is_stalled(&self, now: Duration) -> bool {
        self.at + STALLED <= now
    }
}

/// How long a version that was given up may take to be collected again, with so much
/// of its time left; none where that is too little or not known.
#[must_use]
pub fn time_to_collect(left: Option<Duration>) -> Option<Duration> {
    left.filter(|left| *left >= WORTH).map(|left| left.saturating_sub(WORTH_LOADING))
}

/// Whether an engine goes over to such a version once it is whole.
#[must_use]
pub fn is_worth_loading(left: Option<Duration>) -> bool {
    left.is_some_and(|left| left >= WORTH_LOADING)
}
