//! Watches of a store that answers late, or only sometimes, on a paused clock.

use std::future::pending;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use cinderspoke::gateway::follow;
use cinderspoke::gateway::options::Options;
use cinderspoke::gateway::state::State;
use cinderspoke::util::clock::Clock;
use cinderspoke_core::gateway::catalog::Declared;
use cinderspoke_core::gateway::directory::{Change, Directory};
use cinderspoke_core::gateway::fact::{Fact, Revision};
use cinderspoke_core::gateway::rollout::Rollout;
use cinderspoke_ports::Error;
use cinderspoke_ports::client::Progress;
use cinderspoke_ports::gateway::{Registry, Watched};
use tokio::time::{Instant, sleep, sleep_until};
use tokio_util::sync::CancellationToken;

use crate::follow::settings;

/// How many other gateways a gateway knows of where it asks seldom.
const MANY: u16 = 40;

/// How often each test is tried: waits are drawn.
const TRIALS: u64 = 20;

/// Within how long news have to be known, as in the tests of silent connections.
const LEARNS: Duration = Duration::from_millis(7500);

/// The same where a watch is in doubt: it is left alone for 0.4 s, and one that fails
/// meanwhile stays away for a while.
const MADE_ANEW: Duration = Duration::from_millis(1000);

/// What becomes of a watch of endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Call {
    Answered,
    Refused,
    Silent,
}

/// A store whose endpoints have news from a time on.
struct Late {
    // How long every answer takes.
    by: Duration,
    news: Instant,
    // What becomes of the first watches of endpoints; those after them are answered.
    first: Vec<Call>,
    watches: AtomicU32,
    calls: AtomicU32,
}

impl Late {
    fn new(by: Duration, news: Duration, first: &[Call]) -> Arc<Self> {
        Arc::new(Self {
            by,
            news: Instant::now() + news,
            first: first.to_vec(),
            watches: AtomicU32::new(0),
            calls: AtomicU32::new(0),
        })
    }

    /// Waits as a watch without news does.
    async fn nothing<T>(&self, after: Revision, wait: Duration, none: T) -> Watched<T> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        sleep(wait + self.by).await;
        Watched::Updated(Fact::new(after, none))
    }
}

#[async_trait]
impl Registry for Late {
    async fn configuration(&self, _: &Progress) -> Result<Fact<Option<Declared>>, Error> {
        sleep(self.by).await;
        Ok(Fact::new(Revision(1), None))
    }

    async fn watch_configuration(
        &self,
        after: Revision,
        wait: Duration,
        _: &Progress,
    ) -> Result<Watched<Option<Declared>>, Error> {
        Ok(self.nothing(after, wait, None).await)
    }

    async fn rollout(&self) -> Result<Fact<Rollout>, Error> {
        sleep(self.by).await;
        Ok(Fact::new(Revision(1), Rollout::default()))
    }

    async fn watch_rollout(
        &self,
        after: Revision,
        wait: Duration,
    ) -> Result<Watched<Rollout>, Error> {
        Ok(self.nothing(after, wait, Rollout::default()).await)
    }

    async fn endpoints(&self) -> Result<Fact<Directory>, Error> {
        sleep(self.by).await;
        Ok(Fact::new(Revision(1), Directory::default()))
    }

    async fn watch_endpoints(
        &self,
        after: Revision,
        wait: Duration,
    ) -> Result<Watched<Vec<Change>>, Error> {
        let number = self.watches.fetch_add(1, Ordering::Relaxed) as usize;
        match self.first.get(number).copied().unwrap_or(Call::Answered) {
            Call::Answered => {}
            Call::Refused => return Err(Error::Unavailable("refused".into())),
            Call::Silent => return pending().await,
        }
        if after >= Revision(2) || Instant::now() + wait < self.news {
            return Ok(self.nothing(after, wait, Vec::new()).await);
        }
        self.calls.fetch_add(1, Ordering::Relaxed);
        sleep_until(self.news.max(Instant::now()) + self.by).await;
        Ok(Watched::Updated(Fact::new(Revision(2), Vec::new())))
    }

    async fn gateways(&self) -> Result<Vec<SocketAddr>, Error> {
        pending().await
    }

    async fn announce(&self, _: &str, _: SocketAddr) -> Result<(), Error> {
        pending().await
    }
}

/// A gateway's knowledge, which follows a store and knows of so many other gateways.
fn following(store: &Arc<Late>, others: u16) -> (Arc<State>, CancellationToken) {
    let (settings, token) = (settings(), CancellationToken::new());
    let state = State::new(&settings, Options::new(&settings), Clock::start());
    let state = Arc::new(state);
    for other in 1..=others {
        state.observe_gateway(SocketAddr::from(([10, 9, 0, 1], other)), true);
    }
    let registry: Arc<dyn Registry> = Arc::clone(store) as _;
    follow::spawn(&state, &registry, &settings, token.clone());
    (state, token)
}

/// Waits until the news are known; gives when, after they were there.
async fn learned(state: &State, store: &Late) -> Duration {
    while state.directory().revision < Revision(2) {
        sleep(Duration::from_millis(10)).await;
    }
    store.news.elapsed()
}

/// The longest time until news are known, and the calls to the store in a second, where
/// every answer comes so much later.
async fn slow(by: Duration, others: u16) -> (Duration, f64) {
    let (mut longest, mut calls) = (Duration::ZERO, 0.0);
    for trial in 0..TRIALS {
        let store = Late::new(by, Duration::from_millis(20_000 + 370 * trial), &[]);
        let started = Instant::now();
        let (state, token) = following(&store, others);
        longest = longest.max(learned(&state, &store).await);
        calls += f64::from(store.calls.load(Ordering::Relaxed)) / started.elapsed().as_secs_f64();
        token.cancel();
    }
    (longest, calls / TRIALS as f64)
}

#[tokio::test(start_paused = true)]
async fn a_slow_store_is_heard() {
    for (others, by) in [(0, 300), (0, 1500), (0, 2500), (5, 300), (5, 1500), (5, 2500)] {
        let by = Duration::from_millis(by);
        let (longest, calls) = slow(by, others).await;
        println!(
            "{others} others, {by:?} late: known after {longest:?}, {calls:.2} calls a second"
        );
        assert!(longest < LEARNS, "{others} others, {by:?} late: {longest:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_watch_that_goes_silent_after_one_was_refused_is_made_anew_when_it_is_in_doubt() {
    let mut longest = Duration::ZERO;
    for _ in 0..TRIALS {
        let news = Duration::from_millis(2000);
        let store = Late::new(Duration::ZERO, news, &[Call::Refused, Call::Silent]);
        let (state, token) = following(&store, MANY);
        sleep(news).await;
        state.request_resync();
        longest = longest.max(learned(&state, &store).await);
        token.cancel();
    }
    assert!(longest < LEARNS, "{longest:?}");
}

#[tokio::test(start_paused = true)]
async fn a_watch_that_goes_silent_is_made_anew_when_it_is_in_doubt() {
    for _ in 0..TRIALS {
        let news = Duration::from_millis(2000);
        let store = Late::new(Duration::ZERO, news, &[Call::Silent]);
        let (state, token) = following(&store, MANY);
        sleep(news).await;
        state.request_resync();
        let learned = learned(&state, &store).await;
        assert!(learned < MADE_ANEW, "{learned:?}");
        token.cancel();
    }
}
