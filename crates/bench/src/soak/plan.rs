//! The seeded plan: what goes wrong, and when.

use std::ops::Range;
use std::time::Duration;

use cinderspoke_stand_ins::store::Behavior;
use cinderspoke_test_support::proxy::Way;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::program::Signal;

/// Which links a fault strikes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Links {
    /// From gateways to the store.
    Store,
    /// From callers to gateways.
    Callers,
    /// To endpoints.
    Endpoints,
}

/// News that the store takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum News {
    /// An endpoint says that it leaves, and ends later.
    Drain,
    /// An endpoint's entry goes, and it ends later.
    Entry,
    /// An endpoint says in its answers that it leaves, and the store takes it later.
    Notice,
    /// New weights are named.
    Version,
    /// A route comes, and an older one goes.
    Route,
    /// A key comes, and an older one is revoked.
    Key,
}

/// What of the operators' configuration changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Change {
    /// For how long connections of callers may rest.
    Idle(Duration),
    /// The time of each route.
    Timeout(Duration),
    /// A key comes, and an older one is revoked.
    Key,
}

/// Something that is done to the system.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Fault {
    /// Open connections on all links go silent for good.
    Silence(Links),
    /// Open connections on all links are reset.
    Reset(Links),
    /// One link takes longer, for a time.
    Delay(Links, Duration, Duration),
    /// One link loses what is sent one way, for a time.
    Cut(Links, Way, Duration),
    /// The store misbehaves for a time.
    Store(Behavior, Duration),
    /// The store forgets its history.
    Forget,
    /// The store is away for a time, and comes back from a copy that is so old.
    Restore(Duration, Duration),
    /// A program is told to stop, and started again.
    Term,
    /// A program is killed, and started again.
    Kill,
    /// A program stands still for a time.
    Freeze(Duration),
    /// A program is told to read its settings again.
    Reload,
    /// All programs at which nothing else is done are told to read their settings again.
    ReloadAll,
    /// A program is told to stop, started again, and so soon after told to stop, or to read its
    /// settings again.
    Early(Duration, Signal),
    /// The operators' configuration changes.
    Change(Change),
    /// An endpoint turns requests away for a time, and asks for so long a rest.
    Rest(Duration, Duration),
    /// A sound endpoint falls silent for a time and goes on, without closing anything.
    Pause(Duration),
    /// All endpoints turn all requests away for a time.
    Full(Duration),
    /// All gateways end, and start in so many parts that do not know each other.
    Part(usize),
    /// The parts are told of each other.
    Join,
    /// An endpoint names a limit in its answers for a time, in requests a second.
    Limit(Duration, f64),
    News(News),
}

/// A fault and when it strikes.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Step {
    pub(crate) at: Duration,
    pub(crate) fault: Fault,
    // What is drawn when it strikes, such as whom, is drawn from this seed: it depends
    // neither on the soak's length nor on what was drawn for others.
    pub(crate) seed: u64,
}

/// When the first fault strikes.
const FIRST: Duration = Duration::from_secs(2);

/// How many faults come close together.
const CLUSTER: Range<usize> = 1..4;

/// Milliseconds between two of these: many last longer, so that they overlap.
const BETWEEN: Range<u64> = 200..2500;

/// Milliseconds between clusters: most promises hold only for whoever was undisturbed
/// for 3 s, and a gateway that knows too little does so for long.
const LULL: Range<u64> = 5000..11_000;

/// Milliseconds from the silence of the store's connections to the news that nobody
/// hears over them.
const UNHEARD: Range<u64> = 50..500;

/// Milliseconds that a fault lasts.
const LASTS: Range<u64> = 300..4000;

/// Milliseconds between two things that endpoints say in their answers.
const NOTICES: Range<u64> = 1000..5000;

/// Milliseconds of a rest that an endpoint asks for.
const REST: Range<u64> = 800..5000;

/// Milliseconds between two series of planned work.
const SERIES: Range<u64> = 3000..9000;

/// How many changes of the configuration are in a series, and milliseconds between two.
const CHANGES: Range<usize> = 4..16;
const CHANGE_GAPS: Range<u64> = 100..200;

/// How many signals to all programs are in a series, and milliseconds between two.
const RELOADS: Range<usize> = 2..12;
const RELOAD_GAPS: Range<u64> = 50..250;

/// How many programs in a series get a signal just after their start, and how many milliseconds.
const EARLY: Range<usize> = 0..2;
const AFTER_START: Range<u64> = 50..400;

/// How long a program that got a signal just after its start is not struck by anything else.
const HELD: Duration = Duration::from_secs(5);

/// Milliseconds for which connections of callers may rest: often less than callers wait between two
/// requests.
const IDLE: Range<u64> = 50..3000;

/// Milliseconds of the time of each route: no less than the slowest request takes.
const TIMEOUTS: Range<u64> = 5000..9000;

/// Milliseconds between two endpoints that fall silent, and for how long they do: the slowest
/// request meets one and is still answered within its route's time.
const PAUSES: Range<u64> = 6000..12_000;
const PAUSED: Range<u64> = 800..1400;

/// Milliseconds between two limits that endpoints name, and for how long they do: often one names
/// another before the first is over.
const LIMITS: Range<u64> = 1500..6000;
const LIMITED: Range<u64> = 5000..16_000;

/// The limits that endpoints name, in requests a second: next to nothing up to more than they get.
const PER_S: [f64; 6] = [0.0, 0.4, 1.5, 1.6, 5.0, 200.0];

/// Milliseconds between two restores of the store, and in a series of them; how old the copies are,
/// and for how long the store is away.
const RESTORES: Range<u64> = 6000..9000;
const RESTORE_GAPS: Range<u64> = 300..2500;
const COPY_AGE: Range<u64> = 0..10_000;
const RESTORE_AWAY: Range<u64> = 100..3000;

/// How many restores are in a series.
const RESTORE_SERIES: Range<usize> = 1..3;

/// Milliseconds before and after a restore in which something that the store accepts is placed.
const BESIDE_RESTORE: Range<u64> = 0..4000;

/// Milliseconds from the return of the store to an endpoint that leaves: what the store accepts
/// sooner after a fault binds nobody in time.
const LEAVES_AFTER: Range<u64> = 3200..4800;

/// For how long before and after a return from a copy no links and no store fail otherwise.
const QUIET: Duration = Duration::from_secs(10);

/// Lays out the restores of the store during a soak, each beside something that the store accepts,
/// and the last of a series before an endpoint that leaves.
pub(crate) fn restores(random: &mut ChaCha8Rng, length: Duration) -> Vec<Step> {
    let mut steps = Vec::new();
    let mut start = FIRST;
    while start < length {
        start += Duration::from_millis(random.random_range(RESTORES));
        let mut at = start;
        for _ in 0..random.random_range(RESTORE_SERIES) {
            let age = Duration::from_millis(random.random_range(COPY_AGE));
            let away = Duration::from_millis(random.random_range(RESTORE_AWAY));
            steps.push(Step { at, fault: Fault::Restore(age, away), seed: random.random() });
            let beside = Duration::from_millis(random.random_range(BESIDE_RESTORE));
            let (fault, seed) = (Fault::News(news(random)), random.random());
            steps.push(Step { at: (at + beside).saturating_sub(FIRST), fault, seed });
            at += away + Duration::from_millis(random.random_range(RESTORE_GAPS));
        }
        let returned = at.saturating_sub(Duration::from_millis(RESTORE_GAPS.start));
        let at = returned + Duration::from_millis(random.random_range(LEAVES_AFTER));
        let news = if random.random() { News::Drain } else { News::Entry };
        steps.push(Step { at, fault: Fault::News(news), seed: random.random() });
        start = at;
    }
    steps.retain(|step| step.at >= FIRST && step.at < length);
    steps
}

/// Milliseconds between two times for which all endpoints turn requests away, and how long those are.
const FULLS: Range<u64> = 6000..14_000;
const FULL: Range<u64> = 2000..9000;

/// How many programs are killed in a series beside every second of these, and milliseconds between two.
const KILLS: Range<usize> = 1..5;
const KILL_GAPS: Range<u64> = 200..1500;

/// Milliseconds from a start in parts until they are told of each other, and from that to the next
/// start in parts: some are longer than any time-out among gateways.
const PARTED: Range<u64> = 12_000..30_000;
const JOINED: Range<u64> = 2000..8000;

/// Into how many parts gateways are partitioned.
const PARTS: Range<usize> = 2..7;

/// Lays out when all endpoints turn requests away during a soak, beside programs that are killed, and
/// partitions of gateways. They begin in parts.
pub(crate) fn retries(random: &mut ChaCha8Rng, length: Duration) -> Vec<Step> {
    let mut steps = Vec::new();
    let mut at = FIRST;
    while at < length {
        let lasts = Duration::from_millis(random.random_range(FULL));
        steps.push(Step { at, fault: Fault::Full(lasts), seed: random.random() });
        let mut kill_at = at;
        let kills = if random.random() { random.random_range(KILLS) } else { 0 };
        for _ in 0..kills {
            kill_at += Duration::from_millis(random.random_range(KILL_GAPS));
            steps.push(Step { at: kill_at, fault: Fault::Kill, seed: random.random() });
        }
        at += Duration::from_millis(random.random_range(FULLS));
    }
    at = Duration::ZERO;
    while at < length {
        at += Duration::from_millis(random.random_range(PARTED));
        steps.push(Step { at, fault: Fault::Join, seed: random.random() });
        at += Duration::from_millis(random.random_range(JOINED));
        let parts = random.random_range(PARTS);
        steps.push(Step { at, fault: Fault::Part(parts), seed: random.random() });
    }
    steps.retain(|step| step.at < length);
    steps
}

/// Lays out the limits that endpoints name during a soak.
pub(crate) fn limits(random: &mut ChaCha8Rng, length: Duration) -> Vec<Step> {
    let mut steps = Vec::new();
    let mut at = FIRST;
    while at < length {
        let lasts = Duration::from_millis(random.random_range(LIMITED));
        let per_s = PER_S[random.random_range(0..PER_S.len())];
        steps.push(Step { at, fault: Fault::Limit(lasts, per_s), seed: random.random() });
        at += Duration::from_millis(random.random_range(LIMITS));
    }
    steps
}

/// Lays out planned work during a soak: series of changes of the configuration beside series of
/// signals to all programs, and signals to programs that have just started.
pub(crate) fn planned(random: &mut ChaCha8Rng, length: Duration) -> Vec<Step> {
    let mut steps = Vec::new();
    let mut at = FIRST;
    while at < length {
        at += Duration::from_millis(random.random_range(SERIES));
        let mut series = |count, gaps: Range<u64>, draw: fn(&mut ChaCha8Rng) -> Fault| {
            let mut at = at;
            for _ in 0..random.random_range(count) {
                at += Duration::from_millis(random.random_range(gaps.clone()));
                steps.push(Step { at, fault: draw(random), seed: random.random() });
            }
        };
        series(CHANGES, CHANGE_GAPS, |random| Fault::Change(change(random)));
        series(RELOADS, RELOAD_GAPS, |_| Fault::ReloadAll);
        series(EARLY, RELOAD_GAPS, |random| {
            let signal = if random.random() { Signal::Reload } else { Signal::Terminate };
            Fault::Early(Duration::from_millis(random.random_range(AFTER_START)), signal)
        });
    }
    steps.retain(|step| step.at < length);
    steps
}

/// Leaves out programs that would still be starting when a fault draws whom it strikes.
pub(crate) fn keep_clear(planned: &mut Vec<Step>, faults: &[Step]) {
    let draws =
        |fault| matches!(fault, Fault::Term | Fault::Kill | Fault::Freeze(_) | Fault::Reload);
    let in_way = |step: &Step| {
        let held = step.at..step.at + HELD;
        faults.iter().any(|fault| draws(fault.fault) && held.contains(&fault.at))
    };
    planned.retain(|step| !matches!(step.fault, Fault::Early(..)) || !in_way(step));
}

/// Leaves out faults of links and of the store for a time after each restore: they would account for
/// what a gateway does wrong because of it.
pub(crate) fn keep_quiet(steps: &mut Vec<Step>, restores: &[Step]) {
    let strikes_all = |fault| {
        let is_link = matches!(
            fault,
            Fault::Silence(_) | Fault::Reset(_) | Fault::Delay(..) | Fault::Cut(..)
        );
        is_link || matches!(fault, Fault::Store(..))
    };
    let returns = restores.iter().filter_map(|step| match step.fault {
        Fault::Restore(_, away) => Some(step.at + away),
        _ => None,
    });
    let quiet: Vec<_> = returns.map(|at| at.saturating_sub(QUIET)..at + QUIET).collect();
    steps.retain(|step| {
        !strikes_all(step.fault) || !quiet.iter().any(|quiet| quiet.contains(&step.at))
    });
}

fn change(random: &mut ChaCha8Rng) -> Change {
    match random.random_range(0..3) {
        0 => Change::Idle(Duration::from_millis(random.random_range(IDLE))),
        1 => Change::Timeout(Duration::from_millis(random.random_range(TIMEOUTS))),
        _ => Change::Key,
    }
}

/// Lays out when endpoints fall silent during a soak.
pub(crate) fn pauses(random: &mut ChaCha8Rng, length: Duration) -> Vec<Step> {
    let mut steps = Vec::new();
    let mut at = FIRST;
    while at < length {
        let lasts = Duration::from_millis(random.random_range(PAUSED));
        steps.push(Step { at, fault: Fault::Pause(lasts), seed: random.random() });
        at += Duration::from_millis(random.random_range(PAUSES));
    }
    steps
}

/// Lays out what endpoints say in their answers during a soak.
pub(crate) fn notices(random: &mut ChaCha8Rng, length: Duration) -> Vec<Step> {
    let mut steps = Vec::new();
    let mut at = FIRST;
    while at < length {
        let lasts = Duration::from_millis(random.random_range(LASTS));
        let rest = Duration::from_millis(random.random_range(REST));
        let fault = match random.random_bool(0.5) {
            true => Fault::Rest(lasts, rest),
            false => Fault::News(News::Notice),
        };
        steps.push(Step { at, fault, seed: random.random() });
        at += Duration::from_millis(random.random_range(NOTICES));
    }
    steps
}

/// Lays out the faults of a soak.
pub(crate) fn plan(random: &mut ChaCha8Rng, length: Duration) -> Vec<Step> {
    let mut steps = Vec::new();
    let mut at = FIRST;
    while at < length {
        for _ in 0..random.random_range(CLUSTER) {
            let (fault, seed) = (draw(random), random.random());
            steps.push(Step { at, fault, seed });
            if fault == Fault::Silence(Links::Store) {
                let at = at + Duration::from_millis(random.random_range(UNHEARD));
                let (fault, seed) = (Fault::News(news(random)), random.random());
                steps.push(Step { at, fault, seed });
            }
            at += Duration::from_millis(random.random_range(BETWEEN));
        }
        at += Duration::from_millis(random.random_range(LULL));
    }
    steps.sort_by_key(|step| step.at);
    steps
}

fn draw(random: &mut ChaCha8Rng) -> Fault {
    let length = Duration::from_millis(random.random_range(LASTS));
    let links = [Links::Store, Links::Callers, Links::Endpoints][random.random_range(0..3)];
    match random.random_range(0..20) {
        0..4 => Fault::Silence(Links::Store),
        4 => Fault::Silence(links),
        5 => Fault::Reset(links),
        6 => Fault::Delay(links, Duration::from_millis(random.random_range(20..200)), length),
        7 => Fault::Cut(links, if random.random() { Way::Out } else { Way::Back }, length),
        8 => Fault::Store(Behavior::Down, length),
        9 => {
            let slow = Duration::from_millis(random.random_range(300..2000));
            Fault::Store(Behavior::Slow(slow), length)
        }
        10 => Fault::Store(Behavior::Mute, length),
        11 => Fault::Forget,
        12 | 13 => Fault::Term,
        14 => Fault::Kill,
        15 => Fault::Freeze(length),
        16 => Fault::Reload,
        _ => Fault::News(news(random)),
    }
}

fn news(random: &mut ChaCha8Rng) -> News {
    let all = [News::Drain, News::Entry, News::Version, News::Route, News::Key];
    all[random.random_range(0..all.len())]
}
