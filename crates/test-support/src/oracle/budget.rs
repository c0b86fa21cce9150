//! Judging how often requests of a service reach endpoints again, from all gateways together.

use std::collections::HashMap;
use std::time::Duration;

use super::attempt::Attempt;
use super::judge::{Breach, Promise};

/// Sends beyond the first of a request, as the platform allows them to a service.
#[derive(Debug, Clone, Copy)]
pub struct Allowance {
    /// Sends for each request.
    pub ratio: f64,
    /// Sends on top of these.
    pub slack: f64,
    /// The time within which they are counted.
    pub window: Duration,
}

/// The requests for one service, and when they arrived again.
#[derive(Debug, Default)]
struct Service {
    sent: Vec<Duration>,
    repeats: Vec<Duration>,
}

/// A window in which requests of a service arrived again.
#[derive(Debug, Clone, PartialEq)]
pub struct Window {
    /// The service.
    pub service: &'static str,
    /// When it ended.
    pub end: Duration,
    /// Arrivals beyond the first of their request.
    pub repeats: usize,
    /// The requests for the service that count for them.
    pub requests: usize,
    /// The arrivals beyond the first that are allowed.
    pub allowed: f64,
}

impl Window {
    /// The arrivals beyond the first as a part of what is allowed.
    #[must_use]
    pub fn used(&self) -> f64 {
        self.repeats as f64 / self.allowed
    }

    /// What is broken, if too many arrived.
    #[must_use]
    pub fn judge(&self) -> Option<Breach> {
        let Self { service, end, repeats, requests, allowed } = self;
        let what = format!(
            "{service} got {repeats} arrivals beyond the first of their request, for {requests} \
             requests; allowed {allowed:.0}"
        );
        let breach = Breach { promise: Promise::Budget, at: *end, excused: false, what };
        (self.repeats as f64 > self.allowed).then_some(breach)
    }
}

/// What services got.
#[derive(Debug, Default)]
pub struct Repeats(HashMap<&'static str, Service>);

impl Repeats {
    /// Takes down an attempt for a service.
    pub fn add(&mut self, service: &'static str, attempt: &Attempt) {
        let service = self.0.entry(service).or_default();
        service.sent.push(attempt.sent);
        service.repeats.extend(attempt.runs.iter().skip(1).map(|run| run.came));
    }

    /// The window of each service in which the most of what is allowed was used.
    #[must_use]
    pub fn worst(&mut self, allowance: &Allowance) -> Vec<Window> {
        let services = self.0.iter_mut();
        services.filter_map(|(name, service)| service.worst(name, allowance)).collect()
    }
}

impl Service {
    fn worst(&mut self, name: &'static str, allowance: &Allowance) -> Option<Window> {
        self.sent.sort_unstable();
        self.repeats.sort_unstable();
        let length = allowance.window;
        // Each window that ends or begins with an arrival: no other holds more.
        let ends = self.repeats.iter().flat_map(|came| [*came, *came + length]);
        let windows = ends.map(|end| {
            // The window, the one half a window before and the one before it.
            let befores = [Duration::ZERO, length / 2, length];
            let requests = befores.map(|before| {
                end.checked_sub(before).map_or(0, |end| within(&self.sent, end, length))
            });
            let requests = requests.into_iter().max().unwrap_or_default();
            let allowed = allowance.ratio * requests as f64 + allowance.slack;
            let repeats = within(&self.repeats, end, length);
            Window { service: name, end, repeats, requests, allowed }
        });
        windows.max_by(|one, other| one.used().total_cmp(&other.used()))
    }
}

/// The number of times within the window that ends at a time.
fn within(times: &[Duration], end: Duration, window: Duration) -> usize {
    let begin = end.saturating_sub(window);
    times.partition_point(|time| *time <= end) - times.partition_point(|time| *time < begin)
}
