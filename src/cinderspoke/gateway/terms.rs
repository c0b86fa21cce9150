//! What the settings ask of a gateway's decisions.

use std::time::Duration;

use cinderspoke_core::gateway::budget;
use cinderspoke_schema::settings;

/// The part of the time for a new version within which requests are sent to
/// the old one. What is sent may be held up on a full link for seconds and begin
/// although it was given up; by this time most engines have gone over.
const OVERLAP: f64 = 0.6;

/// What the settings ask of a gateway's decisions.
#[derive(Debug, Clone)]
pub struct Terms {
    /// The budget of sends beyond the first.
    pub budget: budget::Terms,
    /// How long after a version was named an older one may begin requests.
    pub overlap: Duration,
}

impl Terms {
    /// The terms of some settings.
    #[must_use]
    pub fn new(settings: &settings::Node) -> Self {
        let bounds = &settings.bounds;
        let overlap = Duration::from_millis(bounds.version_ms).mul_f64(OVERLAP);
        Self {
            budget: budget::Terms {
                ratio: bounds.retry_budget_ratio,
                window: Duration::from_secs_f64(bounds.budget_window_s),
                slack: bounds.budget_slack,
            },
            overlap,
        }
    }
}
