//! What became of callers' requests, one by one and added up.

use std::time::Duration;

use super::engine::PROMPT;

/// What became of a caller's request.
pub(crate) struct Outcome {
    pub(crate) kind: usize,
    pub(crate) prompt: f64,
    pub(crate) is_served: bool,
    pub(crate) is_in_time: bool,
}

/// What the prompts of the largest tenth have at least, where all sizes are as frequent.
const LARGE: f64 = 2.0 * PROMPT - 100.0 - (2.0 * PROMPT - 200.0) / 10.0;

/// What was served in time: the share of those who asked, that of the largest tenth of
/// prompts, and so many a second.
#[derive(Debug)]
pub(crate) struct Figures {
    pub(crate) share: f64,
    pub(crate) large: f64,
    pub(crate) goodput: f64,
}

impl Figures {
    /// Adds up the requests of so long a time.
    pub(crate) fn new(outcomes: &[Outcome], time: Duration) -> Self {
        let count = |large: f64, is_counted: fn(&Outcome) -> bool| {
            let of_size = outcomes.iter().filter(|outcome| outcome.prompt >= large);
            of_size.filter(|outcome| is_counted(outcome)).count() as f64
        };
        let in_time = |large| count(large, |outcome| outcome.is_in_time);
        let share = |large| in_time(large) / count(large, |_| true);
        let goodput = in_time(0.0) / time.as_secs_f64();
        Self { share: share(0.0), large: share(LARGE), goodput }
    }
}
