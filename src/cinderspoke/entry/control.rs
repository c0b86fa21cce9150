//! The control task of an entry instance: it owns the control state.
//!
//! Reads and writes run as tasks of their own and report back as events, so
//! that a slow platform never holds up heartbeats.

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

/// How many events may wait for the control task.
const QUEUE: usize = 4096;

/// How long a watch waits for news. Its connection may have gone silent for good, which
/// shows only when the answer is due: with [`WATCH_MARGIN`] that is after 12 s, and a
/// configuration has 16 s to be in force everywhere.
const WATCH_WAIT: Duration = Duration::from_secs(8);

/// How much later than its wait a watch may answer: platforms are slow at times.
const WATCH_MARGIN: Duration = Duration::from_secs(4);

/// How long to stay away from a platform that did not answer, at first.
const FIRST_BACKOFF: Duration = Duration::from_millis(100);

/// How long to stay away from a platform that did not answer, at most.
const LAST_BACKOFF: Duration = Duration::from_secs(5);

/// How often callers' old keys are forgotten.
const SWEEP: Duration = Duration::from_secs(3600);

/// How long the view may lag behind the state.
const PUBLISH_AFTER: Duration = Duration::from_millis(10);

/// What reaches the control task.
#[derive(Debug)]
pub enum Message {
    /// An event for the control state.
    Event(Event),
    /// Another entry instance asks what this one knows.
    Relay(RelayQuery, oneshot::Sender<RelayState>),
}

/// What the control task works with.
pub struct Parts {
    /// The platform's object API.
    pub store: Arc<dyn ObjectStore>,
    /// The platform's list of instances.
    pub live_list: Arc<dyn LiveList>,
    /// How other processes are reached.
    pub client: Client,
    /// Control addresses of the zone's other entry instances.
    pub peers: Vec<std::net::SocketAddr>,
    /// Where this entry instance stands.
    pub location: Location,
    /// Settings of the state.
    pub settings: Settings,
    /// Cancelled when the process stops.
    pub stop: CancellationToken,
}

/// The running control task, as the rest of the process sees it.
#[derive(Clone)]
pub struct Handle {
    messages: mpsc::Sender<Message>,
    view: Arc<ArcSwap<View>>,
    published: Signal,
}

impl Handle {
    /// Sends an event to the control state.
    pub async fn send(&self, event: Event) {
        // A send fails only when the process is stopping.
        let _ = self.messages.send(Message::Event(event)).await;
    }

    /// What this instance can tell another one; `None` while stopping.
    pub async fn relay(&self, query: RelayQuery) -> Option<RelayState> {
        let (sender, receiver) = oneshot::channel();
        self.messages.send(Message::Relay(query, sender)).await.ok()?;
        receiver.await.ok()
    }

    /// Tells of each new snapshot that has news for agents.
    #[must_use]
    pub fn published(&self) -> Receiver {
        self.published.subscribe()
    }

    /// The newest snapshot of the state.
    #[must_use]
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }
}

/// Starts the control task and the tasks that feed it, on the current runtime.
pub fn spawn(parts: Parts) -> Handle {
    let (messages, inbox) = mpsc::channel(QUEUE);
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
    tokio::spawn(stop::until(stop(), follow_list(Arc::clone(&parts), handle.clone())));
    tokio::spawn(stop::until(stop(), sweep_keys(Arc::clone(&parts), handle.clone())));
    for peer in parts.peers.clone() {
        tokio::spawn(stop::until(stop(), follow_peer(Arc::clone(&parts), handle.clone(), peer)));
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
            let mut stale = self.take(message);
            // Whatever else waits is taken in before the view is built once.
            sleep(if stale { PUBLISH_AFTER } else { Duration::ZERO }).await;
            while let Ok(message) = inbox.try_recv() {
                stale |= self.take(message);
            }
            if stale {
                self.publish();
            }
        }
    }

    /// Takes in a message; true when the view is stale now.
    fn take(&mut self, message: Message) -> bool {
        match message {
            Message::Event(event) => {
                let actions = self.coordinator.handle(event, self.clock.now());
                // Every action is carried out, whatever the ones before it gave.
                let stale: Vec<bool> = actions.into_iter().map(|action| self.act(action)).collect();
                stale.contains(&true)
            }
            Message::Relay(query, reply) => {
                // The asker may be gone; then nobody misses the answer.
                let _ = reply.send(self.coordinator.relay(&query));
                false
            }
        }
    }

    /// Carries out an action; true when the view is stale now.
    fn act(&self, action: Action) -> bool {
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
            // Generations stay far below what a float holds exactly.
            gauge!(GENERATION).set(generation.as_u64() as f64);
        }
        let news = view.has_updates_since(&self.handle.view());
        self.handle.view.store(Arc::new(view));
        if news {
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
        Err(error) => tracing::warn!(%error, "reading the configuration's files"),
    }
}

async fn read(parts: Arc<Parts>, handle: Handle, key: String) {
    match parts.store.read(&key).await {
        Ok(Some(object)) => handle.send(Event::Objects(vec![object])).await,
        Ok(None) => {}
        Err(error) => tracing::debug!(%error, key, "reading an object"),
    }
}

async fn write(parts: Arc<Parts>, handle: Handle, write: Write, clock: Clock) {
    let sent = clock.now();
    match parts.store.write(&write.key, write.value.clone(), write.expect).await {
        Ok(revision) => handle.send(Event::Written { write, revision, sent }).await,
        Err(error) => {
            tracing::debug!(%error, key = write.key, "writing an object");
            handle.send(Event::NotWritten(write)).await;
        }
    }
}

/// Follows the objects that every entry instance watches.
async fn watch(parts: Arc<Parts>, handle: Handle) {
    let mut after: Option<Revision> = None;
    let mut backoff = FIRST_BACKOFF;
    loop {
        let listing = match after {
            None => parts.store.list(object::WATCHED).await,
            Some(after) => {
                let watch = parts.store.watch(object::WATCHED, after, WATCH_WAIT);
                timeout(WATCH_WAIT + WATCH_MARGIN, watch)
                    .await
                    .unwrap_or_else(|_| Err(Error::Unavailable("silence".into())))
            }
        };
        match listing {
            Ok(listing) => {
                backoff = FIRST_BACKOFF;
                after = Some(listing.revision);
                if !listing.objects.is_empty() {
                    handle.send(Event::Objects(listing.objects)).await;
                }
            }
            Err(error) => {
                tracing::warn!(%error, "watching the platform");
                // What was missed meanwhile is read anew as a whole.
                after = None;
                sleep(backoff).await;
                backoff = (backoff * 2).min(LAST_BACKOFF);
            }
        }
    }
}

/// Follows the platform's list of instances.
async fn follow_list(parts: Arc<Parts>, handle: Handle) {
    let mut ticks = interval(parts.settings.heartbeat * 2);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        match parts.live_list.instances(&parts.settings.zone).await {
            Ok(listed) => {
                let leaving = listed.into_iter().filter(|listed| listed.state == State::Leaving);
                handle.send(Event::Leaving(leaving.map(|listed| listed.instance).collect())).await;
            }
            Err(error) => tracing::debug!(%error, "reading the list of instances"),
        }
    }
}

/// Forgets callers' old keys, while this instance is the planner.
async fn sweep_keys(parts: Arc<Parts>, handle: Handle) {
    let mut ticks = interval(SWEEP);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if handle.view().is_planner
            && let Err(error) = at_most_once::remove_expired(parts.store.as_ref()).await
        {
            tracing::warn!(%error, "forgetting old keys");
        }
    }
}

/// Asks another entry instance of the zone for what it knows.
async fn follow_peer(parts: Arc<Parts>, handle: Handle, peer: std::net::SocketAddr) {
    let client = rpc::Client::new(parts.client.clone(), peer);
    let mut ticks = interval(parts.settings.heartbeat);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let query = RelayQuery { generation: handle.view().generation() };
        match client.relay(&query).await {
            Ok(state) => handle.send(Event::Relay(state)).await,
            Err(error) => tracing::debug!(%peer, %error, "asking a peer"),
        }
    }
}
