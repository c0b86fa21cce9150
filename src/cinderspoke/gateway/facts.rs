//! Asking another gateway for facts that it has and this one lacks, and telling them.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, MutexGuard, PoisonError};
use std::time::Duration;

use anyhow::{Context, Result};
use axum::extract::{Query, State};
use bytes::Bytes;
use cinderspoke_core::gateway::difference::{ApplyError, Hash};
use cinderspoke_core::gateway::fact::Revision;
use cinderspoke_core::gateway::region::{Role, Step};
use serde::Deserialize;
use tokio::time::sleep;

use super::draw;
use super::message::{Facts, Summary, pack};
use super::relay::Relay;
use crate::util::http::{Call, Progress};

/// How long the store's own word on the list of endpoints is waited for before another
/// gateway is asked: its news of endpoints gather a while.
const OWN_LIST: Duration = Duration::from_millis(560);

/// How long a gateway of another region may take to begin to tell what it knows, and pause
/// in it: a configuration with thousands of routes takes seconds over a link that weights
/// share.
const FAR_PAUSE: Duration = Duration::from_millis(1200);

/// The same of a gateway of the own region; after it, another one is asked.
const NEAR_PAUSE: Duration = Duration::from_millis(500);

/// How long it may take on the whole: another one may have a link that is clear.
const TIMEOUT: Duration = Duration::from_secs(3);

/// How long to wait at most until it is looked anew who has a configuration: a gateway of
/// the own region may have it by then.
const LOOK: Duration = Duration::from_millis(50);

/// How long a gateway that does not read the list waits at most before it asks one of its
/// region for a newer one, so that not all ask at the same moment.
const NEAR_LIST: Duration = Duration::from_millis(80);

/// How long it waits for one of its region before it asks one of another.
const FAR_LIST: Duration = Duration::from_millis(500);

/// How often it is looked whether that time is over.
const LOOK_AT_LIST: Duration = Duration::from_millis(20);

/// A newer list of endpoints, and who has it.
pub(super) struct Awaited {
    from: SocketAddr,
    known: Summary,
    is_near: bool,
    // When it is asked for, by the gateway's clock.
    due: Duration,
}

impl Relay {
    /// Gets a newer configuration from another gateway, unless that is under way.
    pub(super) fn fetch_configuration(self: &Arc<Self>) {
        if self.awaiting_configuration.swap(true, Ordering::SeqCst) {
            return;
        }
        let relay = Arc::clone(self);
        tokio::spawn(async move {
            loop {
                relay.fetch_from_others().await;
                relay.awaiting_configuration.store(false, Ordering::SeqCst);
                // What was told just before that began no other draw.
                let is_done = relay.state.next_fetch_step(0.0) == Step::Idle;
                if is_done || relay.awaiting_configuration.swap(true, Ordering::SeqCst) {
                    return;
                }
            }
        });
    }

    /// Asks one gateway after the other until none is known that has a newer configuration.
    async fn fetch_from_others(&self) {
        loop {
            let (gateway, pause) = match self.state.next_fetch_step(rand::random()) {
                Step::FetchNear(gateway) => (gateway, NEAR_PAUSE),
                Step::FetchFar(gateway) => (gateway, FAR_PAUSE),
                Step::Wait(time) => {
                    sleep(time.min(LOOK)).await;
                    continue;
                }
                Step::Idle => return,
            };
            self.state.record_fetch_attempt(gateway);
            if self.state.role() == Role::Reader {
                // The store's own word should be here by now.
                self.state.request_resync();
            }
            if let Err(error) = self.fetch(gateway, pause).await {
                tracing::debug!(%gateway, error = format!("{error:#}"), "fetching facts from a gateway failed");
            }
        }
    }

    /// Asks a gateway for a newer list of endpoints, unless that comes by itself in time or
    /// is waited for already; one of the own region goes before one of another.
    pub(super) fn fetch_list(self: &Arc<Self>, from: SocketAddr, known: &Summary) {
        let is_near = self.state.is_neighbour(from);
        let due = self.state.clock().now() + self.list_patience(is_near);
        let mut awaited = self.awaited_list();
        if let Some(awaited) = &mut *awaited {
            if is_near && !awaited.is_near {
                *awaited = Awaited { from, known: known.clone(), is_near, due };
            }
            return;
        }
        *awaited = Some(Awaited { from, known: known.clone(), is_near, due });
        drop(awaited);
        let relay = Arc::clone(self);
        tokio::spawn(async move { relay.fetch_awaited().await });
    }

    fn awaited_list(&self) -> MutexGuard<'_, Option<Awaited>> {
        self.awaited_list.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// How long the list of endpoints is waited for before a gateway is asked for it.
    fn list_patience(&self, is_near: bool) -> Duration {
        match self.state.role() {
            Role::Reader => OWN_LIST,
            Role::Follower if is_near => NEAR_LIST.mul_f64(rand::random()),
            Role::Follower => FAR_LIST,
        }
    }

    /// Whether the time to ask for the newer list is yet to come.
    fn is_list_awaited(&self) -> bool {
        let now = self.state.clock().now();
        self.awaited_list().as_ref().is_some_and(|awaited| awaited.due > now)
    }

    /// Asks the gateway from which a newer list is awaited, once its time has come.
    async fn fetch_awaited(self: &Arc<Self>) {
        while self.is_list_awaited() {
            sleep(LOOK_AT_LIST).await;
        }
        let awaited = self.awaited_list().take();
        let Some(Awaited { from, known, is_near, .. }) = awaited else { return };
        if !knows_more(&known, &self.state.summary()) {
            return;
        }
        if self.state.role() == Role::Reader {
            self.state.request_resync();
        }
        let pause = if is_near { NEAR_PAUSE } else { FAR_PAUSE };
        if let Err(error) = self.fetch(from, pause).await {
            tracing::debug!(%from, error = format!("{error:#}"), "fetching facts from a gateway failed");
        }
    }

    /// Asks a gateway for what it knows more; for the whole configuration where what differs
    /// does not fit.
    async fn fetch(&self, from: SocketAddr, pause: Duration) -> Result<()> {
        let (_, held) = self.state.configuration_identity();
        let facts = self.ask(from, pause, held).await?;
        if let Err(misfit) = self.take_in(facts) {
            tracing::warn!(%from, %misfit, "a configuration difference cannot be applied");
            self.take_in(self.ask(from, pause, Hash::default()).await?)?;
        }
        Ok(())
    }

    /// Asks a gateway for what it knows more, with the hash of the configuration by which it
    /// may tell the newer one.
    async fn ask(&self, from: SocketAddr, pause: Duration, held: Hash) -> Result<Facts> {
        let known = self.state.summary();
        let path = format!(
            "/v1/facts?configuration={}&configuration_hash={}&directory={}&directory_hash={}",
            known.configuration, held.0, known.directory.0, known.directory_hash,
        );
        let progress = Progress::default();
        let call = Call::get(from, path).alone().pause(pause).timeout(TIMEOUT);
        let answer = self.client.fetch(call.progress(&progress)).await?;
        let facts: Facts = postcard::from_bytes(&answer).context("reading facts")?;
        if let Some(configuration) = &facts.configuration {
            let version = configuration.value.version();
            draw::came("gateway", &from.to_string(), version, &progress);
        }
        self.meet(facts.gateways.clone()).await;
        self.state.merge_suspects(&facts.suspects);
        Ok(facts)
    }

    /// Takes in what a gateway told.
    fn take_in(&self, facts: Facts) -> Result<(), ApplyError> {
        let known = self.state.summary();
        if let Some(directory) = facts.directory.filter(|list| list.revision > known.directory) {
            self.state.apply_directory(directory, "gateway");
        }
        match facts.configuration {
            Some(configuration) => self.state.apply_configuration_update(configuration),
            None => Ok(()),
        }
    }
}

/// Whether one knows something that the other does not.
pub(super) fn knows_more(one: &Summary, other: &Summary) -> bool {
    one.configuration > other.configuration
        || (one.directory > other.directory && one.directory_hash != other.directory_hash)
        || knows_more_zones(one, other)
}

/// Whether one knows which zones are emptied where the other does not, or knows others.
fn knows_more_zones(one: &Summary, other: &Summary) -> bool {
    match (&one.evacuated, &other.evacuated) {
        (Some(one), Some(other)) => one.revision > other.revision && one.value != other.value,
        (one, other) => one.is_some() && other.is_none(),
    }
}

/// What the asker of facts knows.
#[derive(Debug, Deserialize)]
pub(super) struct Asked {
    configuration: u64,
    configuration_hash: u64,
    directory: u64,
    directory_hash: u64,
}

/// Tells another gateway all that it may not know.
pub(super) async fn tell(State(relay): State<Arc<Relay>>, Query(asked): Query<Asked>) -> Bytes {
    let state = &relay.state;
    let held = Hash(asked.configuration_hash);
    let facts = Facts {
        configuration: state.configuration_after(asked.configuration, held),
        directory: state.directory_after(Revision(asked.directory), asked.directory_hash),
        gateways: state.gateway_infos(relay.others()),
        suspects: state.suspects().all_updates(state.clock().now()),
    };
    pack(&facts).into()
}
