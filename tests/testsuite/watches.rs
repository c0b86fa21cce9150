//! How a gateway's watches of the store are made anew, and how old what they bring counts,
//! on a paused clock.

use std::collections::VecDeque;
use std::future::pending;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use cinderspoke::gateway::follow;
use cinderspoke::gateway::options::Options;
use cinderspoke::gateway::state::State;
use cinderspoke::util::clock::Clock;
use cinderspoke_core::gateway::catalog::Declared;
use cinderspoke_core::gateway::directory::{Change, Directory};
use cinderspoke_core::gateway::fact::{Fact, Revision};
use cinderspoke_core::gateway::name::Model;
use cinderspoke_core::gateway::rollout::{Rollout, Version};
use cinderspoke_ports::Error;
use cinderspoke_ports::client::Progress;
use cinderspoke_ports::gateway::{Registry, Watched};
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::follow::settings;

/// The longest that a single gateway's watch waits, and what it gives a slow store at first.
const ONE_WATCH: Duration = Duration::from_millis(2600);

/// A moment, in which nothing that is meant to wait may happen.
const MOMENT: Duration = Duration::from_millis(300);

/// What becomes of a watch of versions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Call {
    /// The second version is told after so long.
    News(Duration),
    /// No answer comes.
    Silent,
    /// The store has forgotten what came meanwhile.
    Forgotten,
}

/// A store of versions: the first, until a watch tells of the second or forgets it.
struct Versions {
    calls: Mutex<VecDeque<Call>>,
    watches: AtomicU32,
    forgotten: AtomicU32,
}

fn named(version: u64) -> Fact<Rollout> {
    let mut rollout = Rollout::default();
    rollout.advance("m".into(), Version(version));
    Fact::new(Revision(version), rollout)
}

#[async_trait]
impl Registry for Versions {
    async fn configuration(&self, _: &Progress) -> Result<Fact<Option<Declared>>, Error> {
        pending().await
    }

    async fn watch_configuration(
        &self,
        _: Revision,
        _: Duration,
        _: &Progress,
    ) -> Result<Watched<Option<Declared>>, Error> {
        pending().await
    }

    async fn rollout(&self) -> Result<Fact<Rollout>, Error> {
        Ok(named(1 + u64::from(self.forgotten.load(Ordering::Relaxed))))
    }

    async fn watch_rollout(
        &self,
        after: Revision,
        wait: Duration,
    ) -> Result<Watched<Rollout>, Error> {
        self.watches.fetch_add(1, Ordering::Relaxed);
        let call = self.calls.lock().unwrap().pop_front();
        match call {
            Some(Call::News(takes)) => {
                sleep(takes).await;
                Ok(Watched::Updated(named(2)))
            }
            Some(Call::Silent) => pending().await,
            Some(Call::Forgotten) => {
                sleep(wait).await;
                self.forgotten.store(1, Ordering::Relaxed);
                Ok(Watched::Compacted)
            }
            None => {
                sleep(wait).await;
                Ok(Watched::Updated(Fact::new(after, Rollout::default())))
            }
        }
    }

    async fn endpoints(&self) -> Result<Fact<Directory>, Error> {
        pending().await
    }

    async fn watch_endpoints(
        &self,
        _: Revision,
        _: Duration,
    ) -> Result<Watched<Vec<Change>>, Error> {
        pending().await
    }

    async fn gateways(&self) -> Result<Vec<SocketAddr>, Error> {
        pending().await
    }

    async fn announce(&self, _: &str, _: SocketAddr) -> Result<(), Error> {
        pending().await
    }
}

/// A gateway that follows a store whose watches of versions go so.
fn following(calls: &[Call]) -> (Arc<State>, Arc<Versions>) {
    following_by(Clock::start(), calls)
}

/// Such a gateway, with a clock of its own.
fn following_by(clock: Clock, calls: &[Call]) -> (Arc<State>, Arc<Versions>) {
    let settings = settings();
    let state = State::new(&settings, Options::new(&settings), clock);
    let (state, calls) = (Arc::new(state), calls.iter().copied().collect());
    let (watches, forgotten) = (AtomicU32::new(0), AtomicU32::new(0));
    let store = Arc::new(Versions { calls: Mutex::new(calls), watches, forgotten });
    let registry: Arc<dyn Registry> = Arc::clone(&store) as _;
    follow::spawn(&state, &registry, &settings, CancellationToken::new());
    (state, store)
}

fn watches(store: &Versions) -> u32 {
    store.watches.load(Ordering::Relaxed)
}

/// How much longer the first version may begin requests; none before the second is known.
fn left(state: &State) -> Option<Duration> {
    state.version_time_left(&Model::from("m"), Version(1), false)
}

/// Waits until the second version is known; gives how much of its time the first has lost.
async fn lost(state: &State) -> Duration {
    let whole = state.options().overlap.clear;
    loop {
        if let Some(left) = left(state) {
            return whole - left;
        }
        sleep(Duration::from_millis(1)).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_watch_that_goes_silent_raises_one_doubt() {
    let (state, store) = following(&[Call::Silent, Call::Silent, Call::Silent]);
    let mut doubts = state.resync_requests();
    assert!(timeout(ONE_WATCH, doubts.changed()).await.is_ok(), "no doubt");
    while watches(&store) < 4 {
        let doubt = timeout(MOMENT, doubts.changed()).await;
        assert!(doubt.is_err(), "a store that does not answer silences no other watch again");
    }
}

#[tokio::test(start_paused = true)]
async fn what_comes_soon_after_a_doubt_comes_over_the_watch_that_was_in_doubt() {
    let (state, _store) = following(&[Call::News(Duration::from_millis(350))]);
    sleep(Duration::from_millis(50)).await;
    state.request_resync();
    let lost = timeout(ONE_WATCH, lost(&state)).await;
    assert!(matches!(lost, Ok(lost) if lost < Duration::from_millis(5)), "{lost:?}");
}

#[tokio::test(start_paused = true)]
async fn a_store_that_does_not_answer_is_not_asked_more_often_for_doubts() {
    let (state, store) = following(&[Call::Silent, Call::Silent]);
    while watches(&store) < 2 {
        sleep(Duration::from_millis(1)).await;
    }
    state.request_resync();
    sleep(2 * MOMENT).await;
    assert_eq!(watches(&store), 2);
}

#[tokio::test(start_paused = true)]
async fn a_version_that_comes_after_two_silent_watches_may_be_as_old_as_the_last_answer() {
    let news = Call::News(Duration::ZERO);
    let (state, _store) = following(&[Call::Silent, Call::Silent, news]);
    let heard = Instant::now();
    let lost = lost(&state).await;
    // It has no more than its whole time to lose.
    let unheard = heard.elapsed().min(state.options().overlap.clear);
    assert!(lost + Duration::from_millis(20) >= unheard, "{lost:?} of {unheard:?}");
}

#[tokio::test(start_paused = true)]
async fn a_version_that_the_store_forgot_to_tell_may_be_as_old_as_the_last_answer() {
    let (state, _store) = following(&[Call::Forgotten]);
    let heard = Instant::now();
    let lost = lost(&state).await;
    // It has no more than its whole time to lose.
    let unheard = heard.elapsed().min(state.options().overlap.clear);
    assert!(unheard >= Duration::from_millis(500), "{unheard:?}");
    assert!(lost + Duration::from_millis(20) >= unheard, "{lost:?} of {unheard:?}");
}

// The answer that a watch waits for comes while the machine is suspended, and lies there
// until it wakes.
#[tokio::test(start_paused = true)]
async fn a_version_that_came_while_the_machine_was_suspended_may_be_as_old_as_that() {
    static SUSPENDED: AtomicU64 = AtomicU64::new(0);
    let clock = Clock::start_suspended_by(&SUSPENDED);
    let (state, _store) = following_by(clock, &[Call::News(Duration::from_millis(100))]);
    sleep(Duration::from_millis(50)).await;
    SUSPENDED.store(700, Ordering::SeqCst);
    let lost = lost(&state).await;
    assert!(lost >= Duration::from_millis(700), "{lost:?}");
}

#[tokio::test(start_paused = true)]
async fn a_watch_is_given_up_in_its_time_though_the_machine_was_suspended() {
    static SUSPENDED: AtomicU64 = AtomicU64::new(0);
    let clock = Clock::start_suspended_by(&SUSPENDED);
    let (_knowledge, store) = following_by(clock, &[Call::Silent]);
    sleep(Duration::from_millis(50)).await;
    SUSPENDED.store(60_000, Ordering::SeqCst);
    // What a timer is late by at most that began before.
    sleep(Duration::from_millis(520)).await;
    assert_eq!(watches(&store), 2);
}
