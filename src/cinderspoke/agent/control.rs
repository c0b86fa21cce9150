//! The control task of an agent: owns the instance's replicas, executes the orders of entry
//! instances, and reports to them in heartbeats.

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

/// The capacity of the control task's message queue.
const QUEUE_CAPACITY: usize = 256;

/// Delay before a failed order is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// The minimum time between two heartbeats to an entry instance.
const MIN_HEARTBEAT_SPACING: Duration = Duration::from_millis(20);

/// Timeout for the endpoint's load report.
const LOAD_TIMEOUT: Duration = Duration::from_millis(200);

/// The agent's identity, sent in every heartbeat.
#[derive(Debug, Clone)]
pub struct Identity {
    /// This instance, with the address at which peers reach it.
    pub peer: Peer,
    /// Identifies this run of the process.
    pub incarnation: Incarnation,
    /// The kind of the endpoint.
    pub kind: cinderspoke_schema::control::Kind,
    /// The service that the endpoint serves, if it is a plain service.
    pub service: Option<Service>,
    /// The endpoint's memory for weights.
    pub memory: cinderspoke_types::size::Bytes,
}

/// The dependencies of the control task.
pub struct Parts {
    /// The agent's identity.
    pub identity: Identity,
    /// The state that the agent's tasks share.
    pub shared: Arc<Shared>,
    /// The context of transfers.
    pub transfers: Arc<transfer::Context>,
    /// The store of manifests.
    pub weight_store: Arc<dyn WeightStore>,
    /// Control addresses of the availability zone's entry instances.
    pub entries: Vec<std::net::SocketAddr>,
    /// The interval between heartbeats.
    pub heartbeat: Duration,
    /// Cancelled when the instance starts to drain.
    pub draining: CancellationToken,
    /// Cancelled when the process stops.
    pub stop: CancellationToken,
}

/// A message to the control task.
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
    let (sender, inbox) = mpsc::channel(QUEUE_CAPACITY);
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
        reported_phases: Vec::new(),
        sequence: 0,
        sender,
        reports,
        draining_reported: false,
        parts,
    };
    tokio::spawn(stop::until(stop, control.run(inbox)));
}

/// A transfer in progress; dropping it aborts the transfer.
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
    // The phases in the last report to entry instances.
    reported_phases: Vec<(Service, Phase, Option<Digest>)>,
    sequence: u64,
    sender: mpsc::Sender<Message>,
    // The newest heartbeat, one channel per entry instance.
    reports: Vec<watch::Sender<Option<Heartbeat>>>,
    draining_reported: bool,
    parts: Parts,
}

impl Control {
    async fn run(mut self, mut inbox: mpsc::Receiver<Message>) {
        self.take_inventory().await;
        let mut ticks = interval(self.parts.heartbeat);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let draining = self.parts.draining.clone();
        loop {
            tokio::select! {
                biased;
                _ = ticks.tick() => self.report().await,
                () = draining.cancelled(), if !self.draining_reported => self.report().await,
                Some(message) = inbox.recv() => {
                    let changed = self.handle(message);
                    if changed {
                        self.report().await;
                    }
                }
            }
        }
    }

    /// Reads which weights the engine has loaded already: the engine may have been running before
    /// this process started.
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
                Err(error) => tracing::warn!(%error, "failed to read the engine's inventory"),
            }
            sleep(RETRY_DELAY).await;
        }
    }

    /// Handles a message, and returns whether the replicas' phases have changed, which is reported
    /// to entry instances at once.
    fn handle(&mut self, message: Message) -> bool {
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
        self.update_serving();
        let phases = self.phases();
        steps.into_iter().for_each(|step| self.execute(step));
        let changed = phases != self.reported_phases;
        self.reported_phases = phases;
        changed
    }

    /// The replicas' phases, without the progress of transfers.
    fn phases(&self) -> Vec<(Service, Phase, Option<Digest>)> {
        let phases = self.replicas.phases();
        let manifest = |weights: Option<&Weights>| weights.map(|weights| weights.manifest);
        phases
            .map(|(service, phase, weights)| (service.clone(), phase, manifest(weights)))
            .collect()
    }

    fn on_reply(&mut self, reply: HeartbeatReply) {
        // The reply of an entry instance that knows no plan yet contains no orders.
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

    /// Sets the weights that requests are answered with, before any weights are drained.
    fn update_serving(&self) {
        let services: BTreeMap<Service, Serving> = self
            .replicas
            .phases()
            .map(|(service, ..)| (service.clone(), self.replicas.serving(service)))
            .collect();
        self.parts.shared.serving.set(services);
    }

    fn execute(&mut self, step: Step) {
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

    /// Runs an order to the engine in a task, and sends its result to the control task.
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
                    sleep(RETRY_DELAY).await;
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
                    sleep(RETRY_DELAY).await;
                    Message::NotVerified(manifest)
                }
            };
            let _ = sender.send(message).await;
        });
        let task = task.abort_handle();
        self.transfers.insert(manifest, Running { members, task });
    }

    /// Queues a new heartbeat for all entry instances.
    async fn report(&mut self) {
        self.sequence += 1;
        let heartbeat = Heartbeat {
            member: self.member().await,
            sequence: self.sequence,
            roster: self.roster.as_ref().map_or(0, |roster| roster.revision),
        };
        self.draining_reported = heartbeat.member.state == State::Leaving;
        for report in &self.reports {
            report.send_replace(Some(heartbeat.clone()));
        }
    }

    async fn member(&self) -> Member {
        let Identity { peer, incarnation, kind, service, memory } = self.parts.identity.clone();
        let is_draining = self.parts.draining.is_cancelled();
        Member {
            instance: peer.instance,
            zone: peer.zone,
            region: peer.region,
            address: peer.address,
            incarnation,
            kind,
            service,
            memory,
            state: if is_draining { State::Leaving } else { State::Ready },
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

    /// The endpoint's load: the engine's report if it answers in time, else the number of requests
    /// that this agent has in progress.
    async fn load(&self) -> Option<cinderspoke_schema::control::Load> {
        let running = self.parts.shared.serving.in_progress();
        let counted = cinderspoke_schema::control::Load { running, queued: 0 };
        let Endpoint::Model(engine) = &self.parts.shared.endpoint else { return Some(counted) };
        match timeout(LOAD_TIMEOUT, engine.load_report()).await {
            Ok(Ok(load)) => Some(load),
            _ => Some(counted),
        }
    }
}

/// Orders the engine to load verified weights, and streams their chunks to it.
async fn load(shared: Arc<Shared>, weights: Weights, fence: Fence) -> Result<(), Error> {
    let chunks = shared.cache.all_chunks(weights.manifest);
    let chunks =
        chunks.ok_or_else(|| Error::NotRun("chunks were evicted before loading".into()))?;
    let bytes = stream::iter(chunks.into_iter().map(Ok)).boxed();
    shared.engine()?.load(LoadOrder { weights, fence, bytes }).await
}

/// Waits until there is a newer heartbeat than the one received last.
async fn newer(report: &watch::Receiver<Option<Heartbeat>>) {
    // Fails only when the control task has ended.
    let _ = report.clone().changed().await;
}

/// Sends each heartbeat to one entry instance, and its replies to the control task.
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
            // A newer heartbeat replaces one whose reply the entry instance still holds back
            // until there is something to send.
            _ = newer(&report) => {}
        }
        sleep(MIN_HEARTBEAT_SPACING.saturating_sub(started.elapsed())).await;
    }
}
