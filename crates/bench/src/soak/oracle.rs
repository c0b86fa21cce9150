//! What callers, endpoints and the player have seen, and what is broken by it.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cinderspoke_test_support::oracle::attempt::{Attempt, End, Run};
use cinderspoke_test_support::oracle::budget::{self, Allowance, Repeats};
use cinderspoke_test_support::oracle::disturbance::{Disturbance, Kind, Whom};
use cinderspoke_test_support::oracle::fatal;
use cinderspoke_test_support::oracle::judge::{Bounds, Breach, Facts, Promise, Span, judge};
use cinderspoke_test_support::oracle::limit::Limits;
use cinderspoke_test_support::oracle::notice::{Arrival, Notices};
use cinderspoke_test_support::oracle::size;
use tokio::time::Instant;

use super::{configuration, parts};

/// How long an attempt that is over is kept: what comes of it later is seen until then.
const SETTLE: Duration = Duration::from_secs(8);

#[derive(Default)]
struct State {
    attempts: HashMap<String, Attempt>,
    facts: Facts,
    // Arrivals of the request that ends endpoints.
    fatal: Vec<fatal::Arrival>,
    part: Part,
    // Callers with requests of all sizes.
    sized: Vec<size::Caller>,
    notices: Notices,
    limits: Limits,
    repeats: Repeats,
    // Endpoints whose word that they leave the store has lost too soon for all to know it.
    unsaid: HashSet<String>,
    breaches: Vec<Breach>,
    requests: u64,
    succeeded: u64,
}

/// What was seen of requests with a part under which engines end, and of sound ones beside them.
#[derive(Default)]
struct Part {
    // Their route, if there are any.
    route: Option<&'static str>,
    arrivals: Vec<fatal::Arrival>,
    ends: Vec<Duration>,
    // When the last one was sent.
    last: Duration,
    sound: Vec<fatal::Sound>,
}

impl Part {
    /// Takes down an attempt that is over, if it is a sound request of the route and the key.
    fn settle(&mut self, attempt: &Attempt) {
        if self.route == Some(attempt.route.as_str()) && attempt.key == parts::KEY {
            let Attempt { gateway, sent, runs, .. } = attempt;
            let has_begun = runs.iter().any(|run| run.ran);
            self.sound.push(fatal::Sound { gateway: *gateway, sent: *sent, has_begun });
        }
    }
}

/// The oracle; clones share what was seen.
#[derive(Clone)]
pub(crate) struct Oracle {
    began: Instant,
    bounds: Bounds,
    state: Arc<Mutex<State>>,
}

/// An arrival at an endpoint; dropping it tells that the endpoint is done with it.
pub(crate) struct Work {
    oracle: Oracle,
    id: String,
    number: usize,
}

impl Drop for Work {
    fn drop(&mut self) {
        let now = self.oracle.now();
        self.oracle.change(&self.id, |attempt| {
            if let Some(run) = attempt.runs.get_mut(self.number) {
                run.ended = Some(now);
            }
        });
    }
}

impl Work {
    /// Tells that the endpoint breaks it off.
    pub(crate) fn break_off(&self) {
        self.oracle.change(&self.id, |attempt| {
            if let Some(run) = attempt.runs.get_mut(self.number) {
                run.broken_off = true;
            }
        });
    }
}

impl Oracle {
    pub(crate) fn new(bounds: Bounds) -> Self {
        Self { began: Instant::now(), bounds, state: Arc::default() }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The time since the start of the soak.
    pub(crate) fn now(&self) -> Duration {
        self.began.elapsed()
    }

    fn change(&self, id: &str, change: impl FnOnce(&mut Attempt)) {
        if let Some(attempt) = self.lock().attempts.get_mut(id) {
            change(attempt);
        }
    }

    /// A caller sends a request.
    pub(crate) fn sent(&self, attempt: Attempt) {
        let mut state = self.lock();
        state.requests += 1;
        state.attempts.insert(attempt.id.clone(), attempt);
    }

    /// A caller's request turned out not to be sent at all.
    pub(crate) fn withdrawn(&self, id: &str) {
        let mut state = self.lock();
        state.requests -= 1;
        state.attempts.remove(id);
    }

    /// An attempt is over for its caller.
    pub(crate) fn over(&self, id: &str, end: End) {
        let now = self.now();
        let good = matches!(end, End::Answered { status: 200, .. });
        self.change(id, |attempt| attempt.end = Some((now, end)));
        self.lock().succeeded += u64::from(good);
    }

    /// A request reaches an endpoint.
    pub(crate) fn came(&self, id: &str, run: Run) -> Work {
        let mut number = 0;
        let mut state = self.lock();
        let state = &mut *state;
        match state.attempts.get_mut(id) {
            Some(attempt) => {
                number = attempt.runs.len();
                let (endpoint, came) = (run.endpoint.as_str(), run.came);
                let arrival =
                    Arrival { endpoint, gateway: attempt.gateway, sent: attempt.sent, came };
                let disturbances = &state.facts.disturbances;
                state.breaches.extend(state.notices.judge(arrival, &self.bounds, disturbances));
                state.breaches.extend(state.limits.judge(arrival, &self.bounds, disturbances));
                attempt.runs.push(run);
            }
            None => {
                let Run { endpoint, came, ran, .. } = run;
                let what = format!("{id} at {endpoint}, which no caller waits for (ran: {ran})");
                let promise = Promise::Unasked;
                state.breaches.push(Breach { promise, at: came, excused: false, what });
            }
        }
        Work { oracle: self.clone(), id: id.to_owned(), number }
    }

    /// An endpoint turns the gateway of an attempt away, and asks it for rest.
    pub(crate) fn rests(&self, endpoint: &str, id: &str, rest: Duration) {
        let now = self.now();
        let state = &mut *self.lock();
        if let Some(attempt) = state.attempts.get(id) {
            state.notices.rests(endpoint, attempt.gateway, now, rest);
        }
    }

    /// A gateway has passed on an answer that says that its endpoint leaves.
    pub(crate) fn says_that_it_leaves(&self, endpoint: &str, gateway: usize) {
        let now = self.now();
        self.lock().notices.leaves(endpoint, gateway, now);
    }

    /// An endpoint names a limit from now on; none with none.
    pub(crate) fn names_limit(&self, endpoint: &str, per_s: Option<f64>) {
        let now = self.now();
        self.lock().limits.names(endpoint, now, per_s);
    }

    /// A gateway has passed on an answer that names its endpoint's limit.
    pub(crate) fn informs_of_limit(&self, endpoint: &str, gateway: usize) {
        let now = self.now();
        self.lock().limits.informs(endpoint, gateway, now);
    }

    /// The request that ends endpoints reaches one.
    pub(crate) fn fatal(&self, arrival: fatal::Arrival) {
        self.lock().fatal.push(arrival);
    }

    /// Judges how often the request reached endpoints that ends them.
    pub(crate) fn held_back(&self, run: Duration) -> Option<Breach> {
        let state = self.lock();
        fatal::judge(&state.fatal, run, &state.facts, &self.bounds)
    }

    /// Requests with a part under which engines end will come on a route.
    pub(crate) fn expect_part(&self, route: &'static str) {
        self.lock().part.route = Some(route);
    }

    /// A caller sends one.
    pub(crate) fn sent_part(&self) {
        let now = self.now();
        self.lock().part.last = now;
    }

    /// One reaches an engine; its work is none of an attempt.
    pub(crate) fn part_came(&self, id: &str, arrival: fatal::Arrival) -> Work {
        self.lock().part.arrivals.push(arrival);
        Work { oracle: self.clone(), id: id.to_owned(), number: 0 }
    }

    /// An engine ends under one.
    pub(crate) fn ended_by_part(&self) {
        let now = self.now();
        self.lock().part.ends.push(now);
    }

    /// Judges how often such requests reached engines, and sound ones beside them.
    pub(crate) fn parts(&self) -> (Vec<Breach>, String) {
        let now = self.now();
        let state = self.lock();
        let (Part { arrivals, ends, last, sound, .. }, facts) = (&state.part, &state.facts);
        let begun = fatal::Begun::new(sound, ends, *last, facts, &self.bounds);
        let fatal::Begun { before, beside } = begun;
        let held_back = fatal::judge_part(arrivals, ends, facts, &self.bounds);
        let told = format!(
            "{} engines ended under a part that reached engines {} times; of sound requests of its \
             route began {before} before and {beside} beside it",
            ends.len(),
            arrivals.len()
        );
        (held_back.into_iter().chain(begun.judge(now)).collect(), told)
    }

    /// A caller with a request of a size has been served, or has given up.
    pub(crate) fn sized(&self, caller: size::Caller) {
        self.lock().sized.push(caller);
    }

    /// How often requests were served by their sizes.
    pub(crate) fn sizes(&self) -> size::Shares {
        size::Shares::new(&self.lock().sized)
    }

    /// The store took that an endpoint leaves.
    pub(crate) fn leaves(&self, endpoint: &str) {
        let now = self.now();
        self.lock().facts.leaving.entry(endpoint.to_owned()).or_insert(now);
    }

    /// The store has lost what it took on an endpoint in a time before it went away. Where that was
    /// long enough ago for all gateways to know, they go on to know it; where not, it counts from
    /// when the store takes it again.
    pub(crate) fn loses(&self, endpoint: &str, age: Duration) {
        let now = self.now();
        let known = self.bounds.drain + self.bounds.contact;
        let state = &mut *self.lock();
        let said = state.facts.leaving.get(endpoint);
        if said.is_some_and(|said| *said + known + age > now) {
            state.facts.leaving.remove(endpoint);
            state.unsaid.insert(endpoint.to_owned());
        }
    }

    /// The store takes an endpoint's word again, after it had lost it.
    pub(crate) fn says_again(&self, endpoint: &str) {
        if self.lock().unsaid.remove(endpoint) {
            self.leaves(endpoint);
        }
    }

    /// The store took a new version.
    pub(crate) fn named(&self, version: u64) {
        let now = self.now();
        self.lock().facts.versions.push((now, version));
    }

    /// The store took a configuration with just these routes and keys.
    pub(crate) fn declared(&self, names: &[String]) {
        let now = self.now();
        let declared = &mut self.lock().facts.declared;
        for name in names {
            declared.entry(name.clone()).or_insert(Span { from: now, until: None });
        }
        for (name, span) in declared.iter_mut() {
            if !names.contains(name) {
                span.until.get_or_insert(now);
            }
        }
    }

    /// A fault strikes; gives its number, with which it ends.
    pub(crate) fn struck(&self, kind: Kind, whom: Whom) -> usize {
        let from = self.now();
        let disturbances = &mut self.lock().facts.disturbances;
        disturbances.push(Disturbance { kind, whom, from, until: None });
        disturbances.len() - 1
    }

    /// The machine stood still until now, so that what was seen was seen late.
    pub(crate) fn stalled(&self, from: Duration) {
        let (kind, whom, until) = (Kind::Stall, Whom::All, Some(self.now()));
        self.lock().facts.disturbances.push(Disturbance { kind, whom, from, until });
    }

    /// A fault is over.
    pub(crate) fn passed(&self, number: usize) {
        let now = self.now();
        if let Some(disturbance) = self.lock().facts.disturbances.get_mut(number) {
            disturbance.until = Some(now);
        }
    }

    /// Something broke a promise outside all attempts.
    pub(crate) fn broken(&self, promise: Promise, what: String) {
        let at = self.now();
        self.lock().breaches.push(Breach { promise, at, excused: false, what });
    }

    /// Judges the attempts that have been over for a while, or all; gives what is
    /// broken since the last time.
    pub(crate) fn settle(&self, all: bool) -> Vec<Breach> {
        let now = self.now();
        let mut state = self.lock();
        let State { attempts, facts, breaches, part, repeats, .. } = &mut *state;
        attempts.retain(|_, attempt| {
            let settled =
                all || attempt.end.as_ref().is_some_and(|(at, _)| now.saturating_sub(*at) > SETTLE);
            if settled {
                breaches.extend(judge(attempt, facts, &self.bounds));
                part.settle(attempt);
                repeats.add(configuration::service(&attempt.route), attempt);
            }
            !settled
        });
        std::mem::take(breaches)
    }

    /// The window of each service in which settled attempts used the most of what may arrive beyond
    /// the first of each request.
    pub(crate) fn repeats(&self, allowance: &Allowance) -> Vec<budget::Window> {
        self.lock().repeats.worst(allowance)
    }

    /// How many requests were sent, and how many were served.
    pub(crate) fn requests(&self) -> (u64, u64) {
        let state = self.lock();
        (state.requests, state.succeeded)
    }
}
