//! Recognizes requests that return after a refusal, and exchanges the entries by which they are
//! recognized with the other gateways of the region.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cinderspoke_core::gateway::name::Service;
use cinderspoke_core::gateway::returns::{Refusal, Refusals, Request, Return, Table, Update};
use cinderspoke_core::rendezvous::Key;
use metrics::counter;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use super::context::Context;
use super::message::{Datagram, pack, send};
use super::parse::Parsed;
use super::state::State;
use crate::util::metrics::RETURNS;

/// How long updates are collected before they are sent: callers return after 400 ms at the
/// earliest.
const BATCH_DELAY: Duration = Duration::from_millis(50);

/// The same for each gateway that they are sent to, so that a gateway of a large region sends few
/// datagrams.
const BATCH_DELAY_PER_NEIGHBOUR: Duration = Duration::from_millis(5);

/// Maximum number of datagrams to each gateway at once; more are sent after another delay.
const MAX_BATCHES: usize = 4;

/// How often expired entries are counted while nothing is to be sent.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// The requests that were refused in this region and may return.
pub struct Returns {
    table: Mutex<Table>,
    refusals: Mutex<HashMap<Service, Refusals>>,
    added: Notify,
}

impl Default for Returns {
    fn default() -> Self {
        let table = Mutex::new(Table::new(rand::random()));
        Self { table, refusals: Mutex::default(), added: Notify::new() }
    }
}

impl Returns {
    fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs a function on the recent refusals of a service, under the lock.
    fn refusals<T>(&self, service: &Service, act: impl FnOnce(&mut Refusals) -> T) -> T {
        let mut refusals = self.refusals.lock().unwrap_or_else(PoisonError::into_inner);
        act(refusals.entry(service.clone()).or_default())
    }

    /// Merges the updates of another gateway.
    pub fn merge(&self, updates: &[Update], now: Duration) {
        self.table().merge(updates, now);
    }
}

impl Context {
    /// Records a request and returns what is known of an earlier refusal of it; none while returns
    /// are not recognized.
    pub(super) fn recognize(&self, parsed: &Parsed) -> Option<Return> {
        if !self.state.options().recognizes_returns {
            return None;
        }
        let (returns, now) = (self.state.returns(), self.clock.now());
        returns.refusals(&parsed.service, |refusals| refusals.record_arrival(now));
        if returns.table().is_empty() {
            return None;
        }
        // Hashed without the lock.
        let fingerprint = parsed.fingerprint();
        let found = returns.table().take(fingerprint, now)?;
        returns.added.notify_one();
        // Its caller no longer waits, so this is an equal request of another one.
        let timeout = parsed.call.deadline.unwrap_or_default().max(parsed.route.timeout);
        if found.waited >= timeout {
            return None;
        }
        let result = if found.is_early { "early" } else { "recognized" };
        counter!(RETURNS, "result" => result).increment(1);
        Some(found)
    }

    /// Records that a request is refused and returns the retry delay for its caller: the given one,
    /// or a scheduled one if it is refused for overload.
    pub(super) fn expect_return(
        &self,
        parsed: &Parsed,
        is_overload: bool,
        retry_after: Duration,
    ) -> Duration {
        if !self.state.options().recognizes_returns {
            return retry_after;
        }
        let (returns, now) = (self.state.returns(), self.clock.now());
        let (refused, excess_lasted) = returns.refusals(&parsed.service, |refusals| {
            if is_overload {
                refusals.record_refusal(now);
            }
            (refusals.share(now), refusals.lasted(now))
        });
        let waited = parsed.waited + now.saturating_sub(parsed.arrived);
        let request = Request {
            priority: parsed.priority,
            target_left: parsed.route.target.saturating_sub(waited),
            time_left: parsed.time_left(),
            refused,
            excess_lasted,
            seed: Key::of(parsed.call.id.as_str()).as_u64(),
        };
        let fingerprint = parsed.fingerprint();
        let mut table = returns.table();
        let retry_after =
            if is_overload { table.schedule().retry_after(&request, now) } else { retry_after };
        let due_in = retry_after.min(request.longest_delay());
        table.record(&Refusal { fingerprint, waited, due_in, priority: parsed.priority }, now);
        drop(table);
        returns.added.notify_one();
        retry_after
    }
}

/// Sends entries that were added or used here to the other gateways of the region, in batches.
pub async fn publish(state: &State, socket: &UdpSocket, own: SocketAddr) {
    let returns = state.returns();
    loop {
        if timeout(EXPIRY_INTERVAL, returns.added.notified()).await.is_ok() {
            let neighbours = state.neighbours();
            let count = u32::try_from(neighbours.len()).unwrap_or(u32::MAX);
            sleep(BATCH_DELAY.max(BATCH_DELAY_PER_NEIGHBOUR.saturating_mul(count))).await;
            send_updates(state, socket, own, &neighbours).await;
        }
        let expired = {
            let mut table = returns.table();
            table.remove_expired(state.clock().now());
            table.take_expired()
        };
        counter!(RETURNS, "result" => "expired").increment(expired);
    }
}

/// Sends up to [`MAX_BATCHES`] batches of updates.
async fn send_updates(
    state: &State,
    socket: &UdpSocket,
    own: SocketAddr,
    neighbours: &[SocketAddr],
) {
    let returns = state.returns();
    for _ in 0..MAX_BATCHES {
        let updates = returns.table().take_updates(state.clock().now());
        if updates.is_empty() || !state.options().recognizes_returns {
            return;
        }
        let packed = pack(&Datagram::Returns { from: own, updates });
        for neighbour in neighbours {
            send(socket, *neighbour, &packed).await;
        }
    }
    returns.added.notify_one();
}
