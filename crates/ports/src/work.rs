//! Work on data from the platform and from other processes whose size is not bounded, and the
//! processor time that it takes.

use std::time::Duration;

use metrics::histogram;
use rustix::time::{ClockId, clock_gettime};

/// Histogram: processor time of a stage of the work on configurations, in seconds.
pub const CONFIGURATION_STAGE: &str = "cinderspoke_configuration_stage_seconds";

/// A stage of the work on configurations.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Parsing an answer of the store.
    Parse,
    /// Indexing and hashing a configuration.
    Index,
    /// Comparing two configurations and packing the difference, or packing a whole one.
    Pack,
    /// Unpacking and applying what another gateway sent.
    Apply,
}

impl Stage {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Parse => "parse",
            Self::Index => "index",
            Self::Pack => "pack",
            Self::Apply => "apply",
        }
    }
}

/// Returns the processor time that this thread has used.
#[must_use]
pub fn processor_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    // Neither part is negative.
    let (seconds, nanos) = (time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs());
    Duration::from_secs(seconds) + Duration::from_nanos(nanos)
}

/// Does the work of a stage and records its processor time.
pub fn measured<T>(stage: Stage, work: impl FnOnce() -> T) -> T {
    let before = processor_time();
    let done = work();
    let time = processor_time().saturating_sub(before);
    histogram!(CONFIGURATION_STAGE, "stage" => stage.as_str()).record(time.as_secs_f64());
    done
}
