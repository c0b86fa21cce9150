//! What gateways want of the service's engines.

use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anyhow::{Context, Result};
use arc_swap::ArcSwap;
use cinderspoke_core::gateway::name::{Model, Region, Service};
use cinderspoke_core::gateway::rollout::Version;
use cinderspoke_core::gateway::timeline::{Ages, Timeline};
use cinderspoke_ports::gateway::EngineReport;
use cinderspoke_schema::settings;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::gateway::message::Plan;
use crate::util::clock::Clock;
use crate::util::http::{Call, Client};
use crate::util::settings::seed_addresses;

/// How long a gateway may take to tell the plan.
const TIMEOUT: Duration = Duration::from_millis(1500);

/// A model's version that is wanted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DesiredVersion {
    /// The model.
    pub model: Model,
    /// The version.
    pub version: Version,
    /// When it became known here.
    pub since: Instant,
}

impl DesiredVersion {
    /// Whether an engine holds it whole.
    #[must_use]
    pub fn runs_in(&self, report: &EngineReport) -> bool {
        let mut models = report.models.iter();
        models.any(|(model, version)| *model == self.model && *version == self.version)
    }
}

/// The text by whose hash versions are told apart.
impl fmt::Display for DesiredVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} {}", self.model, self.version)
    }
}

/// The newest plan, merged from what gateways tell.
pub struct Plans {
    service: Service,
    region: Region,
    client: Client,
    seeds: ArcSwap<Vec<SocketAddr>>,
    plan: watch::Sender<Plan>,
    desired: Mutex<Option<DesiredVersion>>,
    // Kept for gateways that start when no other one is left to ask.
    timeline: Mutex<Timeline>,
    clock: Clock,
}

impl Plans {
    /// No plan is known yet.
    #[must_use]
    pub fn new(settings: &settings::Node, service: Service, client: Client) -> Self {
        Self {
            service,
            region: settings.region.as_str().into(),
            client,
            seeds: ArcSwap::from_pointee(seed_addresses(settings)),
            plan: watch::Sender::new(Plan::default()),
            desired: Mutex::default(),
            timeline: Mutex::default(),
            clock: Clock::start(),
        }
    }

    /// Goes by the seeds of other settings.
    pub fn reload(&self, settings: &settings::Node) {
        self.seeds.store(Arc::new(seed_addresses(settings)));
    }

    /// Whether a gateway of a region is one of the own region.
    #[must_use]
    pub fn is_local(&self, region: &Region) -> bool {
        self.region == *region
    }

    /// The service of the engine.
    #[must_use]
    pub fn service(&self) -> &Service {
        &self.service
    }

    /// The newest plan.
    #[must_use]
    pub fn newest(&self) -> Plan {
        self.plan.borrow().clone()
    }

    /// A way to wait for a new plan.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Plan> {
        self.plan.subscribe()
    }

    /// Gateways that may be reached while none has asked for reports.
    #[must_use]
    pub fn seeds(&self) -> Vec<SocketAddr> {
        self.seeds.load().to_vec()
    }

    /// The version that is wanted, once a plan is known.
    #[must_use]
    pub fn desired(&self) -> Option<DesiredVersion> {
        self.desired.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn timeline(&self) -> MutexGuard<'_, Timeline> {
        self.timeline.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The versions that were named, and for how long.
    #[must_use]
    pub fn ages(&self) -> Ages {
        self.timeline().ages(self.clock.now())
    }

    /// Reads the plan of a gateway.
    ///
    /// # Errors
    ///
    /// When it does not tell it.
    pub async fn fetch(&self, gateway: SocketAddr) -> Result<()> {
        let path = format!("/v1/plan?service={}", self.service);
        let answer =
            self.client.fetch(Call::get(gateway, path).close_after().timeout(TIMEOUT)).await?;
        self.take(postcard::from_bytes(&answer).context("reading a plan")?);
        Ok(())
    }

    /// Takes in a plan: versions never go back, and the newest list of peers counts.
    fn take(&self, plan: Plan) {
        self.timeline().merge(&plan.ages, self.clock.now());
        self.plan.send_if_modified(|known| {
            let mut rollout = known.rollout.clone();
            let news = rollout.merge(&plan.rollout);
            let newer = plan.revision >= known.revision;
            if newer {
                *known = plan;
            }
            known.rollout = rollout;
            news || newer
        });
        let plan = self.plan.borrow();
        let Some(model) = plan.models.first().map(|model| Model::from(model.as_str())) else {
            return;
        };
        let version = plan.rollout.version(&model);
        let mut desired = self.desired.lock().unwrap_or_else(PoisonError::into_inner);
        if desired.as_ref().is_none_or(|known| known.model != model || known.version < version) {
            tracing::info!(%model, %version, peers = plan.peers.len(), "version wanted");
            *desired = Some(DesiredVersion { model, version, since: Instant::now() });
        }
    }
}
