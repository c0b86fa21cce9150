//! A fleet on loopback: stand-ins around real entry instances and agents.

mod build;
mod machine;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, Result, bail};
use cinderspoke::ops::client::Admin;
use cinderspoke::ops::status::is_live;
use cinderspoke_core::configuration::Configuration;
use cinderspoke_core::transfer::Policy;
use cinderspoke_schema::control::{ApplyRequest, Part, StatusReport};
use cinderspoke_types::counter::Generation;
use cinderspoke_types::rate::ByteRate;
use cinderspoke_types::size::Bytes;
use tokio::time::{Instant, sleep, timeout};

use self::build::Builder;
pub use self::machine::{AgentMachine, Beside, EntryMachine};
use crate::engine::Behaviour;
use crate::node::Ground;
use crate::platform::Platform;
use crate::weights::{CHUNK, Weights};

/// How large a fleet is, and how fast.
#[derive(Debug, Clone)]
pub struct Options {
    /// What the fleet stands on.
    pub ground: Ground,
    /// Entry instances in each availability zone.
    pub entries: usize,
    /// Model engines in all; absent: as many as the largest model service has replicas.
    pub engines: Option<usize>,
    /// What the origin's link carries.
    pub origin_rate: Option<ByteRate>,
    /// What each agent's link carries.
    pub link_rate: Option<ByteRate>,
    /// How often agents send a heartbeat.
    pub heartbeat: Duration,
    /// How long a lease stands unrenewed.
    pub lease: Duration,
    /// How agents choose chunks.
    pub policy: Policy,
    /// Each engine's room for weights.
    pub memory: Bytes,
    /// The size of the manifests' chunks.
    pub chunk: Bytes,
    /// How engines behave.
    pub behaviour: Behaviour,
    /// How long a plain service takes for a call.
    pub plain_delay: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            ground: Ground::Loopback,
            entries: 2,
            engines: None,
            origin_rate: None,
            link_rate: None,
            heartbeat: Duration::from_millis(200),
            lease: Duration::from_millis(1000),
            policy: Policy::default(),
            memory: Bytes::from_mib(16 << 10),
            chunk: CHUNK,
            behaviour: Behaviour::default(),
            plain_delay: Duration::from_millis(1),
        }
    }
}

/// The whole fleet.
pub struct Fleet {
    /// What it stands on.
    pub ground: Ground,
    /// The platform.
    pub platform: Platform,
    /// The weight store and the origin.
    pub weights: Weights,
    /// The entry instances, zone by zone.
    pub entries: Vec<EntryMachine>,
    /// The endpoints' instances.
    pub agents: Vec<AgentMachine>,
    operations: u64,
    newest: Generation,
}

impl Fleet {
    /// Starts a fleet that fits a set of files; nothing is applied yet.
    ///
    /// # Errors
    ///
    /// When the files have findings or something cannot listen.
    pub async fn spawn(files: &[Part], options: &Options) -> Result<Self> {
        let mut fleet = Self::prepare(files, options).await?;
        for entry in &mut fleet.entries {
            entry.start().await?;
        }
        for agent in &mut fleet.agents {
            agent.start().await?;
        }
        Ok(fleet)
    }

    /// Starts a fleet's stand-ins, but no entry instance and no agent.
    ///
    /// # Errors
    ///
    /// When the files have findings or something cannot listen.
    pub async fn prepare(files: &[Part], options: &Options) -> Result<Self> {
        let configuration = check(files)?;
        let ground = options.ground.clone();
        let platform = Platform::spawn(&ground).await?;
        let weights = Weights::spawn(&ground, options.origin_rate, options.chunk).await?;
        weights.add_all(&configuration);
        let mut builder = Builder {
            configuration: &configuration,
            options,
            platform: &platform,
            weights: &weights,
        };
        let entries = builder.entries()?;
        let agents = builder.agents(&entries).await?;
        Ok(Self {
            ground,
            platform,
            weights,
            entries,
            agents,
            operations: 0,
            newest: Generation::default(),
        })
    }

    /// Where callers are answered, by the entry instances that run.
    #[must_use]
    pub fn callers(&self) -> Vec<SocketAddr> {
        let running = self.entries.iter().filter(|entry| entry.running.is_some());
        running.map(|entry| entry.settings.callers).collect()
    }

    /// A client for the administration API of an entry instance.
    ///
    /// # Errors
    ///
    /// When no entry instance runs.
    pub fn admin(&self) -> Result<Admin> {
        let running = self.entries.iter().find(|entry| entry.running.is_some());
        let entry = running.context("no entry instance runs")?;
        Ok(Admin::new(self.ground.callers(), entry.settings.admin))
    }

    /// Applies files on top of what is in force.
    ///
    /// # Errors
    ///
    /// When they are refused.
    pub async fn apply(&mut self, files: Vec<Part>) -> Result<Generation> {
        self.operations += 1;
        let admin = self.admin()?;
        // What an entry instance shows lags a little behind what was accepted.
        let base = admin.configuration().await?.generation.max(self.newest);
        let operation = format!("operation-{}", self.operations).parse()?;
        let request = ApplyRequest { operation, author: "fleet".parse()?, base, files };
        self.newest = admin.apply(&request).await?.generation;
        Ok(self.newest)
    }

    /// Waits until every service has all its replicas live at a generation.
    ///
    /// # Errors
    ///
    /// When that takes longer than `limit`; says how things stand then.
    pub async fn live(&self, generation: Generation, limit: Duration) -> Result<StatusReport> {
        let deadline = Instant::now() + limit;
        let mut last = None;
        while Instant::now() < deadline {
            // A call is retried as long as the wait lasts: the entry may be starting.
            if let Ok(Ok(status)) = timeout(limit, self.admin()?.status()).await {
                if is_live(&status, generation) {
                    return Ok(status);
                }
                last = Some(status);
            }
            sleep(Duration::from_millis(10)).await;
        }
        bail!("not live after {limit:?}: {last:#?}")
    }

    /// Tells every engine what the weights have to be, so that wrong loads are counted.
    pub fn expect_weights(&self, configuration: &Configuration) {
        for model in configuration.models.values() {
            for version in &model.version {
                let manifest = self.weights.manifest(version.manifest);
                for engine in self.agents.iter().filter_map(AgentMachine::engine) {
                    manifest.iter().for_each(|manifest| engine.expect(manifest.clone()));
                }
            }
        }
    }
}

/// Checks files, with the findings as the error.
///
/// # Errors
///
/// When the files have findings.
pub fn check(files: &[Part]) -> Result<Configuration> {
    let report = |findings: Vec<_>| anyhow::anyhow!(cinderspoke::util::settings::report(&findings));
    Configuration::check(files).map_err(report)
}

/// Files with another text in place of one, in every file; for changes of a sample.
#[must_use]
pub fn replaced(files: &[Part], from: &str, to: &str) -> Vec<Part> {
    let replace = |part: &Part| Part { name: part.name.clone(), text: part.text.replace(from, to) };
    files.iter().map(replace).collect()
}

/// How often each request ran, over all endpoints of a fleet.
#[must_use]
pub fn runs(fleet: &Fleet) -> BTreeMap<String, u32> {
    let mut runs = BTreeMap::new();
    for machine in &fleet.agents {
        let here = match &machine.beside {
            Beside::Engine(engine) => engine.record().runs,
            Beside::Service(service) => service.runs(),
        };
        for (request, count) in here {
            *runs.entry(request).or_default() += count;
        }
    }
    runs
}
