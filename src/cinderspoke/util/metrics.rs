//! Metrics: the names that the programs count under, and the scrape text.

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

/// Requests of callers, by outcome.
pub const REQUESTS: &str = "cinderspoke_requests_total";

/// Requests of callers, by outcome and the size of their prompt, answer or body.
pub const REQUESTS_BY_SIZE: &str = "cinderspoke_requests_by_size_total";

/// Attempts at requests, by result.
pub const ATTEMPTS: &str = "cinderspoke_attempts_total";

/// The time from a request's arrival to the head of its answer, in seconds.
pub const FIRST_BYTE: &str = "cinderspoke_first_byte_seconds";

/// Bytes of weights drawn, by source.
pub const WEIGHTS_FETCHED: &str = "cinderspoke_weights_drawn_bytes_total";

/// Bytes of weights given to peers.
pub const WEIGHTS_UPLOADED: &str = "cinderspoke_weights_given_bytes_total";

/// Chunks that arrived corrupt, by source.
pub const CORRUPT: &str = "cinderspoke_chunks_corrupt_total";

/// The generation of the configuration in force.
pub const GENERATION: &str = "cinderspoke_generation";

/// Bytes drawn to learn configurations, by source.
pub const CONFIGURATION_FETCHED: &str = "cinderspoke_configuration_drawn_bytes_total";

/// For how long a newer configuration than the one in force has been known to be, in seconds.
pub const CONFIGURATION_LAG: &str = "cinderspoke_configuration_behind_seconds";

/// Collects the process's metrics; the handle gives the text that scrapes read.
///
/// # Errors
///
/// When metrics are already collected elsewhere in this process.
pub fn open() -> anyhow::Result<PrometheusHandle> {
    Ok(PrometheusBuilder::new().install_recorder()?)
}
