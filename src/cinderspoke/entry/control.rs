//! The control task of an entry instance, which owns the [`Coordinator`].
//!
//! The task passes events to the coordinator, executes the actions that it returns, and publishes a
//! [`View`] for the other tasks. Reads and writes run in separate tasks and report back as events,
//! so that a slow platform does not delay heartbeats.

use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use arc_swap::ArcSwap;
use cinderspoke_core::coordinator::{Action, Coordinator, Event, Settings, Write};
use cinderspoke_core::object;
use cinderspoke_schema::control::{Part, RelayQuery, RelayState, Root, State};
use cinderspoke_types::counter::Revision;
use futures::future::try_join_all;
use metrics::gauge;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};
use tokio_util::sync::CancellationToken;

use super::at_most_once;
use super::view::{InFlight, Location, View};
use crate::ports::{Error, LiveList, ObjectStore};
use crate::util::clock::Clock;
use crate::util::http::Client;
use crate::util::metrics::GENERATION;
use crate::util::signal::{Receiver, Signal};
use crate::util::{rpc, stop};

/// Capacity of the queue of messages to the control task.
const QUEUE_CAPACITY: usize = 4096;

/// How long the platform may hold a watch request that has no changes to report. A dead connection
/// is detected only when the answer is overdue: with [`WATCH_MARGIN`] after 12 s, and a
/// configuration has to be in force everywhere within 16 s.
const WATCH_WAIT: Duration = Duration::from_secs(8);

/// Extra time for the answer to a watch beyond [`WATCH_WAIT`], since platforms are slow at times.
const WATCH_MARGIN: Duration = Duration::from_secs(4);

/// Delay before the first retry after the platform did not answer; doubles with each failure.
const MIN_BACKOFF: Duration = Duration::from_millis(100);

/// Upper bound on the delay before a retry.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Interval at which callers' expired keys are removed.
const KEY_SWEEP_INTERVAL: Duration = Duration::from_secs(3600);

/// Upper bound on the delay between a change of the state and the next view. Changes within this
/// time are published together.
const PUBLISH_DELAY: Duration = Duration::from_millis(10);

/// A message to the control task.
#[derive(Debug)]
pub enum Message {
    /// An event for the coordinator.
    Event(Event),
    /// A query by another entry instance for the state of this one.
    Relay(RelayQuery, oneshot::Sender<RelayState>),
}

/// The dependencies and settings of the control task.
pub struct Parts {
    /// The platform's object API.
    pub store: Arc<dyn ObjectStore>,
    /// The platform's list of instances.
    pub live_list: Arc<dyn LiveList>,
    /// The HTTP client for calls to other processes.
    pub client: Client,
    /// Control addresses of the other entry instances of the availability zone.
    pub peers: Vec<std::net::SocketAddr>,
    /// The zone and region of this entry instance.
    pub location: Location,
    /// Settings of the coordinator.
    pub settings: Settings,
    /// Cancelled when the process stops; ends all tasks.
    pub stop: CancellationToken,
}

/// A handle to the control task for the rest of the process.
#[derive(Clone)]
pub struct Handle {
    messages: mpsc::Sender<Message>,
    view: Arc<ArcSwap<View>>,
    published: Signal,
}

impl Handle {
    /// Sends an event to the coordinator.
    pub async fn send(&self, event: Event) {
        // A send fails only while the process is stopping.
        let _ = self.messages.send(Message::Event(event)).await;
    }

    /// Answers a query of another entry instance; `None` while the process is stopping.
    pub async fn relay(&self, query: RelayQuery) -> Option<RelayState> {
        let (sender, receiver) = oneshot::channel();
        self.messages.send(Message::Relay(query, sender)).await.ok()?;
        receiver.await.ok()
    }

    /// Returns a receiver that is notified of each new view with updates for agents.
    #[must_use]
    pub fn published(&self) -> Receiver {
        self.published.subscribe()
    }

    /// Returns the latest view of the state.
    #[must_use]
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }
}

/// Starts the control task and the tasks that feed it, on the current runtime.
pub fn spawn(parts: Parts) -> Handle {
    let (messages, inbox) = mpsc::channel(QUEUE_CAPACITY);
    let view = Arc::new(ArcSwap::from_pointee(View::default()));
    let published = Signal::default();
    let handle = Handle { messages, view, published };
    let parts = Arc::new(parts);
    let control = Control {
        coordinator: Coordinator::new(parts.settings.clone()),
        in_flight: InFlight::default(),
        clock: Clock::start(),
        handle: handle.clone(),
        parts: Arc::clone(&parts),
    };
    let stop = || parts.stop.clone();
    tokio::spawn(stop::until(stop(), control.run(inbox)));
    tokio::spawn(stop::until(stop(), watch(Arc::clone(&parts), handle.clone())));
    tokio::spawn(stop::until(stop(), poll_instances(Arc::clone(&parts), handle.clone())));
    tokio::spawn(stop::until(stop(), sweep_keys(Arc::clone(&parts), handle.clone())));
    for peer in parts.peers.clone() {
        tokio::spawn(stop::until(stop(), poll_peer(Arc::clone(&parts), handle.clone(), peer)));
    }
    handle
}

struct Control {
    coordinator: Coordinator,
    in_flight: InFlight,
    clock: Clock,
    handle: Handle,
    parts: Arc<Parts>,
}

impl Control {
    async fn run(mut self, mut inbox: mpsc::Receiver<Message>) {
        let mut ticks = interval(self.parts.settings.heartbeat / 2);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let message = tokio::select! {
                biased;
                _ = ticks.tick() => Some(Message::Event(Event::Tick)),
                message = inbox.recv() => message,
            };
            let Some(message) = message else { return };
            let mut stale = self.handle(message);
            // Messages that arrive meanwhile are handled too, so that the view is rebuilt only
            // once.
            sleep(if stale { PUBLISH_DELAY } else { Duration::ZERO }).await;
            while let Ok(message) = inbox.try_recv() {
                stale |= self.handle(message);
            }
            if stale {
                self.publish();
            }
        }
    }

    /// Handles a message; returns whether the view is stale.
    fn handle(&mut self, message: Message) -> bool {
        match message {
            Message::Event(event) => {
                let actions = self.coordinator.handle(event, self.clock.now());
                // Collected first, since `any` would skip the actions after the first stale one.
                let stale: Vec<bool> =
                    actions.into_iter().map(|action| self.execute(action)).collect();
                stale.contains(&true)
            }
            Message::Relay(query, reply) => {
                // The send fails if the caller no longer waits, which is harmless.
                let _ = reply.send(self.coordinator.relay(&query));
                false
            }
        }
    }

    /// Executes an action; returns whether the view is stale.
    fn execute(&self, action: Action) -> bool {
        let (parts, handle) = (Arc::clone(&self.parts), self.handle.clone());
        match action {
            Action::Publish => return true,
            Action::ReadParts(root) => {
                spawn_until_stop(&self.parts, read_parts(parts, handle, root))
            }
            Action::Read(key) => spawn_until_stop(&self.parts, read(parts, handle, key)),
            Action::Write(write) => {
                spawn_until_stop(&self.parts, self::write(parts, handle, write, self.clock));
            }
        }
        false
    }

    fn publish(&mut self) {
        let now = self.clock.now();
        let view = View::new(&self.coordinator, &self.parts.location, &mut self.in_flight, now);
        let generation = view.generation();
        if generation > self.handle.view().generation() {
            tracing::info!(%generation, "configuration in force");
            // Generations stay far below 2^53, so the conversion is exact.
            gauge!(GENERATION).set(generation.as_u64() as f64);
        }
        let has_updates = view.has_updates_since(&self.handle.view());
        self.handle.view.store(Arc::new(view));
        if has_updates {
            self.handle.published.raise();
        }
    }
}

fn spawn_until_stop(parts: &Parts, task: impl Future<Output = ()> + Send + 'static) {
    tokio::spawn(stop::until(parts.stop.clone(), task));
}

async fn read_parts(parts: Arc<Parts>, handle: Handle, root: Root) {
    let files = root.parts.iter().map(|reference| {
        let parts = Arc::clone(&parts);
        async move {
            let object = parts.store.read(&object::part(reference.digest)).await?;
            let text = object.and_then(|object| object.value).ok_or(Error::NotFound)?;
            Ok(Part { name: reference.name.clone(), text })
        }
    });
    let files: Result<Vec<_>, Error> = try_join_all(files).await;
    match files {
        Ok(files) => handle.send(Event::Parts(root, files)).await,
        Err(error) => tracing::warn!(%error, "failed to read the files of a configuration"),
    }
}

async fn read(parts: Arc<Parts>, handle: Handle, key: String) {
    match parts.store.read(&key).await {
        Ok(Some(object)) => handle.send(Event::Objects(vec![object])).await,
        Ok(None) => {}
        Err(error) => tracing::debug!(%error, key, "failed to read an object"),
    }
}

async fn write(parts: Arc<Parts>, handle: Handle, write: Write, clock: Clock) {
    let sent = clock.now();
    match parts.store.write(&write.key, write.value.clone(), write.expect).await {
        Ok(revision) => handle.send(Event::Written { write, revision, sent }).await,
        Err(error) => {
            tracing::debug!(%error, key = write.key, "failed to write an object");
            handle.send(Event::NotWritten(write)).await;
        }
    }
}

/// Watches the objects of the platform that every entry instance needs, and sends changes as
/// events.
async fn watch(parts: Arc<Parts>, handle: Handle) {
    let mut after: Option<Revision> = None;
    let mut backoff = MIN_BACKOFF;
    loop {
        let listing = match after {
            None => parts.store.list(object::WATCHED).await,
            Some(after) => {
                let watch = parts.store.watch(object::WATCHED, after, WATCH_WAIT);
                timeout(WATCH_WAIT + WATCH_MARGIN, watch)
                    .await
                    .unwrap_or_else(|_| Err(Error::Unavailable("no answer in time".into())))
            }
        };
        match listing {
            Ok(listing) => {
                backoff = MIN_BACKOFF;
                after = Some(listing.revision);
                if !listing.objects.is_empty() {
                    handle.send(Event::Objects(listing.objects)).await;
                }
            }
            Err(error) => {
                tracing::warn!(%error, "failed to watch the platform");
                // Changes may have been missed, so the next request reads the whole list.
                after = None;
                sleep(backoff).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
}

/// Polls the platform's list of instances for those that are draining.
async fn poll_instances(parts: Arc<Parts>, handle: Handle) {
    let mut ticks = interval(parts.settings.heartbeat * 2);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        match parts.live_list.instances(&parts.settings.zone).await {
            Ok(listed) => {
                let leaving = listed.into_iter().filter(|listed| listed.state == State::Leaving);
                handle.send(Event::Leaving(leaving.map(|listed| listed.instance).collect())).await;
            }
            Err(error) => tracing::debug!(%error, "failed to read the list of instances"),
        }
    }
}

/// Removes callers' expired keys periodically while this instance is the planner.
async fn sweep_keys(parts: Arc<Parts>, handle: Handle) {
    let mut ticks = interval(KEY_SWEEP_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if handle.view().is_planner
            && let Err(error) = at_most_once::remove_expired(parts.store.as_ref()).await
        {
            tracing::warn!(%error, "failed to remove expired keys");
        }
    }
}

/// Polls the state of another entry instance of the availability zone.
async fn poll_peer(parts: Arc<Parts>, handle: Handle, peer: std::net::SocketAddr) {
    let client = rpc::Client::new(parts.client.clone(), peer);
    let mut ticks = interval(parts.settings.heartbeat);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let query = RelayQuery { generation: handle.view().generation() };
        match client.relay(&query).await {
            Ok(state) => handle.send(Event::Relay(state)).await,
            Err(error) => tracing::debug!(%peer, %error, "failed to query a peer"),
        }
    }
}
