//! Publishes the number of this gateway's outstanding requests to the agents of the endpoints.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cinderspoke_core::gateway::tally::REPEAT_INTERVAL;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout_at};

use super::message::{Datagram, pack, send};
use super::state::State;
use super::target::Target;

/// How long changes are collected before they are published: choices that use them are tens
/// of milliseconds apart, and one datagram carries several changes.
const BATCH_DELAY: Duration = Duration::from_millis(10);

/// Endpoints whose outstanding requests or reservations changed since their agents were last
/// sent them.
#[derive(Debug, Default)]
pub struct Changes {
    targets: Mutex<Vec<Arc<Target>>>,
    added: Notify,
}

impl Changes {
    fn lock(&self) -> MutexGuard<'_, Vec<Arc<Target>>> {
        self.targets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the outstanding requests or reservations at an endpoint changed.
    pub fn add(&self, target: &Arc<Target>) {
        let mut targets = self.lock();
        if !targets.iter().any(|known| Arc::ptr_eq(known, target)) {
            targets.push(Arc::clone(target));
        }
        drop(targets);
        self.added.notify_one();
    }

    fn take(&self) -> Vec<Arc<Target>> {
        std::mem::take(&mut *self.lock())
    }
}

/// Publishes changes after [`BATCH_DELAY`], and at each [`REPEAT_INTERVAL`] the state of all
/// endpoints that have outstanding requests.
pub async fn publish(state: &State, socket: &UdpSocket, own: SocketAddr) {
    let changes = state.outstanding_changes();
    let mut repeat = Instant::now() + REPEAT_INTERVAL;
    loop {
        if timeout_at(repeat, changes.added.notified()).await.is_ok() {
            sleep(BATCH_DELAY).await;
        } else {
            repeat = Instant::now() + REPEAT_INTERVAL;
            state.targets().iter().filter(|target| target.has_outstanding()).for_each(|target| {
                changes.add(target);
            });
        }
        for target in changes.take() {
            send_count(&target, state, socket, own).await;
        }
    }
}

/// Sends an endpoint's outstanding requests to its agent, if the agent is known.
async fn send_count(target: &Target, state: &State, socket: &UdpSocket, own: SocketAddr) {
    let sent_at = state.clock().now();
    let (agent, outstanding, decided_before) = {
        let mut tracking = target.tracking();
        let decided_before = tracking.load.pending.resolved_before(sent_at);
        (tracking.agent, tracking.load.outstanding(), decided_before)
    };
    let Some(agent) = agent else { return };
    let datagram = Datagram::Outstanding { from: own, outstanding, sent_at, decided_before };
    send(socket, agent, &pack(&datagram)).await;
}
