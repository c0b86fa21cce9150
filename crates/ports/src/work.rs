//! Work on data whose size is not bounded: configurations, lists of endpoints.
//!
//! A gateway serves all requests on one thread. [`offload`] keeps work that grows with the size of
//! data away from it, and [`measured`] records the processor time of the work on configurations.

use std::time::Duration;

use metrics::histogram;
use rustix::time::{ClockId, clock_gettime};

/// Histogram: processor time of a stage of the work on configurations, in seconds.
pub const CONFIGURATION_STAGE: &str = "cinderspoke_configuration_stage_seconds";

/// The size of data, in bytes, from which on work on it does not run on the thread of the caller:
/// about a millisecond of work.
const LARGE: usize = 16 << 10;

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

/// Does work on data of a size in bytes, away from the thread that serves requests if the data is
/// large: everything on that thread would stand still meanwhile.
///
/// # Panics
///
/// If the work panics.
pub async fn offload<T: Send + 'static>(
    size: usize,
    work: impl FnOnce() -> T + Send + 'static,
) -> T {
    if size < LARGE {
        return work();
    }
    match tokio::task::spawn_blocking(work).await {
        Ok(done) => done,
        Err(error) => match error.try_into_panic() {
            Ok(panic) => std::panic::resume_unwind(panic),
            // The runtime ends, and drops this task as well.
            Err(_) => std::future::pending().await,
        },
    }
}
