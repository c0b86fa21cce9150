//! What goes wrong while a version spreads, and when.

use std::time::Duration;

use anyhow::{Context, Result, ensure};
use cinderspoke_core::object;
use cinderspoke_schema::control::Lease;
use cinderspoke_types::digest::Digest;
use tokio::time::{Instant, sleep};

use crate::fleet::{AgentMachine, Fleet};
use crate::network::{Network, Side};
use crate::node::Ground;

/// How long a fault lasts that ends by itself.
const LASTS: Duration = Duration::from_secs(3);

/// How long a step may take to be reached.
const REACH: Duration = Duration::from_secs(300);

/// How often it is looked whether a step is reached.
const LOOK: Duration = Duration::from_millis(1);

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// An endpoint's instance dies for good.
    InstanceDies,
    /// An agent is killed and starts again with nothing.
    AgentRestarts,
    /// An instance's link carries nothing for a while.
    LinkStalls,
    /// An instance's link carries a tenth for a while.
    LinkSlows,
    /// Chunks from the origin arrive corrupt.
    CorruptAtOrigin,
    /// Chunks from a peer arrive corrupt.
    CorruptAtPeer,
    /// The operator goes back to the old version, then forth again.
    ManifestChanges,
    /// The origin is down for a while.
    OriginDown,
    /// The weight store refuses for a while.
    WeightStoreLimited,
    /// An entry instance is killed and starts again.
    EntryDies,
    /// The platform is down for a while.
    PlatformDown,
    /// A zone is cut off from the platform and the other zones for a while.
    ZoneCut,
    /// Two zones are cut off from each other for a while.
    ZonesCut,
    /// The planner is paused past its lease, then acts.
    LeaseLapses,
    /// A write of the plan takes effect, but its reply is lost.
    ReplyLost,
    /// A watch's answers stop: what it would tell comes by other ways.
    WatchDies,
    /// An entry instance that is cut off repeats orders that are out of date.
    OrderOutOfDate,
}

impl Fault {
    /// All faults, with the names by which commands know them.
    pub const NAMES: [(&'static str, Self); 17] = [
        ("instance-dies", Self::InstanceDies),
        ("agent-restarts", Self::AgentRestarts),
        ("link-stalls", Self::LinkStalls),
        ("link-slows", Self::LinkSlows),
        ("corrupt-at-origin", Self::CorruptAtOrigin),
        ("corrupt-at-peer", Self::CorruptAtPeer),
        ("manifest-changes", Self::ManifestChanges),
        ("origin-down", Self::OriginDown),
        ("weight-store-limited", Self::WeightStoreLimited),
        ("entry-dies", Self::EntryDies),
        ("platform-down", Self::PlatformDown),
        ("zone-cut", Self::ZoneCut),
        ("zones-cut", Self::ZonesCut),
        ("lease-lapses", Self::LeaseLapses),
        ("reply-lost", Self::ReplyLost),
        ("watch-dies", Self::WatchDies),
        ("order-out-of-date", Self::OrderOutOfDate),
    ];
}

/// How far a version has spread.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Step {
    /// A plan names it.
    Assigned,
    /// A manifest was read.
    ManifestRead,
    /// The origin gave a chunk.
    FirstChunk,
    /// An instance holds half of the chunks.
    Half,
    /// An instance holds all chunks.
    LastChunk,
    /// An entry instance knows of weights that are verified.
    Verified,
    /// An engine got the order to load.
    OrderSent,
    /// An engine has loaded it.
    Loaded,
    /// An engine has unloaded the old version.
    OldLeaving,
}

/// All steps, in order.
pub const STEPS: [Step; 9] = [
    Step::Assigned,
    Step::ManifestRead,
    Step::FirstChunk,
    Step::Half,
    Step::LastChunk,
    Step::Verified,
    Step::OrderSent,
    Step::Loaded,
    Step::OldLeaving,
];

/// A version that spreads, and what was there before.
#[derive(Debug, Clone, Copy)]
pub struct Spread {
    /// The version in use.
    pub old: Digest,
    /// The version that comes.
    pub new: Digest,
    /// What the origin had given before.
    pub before: crate::weights::Given,
}

/// Waits until a step is reached.
///
/// # Errors
///
/// When it is not reached for long.
pub async fn reach(fleet: &Fleet, spread: &Spread, step: Step) -> Result<()> {
    let started = Instant::now();
    while !has_reached(fleet, spread, step).await {
        ensure!(started.elapsed() < REACH, "{step:?} was not reached");
        sleep(LOOK).await;
    }
    Ok(())
}

async fn has_reached(fleet: &Fleet, spread: &Spread, step: Step) -> bool {
    let given = fleet.weights.given();
    let engines = || fleet.agents.iter().filter_map(AgentMachine::engine);
    let progress = || fleet.agents.iter().filter_map(|agent| agent.progress(spread.new));
    match step {
        Step::Assigned => fleet.entries.iter().any(|entry| {
            let plan = fleet.platform.value(&object::plan(&entry.settings.zone));
            plan.is_some_and(|plan| plan.contains(&spread.new.to_string()))
        }),
        Step::ManifestRead => given.manifests > spread.before.manifests,
        Step::FirstChunk => given.reads > spread.before.reads,
        Step::Half => progress().any(|(held, total)| 2 * held >= total),
        Step::LastChunk => progress().any(|(held, total)| held == total),
        Step::Verified => fleet.entries.iter().any(|entry| entry.knows_verified(spread.new)),
        Step::OrderSent => engines().any(|engine| engine.record().load_orders > 0),
        Step::Loaded => engines().any(|engine| engine.loaded().contains(&spread.new)),
        Step::OldLeaving => engines().any(|engine| {
            let loaded = engine.loaded();
            loaded.contains(&spread.new) && !loaded.contains(&spread.old)
        }),
    }
}

/// What a fault needs besides the fleet.
pub struct Injector {
    /// The files with the old version, and with the new one.
    pub files: [Vec<cinderspoke_schema::control::Part>; 2],
    /// Which of the instances of a kind is struck.
    pub victim: usize,
}

impl Injector {
    /// Lets a fault strike, and ends it where it ends by itself.
    ///
    /// # Errors
    ///
    /// When something does not start again, or the fleet is not in memory.
    pub async fn strike(&self, fleet: &mut Fleet, fault: Fault) -> Result<()> {
        let Ground::Memory(network) = fleet.ground.clone() else {
            anyhow::bail!("faults of links need a network in memory")
        };
        let agents = fleet.agents.len();
        let victim = self.victim % agents;
        let machine = fleet.agents[victim].machine.name.clone();
        match fault {
            Fault::InstanceDies => {
                fleet.agents[victim].kill().await;
                if let Some(engine) = fleet.agents[victim].engine_mut() {
                    engine.server.kill().await;
                }
            }
            Fault::AgentRestarts => {
                fleet.agents[victim].kill().await;
                sleep(LASTS / 4).await;
                fleet.agents[victim].start().await?;
            }
            Fault::LinkStalls => for_a_while(|on| network.slow(&machine, u32::from(!on))).await,
            Fault::LinkSlows => {
                for_a_while(|on| network.slow(&machine, if on { 10 } else { 1 })).await
            }
            Fault::CorruptAtOrigin => network.corrupt("weights", 3),
            Fault::CorruptAtPeer => network.corrupt(&machine, 3),
            Fault::ManifestChanges => {
                for files in &self.files {
                    fleet.apply(files.clone()).await?;
                }
            }
            Fault::OriginDown => {
                for_a_while(|on| fleet.weights.set_faults(|faults| faults.origin_down = on)).await;
            }
            Fault::WeightStoreLimited => {
                for_a_while(|on| fleet.weights.set_faults(|faults| faults.store_limited = on))
                    .await;
            }
            Fault::EntryDies => {
                let entry = self.victim % fleet.entries.len();
                fleet.entries[entry].kill().await;
                sleep(LASTS / 4).await;
                fleet.entries[entry].start().await?;
            }
            Fault::PlatformDown => {
                for_a_while(|on| fleet.platform.set_faults(|faults| faults.down = on)).await;
            }
            Fault::ZoneCut => {
                let others = others(fleet, victim);
                let side = fleet.agents[victim].machine.side.clone();
                for_a_while(|on| others.iter().for_each(|other| cut(&network, &side, other, on)))
                    .await;
            }
            Fault::ZonesCut => {
                let side = fleet.agents[victim].machine.side.clone();
                let others = others(fleet, victim);
                let other = others.iter().find(|other| **other != Side::Platform);
                let other = other.context("there is another zone")?;
                for_a_while(|on| cut(&network, &side, other, on)).await;
            }
            Fault::LeaseLapses => {
                let planner = planner(fleet).context("there is a planner")?;
                for_a_while(|on| network.freeze(&planner, on)).await;
            }
            Fault::ReplyLost => {
                fleet
                    .platform
                    .set_faults(|faults| faults.lose_reply_to = Some("live/plan/".into()));
            }
            Fault::WatchDies => {
                for_a_while(|on| fleet.platform.set_faults(|faults| faults.watches_dead = on))
                    .await;
            }
            Fault::OrderOutOfDate => {
                let entry = fleet.entries[self.victim % fleet.entries.len()].machine.name.clone();
                let others: Vec<_> =
                    fleet.entries.iter().map(|entry| entry.machine.name.clone()).collect();
                for_a_while(|on| {
                    network.block(&entry, "platform", on);
                    others.iter().for_each(|other| network.block(&entry, other, on));
                })
                .await;
            }
        }
        Ok(())
    }
}

/// Turns something on, and off again a while later.
async fn for_a_while(turn: impl Fn(bool)) {
    turn(true);
    sleep(LASTS).await;
    turn(false);
}

fn cut(network: &Network, left: &Side, right: &Side, on: bool) {
    if on { network.cut(left, right) } else { network.heal(left, right) }
}

/// All sides but that of an agent, the platform's among them.
fn others(fleet: &Fleet, agent: usize) -> Vec<Side> {
    let own = &fleet.agents[agent].machine.side;
    let mut sides: Vec<_> = fleet.entries.iter().map(|entry| entry.machine.side.clone()).collect();
    sides.push(Side::Platform);
    sides.dedup();
    sides.retain(|side| side != own);
    sides
}

/// The machine that holds the planner's lease.
fn planner(fleet: &Fleet) -> Option<String> {
    let lease: Lease = serde_json::from_str(&fleet.platform.value(object::PLANNER)?).ok()?;
    Some(lease.holder.to_string())
}
