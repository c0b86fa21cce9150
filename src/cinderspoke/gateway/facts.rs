//! Fetches newer data from other gateways over HTTP, and serves it to them.

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
use cinderspoke_ports::work::offload;
use serde::Deserialize;
use tokio::time::sleep;

use super::fetch_log;
use super::message::{Facts, Summary, pack};
use super::relay::Relay;
use crate::util::http::{Call, Path, Progress};

/// How long a gateway that reads from the store waits for the store's list of endpoints before
/// it fetches the list from another gateway: changes of endpoints are batched for a time.
const READER_LIST_DELAY: Duration = Duration::from_millis(560);

/// The idle timeout of a response from another region, both until its first byte and between
/// bytes: a configuration with thousands of routes takes seconds over a link shared with weights.
const FAR_IDLE_TIMEOUT: Duration = Duration::from_millis(1200);

/// The idle timeout of a response from the own region. After it, another gateway is asked.
const NEAR_IDLE_TIMEOUT: Duration = Duration::from_millis(500);

/// The timeout of a whole response: another gateway may have an uncongested link.
const TIMEOUT: Duration = Duration::from_secs(3);

/// The longest wait before checking again which gateways have a newer configuration: one of the
/// own region may have got it meanwhile.
const STEP_POLL: Duration = Duration::from_millis(50);

/// The longest random delay before a follower fetches a newer list of endpoints from a gateway
/// of its region, so that not all followers send their requests at the same moment.
const NEAR_LIST_JITTER: Duration = Duration::from_millis(80);

/// How long a follower waits for a gateway of its region to have the list before it fetches it
/// from another region.
const FAR_LIST_DELAY: Duration = Duration::from_millis(500);

/// How often an awaited list is checked for being due.
const LIST_POLL: Duration = Duration::from_millis(20);

/// A newer list of endpoints that another gateway has.
pub(super) struct Awaited {
    from: SocketAddr,
    summary: Summary,
    is_near: bool,
    // When it is to be fetched, by the gateway's clock.
    due: Duration,
}

impl Relay {
    /// Starts to fetch a newer configuration from other gateways, unless a fetch is running.
    pub(super) fn fetch_configuration(self: &Arc<Self>) {
        if self.awaiting_configuration.swap(true, Ordering::SeqCst) {
            return;
        }
        let relay = Arc::clone(self);
        tokio::spawn(async move {
            loop {
                relay.fetch_from_others().await;
                relay.awaiting_configuration.store(false, Ordering::SeqCst);
                // A summary that arrived just before the flag was cleared did not start a fetch.
                let is_done = relay.state.next_fetch_step(0.0) == Step::Idle;
                if is_done || relay.awaiting_configuration.swap(true, Ordering::SeqCst) {
                    return;
                }
            }
        });
    }

    /// Fetches from one gateway after the other until none is known to have a newer configuration.
    async fn fetch_from_others(&self) {
        loop {
            let (gateway, idle_timeout) = match self.state.next_fetch_step(rand::random()) {
                Step::FetchNear(gateway) => (gateway, NEAR_IDLE_TIMEOUT),
                Step::FetchFar(gateway) => (gateway, FAR_IDLE_TIMEOUT),
                Step::Wait(time) => {
                    sleep(time.min(STEP_POLL)).await;
                    continue;
                }
                Step::Idle => return,
            };
            self.state.record_fetch_attempt(gateway);
            if self.state.role() == Role::Reader {
                // The watch of the store should have returned it by now.
                self.state.request_resync();
            }
            if let Err(error) = self.fetch(gateway, idle_timeout).await {
                tracing::debug!(
                    %gateway,
                    error = format!("{error:#}"),
                    "fetching from gateway failed"
                );
            }
        }
    }

    /// Schedules fetching a newer list of endpoints from a gateway, unless a list is awaited
    /// already. A gateway of the own region replaces an awaited one of another region. Nothing
    /// is fetched if the list arrives by other means in time.
    pub(super) fn fetch_list(self: &Arc<Self>, from: SocketAddr, summary: &Summary) {
        let is_near = self.state.is_neighbour(from);
        let due = self.state.clock().now() + self.list_delay(is_near);
        let mut awaited = self.awaited_list();
        if let Some(awaited) = &mut *awaited {
            if is_near && !awaited.is_near {
                *awaited = Awaited { from, summary: summary.clone(), is_near, due };
            }
            return;
        }
        *awaited = Some(Awaited { from, summary: summary.clone(), is_near, due });
        drop(awaited);
        let relay = Arc::clone(self);
        tokio::spawn(async move { relay.fetch_awaited().await });
    }

    fn awaited_list(&self) -> MutexGuard<'_, Option<Awaited>> {
        self.awaited_list.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// How long to wait for the list of endpoints before it is fetched from a gateway.
    fn list_delay(&self, is_near: bool) -> Duration {
        match self.state.role() {
            Role::Reader => READER_LIST_DELAY,
            Role::Follower if is_near => NEAR_LIST_JITTER.mul_f64(rand::random()),
            Role::Follower => FAR_LIST_DELAY,
        }
    }

    /// Whether the awaited list is not due yet.
    fn is_list_awaited(&self) -> bool {
        let now = self.state.clock().now();
        self.awaited_list().as_ref().is_some_and(|awaited| awaited.due > now)
    }

    /// Fetches the awaited list when it is due, if it is still newer.
    async fn fetch_awaited(self: &Arc<Self>) {
        while self.is_list_awaited() {
            sleep(LIST_POLL).await;
        }
        let awaited = self.awaited_list().take();
        let Some(Awaited { from, summary, is_near, .. }) = awaited else { return };
        if !has_newer(&summary, &self.state.summary()) {
            return;
        }
        if self.state.role() == Role::Reader {
            self.state.request_resync();
        }
        let idle_timeout = if is_near { NEAR_IDLE_TIMEOUT } else { FAR_IDLE_TIMEOUT };
        if let Err(error) = self.fetch(from, idle_timeout).await {
            tracing::debug!(
                %from,
                error = format!("{error:#}"),
                "fetching from gateway failed"
            );
        }
    }

    /// Fetches newer data from a gateway and applies it. If a configuration difference cannot be
    /// applied, the whole configuration is requested.
    async fn fetch(&self, from: SocketAddr, idle_timeout: Duration) -> Result<()> {
        let (_, base) = self.state.configuration_identity();
        let facts = self.request(from, idle_timeout, base).await?;
        if let Err(misfit) = self.apply(facts).await {
            tracing::warn!(%from, %misfit, "a configuration difference cannot be applied");
            self.apply(self.request(from, idle_timeout, Hash::default()).await?).await?;
        }
        Ok(())
    }

    /// Requests newer data from a gateway. The hash names the configuration in force here, from
    /// which the answer may be a difference.
    async fn request(&self, from: SocketAddr, idle_timeout: Duration, base: Hash) -> Result<Facts> {
        let summary = self.state.summary();
        let path = Path::from("/v1/facts")
            .pair("configuration", summary.configuration)
            .pair("configuration_hash", base.0)
            .pair("directory", u64::from(summary.directory))
            .pair("directory_hash", summary.directory_hash);
        let progress = Progress::default();
        let call = Call::get(from, path).close_after().idle_timeout(idle_timeout).timeout(TIMEOUT);
        let answer = self.client.fetch(call.progress(&progress)).await?;
        let answer_size = answer.len();
        let unpack = move || postcard::from_bytes::<Facts>(&answer);
        let facts = offload(answer_size, unpack).await.context("reading facts")?;
        if let Some(configuration) = &facts.configuration {
            let version = configuration.value.version();
            fetch_log::completed("gateway", &from.to_string(), version, &progress);
        }
        self.discover(facts.gateways.clone()).await;
        self.state.merge_suspects(&facts.suspects, &[]);
        Ok(facts)
    }

    /// Applies the data from a gateway.
    async fn apply(&self, facts: Facts) -> Result<(), ApplyError> {
        let summary = self.state.summary();
        if let Some(directory) = facts.directory.filter(|list| list.revision > summary.directory) {
            self.state.observe_era(directory.revision.era(), "gateway");
            self.state.apply_directory(directory, "gateway");
        }
        match facts.configuration {
            Some(configuration) => self.state.apply_configuration_update(configuration).await,
            None => Ok(()),
        }
    }
}

/// Whether the first summary has newer data than the other.
pub(super) fn has_newer(one: &Summary, other: &Summary) -> bool {
    one.configuration > other.configuration
        || (one.directory > other.directory && one.directory_hash != other.directory_hash)
        || has_newer_zones(one, other)
}

/// Whether the first summary has newer and different evacuated zones, or is the only one that
/// has them.
fn has_newer_zones(one: &Summary, other: &Summary) -> bool {
    match (&one.evacuated, &other.evacuated) {
        (Some(one), Some(other)) => one.revision > other.revision && one.value != other.value,
        (one, other) => one.is_some() && other.is_none(),
    }
}

/// The query of a request for newer data: what the requester has.
#[derive(Debug, Deserialize)]
pub(super) struct FactsQuery {
    configuration: u64,
    configuration_hash: u64,
    directory: u64,
    directory_hash: u64,
}

/// Serves another gateway the data that it lacks.
pub(super) async fn serve(
    State(relay): State<Arc<Relay>>,
    Query(query): Query<FactsQuery>,
) -> Bytes {
    let state = &relay.state;
    let base = Hash(query.configuration_hash);
    let facts = Facts {
        configuration: state.configuration_after(query.configuration, base).await,
        directory: state.directory_after(Revision::from(query.directory), query.directory_hash),
        gateways: state.gateway_infos(relay.others()),
        suspects: state.suspects().all_updates(state.clock().now()),
    };
    let size = facts.configuration.as_ref().map_or(0, |configuration| configuration.value.size());
    offload(size, move || pack(&facts)).await.into()
}
