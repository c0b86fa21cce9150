//! The retry budget that all gateways share.

use std::time::Duration;

use cinderspoke_core::gateway::budget::{Budget, Options};
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const RATIO: f64 = 0.2;

const WINDOW: Duration = Duration::from_secs(10);

/// The most sends of a request.
const SENDS: usize = 3;

/// Slack for each gateway of the smallest fleets and of the largest ones, in retries.
const SLACK: std::ops::Range<f64> = 4.0..15.0;

fn options(slack: f64) -> Options {
    Options { ratio: RATIO, window: WINDOW, slack }
}

/// A stretch of time in which the same things go wrong.
#[derive(Debug, Clone)]
struct Phase {
    length: f64,
    /// Requests of all callers per second.
    per_s: f64,
    /// The part of the sends that fail.
    failing: f64,
    /// Starts of gateways per second, each of one that ends at the same moment.
    restarts_per_s: f64,
    /// Into how many parts the gateways are partitioned, the first of them in parts of one.
    parts: usize,
    alone: usize,
    /// The part of the requests that go to a single gateway.
    skew: f64,
    /// The part of what is withdrawn that is not sent.
    unsent: f64,
}

/// Gateways in a series of phases.
#[derive(Debug, Clone)]
struct Scenario {
    gateways: usize,
    slack: f64,
    phases: Vec<Phase>,
    seed: u64,
}

fn phase() -> impl Strategy<Value = Phase> {
    let rate = prop_oneof![1.0..20.0, 20.0..400.0];
    let failing = prop_oneof![Just(0.0), Just(1.0), 0.0..1.0];
    let restarts = prop_oneof![Just(0.0), 0.0..5.0];
    let skew = prop_oneof![Just(0.0), 0.0..1.0];
    (0.5..15.0, rate, failing, restarts, 1..5_usize, 0..3_usize, skew, 0.0..0.5).prop_map(
        |(length, per_s, failing, restarts_per_s, parts, alone, skew, unsent)| Phase {
            length,
            per_s,
            failing,
            restarts_per_s,
            parts,
            alone,
            skew,
            unsent,
        },
    )
}

fn scenario() -> impl Strategy<Value = Scenario> {
    let gateways = prop_oneof![2..10_usize, 10..150_usize];
    (gateways, SLACK, prop::collection::vec(phase(), 1..8), any::<u64>()).prop_map(
        |(gateways, slack, phases, seed)| {
            let slack = slack * gateways as f64;
            Scenario { gateways, slack, phases, seed }
        },
    )
}

/// A process of a gateway.
#[derive(Default)]
struct Process {
    budget: Budget,
    /// The gateways that it has ever known, itself included.
    known: usize,
}

/// When callers sent requests, and when requests reached endpoints again.
#[derive(Default)]
struct Seen {
    requests: Vec<Duration>,
    repeats: Vec<Duration>,
}

/// The number of times within a span, given that they are sorted.
fn within(times: &[Duration], from: Duration, until: Duration) -> usize {
    times.partition_point(|time| *time <= until) - times.partition_point(|time| *time < from)
}

impl Seen {
    /// The most repeats beyond what is allowed, over all windows that begin or end with one.
    fn excess(&self, slack: f64) -> f64 {
        let ends = self.repeats.iter().flat_map(|time| [*time, *time + WINDOW]);
        ends.map(|end| {
            // Shifted by a window so that no time is negative.
            let spans = [0, 5, 10].map(|before| {
                let until = (end + WINDOW).saturating_sub(Duration::from_secs(before));
                let until = until.saturating_sub(WINDOW);
                within(&self.requests, until.saturating_sub(WINDOW), until)
            });
            let requests = spans.into_iter().max().unwrap_or_default();
            let repeats = within(&self.repeats, end.saturating_sub(WINDOW), end);
            repeats as f64 - RATIO * requests as f64 - slack
        })
        .fold(f64::NEG_INFINITY, f64::max)
    }
}

/// How many gateways each one can hear in a partition, itself included.
fn heard(gateways: usize, phase: &Phase) -> Vec<usize> {
    let part = |number: usize| match number.checked_sub(phase.alone) {
        Some(number) => number % phase.parts,
        None => phase.parts + number,
    };
    let parts: Vec<_> = (0..gateways).map(part).collect();
    parts.iter().map(|own| parts.iter().filter(|part| *part == own).count()).collect()
}

fn play(scenario: &Scenario) -> Seen {
    let Scenario { gateways, slack, ref phases, seed } = *scenario;
    let (options, mut random) = (options(slack), ChaCha8Rng::seed_from_u64(seed));
    let mut processes: Vec<Process> = (0..gateways).map(|_| Process::default()).collect();
    let (mut seen, mut now) = (Seen::default(), 0.0);
    for phase in phases {
        let (heard, end) = (heard(gateways, phase), now + phase.length);
        let favourite = random.random_range(0..gateways);
        for (process, heard) in processes.iter_mut().zip(&heard) {
            process.known = process.known.max(*heard);
        }
        let events_per_s = phase.per_s + phase.restarts_per_s;
        loop {
            now += -random.random_range(f64::EPSILON..1.0).ln() / events_per_s;
            if now >= end {
                now = end;
                break;
            }
            let at = Duration::from_secs_f64(now);
            let any = random.random_range(0..gateways);
            if random.random_range(0.0..events_per_s) < phase.restarts_per_s {
                processes[any] = Process { known: heard[any], ..Process::default() };
                continue;
            }
            let number = if random.random_bool(phase.skew) { favourite } else { any };
            request(&mut processes[number], at, phase, &options, &mut random, &mut seen);
        }
    }
    seen
}

/// A request that is sent until a send does not fail, or the budget allows no other.
fn request(
    process: &mut Process,
    now: Duration,
    phase: &Phase,
    options: &Options,
    random: &mut ChaCha8Rng,
    seen: &mut Seen,
) {
    let Process { budget, known } = process;
    seen.requests.push(now);
    budget.record_request(now, options, *known);
    for _ in 1..SENDS {
        if !random.random_bool(phase.failing) || !budget.withdraw(now, options, *known) {
            return;
        }
        if random.random_bool(phase.unsent) {
            budget.put_back();
        } else {
            budget.spend();
            seen.repeats.push(now);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    // Guards against repeats beyond the budget of the fleet: gateways divided its slack by the number
    // of those that they heard, so that each side of a partition spent all of it, and a process
    // spent again what the one before it had spent of the last window's requests.
    #[test]
    fn gateways_together_stay_within_the_budget(scenario in scenario()) {
        let excess = play(&scenario).excess(scenario.slack);
        prop_assert!(excess <= 0.0, "{excess:.1} repeats too many");
    }
}

fn calm(per_s: f64, failing: f64, length: f64) -> Phase {
    let (restarts_per_s, skew, unsent) = (0.0, 0.0, 0.0);
    Phase { length, per_s, failing, restarts_per_s, parts: 1, alone: 0, skew, unsent }
}

// Guards against a budget that holds since it is hardly used.
#[test]
fn most_of_the_budget_is_used_where_many_sends_fail() {
    for (gateways, per_s) in [(9, 60.0), (9, 210.0), (40, 500.0), (149, 2000.0)] {
        let slack = 6.0 * gateways as f64;
        let phases = vec![calm(per_s, 0.0, 20.0), calm(per_s, 1.0, 10.0)];
        let seen = play(&Scenario { gateways, slack, phases, seed: 1 });
        let window = 10.0 * per_s;
        let repeats = seen.repeats.len() as f64;
        assert!(repeats >= 0.7 * RATIO * window, "{repeats} of {gateways} at {per_s} requests/s");
    }
}

// Guards against the requests of a crashed endpoint being given up: all in progress there, and those
// sent until it is ejected, fail within a moment.
#[test]
fn what_fails_at_once_when_an_endpoint_ends_is_repeated() {
    for (gateways, per_s, at_once) in [(9, 20.0, 8), (9, 210.0, 30), (40, 500.0, 40)] {
        let slack = 6.0 * gateways as f64;
        let (options, mut random) = (options(slack), ChaCha8Rng::seed_from_u64(2));
        let mut budgets: Vec<Budget> = (0..gateways).map(|_| Budget::default()).collect();
        let requests = (20.0 * per_s) as u64;
        let mut now = Duration::ZERO;
        for number in 0..requests {
            now = Duration::from_secs(20) * number as u32 / requests as u32;
            budgets[random.random_range(0..gateways)].record_request(now, &options, gateways);
        }
        for _ in 0..at_once {
            let budget = &mut budgets[random.random_range(0..gateways)];
            assert!(budget.withdraw(now, &options, gateways), "{gateways} at {per_s}");
            budget.spend();
        }
    }
}

#[test]
fn a_process_begins_with_nothing() {
    let (options, now) = (options(100.0), Duration::from_secs(60));
    let mut budget = Budget::default();
    assert!(!budget.withdraw(now, &options, 1));
    // One request earns less than a retry.
    budget.record_request(now, &options, 1);
    assert!(!budget.withdraw(now, &options, 1));
}

#[test]
fn what_is_put_back_can_be_withdrawn_once() {
    let (options, now) = (options(100.0), Duration::from_secs(1));
    let mut budget = Budget::default();
    (0..8).for_each(|_| budget.record_request(now, &options, 1));
    assert!(budget.withdraw(now, &options, 1));
    budget.put_back();
    assert!(budget.withdraw(now, &options, 1));
    budget.spend();
    assert!(!budget.withdraw(now, &options, 1));
}

// Guards against withdrawing again and again what is saved up, while each retry is on its way.
#[test]
fn what_is_withdrawn_counts_as_saved_until_it_is_spent() {
    let (options, mut budget) = (options(100.0), Budget::default());
    let now = Duration::from_secs(1);
    let mut withdrawn = 0;
    for _ in 0..100 {
        (0..8).for_each(|_| budget.record_request(now, &options, 1));
        withdrawn += usize::from(budget.withdraw(now, &options, 1));
    }
    // Four of the slack, and a fifth of the ratio of the requests within the window.
    assert!(withdrawn as f64 <= 4.0 + 0.2 * RATIO * 800.0, "{withdrawn}");
}
