//! What the settings ask of a gateway.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use cinderspoke_core::gateway::budget;
use cinderspoke_core::gateway::cold;
use cinderspoke_core::gateway::overlap::Overlap;
use cinderspoke_schema::settings;

use crate::util::settings::{inner_address, seed_addresses};

/// How long news of endpoints gather before the next watch, as a part of the time in which
/// nothing new may reach an endpoint that leaves: each watch is paid for, and many endpoints
/// change at once.
const GATHER: f64 = 0.2;

/// What the settings ask of a gateway, as far as it may change while it runs.
#[derive(Debug, Clone)]
pub struct Options {
    /// The budget of sends beyond the first.
    pub budget: budget::Options,
    /// How long after a version was named an older one may begin requests.
    pub overlap: Overlap,
    /// How long news of endpoints gather before the store is asked for more.
    pub gather: Duration,
    /// How long the gateway may take to stop.
    pub grace: Duration,
    /// The region of each availability zone.
    pub regions: HashMap<String, String>,
    /// Whether operators may empty availability zones, so that nothing is sent before it is
    /// known which ones are.
    pub evacuates: bool,
    /// What a cold endpoint may receive; none without a bound.
    pub cold: Option<cold::Options>,
    /// Gateways to be told of this one while it knows of no others.
    pub seeds: Vec<SocketAddr>,
}

impl Options {
    /// How many regions there are.
    #[must_use]
    pub fn region_count(&self) -> usize {
        self.regions.values().collect::<BTreeSet<_>>().len()
    }

    /// The terms of some settings.
    #[must_use]
    pub fn new(settings: &settings::Node) -> Self {
        let (bounds, own) = (&settings.bounds, inner_address(settings));
        let overlap = Overlap::within(Duration::from_millis(bounds.version_ms));
        let window = Duration::from_secs_f64(bounds.budget_window_s);
        Self {
            budget: budget::Options {
                ratio: bounds.retry_budget_ratio,
                window,
                slack: bounds.budget_slack,
                // Before the whole system's first start nothing was spent.
                slack_from: if settings.first_start { Duration::ZERO } else { window },
            },
            overlap,
            gather: Duration::from_millis(bounds.drain_ms).mul_f64(GATHER),
            grace: Duration::from_secs_f64(bounds.grace_s),
            regions: settings.regions.clone(),
            evacuates: bounds.evacuate_ms.is_some(),
            cold: bounds
                .cold_overage
                .map(|overage| cold::Options { overage, slack: bounds.cold_slack }),
            seeds: seed_addresses(settings).into_iter().filter(|seed| *seed != own).collect(),
        }
    }
}
