//! Telling agents what this gateway has outstanding at their engines.

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

/// How long changes gather before they are told: the news is of use for choices some
/// tens of milliseconds apart, and several changes go in one datagram.
const GATHER: Duration = Duration::from_millis(10);

/// Endpoints at which something has changed that their agents were not told.
#[derive(Debug, Default)]
pub struct Changes {
    targets: Mutex<Vec<Arc<Target>>>,
    added: Notify,
}

impl Changes {
    fn lock(&self) -> MutexGuard<'_, Vec<Arc<Target>>> {
        self.targets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in that something has changed at an endpoint.
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

/// Tells agents of changes soon, and from time to time of what stays.
pub async fn publish(state: &State, socket: &UdpSocket, own: SocketAddr) {
    let changes = state.outstanding_changes();
    let mut repeat = Instant::now() + REPEAT_INTERVAL;
    loop {
        if timeout_at(repeat, changes.added.notified()).await.is_ok() {
            sleep(GATHER).await;
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

/// Tells an endpoint's agent, if it has one.
async fn send_count(target: &Target, state: &State, socket: &UdpSocket, own: SocketAddr) {
    let sent = state.clock().now();
    let (agent, outstanding, decided_before) = {
        let mut tracking = target.tracking();
        let decided_before = tracking.load.pending.resolved_before(sent);
        (tracking.agent, tracking.load.outstanding(), decided_before)
    };
    let Some(agent) = agent else { return };
    let told = Datagram::Outstanding { from: own, outstanding, sent_at: sent, decided_before };
    send(socket, agent, &pack(&told)).await;
}
