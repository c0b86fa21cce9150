//! The names of the metrics, and the recorder that collects them.

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

/// Requests from callers, by outcome.
pub const REQUESTS: &str = "cinderspoke_requests_total";

/// Requests from callers, by outcome and the size class of their prompt, answer or body.
pub const REQUESTS_BY_SIZE: &str = "cinderspoke_requests_by_size_total";

/// Answers of endpoints that were given up since no memory was left.
pub const ANSWERS_GIVEN_UP: &str = "cinderspoke_answers_given_up_total";

/// Callers' connections that the gateway closed before a request in them was answered, by cause.
pub const CUT: &str = "cinderspoke_connections_cut_total";

/// Attempts at requests, by result.
pub const ATTEMPTS: &str = "cinderspoke_attempts_total";

/// Further sends of a request, by whether they were paid for from the retry budget or refused.
pub const RETRIES: &str = "cinderspoke_retries_total";

/// Requests refused for their rank, by priority and whether they were late.
pub const REQUESTS_SHED: &str = "cinderspoke_requests_shed_total";

/// Requests that were refused before, by whether they were recognized when they returned.
pub const RETURNS: &str = "cinderspoke_returns_total";

/// Retry delays in refusals, in seconds.
pub const RETRY_AFTER: &str = "cinderspoke_retry_after_seconds";

/// Endpoints that were left out of choices by their limits.
pub const HELD_BACK: &str = "cinderspoke_limit_exclusions_total";

/// Endpoints whose limit of requests per second is in force.
pub const LIMITS: &str = "cinderspoke_limits_in_force";

/// Requests and parts of prompts that are quarantined here.
pub const QUARANTINED: &str = "cinderspoke_quarantined";

/// Requests refused because they, or a part of their prompt, are quarantined.
pub const QUARANTINE_REFUSALS: &str = "cinderspoke_quarantine_refusals_total";

/// Time from a request's arrival to the head of its answer, in seconds.
pub const FIRST_BYTE: &str = "cinderspoke_first_byte_seconds";

/// Bytes of weights fetched, by source.
pub const WEIGHTS_FETCHED: &str = "cinderspoke_weights_drawn_bytes_total";

/// Bytes of weights uploaded to peers.
pub const WEIGHTS_UPLOADED: &str = "cinderspoke_weights_given_bytes_total";

/// Chunks that were received corrupt, by source.
pub const CORRUPT: &str = "cinderspoke_chunks_corrupt_total";

/// Listings of a version's chunks that were refused, by why.
pub const LISTINGS_REFUSED: &str = "cinderspoke_listings_refused_total";

/// Listings of a version's chunks that were replaced by others, by what showed that they are wrong.
pub const LISTINGS_REPLACED: &str = "cinderspoke_listings_replaced_total";

/// Engines whose staged chunks were not those of the version that they ran when the agent started.
pub const WEIGHTS_SUSPECTED: &str = "cinderspoke_weights_suspected_total";

/// Generation of the configuration in force.
pub const GENERATION: &str = "cinderspoke_generation";

/// Bytes fetched for configurations, by source.
pub const CONFIGURATION_FETCHED: &str = "cinderspoke_configuration_drawn_bytes_total";

/// Time since this process learned of a configuration newer than the one in force, in seconds.
pub const CONFIGURATION_LAG: &str = "cinderspoke_configuration_behind_seconds";

/// Requests per second for model engines, by whether this gateway receives them or others do.
pub const DEMAND: &str = "cinderspoke_demand_per_second";

/// Returns of the store from an older copy of itself.
pub const RESTORES: &str = "cinderspoke_store_restores_total";

/// Installs the global recorder of metrics and returns its handle, which renders them for
/// Prometheus.
///
/// # Errors
///
/// If a recorder is already installed in this process.
pub fn open() -> anyhow::Result<PrometheusHandle> {
    Ok(PrometheusBuilder::new().install_recorder()?)
}
