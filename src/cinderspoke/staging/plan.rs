//! The plan that gateways serve for the service, and the version desired by it.

use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anyhow::{Context, Result};
use arc_swap::ArcSwap;
use cinderspoke_core::gateway::listing::Layout;
use cinderspoke_core::gateway::name::{Model, Region, Service};
use cinderspoke_core::gateway::rollout::Version;
use cinderspoke_core::gateway::timeline::{Ages, Timeline};
use cinderspoke_ports::gateway::EngineReport;
use cinderspoke_schema::settings;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::gateway::message::Plan;
use crate::util::clock::Clock;
use crate::util::http::{Call, Client, Path};
use crate::util::settings::seed_addresses;

/// Timeout of reading the plan from a gateway.
const TIMEOUT: Duration = Duration::from_millis(1500);

/// The version of a model that the engine is to run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DesiredVersion {
    /// The model.
    pub model: Model,
    /// The version.
    pub version: Version,
    /// When this agent learned of it.
    pub since: Instant,
}

impl DesiredVersion {
    /// Whether the engine runs this version, by its report.
    #[must_use]
    pub fn runs_in(&self, report: &EngineReport) -> bool {
        let mut models = report.models.iter();
        models.any(|(model, version)| *model == self.model && *version == self.version)
    }
}

/// The text whose hash identifies the version.
impl fmt::Display for DesiredVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} {}", self.model, self.version)
    }
}

/// The newest plan, merged from the plans of all gateways that were read.
pub struct Plans {
    service: Service,
    region: Region,
    client: Client,
    seeds: ArcSwap<Vec<SocketAddr>>,
    plan: watch::Sender<Plan>,
    // Invariant: a task that is woken by a change of `plan` finds the version of that plan here.
    desired: Mutex<Option<DesiredVersion>>,
    // Sent to gateways, for those that start while no other gateway runs.
    timeline: Mutex<Timeline>,
    clock: Clock,
}

impl Plans {
    /// Creates plans with none known yet.
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

    /// Replaces the seeds by those of changed settings.
    pub fn reload(&self, settings: &settings::Node) {
        self.seeds.store(Arc::new(seed_addresses(settings)));
    }

    /// Whether a region is this agent's own.
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

    /// How the weights are divided, by the newest plan, if that is declared.
    #[must_use]
    pub fn layout(&self) -> Option<Layout> {
        self.plan.borrow().layout
    }

    /// Whether a gateway names the newest plan by this hash.
    #[must_use]
    pub fn is_known(&self, plan_hash: u64) -> bool {
        let plan = self.plan.borrow();
        plan_hash == plan.hash() || plan_hash == plan.hash_without_layout()
    }

    /// Subscribes to changes of the plan.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Plan> {
        self.plan.subscribe()
    }

    /// Gateways to which reports are sent while no gateway has subscribed.
    #[must_use]
    pub fn seeds(&self) -> Vec<SocketAddr> {
        self.seeds.load().to_vec()
    }

    /// The desired version, once a plan is known.
    #[must_use]
    pub fn desired(&self) -> Option<DesiredVersion> {
        self.desired.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn timeline(&self) -> MutexGuard<'_, Timeline> {
        self.timeline.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// How long ago each version was set to roll out.
    #[must_use]
    pub fn ages(&self) -> Ages {
        self.timeline().ages(self.clock.now())
    }

    /// Reads the plan from a gateway and merges it.
    ///
    /// # Errors
    ///
    /// When the request fails or the answer cannot be decoded.
    pub async fn fetch(&self, gateway: SocketAddr) -> Result<()> {
        let path = Path::from("/v1/plan").pair("service", &self.service);
        let answer =
            self.client.fetch(Call::get(gateway, path).close_after().timeout(TIMEOUT)).await?;
        self.merge(Plan::unpack(&answer).context("the plan cannot be decoded")?);
        Ok(())
    }

    /// Merges a plan. Versions never go back; the rest is taken from the plan with the highest
    /// revision.
    pub fn merge(&self, plan: Plan) {
        self.timeline().merge(&plan.ages, self.clock.now());
        self.plan.send_if_modified(|known| {
            let mut rollout = known.rollout.clone();
            let advanced = rollout.merge(&plan.rollout);
            let newer = plan.revision >= known.revision;
            // A gateway of an earlier build sends no layout.
            let layout = plan.layout.filter(|_| newer).or(known.layout);
            if newer {
                *known = Plan { layout, ..plan };
            }
            known.rollout = rollout;
            // Before the tasks that wait for plans are woken: they look for the version.
            self.update_desired(known);
            advanced || newer
        });
    }

    /// Updates the desired version by a plan.
    fn update_desired(&self, plan: &Plan) {
        let Some(model) = plan.models.first().map(|model| Model::from(model.as_str())) else {
            return;
        };
        let version = plan.rollout.version(&model);
        let mut desired = self.desired.lock().unwrap_or_else(PoisonError::into_inner);
        if desired.as_ref().is_none_or(|known| known.model != model || known.version < version) {
            tracing::info!(%model, %version, peers = plan.peers.len(), "desired version changed");
            *desired = Some(DesiredVersion { model, version, since: Instant::now() });
        }
    }
}
