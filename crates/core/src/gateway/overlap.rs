//! How long requests are still sent to an old version after a newer one is named.
//!
//! No request may begin on the old version after a bound. A request can be delayed on its way
//! to the engine, queued behind chunks on a saturated link, and begin even after its gateway has
//! abandoned it. Sending therefore stops before the bound by the longest expected delay, which
//! depends on the link and not on the length of the bound.

use std::time::Duration;

/// Margin before the bound for endpoints whose link may delay requests. Covers the longest wait
/// behind chunks on such a link and the queueing time in the engine.
const CONGESTED_MARGIN: Duration = Duration::from_millis(3200);

/// Margin before the bound for endpoints with no sign of a congested link. Covers the queueing
/// time in an engine that is slower than expected.
const CLEAR_MARGIN: Duration = Duration::from_millis(1600);

/// Largest fraction of the bound that the margin for a congested link may take.
const CONGESTED_MAX_FRACTION: f64 = 0.4;

/// Largest fraction of the bound that the margin for a clear link may take.
const CLEAR_MAX_FRACTION: f64 = 0.2;

/// How long after a version is named requests may still be sent to an older one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Overlap {
    /// For endpoints whose link may delay requests.
    pub narrow: Duration,
    /// For all other endpoints.
    pub clear: Duration,
}

impl Overlap {
    /// Computes the overlap for a bound after which no request may begin on the old version.
    #[must_use]
    pub fn within(bound: Duration) -> Self {
        let less_margin =
            |margin: Duration, max_fraction: f64| bound - margin.min(bound.mul_f64(max_fraction));
        Self {
            narrow: less_margin(CONGESTED_MARGIN, CONGESTED_MAX_FRACTION),
            clear: less_margin(CLEAR_MARGIN, CLEAR_MAX_FRACTION),
        }
    }
}
