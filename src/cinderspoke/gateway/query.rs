//! Queries to agents for a reservation at their engines, and waiting for the answers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::message::{Datagram, pack, send};
use super::state::State;
use super::target::Target;
use crate::util::clock::Clock;

/// Timeout of a query: a few round trips to another region. A later answer indicates a
/// congested link or a busy instance.
const TIMEOUT: Duration = Duration::from_millis(25);

/// Queries to agents whose answers are awaited.
#[derive(Debug, Default)]
pub struct Queries {
    // The address that agents answer to, and the socket to send from; unset until `attach`.
    socket: OnceLock<(SocketAddr, Arc<UdpSocket>)>,
    // The channel that delivers the answers of each query, by its number.
    waiting: Mutex<HashMap<u64, mpsc::UnboundedSender<()>>>,
    numbers: AtomicU64,
}

/// A query to some agents; dropping it stops the delivery of answers.
struct Query<'a> {
    queries: &'a Queries,
    number: u64,
    answers: mpsc::UnboundedReceiver<()>,
}

impl Drop for Query<'_> {
    fn drop(&mut self) {
        self.queries.lock().remove(&self.number);
    }
}

impl Queries {
    /// Sets the socket that queries are sent from and the address that agents answer to.
    pub fn attach(&self, own: SocketAddr, socket: Arc<UdpSocket>) {
        self.socket.get_or_init(|| (own, socket));
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, mpsc::UnboundedSender<()>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that an agent answered a query; its report has been applied already.
    pub fn record_answer(&self, number: u64) {
        if let Some(waiting) = self.lock().get(&number) {
            // The receiver may have timed out just now.
            waiting.send(()).unwrap_or_default();
        }
    }

    fn begin(&self) -> Query<'_> {
        let number = self.numbers.fetch_add(1, Ordering::Relaxed);
        let (waiting, answers) = mpsc::unbounded_channel();
        self.lock().insert(number, waiting);
        Query { queries: self, number, answers }
    }

    /// Asks the agents of some endpoints for a reservation for a request of `prompt` tokens, and
    /// waits until all have answered or the timeout. Returns the number that identifies the
    /// reservations.
    pub async fn reserve(&self, targets: &[Arc<Target>], prompt: u32, clock: Clock) -> u64 {
        let mut query = self.begin();
        let number = query.number;
        let Some((own, socket)) = self.socket.get() else { return number };
        let mut missing = 0;
        for target in targets {
            let sent_at = clock.now();
            let agent = {
                let mut tracking = target.tracking();
                tracking.load.pending.record_query(number, sent_at);
                tracking.agent
            };
            // Agents listen on their engine's IP address, on the same port as gateways.
            let beside = || SocketAddr::new(target.pool.address().ip(), own.port());
            let agent = agent.unwrap_or_else(beside);
            missing += 1;
            let query = Datagram::Query { from: *own, number, sent_at, prompt_tokens: prompt };
            send(socket, agent, &pack(&query)).await;
        }
        let all = async {
            while missing > 0 && query.answers.recv().await.is_some() {
                missing -= 1;
            }
        };
        if timeout(TIMEOUT, all).await.is_err() {
            tracing::debug!(number, asked = targets.len(), "some agents did not answer in time");
        }
        number
    }
}

/// Releases a reservation that was requested under a number.
pub fn release(target: &Arc<Target>, number: u64, state: &State) {
    target.tracking().load.pending.resolve(number);
    state.outstanding_changes().add(target);
}
