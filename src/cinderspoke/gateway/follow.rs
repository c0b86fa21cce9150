//! Learning from the platform's store, one task for each kind of fact: a [`source`].
//!
//! [`source`]: super::source

use std::collections::VecDeque;
use std::future::{pending, poll_fn};
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use cinderspoke_core::gateway::fact::Revision;
use cinderspoke_core::gateway::region::Role;
use cinderspoke_core::gateway::watch::{LATE_CALLS, MARGIN, OUTAGE_FAILURES, RESYNC_GRACE, Watch};
use cinderspoke_ports::Error;
use cinderspoke_ports::client::Progress;
use cinderspoke_ports::gateway::Registry;
use cinderspoke_schema::settings;
use futures::FutureExt;
use futures::future::BoxFuture;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::draw;
use super::source::{
    Answer, Configuration, Endpoints, Evacuations, LOOK_AT_ROLE, Shared, Source, Versions,
};
use super::state::State;
use crate::util::clock::Clock;
use crate::util::settings::inner_address;
use crate::util::stop;

/// How long to stay away after a failure, at first.
const FIRST_BACKOFF: Duration = Duration::from_millis(120);

/// How long to stay away after a failure, at most: news must not come late once
/// the platform is back, and entries that lapsed have 2 s from its return to be back of the
/// 2.85 s for which they are kept from the last failure on.
const LAST_BACKOFF: Duration = Duration::from_millis(500);

/// How often the time to stay away is doubled at most.
const MOST_DOUBLINGS: u32 = 4;

/// By how much the time to stay away differs from one gateway to the next.
const SPREAD: Range<f64> = 0.7..1.3;

/// How long an answer that is on its way may bring nothing more: some round trips of a link
/// on which packets are lost.
const PAUSE: Duration = Duration::from_millis(600);

/// How long a gateway that starts waits for the word of others before it asks the store who
/// they are.
const ALONE: Duration = Duration::from_millis(600);

/// Starts the tasks that follow the store.
pub fn spawn(
    state: &Arc<State>,
    registry: &Arc<dyn Registry>,
    settings: &settings::Node,
    token: CancellationToken,
) {
    let shared = || Shared { state: Arc::clone(state), registry: Arc::clone(registry) };
    let mut sources: Vec<Box<dyn Source>> = vec![
        Box::new(Configuration(shared())),
        Box::new(Versions(shared())),
        Box::new(Endpoints(shared())),
    ];
    if state.options().evacuates {
        sources.push(Box::new(Evacuations(shared())));
    }
    for source in sources {
        let state = Arc::clone(state);
        tokio::spawn(stop::until(token.clone(), follow(source, state)));
    }
    tokio::spawn(stop::until(token.clone(), settle(Arc::clone(state))));
    let own = inner_address(settings);
    let meet = meet(shared(), settings.instance.to_string(), own);
    tokio::spawn(stop::until(token, meet));
}

/// A call to the store that is under way.
type Call<'a> = BoxFuture<'a, Result<Answer<'a>, Error>>;

/// What became of waiting for the store.
enum Asked<'a> {
    /// It answered, the newest call or a late one.
    Answered(Answer<'a>),
    /// The newest call failed.
    Failed(Error),
    /// Nothing came in time, which is how long was waited; the newest call is late now.
    Silent(Duration),
    /// The newest call was given up for another one.
    Overtaken,
    /// The newest call was given up since nothing is expected of it any more.
    Needless,
}

/// Reads a kind of fact and then watches it, whatever fails.
async fn follow(source: Box<dyn Source>, state: Arc<State>) {
    let clock = state.clock();
    let mut revision = None;
    // Whether the store has dropped its history, so that all has to be read.
    let mut is_forgotten = false;
    let mut watch = Watch::new(clock.now());
    // Calls that are late, the oldest first.
    let mut late: VecDeque<Call<'_>> = VecDeque::new();
    source.start().await;
    loop {
        let (askers, draw) = (source.askers(), rand::random());
        let mut wait = watch.wait(askers, draw);
        let is_known = revision.or(source.known()).is_some() && !is_forgotten;
        if is_known && source.role() == Role::Follower {
            pass(watch.poll_interval(askers, draw), &*source, clock).await;
            watch.record_pause();
            wait = Duration::ZERO;
        }
        if !is_forgotten {
            revision = revision.max(source.known());
            watch.record_peer_sync(source.told_at());
        }
        let suspended = clock.suspended();
        let progress = Progress::default();
        let mut call = call(&*source, revision, wait, &progress);
        let limit = revision.map_or(Duration::ZERO, |_| wait) + MARGIN;
        let silence = Silence { clock, progress: &progress, limit };
        let asked = tokio::select! {
            asked = ask(&mut call, &mut late, &state, &watch, silence) => asked,
            () = source.needless(), if revision.is_some() => Asked::Needless,
        };
        match asked {
            Asked::Answered(answer) => {
                if clock.was_suspended_since(suspended) {
                    // It may have lain here since long before.
                    watch.abandon();
                }
                let before = revision;
                revision = take_in(answer, &*source, &state, &mut watch);
                is_forgotten = revision.is_none();
                source.answered(true);
                late.clear();
                if revision != before {
                    sleep(source.gather()).await;
                }
            }
            Asked::Failed(error) => {
                let due = clock.now();
                watch.record_failure(due);
                source.answered(false);
                state.record_store_failure(due);
                draw::given_up(source.name(), &progress);
                tell_failure(&*source, &state, &watch, &error);
                sleep(backoff(&error, watch.failures())).await;
            }
            Asked::Silent(limit) => {
                let due = clock.now().saturating_sub(MARGIN);
                watch.record_failure(due);
                source.answered(false);
                state.record_store_failure(due);
                let error = Error::Unavailable(format!("no answer within {limit:?}"));
                tell_failure(&*source, &state, &watch, &error);
                if revision.is_some() && watch.failures() == 1 {
                    // What silenced this watch may have silenced the others.
                    state.request_resync();
                }
                late.push_back(call);
                late.drain(..late.len().saturating_sub(LATE_CALLS));
            }
            Asked::Overtaken => {
                draw::given_up(source.name(), &progress);
                watch.abandon();
            }
            Asked::Needless => draw::given_up(source.name(), &progress),
        }
    }
}

/// Lets the time pass after which a gateway that follows others looks by itself, or until
/// they leave it behind, or it is to wait for the store's news.
async fn pass(time: Duration, source: &dyn Source, clock: Clock) {
    let until = clock.now() + time;
    loop {
        sleep(until.saturating_sub(clock.now()).min(LOOK_AT_ROLE)).await;
        if clock.now() >= until || source.role() == Role::Reader || source.is_left_behind() {
            return;
        }
    }
}

/// A call for all of a kind of fact, or for what came after a revision.
fn call<'a>(
    source: &'a dyn Source,
    revision: Option<Revision>,
    wait: Duration,
    progress: &Progress,
) -> Call<'a> {
    let progress = progress.clone();
    async move {
        match revision {
            Some(after) => source.watch(after, wait, &progress).await,
            None => source.read(&progress).await,
        }
    }
    .boxed()
}

/// What tells that a call will bring nothing.
struct Silence<'a> {
    clock: Clock,
    // Of the call's answer.
    progress: &'a Progress,
    // Within how long it has to have begun.
    limit: Duration,
}

impl Silence<'_> {
    /// Waits until nothing of the answer has come in time, or nothing more of it; gives how
    /// long that was.
    ///
    /// An answer that is still arriving is not requested again: the transfers would share the
    /// link and each would take longer.
    async fn passed(&self) -> Duration {
        let began = self.clock.now();
        self.clock.sleep(self.limit).await;
        self.stalled().await;
        self.clock.now().saturating_sub(began)
    }

    /// Waits until nothing more comes of an answer that is on its way, if one is.
    async fn stalled(&self) {
        if self.progress.bytes() > 0 {
            self.progress.stalled(PAUSE).await;
        }
    }
}

/// Waits for a call or a late one to answer, until the call is late itself.
async fn ask<'a>(
    call: &mut Call<'a>,
    late: &mut VecDeque<Call<'a>>,
    state: &State,
    watch: &Watch,
    silence: Silence<'_>,
) -> Asked<'a> {
    let mut doubts = state.resync_requests();
    let overtaken = async {
        // A store that does not answer is not hurried.
        if watch.failures() > 0 {
            return pending().await;
        }
        doubts.changed().await;
        sleep(RESYNC_GRACE).await;
        silence.stalled().await;
    };
    tokio::select! {
        answer = call => answer.map_or_else(Asked::Failed, Asked::Answered),
        answer = any_answer(late) => Asked::Answered(answer),
        waited = silence.passed() => Asked::Silent(waited),
        () = overtaken => Asked::Overtaken,
    }
}

/// Waits for the first of some calls that does not fail.
async fn any_answer<'a>(calls: &mut VecDeque<Call<'a>>) -> Answer<'a> {
    poll_fn(|context| {
        let mut answer = None;
        calls.retain_mut(|call| match call.poll_unpin(context) {
            Poll::Ready(ended) => {
                answer = answer.take().or(ended.ok());
                false
            }
            Poll::Pending => true,
        });
        answer.map_or(Poll::Pending, Poll::Ready)
    })
    .await
}

/// Takes in an answer of the store; gives the revision from which to watch.
fn take_in(
    answer: Answer<'_>,
    source: &dyn Source,
    state: &Arc<State>,
    watch: &mut Watch,
) -> Option<Revision> {
    let now = state.clock().now();
    let (failures, unheard) = (watch.failures(), watch.since_last_answer(now));
    if failures > 0 {
        let (kind, unheard_ms) = (source.name(), unheard.as_millis() as u64);
        tracing::info!(kind, failures, unheard_ms, "store answers again");
    }
    if failures >= OUTAGE_FAILURES {
        state.record_outage_end();
    }
    state.record_store_answer();
    let revision = answer(watch.freshness(now));
    match revision {
        Some(_) => watch.record_complete(now),
        None => watch.record_gap(now),
    }
    revision
}

/// Tells of a failure, and of the store's loss when it is the second in a row.
fn tell_failure(source: &dyn Source, state: &State, watch: &Watch, error: &Error) {
    let kind = source.name();
    if watch.failures() == 1 {
        let unheard_ms = watch.since_last_answer(state.clock().now()).as_millis() as u64;
        tracing::info!(kind, unheard_ms, %error, "store did not answer");
    }
    if watch.failures() == OUTAGE_FAILURES {
        state.record_outage_start(watch.unanswered_since());
        tracing::warn!(kind, %error, "store lost");
    }
}

/// Gives up entries that are kept around an outage as each has had its time.
async fn settle(state: Arc<State>) {
    let mut kept = state.retention_changes();
    loop {
        match state.next_retention_end() {
            None => kept.changed().await,
            Some(due) => {
                let left = due.saturating_sub(state.clock().now());
                tokio::select! {
                    () = kept.changed() => {}
                    () = state.clock().sleep(left) => {}
                }
            }
        }
        state.expire_retained();
    }
}

/// How long to stay away after so many failures in a row: longer where the store
/// asks for it, and a little different each time, so that gateways spread out.
fn backoff(error: &Error, failures: u32) -> Duration {
    let wait = FIRST_BACKOFF.saturating_mul(1 << failures.min(MOST_DOUBLINGS)).min(LAST_BACKOFF);
    let wait = match error {
        Error::Limited(limited) => wait.max(*limited),
        _ => wait,
    };
    wait.mul_f64(rand::random_range(SPREAD))
}

/// Waits until this gateway reads for its region, or has heard of no other when the others had
/// time to say who they are.
pub(super) async fn reads_or_is_alone(state: &State) {
    sleep(ALONE).await;
    while state.role() == Role::Follower && state.view().gateways > 1 {
        sleep(LOOK_AT_ROLE).await;
    }
}

/// Tells the store that this gateway is there, and learns of the others once, where it reads
/// for its region or has heard of no other.
///
/// The rest are known by digests. Were all to do so, the calls at a start of all would grow with
/// the square of their number: a list has as many pages as there are hundreds of gateways.
async fn meet(shared: Shared, name: String, own: SocketAddr) {
    reads_or_is_alone(&shared.state).await;
    let mut failures = 0;
    loop {
        let met = async {
            shared.registry.announce(&name, own).await?;
            shared.registry.gateways().await
        };
        match met.await {
            Ok(gateways) => {
                let others = gateways.into_iter().filter(|gateway| *gateway != own);
                others.for_each(|gateway| _ = shared.state.observe_gateway(gateway, false));
                return;
            }
            Err(error) => {
                failures += 1;
                tracing::debug!(%error, "registering this gateway with the store failed");
                sleep(backoff(&error, failures)).await;
            }
        }
    }
}
