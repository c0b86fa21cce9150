//! Judging what endpoints get that name a limit of requests a second from all gateways together.

use std::collections::HashMap;
use std::time::Duration;

use super::disturbance::{Disturbance, Kind, Window};
use super::judge::{Bounds, Breach, MARGIN, Promise};
use super::notice::Arrival;

/// The time in which requests are counted, as the platform does.
const COUNTED: Duration = Duration::from_secs(4);

/// What the platform allows within that time: so many times the limit, and so many requests more.
const OVERAGE: f64 = 1.5;
const SLACK: f64 = 5.0;

/// How long a gateway must have passed on an answer with a limit for its requests to count.
const PASSED_ON: Duration = Duration::from_millis(500);

/// How long after a change of a limit requests may still be sent by the one before.
const LEARNS: Duration = Duration::from_secs(1);

/// A limit that an endpoint has named, from a time on.
#[derive(Debug, Clone, Copy)]
struct Named {
    at: Duration,
    // None: it names no limit any more.
    per_s: Option<f64>,
}

/// A request that has reached an endpoint.
#[derive(Debug, Clone, Copy)]
struct Came {
    at: Duration,
    gateway: usize,
}

/// An endpoint that has ever named a limit.
#[derive(Debug, Default)]
struct Endpoint {
    named: Vec<Named>,
    // Since when each gateway has passed on answers that name the present limits.
    informed: HashMap<usize, Duration>,
    came: Vec<Came>,
    // When it last got too many: a breach is reported once in a window.
    last: Option<Duration>,
}

/// The limits that endpoints have named, and what they got.
#[derive(Debug, Default)]
pub struct Limits(HashMap<String, Endpoint>);

impl Limits {
    /// An endpoint names a limit in its answers from now on; none from now on.
    pub fn names(&mut self, endpoint: &str, at: Duration, per_s: Option<f64>) {
        let endpoint = self.0.entry(endpoint.to_owned()).or_default();
        let had = endpoint.named.last().is_some_and(|named| named.per_s.is_some());
        if !had {
            endpoint.informed.clear();
        }
        endpoint.named.push(Named { at, per_s });
    }

    /// A gateway has passed on an answer that names its endpoint's limit.
    pub fn informs(&mut self, endpoint: &str, gateway: usize, at: Duration) {
        if let Some(endpoint) = self.0.get_mut(endpoint) {
            endpoint.informed.entry(gateway).or_insert(at);
        }
    }

    /// Judges a request that reaches an endpoint.
    pub fn judge(
        &mut self,
        arrival: Arrival<'_>,
        bounds: &Bounds,
        disturbances: &[Disturbance],
    ) -> Option<Breach> {
        let Arrival { endpoint: name, gateway, came, .. } = arrival;
        let endpoint = self.0.get_mut(name)?;
        endpoint.came.retain(|one| one.at + COUNTED > came);
        endpoint.came.push(Came { at: came, gateway });
        let (since, allowed) = endpoint.bound(came, bounds)?;
        if endpoint.last.is_some_and(|last| last + COUNTED > came) {
            return None;
        }
        let is_informed = |gateway: usize| {
            endpoint.informed.get(&gateway).is_some_and(|since| *since + PASSED_ON <= came)
        };
        let counted: Vec<_> = endpoint
            .came
            .iter()
            .filter(|one| one.at >= since && is_informed(one.gateway))
            .collect();
        if counted.len() <= allowed {
            return None;
        }
        let from = came.saturating_sub(COUNTED + bounds.contact);
        let excused = |one: &Came| {
            let window = Window { from, until: came, gateway: one.gateway, endpoint: Some(name) };
            disturbances.iter().any(|it| it.excuses_limit(&window))
        };
        let undisturbed = counted.iter().filter(|one| !excused(one)).count();
        endpoint.last = Some(came);
        let what = format!(
            "{name} got {} requests in 4 s from gateways that knew its limit, {undisturbed} of \
             them from undisturbed ones; allowed {allowed}",
            counted.len()
        );
        let excused = undisturbed <= allowed;
        Some(Breach { promise: Promise::Limit, at: came, excused, what })
    }
}

impl Endpoint {
    /// From when on requests count that came by a time, and how many are allowed; none while no
    /// limit has to hold.
    fn bound(&self, now: Duration, bounds: &Bounds) -> Option<(Duration, usize)> {
        let past = self.named.iter().take_while(|named| named.at <= now).count();
        let past = &self.named[..past];
        let last_without = past.iter().rposition(|named| named.per_s.is_none());
        let present = &past[last_without.map_or(0, |last| last + 1)..];
        let first = present.first()?.at;
        if now < first + bounds.contact + MARGIN {
            return None;
        }
        // What was sent before anyone could know does not count.
        let from = now.saturating_sub(COUNTED).max(first + LEARNS);
        let ends = present.iter().skip(1).map(|named| named.at + LEARNS);
        let ends = ends.chain([Duration::MAX]);
        let held = present.iter().zip(ends).filter(|(_, until)| *until >= from);
        let highest = held.filter_map(|(named, _)| named.per_s).fold(0.0, f64::max);
        Some((from, (OVERAGE * highest * COUNTED.as_secs_f64() + SLACK) as usize))
    }
}

impl Disturbance {
    /// Whether the gateway may have forgotten the limit or what it sent, may not have learned of
    /// others, or what it sent came together.
    fn excuses_limit(&self, window: &Window<'_>) -> bool {
        let kinds = [Kind::Term, Kind::Kill, Kind::Freeze, Kind::Stall, Kind::Cut, Kind::Delay];
        kinds.contains(&self.kind) && self.touches(window)
    }
}
