//! Judging what gateways make of what endpoints say in their answers.

use std::collections::HashMap;
use std::time::Duration;

use super::disturbance::{Disturbance, Kind, Window};
use super::judge::{Bounds, Breach, MARGIN, Promise};

/// How long after an endpoint has asked for rest requests may still reach it, as the
/// platform allows: those that were on their way.
const ON_ITS_WAY: Duration = Duration::from_millis(500);

/// How many may reach it later within its rest, as the platform allows.
const STRAYS: u32 = 2;

/// An endpoint and the gateway that it has told something.
type Pair = (String, usize);

/// A rest that an endpoint has asked for.
#[derive(Debug, Clone, Copy)]
struct Rest {
    asked: Duration,
    until: Duration,
    strays: u32,
}

/// A request that reaches an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct Arrival<'a> {
    /// The endpoint.
    pub endpoint: &'a str,
    /// The gateway that passed it on.
    pub gateway: usize,
    /// When its caller sent it.
    pub sent: Duration,
    /// When it came.
    pub came: Duration,
}

/// What endpoints have said in answers, by endpoint and gateway.
#[derive(Debug, Default)]
pub struct Notices {
    leaving: HashMap<Pair, Duration>,
    rests: HashMap<Pair, Vec<Rest>>,
}

impl Notices {
    /// A gateway has passed on an answer that says that its endpoint leaves.
    pub fn leaves(&mut self, endpoint: &str, gateway: usize, at: Duration) {
        self.leaving.entry((endpoint.to_owned(), gateway)).or_insert(at);
    }

    /// An endpoint has turned a gateway away, and wants nothing from it for a time.
    pub fn rests(&mut self, endpoint: &str, gateway: usize, at: Duration, time: Duration) {
        let rest = Rest { asked: at, until: at + time, strays: 0 };
        self.rests.entry((endpoint.to_owned(), gateway)).or_default().push(rest);
    }

    /// Judges a request that reaches an endpoint.
    pub fn judge(
        &mut self,
        arrival: Arrival<'_>,
        bounds: &Bounds,
        disturbances: &[Disturbance],
    ) -> Vec<Breach> {
        let after_notice = self.after_notice(arrival, bounds, disturbances);
        after_notice.into_iter().chain(self.within_rest(arrival, disturbances)).collect()
    }

    fn after_notice(
        &self,
        arrival: Arrival<'_>,
        bounds: &Bounds,
        disturbances: &[Disturbance],
    ) -> Option<Breach> {
        let Arrival { endpoint, gateway, sent, came } = arrival;
        let told = *self.leaving.get(&(endpoint.to_owned(), gateway))?;
        if sent <= told + bounds.drain + MARGIN {
            return None;
        }
        let forgot = disturbances.iter().any(|it| it.forgets(&window(arrival, told)));
        let after = (came - told).as_secs_f64();
        let what =
            format!("{endpoint} got a request {after:.3} s after it told gateway {gateway} so");
        Some(Breach { promise: Promise::Noticed, at: came, excused: forgot, what })
    }

    fn within_rest(
        &mut self,
        arrival: Arrival<'_>,
        disturbances: &[Disturbance],
    ) -> Option<Breach> {
        let Arrival { endpoint, gateway, came, .. } = arrival;
        let rests = self.rests.get_mut(&(endpoint.to_owned(), gateway))?;
        rests.retain(|rest| rest.until > came);
        let mut worst: Option<Rest> = None;
        for rest in rests.iter_mut().filter(|rest| came > rest.asked + ON_ITS_WAY) {
            rest.strays += 1;
            // Each rest is told once.
            if rest.strays == STRAYS + 1 {
                worst = Some(*rest);
            }
        }
        let rest = worst?;
        let window = window(arrival, rest.asked);
        let excused = disturbances.iter().any(|it| it.forgets(&window) || it.holds_up(&window));
        let after = (came - rest.asked).as_secs_f64();
        let what = format!(
            "{endpoint} got {} requests from gateway {gateway} by {after:.3} s after it wanted none",
            rest.strays
        );
        Some(Breach { promise: Promise::Rest, at: came, excused, what })
    }
}

/// The time since something was said to the gateway.
fn window<'a>(arrival: Arrival<'a>, from: Duration) -> Window<'a> {
    let Arrival { endpoint, gateway, came, .. } = arrival;
    Window { from, until: came, gateway, endpoint: Some(endpoint) }
}

impl Disturbance {
    /// Whether the gateway may have forgotten what it was told, or could not act on it.
    fn forgets(&self, window: &Window<'_>) -> bool {
        matches!(self.kind, Kind::Term | Kind::Kill | Kind::Freeze | Kind::Stall)
            && self.touches(window)
    }

    /// Whether what was on its way may have come late.
    fn holds_up(&self, window: &Window<'_>) -> bool {
        matches!(self.kind, Kind::Cut | Kind::Delay) && self.touches(window)
    }
}
