//! Follows the platform's store: one task for each [`source`], a kind of data, reads it and then
//! watches it for changes.
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

use super::fetch_log;
use super::source::{
    Answer, Configuration, Endpoints, Evacuations, Next, ROLE_POLL, Shared, Source, Versions,
};
use super::state::State;
use crate::util::clock::Clock;
use crate::util::settings::internal_address;
use crate::util::signal;
use crate::util::stop;

/// The back-off after the first failure of a call to the store.
const FIRST_BACKOFF: Duration = Duration::from_millis(120);

/// The maximum back-off after failures. Changes must arrive soon after an outage, and expired
/// entries have 2 s from the end of the outage to return, of the 2.85 s for which they are
/// retained from the last failure on.
const LAST_BACKOFF: Duration = Duration::from_millis(500);

/// The maximum number of times that the back-off is doubled.
const MAX_DOUBLINGS: u32 = 4;

/// The random factor of the back-off, so that gateways do not retry simultaneously.
const JITTER: Range<f64> = 0.7..1.3;

/// The shortest time until a list of which only a part could be read is read again, where changes
/// are watched for meanwhile.
const REREAD_INTERVAL: Duration = Duration::from_secs(2);

/// The idle timeout of a response that has begun: some round trips of a link with packet loss.
const IDLE_TIMEOUT: Duration = Duration::from_millis(600);

/// How long a starting gateway waits for digests of other gateways before it reads the list of
/// gateways from the store.
const DISCOVERY_DELAY: Duration = Duration::from_millis(600);

/// The mean time between two writes of all gateways together after the store has come back from an
/// older copy: they share its limit of writes with endpoints and operators.
const WRITE_SPACING: Duration = Duration::from_millis(20);

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
    tokio::spawn(stop::until(token.clone(), expire_retained(Arc::clone(state))));
    let own = internal_address(settings);
    let register = register(shared(), settings.instance.to_string(), own);
    tokio::spawn(stop::until(token, register));
}

/// A call to the store in progress.
type Call<'a> = BoxFuture<'a, Result<Answer<'a>, Error>>;

/// The outcome of waiting for the store.
enum Outcome<'a> {
    /// The newest call or a late one was answered.
    Answered(Answer<'a>),
    /// The newest call failed.
    Failed(Error),
    /// The newest call timed out after this time and counts as late now.
    TimedOut(Duration),
    /// The newest call was abandoned for another one, since a resync was requested.
    Resync,
    /// The newest call was abandoned since its answer is no longer needed.
    Needless,
}

/// A list of which only a part could be read.
#[derive(Debug, Clone, Copy)]
struct Part {
    // The revision of the list.
    revision: Revision,
    // When it is to be read again, by the gateway's clock.
    reread_at: Duration,
}

impl Part {
    /// Returns how long until the list is read again; zero if nothing is watched meanwhile.
    fn wait(&self, source: &dyn Source, now: Duration) -> Duration {
        match source.watches_part() {
            true => self.reread_at.saturating_sub(now),
            false => Duration::ZERO,
        }
    }
}

/// Reads a kind of data and then watches it, with retries after failures.
async fn follow(source: Box<dyn Source>, state: Arc<State>) {
    let clock = state.clock();
    let mut revision = None;
    // Whether the store has dropped the history after `revision`, so that a full read is needed.
    let mut is_forgotten = false;
    let mut watch = Watch::new(clock.now());
    // How many answers in a row brought no revision from which a watch went on.
    let mut setbacks = 0;
    // Set while only a part of the data is known.
    let mut part: Option<Part> = None;
    // Calls that timed out and may still be answered, oldest first.
    let mut late: VecDeque<Call<'_>> = VecDeque::new();
    source.start().await;
    loop {
        let (askers, random) = (source.askers(), rand::random());
        let mut wait = watch.wait(askers, random);
        // Other gateways may have sent the whole list.
        part = part.filter(|part| source.known() < Some(part.revision));
        let is_known = revision.or(source.known()).is_some() && !is_forgotten;
        if is_known && part.is_none() && source.role() == Role::Follower {
            wait_for_poll(watch.poll_interval(askers, random), &*source, clock).await;
            watch.record_pause();
            wait = Duration::ZERO;
        }
        if !is_forgotten {
            revision = revision.max(source.known());
            watch.record_peer_sync(source.gossiped_at());
        }
        // A revision of an earlier era stands for other contents by now.
        let after = revision.filter(|revision| revision.era() >= state.era());
        let until_reread = part.map_or(Duration::MAX, |part| part.wait(&*source, clock.now()));
        let after = after.filter(|_| until_reread > Duration::ZERO);
        let wait = wait.min(until_reread);
        let suspended = clock.suspended();
        let progress = Progress::default();
        let mut call = call(&*source, after, wait, &progress);
        let limit = after.map_or(Duration::ZERO, |_| wait) + MARGIN;
        let timeout = Timeout { clock, progress: &progress, limit };
        let outcome = tokio::select! {
            outcome = wait_for_answer(&mut call, &mut late, &state, &watch, timeout) => outcome,
            () = source.needless(), if after.is_some() => Outcome::Needless,
            () = state.later_era(after) => Outcome::Resync,
        };
        match outcome {
            Outcome::Answered(answer) => {
                if clock.was_suspended_since(suspended) {
                    // The answer may have been received long before the process resumed.
                    watch.abandon();
                }
                let next = apply(answer, &*source, &state, &mut watch);
                source.answered(true);
                late.clear();
                let before = revision;
                (revision, is_forgotten) = match next {
                    Next::Watch(newer) | Next::WatchList(newer) => (Some(newer), false),
                    Next::Part(newer) => (before.max(Some(newer)), false),
                    Next::Read => (None, true),
                    Next::Retry => (before, false),
                };
                part = match next {
                    Next::WatchList(_) => None,
                    Next::Part(revision) => {
                        let interval = jittered(REREAD_INTERVAL.max(watch.wait(askers, random)));
                        Some(Part { revision, reread_at: clock.now() + interval })
                    }
                    Next::Watch(_) | Next::Read | Next::Retry => part,
                };
                match next {
                    Next::Part(_) if !source.watches_part() => sleep(jittered(LAST_BACKOFF)).await,
                    Next::Watch(newer) | Next::WatchList(newer) | Next::Part(newer) => {
                        if before != Some(newer) {
                            sleep(source.gather()).await;
                        }
                    }
                    Next::Read | Next::Retry if setbacks > 0 => {
                        sleep(jittered(doubled(setbacks))).await;
                    }
                    Next::Read | Next::Retry => {}
                }
                setbacks = setbacks_after(next, setbacks);
            }
            Outcome::Failed(error) => {
                let due = clock.now();
                watch.record_failure(due);
                source.answered(false);
                state.record_store_failure(due);
                fetch_log::abandoned(source.name(), &progress);
                report_failure(&*source, &state, &watch, &error);
                part = part.map(|part| Part { reread_at: due + REREAD_INTERVAL, ..part });
                sleep(backoff(&error, watch.failures())).await;
            }
            Outcome::TimedOut(limit) => {
                let due = clock.now().saturating_sub(MARGIN);
                watch.record_failure(due);
                source.answered(false);
                state.record_store_failure(due);
                let error = Error::Unavailable(format!("no answer within {limit:?}"));
                report_failure(&*source, &state, &watch, &error);
                if revision.is_some() && watch.failures() == 1 {
                    // The other watches may be broken for the same reason.
                    state.request_resync();
                }
                late.push_back(call);
                late.drain(..late.len().saturating_sub(LATE_CALLS));
            }
            Outcome::Resync => {
                fetch_log::abandoned(source.name(), &progress);
                watch.abandon();
            }
            Outcome::Needless => fetch_log::abandoned(source.name(), &progress),
        }
    }
}

/// Waits for the poll interval of a follower, or until data from other gateways is overdue, or
/// until this gateway becomes a reader.
async fn wait_for_poll(time: Duration, source: &dyn Source, clock: Clock) {
    let until = clock.now() + time;
    loop {
        sleep(until.saturating_sub(clock.now()).min(ROLE_POLL)).await;
        if clock.now() >= until || source.role() == Role::Reader || source.is_overdue() {
            return;
        }
    }
}

/// A call that reads all of a kind of data, or watches for changes after a revision.
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

/// The timeout of a call.
struct Timeout<'a> {
    clock: Clock,
    // The progress of the call's response.
    progress: &'a Progress,
    // The time within which the response has to begin.
    limit: Duration,
}

impl Timeout<'_> {
    /// Waits until the response has not begun in time, or has stalled. Returns the time waited.
    ///
    /// A response that is still arriving is not requested again: the transfers would share the
    /// link and each would take longer.
    async fn passed(&self) -> Duration {
        let began = self.clock.now();
        self.clock.sleep(self.limit).await;
        self.stalled().await;
        self.clock.now().saturating_sub(began)
    }

    /// Waits until a response that has begun stalls; returns at once if none has begun.
    async fn stalled(&self) {
        if self.progress.bytes() > 0 {
            self.progress.wait_stalled(IDLE_TIMEOUT).await;
        }
    }
}

/// Waits until the call or a late one is answered, or the call times out.
async fn wait_for_answer<'a>(
    call: &mut Call<'a>,
    late: &mut VecDeque<Call<'a>>,
    state: &State,
    watch: &Watch,
    timeout: Timeout<'_>,
) -> Outcome<'a> {
    let mut resyncs = state.resync_requests();
    let resync = async {
        // A store that does not answer gets no additional calls.
        if watch.failures() > 0 {
            return pending().await;
        }
        resyncs.changed().await;
        sleep(RESYNC_GRACE).await;
        timeout.stalled().await;
    };
    tokio::select! {
        answer = call => answer.map_or_else(Outcome::Failed, Outcome::Answered),
        answer = any_answer(late) => Outcome::Answered(answer),
        waited = timeout.passed() => Outcome::TimedOut(waited),
        () = resync => Outcome::Resync,
    }
}

/// Waits for the first successful answer among some calls.
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

/// Applies an answer of the store. Returns what to do next.
fn apply(answer: Answer<'_>, source: &dyn Source, state: &Arc<State>, watch: &mut Watch) -> Next {
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
    let next = answer(watch.freshness(now));
    match next {
        Next::Watch(_) | Next::WatchList(_) => watch.record_complete(now),
        Next::Part(_) | Next::Read | Next::Retry => watch.record_gap(now),
    }
    next
}

/// Counts the answers in a row that brought no revision from which a watch went on. A list ends
/// the row only once a watch from its revision was answered: the store may lack that revision too.
fn setbacks_after(next: Next, setbacks: u32) -> u32 {
    match next {
        Next::Watch(_) => 0,
        Next::WatchList(_) | Next::Part(_) => setbacks,
        Next::Read | Next::Retry => setbacks + 1,
    }
}

/// Logs a failure, and records the outage of the store once enough calls failed in a row.
fn report_failure(source: &dyn Source, state: &State, watch: &Watch, error: &Error) {
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

/// Removes entries that were retained because of an outage when they expire.
async fn expire_retained(state: Arc<State>) {
    let mut expiries = state.retention_changes();
    loop {
        match state.next_retention_end() {
            None => expiries.changed().await,
            Some(due) => {
                let left = due.saturating_sub(state.clock().now());
                tokio::select! {
                    () = expiries.changed() => {}
                    () = state.clock().sleep(left) => {}
                }
            }
        }
        state.expire_retained();
    }
}

/// The back-off after a number of failures in a row: at least what the store asks for, with
/// jitter so that gateways do not retry simultaneously.
fn backoff(error: &Error, failures: u32) -> Duration {
    let wait = doubled(failures);
    let wait = match error {
        Error::RateLimited(limited) => wait.max(*limited),
        _ => wait,
    };
    jittered(wait)
}

/// The back-off after a number of failures in a row, without jitter.
fn doubled(failures: u32) -> Duration {
    FIRST_BACKOFF.saturating_mul(1 << failures.min(MAX_DOUBLINGS)).min(LAST_BACKOFF)
}

fn jittered(wait: Duration) -> Duration {
    wait.mul_f64(rand::random_range(JITTER))
}

/// Waits until this gateway reads for its region, or has discovered no other gateway after they
/// had time to send a digest.
pub(super) async fn reads_or_is_alone(state: &State) {
    sleep(DISCOVERY_DELAY).await;
    while state.role() == Role::Follower && state.view().gateways > 1 {
        sleep(ROLE_POLL).await;
    }
}

/// Registers this gateway with the store and reads the list of gateways once, if this gateway
/// reads for its region or has discovered no other.
///
/// All other gateways are discovered by digests. If every gateway read the list, the calls at a
/// simultaneous start would grow with the square of their number, since the list has one page
/// per hundred gateways.
///
/// A store that came back from an older copy may lack the registration, which is then repeated.
async fn register(shared: Shared, name: String, own: SocketAddr) {
    reads_or_is_alone(&shared.state).await;
    announce(&shared, &name, own).await;
    // A restore may follow at once, while the list is read.
    let restores = shared.state.restores();
    tokio::join!(discover(&shared, own), register_again(&shared, &name, own, restores));
}

/// Registers this gateway with the store, once the store accepts it.
async fn announce(shared: &Shared, name: &str, own: SocketAddr) {
    let mut failures = 0;
    while let Err(error) = shared.registry.announce(name, own).await {
        failures += 1;
        tracing::debug!(%error, "registering this gateway with the store failed");
        sleep(backoff(&error, failures)).await;
    }
}

/// Discovers the other gateways that the store lists. Reads the list until it is whole.
async fn discover(shared: &Shared, own: SocketAddr) {
    let mut failures = 0;
    loop {
        match shared.registry.gateways().await {
            Ok(listed) => {
                let is_whole = listed.is_whole();
                let others = listed.into_inner().into_iter().filter(|gateway| *gateway != own);
                others.for_each(|gateway| _ = shared.state.observe_gateway(gateway, false));
                if is_whole {
                    return;
                }
                failures = 0;
                sleep(jittered(REREAD_INTERVAL)).await;
            }
            Err(error) => {
                failures += 1;
                tracing::debug!(%error, "reading the list of gateways failed");
                sleep(backoff(&error, failures)).await;
            }
        }
    }
}

/// Registers this gateway with the store each time that it has come back from an older copy, and
/// never returns.
async fn register_again(
    shared: &Shared,
    name: &str,
    own: SocketAddr,
    mut restores: signal::Receiver,
) {
    loop {
        restores.changed().await;
        let gateways = u32::try_from(shared.state.view().gateways).unwrap_or(u32::MAX);
        sleep(WRITE_SPACING.saturating_mul(gateways).mul_f64(rand::random())).await;
        announce(shared, name, own).await;
    }
}
