//! When callers whose requests were refused return.

use std::collections::BTreeMap;
use std::time::Duration;

use super::super::demand::Demand;
use super::super::pick::OVERLOAD_DELAY;
use crate::rendezvous::Key;

/// The resolution of the schedule.
pub const SLOT: Duration = Duration::from_millis(100);

/// Callers wait for at most this part of the time that they have left.
const MAX_PARTS: u32 = 3;

/// Fraction of refused requests from which the delay is as long as possible: the excess demand
/// lasts, and late returns would be refused again.
const LONGEST_AT: f64 = 0.1;

/// How long nothing is refused between two periods of excess demand.
const EXCESS_GAP: Duration = Duration::from_secs(1);

/// Fraction of the possible delays over which returns are spread.
const SPREAD: f64 = 0.4;

/// The part of its target that a request must have left at its return to be answered in time.
const IN_TIME_LEFT: Duration = Duration::from_millis(300);

/// The number of priorities that get earlier slots than the ones below them.
const URGENT_PRIORITIES: u8 = 2;

/// The recent requests of a service at one gateway, and how many of them were refused.
#[derive(Debug, Clone, Copy, Default)]
pub struct Refusals {
    arrived: Demand,
    refused: Demand,
    // When the present excess of demand began, and when the last request was refused.
    excess: Option<(Duration, Duration)>,
}

impl Refusals {
    /// Records an arrival.
    pub fn record_arrival(&mut self, now: Duration) {
        self.arrived.record_arrival(now);
    }

    /// Records that a request was refused for overload.
    pub fn record_refusal(&mut self, now: Duration) {
        self.refused.record_arrival(now);
        let began = self.excess.filter(|(_, last)| *last + EXCESS_GAP > now);
        self.excess = Some((began.map_or(now, |(began, _)| began), now));
    }

    /// How long demand has exceeded what is served; zero if nothing was refused lately.
    #[must_use]
    pub fn lasted(&self, now: Duration) -> Duration {
        let excess = self.excess.filter(|(_, last)| *last + EXCESS_GAP > now);
        excess.map_or(Duration::ZERO, |(began, _)| now.saturating_sub(began))
    }

    /// The fraction of the recent requests that was refused.
    #[must_use]
    pub fn share(&self, now: Duration) -> f64 {
        let arrived = self.arrived.per_second(now);
        (self.refused.per_second(now) / arrived.max(f64::MIN_POSITIVE)).min(1.0)
    }
}

/// A request that is refused, for which a time to return is chosen.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Request {
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// The part of the target of the time to first token that is left.
    pub target_left: Duration,
    /// The time that is left until the caller needs no answer any more.
    pub time_left: Duration,
    /// The fraction of the recent requests of its service that was refused.
    pub refused: f64,
    /// How long demand has exceeded what is served.
    pub excess_lasted: Duration,
    /// Seed of the pseudo-random choice among equal times.
    pub seed: u64,
}

impl Request {
    /// The longest time for which the caller waits before it returns, whatever it is told.
    #[must_use]
    pub fn longest_delay(&self) -> Duration {
        self.time_left / MAX_PARTS
    }

    /// The range of delays for it: later ones the more requests are refused. An excess that has
    /// lasted for longer than callers wait is expected to go on, so a request returns while it can
    /// still be answered in time; a shorter one is expected to be over after the longest delay.
    fn delays(&self) -> (Duration, Duration) {
        let longest = self.longest_delay().min(OVERLOAD_DELAY.1);
        let shortest = OVERLOAD_DELAY.0.min(longest);
        let in_time = self.target_left.saturating_sub(IN_TIME_LEFT);
        if in_time >= shortest + SLOT && self.excess_lasted > longest {
            return (shortest, in_time.min(longest));
        }
        let range = longest - shortest;
        let excess = (self.refused / LONGEST_AT).clamp(0.0, 1.0);
        let least = shortest + range.mul_f64((1.0 - SPREAD) * excess);
        (least, (least + range.mul_f64(SPREAD)).min(longest))
    }
}

/// How many returns are due at the gateways of a region, by time.
#[derive(Debug, Default)]
pub struct Schedule {
    // By slot and priority.
    slots: BTreeMap<(u64, u8), u32>,
}

impl Schedule {
    /// Records that a return is due.
    pub fn record(&mut self, priority: u8, due: Duration, now: Duration) {
        self.slots = self.slots.split_off(&(slot(now), 0));
        *self.slots.entry((slot(due), priority)).or_default() += 1;
    }

    /// The delay after which a caller should return. Returns are spread evenly: each gets a slot in
    /// which the fewest of at least its urgency are due, and more urgent ones get earlier slots.
    #[must_use]
    pub fn retry_after(&self, request: &Request, now: Duration) -> Duration {
        let (least, most) = request.delays();
        let slots = slot(now + least)..=slot(now + most);
        let filled = slots.map(|slot| (slot, self.filled(slot, request.priority)));
        let filled: Vec<_> = filled.collect();
        let lowest = filled.iter().map(|(_, due)| *due).min().unwrap_or_default();
        let equal: Vec<_> = filled.iter().filter(|(_, due)| *due == lowest).collect();
        let draws = 1 + URGENT_PRIORITIES.saturating_sub(request.priority);
        let draws = (0..draws).map(|draw| part(request.seed, draw));
        let part_of_equal = draws.fold(1.0, f64::min);
        let index = (part_of_equal * equal.len() as f64) as usize;
        let chosen = equal.get(index).map_or(slot(now + most), |(slot, _)| *slot);
        let within = SLOT.mul_f64(part(request.seed, u8::MAX));
        let at = Duration::from_millis(chosen * SLOT.as_millis() as u64) + within;
        at.saturating_sub(now).clamp(least, most)
    }

    /// The number of returns of at least a priority's urgency that are due in a slot.
    fn filled(&self, slot: u64, priority: u8) -> u32 {
        self.slots.range((slot, 0)..=(slot, priority)).map(|(_, due)| due).sum()
    }
}

/// The slot of a time.
fn slot(time: Duration) -> u64 {
    (time.as_millis() / SLOT.as_millis()) as u64
}

/// A pseudo-random number from 0 to 1.
fn part(seed: u64, draw: u8) -> f64 {
    let mixed = Key::of_number(seed).with(Key::of_number(draw.into())).as_u64();
    (mixed >> 11) as f64 / (1_u64 << 53) as f64
}
