//! Asking agents what their engines hold, and keeping count of what they answer.

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

/// How long answers are waited for: some times the way to another region and back. What
/// comes later tells of a full link or a busy instance.
const PATIENCE: Duration = Duration::from_millis(25);

/// Questions to agents that are waited for.
#[derive(Debug, Default)]
pub struct Queries {
    // Where agents answer to, and what is sent over; none before it is known.
    socket: OnceLock<(SocketAddr, Arc<UdpSocket>)>,
    // How each question's answers reach those who wait for them, by its number.
    waiting: Mutex<HashMap<u64, mpsc::UnboundedSender<()>>>,
    numbers: AtomicU64,
}

/// A question to some agents; it is forgotten when it is dropped.
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
    /// Has agents asked over a socket, and answer to an address.
    pub fn attach(&self, own: SocketAddr, socket: Arc<UdpSocket>) {
        self.socket.get_or_init(|| (own, socket));
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, mpsc::UnboundedSender<()>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in that an agent has answered; what it said is known by now.
    pub fn record_answer(&self, number: u64) {
        if let Some(waiting) = self.lock().get(&number) {
            // Whoever asked may just have given up.
            waiting.send(()).unwrap_or_default();
        }
    }

    fn begin(&self) -> Query<'_> {
        let number = self.numbers.fetch_add(1, Ordering::Relaxed);
        let (waiting, answers) = mpsc::unbounded_channel();
        self.lock().insert(number, waiting);
        Query { queries: self, number, answers }
    }

    /// Asks the agents of some endpoints for a place for a request with so many prompt
    /// tokens, and waits until all have answered or it takes too long; gives the number
    /// under which the places are open.
    pub async fn reserve(&self, targets: &[Arc<Target>], prompt: u32, clock: Clock) -> u64 {
        let mut query = self.begin();
        let number = query.number;
        let Some((own, socket)) = self.socket.get() else { return number };
        let mut missing = 0;
        for target in targets {
            let asked = clock.now();
            let agent = {
                let mut tracking = target.tracking();
                tracking.load.pending.record_query(number, asked);
                tracking.agent
            };
            // Agents listen beside their engines, to the port to which gateways do.
            let beside = || SocketAddr::new(target.pool.address().ip(), own.port());
            let agent = agent.unwrap_or_else(beside);
            missing += 1;
            let ask = Datagram::Query { from: *own, number, sent_at: asked, prompt_tokens: prompt };
            send(socket, agent, &pack(&ask)).await;
        }
        let all = async {
            while missing > 0 && query.answers.recv().await.is_some() {
                missing -= 1;
            }
        };
        if timeout(PATIENCE, all).await.is_err() {
            tracing::debug!(number, asked = targets.len(), "some agents did not answer in time");
        }
        number
    }
}

/// Gives a place back that was asked for under a number.
pub fn release(target: &Arc<Target>, number: u64, state: &State) {
    target.tracking().load.pending.resolve(number);
    state.outstanding_changes().add(target);
}
