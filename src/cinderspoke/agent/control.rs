//! The control task of an agent: it owns the instance's replicas.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use cinderspoke_core::replica::{Replicas, Serving, Step, Verdict};
use cinderspoke_schema::control::{
    Heartbeat, HeartbeatReply, Member, Peer, Phase, Replica, Roster, State, Weights,
};
use cinderspoke_types::counter::{Fence, Incarnation};
use cinderspoke_types::digest::Digest;
use cinderspoke_types::id::Service;
use futures::{StreamExt, stream};
use tokio::sync::{mpsc, watch};
use tokio::task::AbortHandle;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep, timeout};
use tokio_util::sync::CancellationToken;

use super::transfer::{self, Members};
use super::{Endpoint, Shared};
use crate::endpoint::{Error, LoadOrder};
use crate::ports::WeightStore;
use crate::util::{rpc, stop};

/// How many messages may wait for the control task.
const QUEUE: usize = 256;

/// How long to wait before an order that failed is given again.
const RETRY: Duration = Duration::from_millis(500);

/// The least time between two heartbeats.
const SPACING: Duration = Duration::from_millis(20);

/// How long an endpoint may take to say what it is busy with.
const LOAD_TIMEOUT: Duration = Duration::from_millis(200);

/// What the agent says of itself in every heartbeat.
#[derive(Debug, Clone)]
pub struct Identity {
    /// This instance, as peers reach it.
    pub peer: Peer,
    /// The start of this process.
    pub incarnation: Incarnation,
    /// What stands beside it.
    pub kind: cinderspoke_schema::control::Kind,
    /// The plain service that it is, if it is one.
    pub service: Option<Service>,
    /// The endpoint's room for weights.
    pub memory: cinderspoke_types::size::Bytes,
}

/// What the control task works with.
pub struct Parts {
    /// What the agent says of itself.
    pub identity: Identity,
    /// What the agent's tasks share.
    pub shared: Arc<Shared>,
    /// What transfers need.
    pub transfers: Arc<transfer::Context>,
    /// Where manifests come from.
    pub weight_store: Arc<dyn WeightStore>,
    /// Control addresses of the zone's entry instances.
    pub entries: Vec<std::net::SocketAddr>,
    /// How often to send a heartbeat.
    pub heartbeat: Duration,
    /// Cancelled when the instance is to take no more work.
    pub leaving: CancellationToken,
    /// Cancelled when the process stops.
    pub stop: CancellationToken,
}

/// What reaches the control task.
#[derive(Debug)]
enum Message {
    Reply(HeartbeatReply),
    Verified(Digest),
    NotVerified(Digest),
    Loaded(Digest),
    NotLoaded(Digest),
    Drained(Digest),
    Unloaded(Digest),
    NotUnloaded(Digest),
}

/// Starts the control task on the current runtime.
pub fn spawn(parts: Parts) {
    let (sender, inbox) = mpsc::channel(QUEUE);
    let stop = parts.stop.clone();
    let mut reports = Vec::new();
    for entry in &parts.entries {
        let client = rpc::Client::new(parts.transfers.client.clone(), *entry);
        let (report, receiver) = watch::channel(None);
        reports.push(report);
        let follow = follow_entry(*entry, client, receiver, sender.clone());
        tokio::spawn(stop::until(stop.clone(), follow));
    }
    let control = Control {
        replicas: Replicas::new(parts.identity.memory),
        roster: None,
        transfers: BTreeMap::new(),
        told: Vec::new(),
        sequence: 0,
        sender,
        reports,
        leaving_told: false,
        parts,
    };
    tokio::spawn(stop::until(stop, control.run(inbox)));
}

/// A transfer under way.
struct Running {
    members: watch::Sender<Members>,
    task: AbortHandle,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct Control {
    replicas: Replicas,
    roster: Option<Roster>,
    transfers: BTreeMap<Digest, Running>,
    // The phases of which entry instances have been told.
    told: Vec<(Service, Phase, Option<Digest>)>,
    sequence: u64,
    sender: mpsc::Sender<Message>,
    // The newest report, for each entry instance.
    reports: Vec<watch::Sender<Option<Heartbeat>>>,
    leaving_told: bool,
    parts: Parts,
}

impl Control {
    async fn run(mut self, mut inbox: mpsc::Receiver<Message>) {
        self.take_inventory().await;
        let mut ticks = interval(self.parts.heartbeat);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let leaving = self.parts.leaving.clone();
        loop {
            tokio::select! {
                biased;
                _ = ticks.tick() => self.tell().await,
                () = leaving.cancelled(), if !self.leaving_told => self.tell().await,
                Some(message) = inbox.recv() => {
                    let changed = self.take(message);
                    if changed {
                        self.tell().await;
                    }
                }
            }
        }
    }

    /// Learns what the engine has loaded: it may have outlived a former agent.
    async fn take_inventory(&mut self) {
        let Endpoint::Model(engine) = &self.parts.shared.endpoint else { return };
        loop {
            match engine.inventory().await {
                Ok(inventory) => {
                    inventory
                        .loaded
                        .into_values()
                        .for_each(|weights| self.replicas.restore_loaded(weights));
                    return;
                }
                Err(error) => tracing::warn!(%error, "asking the engine what it holds"),
            }
            sleep(RETRY).await;
        }
    }

    /// Takes in a message; true when entry instances should learn of it at once.
    fn take(&mut self, message: Message) -> bool {
        match message {
            Message::Reply(reply) => self.on_reply(reply),
            Message::Verified(manifest) => {
                self.transfers.remove(&manifest);
                self.replicas.record_verified(manifest);
            }
            Message::NotVerified(manifest) => {
                self.transfers.remove(&manifest);
                self.parts.shared.cache.remove_version(manifest);
                self.replicas.record_fetch_failure(manifest);
            }
            Message::Loaded(manifest) => {
                self.parts.shared.cache.mark_evictable(manifest);
                self.replicas.record_loaded(manifest);
            }
            Message::NotLoaded(manifest) => self.replicas.record_load_failure(manifest),
            Message::Drained(manifest) => self.replicas.record_drained(manifest),
            Message::Unloaded(manifest) => {
                self.parts.shared.cache.remove_version(manifest);
                self.replicas.record_unloaded(manifest);
            }
            Message::NotUnloaded(manifest) => self.replicas.record_unload_failure(manifest),
        }
        let steps = self.replicas.steps();
        self.show_serving();
        let phases = self.phases();
        steps.into_iter().for_each(|step| self.act(step));
        let changed = phases != self.told;
        self.told = phases;
        changed
    }

    /// The replicas' phases, without the progress within them.
    fn phases(&self) -> Vec<(Service, Phase, Option<Digest>)> {
        let phases = self.replicas.phases();
        let manifest = |weights: Option<&Weights>| weights.map(|weights| weights.manifest);
        phases
            .map(|(service, phase, weights)| (service.clone(), phase, manifest(weights)))
            .collect()
    }

    fn on_reply(&mut self, reply: HeartbeatReply) {
        // An entry instance that knows no plan yet has nothing to say.
        if reply.fence == Fence::default() {
            return;
        }
        if self.replicas.apply_orders(reply.fence, &reply.orders) == Verdict::Stale {
            return;
        }
        if let Some(roster) = reply.roster {
            for (manifest, running) in &self.transfers {
                running.members.send_if_modified(|members| {
                    let new = self.members_of(&roster, *manifest);
                    let changed = *members != new;
                    *members = new;
                    changed
                });
            }
            self.roster = Some(roster);
        }
    }

    fn members_of(&self, roster: &Roster, manifest: Digest) -> Members {
        let swarm = roster.swarms.iter().find(|swarm| swarm.manifest == manifest);
        Members {
            own: self.parts.identity.peer.clone(),
            peers: swarm.map(|swarm| swarm.peers.clone()).unwrap_or_default(),
            origin_weight: roster.origin_weight,
        }
    }

    /// Sets what requests are answered with, before anything is drained.
    fn show_serving(&self) {
        let services: BTreeMap<Service, Serving> = self
            .replicas
            .phases()
            .map(|(service, ..)| (service.clone(), self.replicas.serving(service)))
            .collect();
        self.parts.shared.serving.set(services);
    }

    fn act(&mut self, step: Step) {
        match step {
            Step::Fetch(weights) => self.fetch(&weights),
            Step::Abandon(manifest) => {
                self.transfers.remove(&manifest);
                self.parts.shared.cache.remove_version(manifest);
            }
            Step::Load { weights, fence } => {
                let manifest = weights.manifest;
                let load = load(Arc::clone(&self.parts.shared), weights, fence);
                self.order("load", load, Message::Loaded(manifest), Message::NotLoaded(manifest));
            }
            Step::Drain(manifest) => {
                let (shared, sender) = (Arc::clone(&self.parts.shared), self.sender.clone());
                self.spawn(async move {
                    shared.serving.wait_unused(manifest).await;
                    let _ = sender.send(Message::Drained(manifest)).await;
                });
            }
            Step::Unload { manifest, fence } => {
                let shared = Arc::clone(&self.parts.shared);
                let unload = async move { shared.engine()?.unload(manifest, fence).await };
                self.order(
                    "unload",
                    unload,
                    Message::Unloaded(manifest),
                    Message::NotUnloaded(manifest),
                );
            }
        }
    }

    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        tokio::spawn(stop::until(self.parts.stop.clone(), task));
    }

    /// Gives the engine an order, and reports what became of it.
    fn order(
        &self,
        what: &'static str,
        order: impl Future<Output = Result<(), Error>> + Send + 'static,
        done: Message,
        failed: Message,
    ) {
        let sender = self.sender.clone();
        self.spawn(async move {
            let message = match order.await {
                Ok(()) => done,
                Err(error) => {
                    tracing::warn!(%error, order = what, "the engine did not carry out an order");
                    sleep(RETRY).await;
                    failed
                }
            };
            let _ = sender.send(message).await;
        });
    }

    fn fetch(&mut self, weights: &Weights) {
        let manifest = weights.manifest;
        let empty = Roster { revision: 0, origin_weight: 1.0, swarms: Vec::new() };
        let members = self.members_of(self.roster.as_ref().unwrap_or(&empty), manifest);
        let (members, receiver) = watch::channel(members);
        let (context, sender) = (Arc::clone(&self.parts.transfers), self.sender.clone());
        let store = Arc::clone(&self.parts.weight_store);
        let task = tokio::spawn(async move {
            let message = match transfer::run(context, store, manifest, receiver).await {
                Ok(verified) => Message::Verified(verified.manifest().digest()),
                Err(error) => {
                    tracing::warn!(error = format!("{error:#}"), "weights were not verified");
                    sleep(RETRY).await;
                    Message::NotVerified(manifest)
                }
            };
            let _ = sender.send(message).await;
        });
        let task = task.abort_handle();
        self.transfers.insert(manifest, Running { members, task });
    }

    /// Tells the entry instances how things stand.
    async fn tell(&mut self) {
        self.sequence += 1;
        let heartbeat = Heartbeat {
            member: self.member().await,
            sequence: self.sequence,
            roster: self.roster.as_ref().map_or(0, |roster| roster.revision),
        };
        self.leaving_told = heartbeat.member.state == State::Leaving;
        for report in &self.reports {
            report.send_replace(Some(heartbeat.clone()));
        }
    }

    async fn member(&self) -> Member {
        let Identity { peer, incarnation, kind, service, memory } = self.parts.identity.clone();
        let leaving = self.parts.leaving.is_cancelled();
        Member {
            instance: peer.instance,
            zone: peer.zone,
            region: peer.region,
            address: peer.address,
            incarnation,
            kind,
            service,
            memory,
            state: if leaving { State::Leaving } else { State::Ready },
            fence: self.replicas.fence(),
            replicas: self.replicas.phases().map(|phase| self.replica(phase)).collect(),
            load: self.load().await,
        }
    }

    fn replica(&self, (service, phase, weights): (&Service, Phase, Option<&Weights>)) -> Replica {
        let progress =
            weights.and_then(|weights| self.parts.shared.cache.progress(weights.manifest));
        let (held, total) = progress.unwrap_or_default();
        let count = |length: usize| u32::try_from(length).unwrap_or(u32::MAX);
        Replica {
            service: service.clone(),
            phase,
            weights: weights.cloned(),
            chunks_held: count(held),
            chunks_total: count(total),
        }
    }

    /// What the endpoint is busy with; its own word where it gives one in time.
    async fn load(&self) -> Option<cinderspoke_schema::control::Load> {
        let running = self.parts.shared.serving.in_progress();
        let own = cinderspoke_schema::control::Load { running, queued: 0 };
        let Endpoint::Model(engine) = &self.parts.shared.endpoint else { return Some(own) };
        match timeout(LOAD_TIMEOUT, engine.load_report()).await {
            Ok(Ok(load)) => Some(load),
            _ => Some(own),
        }
    }
}

/// Orders the engine to load verified weights, chunk by chunk.
async fn load(shared: Arc<Shared>, weights: Weights, fence: Fence) -> Result<(), Error> {
    let whole = shared.cache.all_chunks(weights.manifest);
    let chunks = whole.ok_or_else(|| Error::NotRun("chunks were dropped before loading".into()))?;
    let bytes = stream::iter(chunks.into_iter().map(Ok)).boxed();
    shared.engine()?.load(LoadOrder { weights, fence, bytes }).await
}

/// Waits until there is a report that has not been sent.
async fn newer(report: &watch::Receiver<Option<Heartbeat>>) {
    // Fails only when the control task has ended.
    let _ = report.clone().changed().await;
}

/// Sends every report to one entry instance, and its answers to the control task.
async fn follow_entry(
    entry: std::net::SocketAddr,
    client: rpc::Client,
    mut report: watch::Receiver<Option<Heartbeat>>,
    sender: mpsc::Sender<Message>,
) {
    while report.changed().await.is_ok() {
        let started = Instant::now();
        let Some(heartbeat) = report.borrow_and_update().clone() else { continue };
        tokio::select! {
            biased;
            reply = client.heartbeat(&heartbeat) => match reply {
                Ok(reply) => {
                    let _ = sender.send(Message::Reply(reply)).await;
                }
                Err(error) => tracing::debug!(%entry, %error, "heartbeat"),
            },
            // A newer report takes the place of one whose answer still waits for news.
            _ = newer(&report) => {}
        }
        sleep(SPACING.saturating_sub(started.elapsed())).await;
    }
}
