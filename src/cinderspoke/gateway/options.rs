//! The settings of a gateway that may change while it runs.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use cinderspoke_core::gateway::budget;
use cinderspoke_core::gateway::cold;
use cinderspoke_core::gateway::overlap::Overlap;
use cinderspoke_schema::settings;
use cinderspoke_types::size::Bytes;

use crate::util::settings::{internal_address, seed_addresses};

/// How long changes of endpoints are batched before the next watch, as a fraction of the time
/// after which a draining endpoint may get no new requests. Each watch costs a call to the
/// store, and many endpoints change at once.
const BATCH_FRACTION: f64 = 0.2;

/// The unit of `limits.memory_mb`, in bytes.
const BYTES_IN_MEGABYTE: u64 = 1 << 20;

/// The settings of a gateway that may change while it runs.
#[derive(Debug, Clone)]
pub struct Options {
    /// The retry budget.
    pub budget: budget::Options,
    /// How long after a version was named requests may still begin with an older one.
    pub overlap: Overlap,
    /// How long changes of endpoints are batched before the next watch of the store.
    pub gather: Duration,
    /// The grace period: how long the gateway may take to stop.
    pub grace: Duration,
    /// The region of each availability zone.
    pub regions: HashMap<String, String>,
    /// Whether operators may evacuate availability zones. If so, nothing is sent until it is
    /// known which ones are evacuated.
    pub evacuates: bool,
    /// The limit of requests to a cold endpoint; none for no limit.
    pub cold: Option<cold::Options>,
    /// Gateways to which this one announces itself while it knows of no others.
    pub seeds: Vec<SocketAddr>,
    /// The memory that the process may take.
    pub memory: Bytes,
    /// Whether late and less urgent requests are refused first under load.
    pub sheds_by_rank: bool,
    /// Whether requests that return after a refusal are recognized.
    pub recognizes_returns: bool,
    /// Whether gateways report the requests that they receive to each other.
    pub shares_demand: bool,
}

impl Options {
    /// How many regions there are.
    #[must_use]
    pub fn region_count(&self) -> usize {
        self.regions.values().collect::<BTreeSet<_>>().len()
    }

    /// Extracts the options from settings.
    #[must_use]
    pub fn new(settings: &settings::Node) -> Self {
        let (bounds, own) = (&settings.bounds, internal_address(settings));
        let overlap = Overlap::within(Duration::from_millis(bounds.version_ms));
        Self {
            budget: budget::Options {
                ratio: bounds.retry_budget_ratio,
                window: Duration::from_secs_f64(bounds.budget_window_s),
                slack: bounds.budget_slack,
            },
            overlap,
            gather: Duration::from_millis(bounds.drain_ms).mul_f64(BATCH_FRACTION),
            grace: Duration::from_secs_f64(bounds.grace_s),
            regions: settings.regions.clone(),
            evacuates: bounds.evacuate_ms.is_some(),
            cold: bounds
                .cold_overage
                .map(|overage| cold::Options { overage, slack: bounds.cold_slack }),
            seeds: seed_addresses(settings).into_iter().filter(|seed| *seed != own).collect(),
            memory: Bytes::new(settings.limits.memory_mb.saturating_mul(BYTES_IN_MEGABYTE)),
            sheds_by_rank: settings.overload.shed_by_rank,
            recognizes_returns: settings.overload.recognize_returns,
            shares_demand: settings.overload.share_demand,
        }
    }
}
