//! The schedule by which engines switch to a new version, so that they do not all switch at
//! once.
//!
//! Engines switch in two waves. An engine of the first wave closes (accepts no new requests)
//! while its weights still arrive, so that few requests run when the weights are complete. The
//! second wave closes once the first should serve again. Requests that still run at the switch
//! are aborted, and their streams resume at another engine: waiting for the longest of them
//! would leave half of the engines idle for seconds. Once the second wave has closed, no new
//! request begins on the old version, which leaves time for an engine that stalls in between.

use std::time::Duration;

use crate::rendezvous::{Key, weight};

const WAVES: usize = 2;

/// Time that staging, aborting requests and loading take, after which the first wave serves
/// again.
const SWITCH_TIME: Duration = Duration::from_millis(400);

/// Time that running requests have to finish once an engine of the second wave has closed.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(900);

/// Minimum fraction of a version's chunks an engine must hold before it may close early.
const MIN_HELD_FRACTION: f64 = 0.75;

/// Time in which most running requests finish after an engine of the first wave closes.
const EXPECTED_DRAIN_TIME: Duration = Duration::from_millis(650);

/// Whether an engine of the first wave should close before it holds all of a version's chunks.
///
/// At one chunk per `spacing`, the remaining chunks must arrive within the expected drain time,
/// so that the engine does not sit idle waiting for them.
#[must_use]
pub fn should_close_early(held: usize, total: usize, spacing: Duration) -> bool {
    let remaining = u32::try_from(total.saturating_sub(held)).unwrap_or(u32::MAX);
    held as f64 >= total as f64 * MIN_HELD_FRACTION
        && spacing.saturating_mul(remaining) <= EXPECTED_DRAIN_TIME
}

/// When an engine closes and aborts its requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Changeover {
    /// The engine closes while its weights still arrive, and aborts what runs once it holds
    /// them all.
    First,
    /// The engine stays open until the first wave should serve again, then drains.
    Second,
}

impl Changeover {
    /// The schedule of the engines of a wave.
    #[must_use]
    pub fn of_wave(wave: usize) -> Self {
        if wave == 0 { Self::First } else { Self::Second }
    }

    /// Time after the engine holds all weights until it accepts no new requests.
    #[must_use]
    pub fn close_after(self) -> Duration {
        match self {
            Self::First => Duration::ZERO,
            Self::Second => SWITCH_TIME,
        }
    }

    /// Time after the engine holds all weights until it aborts the requests that still run.
    #[must_use]
    pub fn abort_after(self) -> Duration {
        match self {
            Self::First => Duration::ZERO,
            Self::Second => SWITCH_TIME + DRAIN_TIMEOUT,
        }
    }
}

/// The wave, counted from 0, of the engine `own` among all engines of its service, each given
/// as zone and name.
///
/// Waves alternate within each zone by rank, with a different start in each zone, so that
/// neither a zone nor the whole service is ever without engines.
#[must_use]
pub fn wave(version: &str, own: (&str, &str), engines: &[(&str, &str)]) -> usize {
    let subject = Key::of(version);
    let rank = |name: &str| (weight(subject, Key::of(name)), name.to_owned());
    let mut zones: Vec<_> = engines.iter().map(|(zone, _)| *zone).collect();
    zones.sort_unstable();
    zones.dedup();
    let zone = zones.iter().position(|zone| *zone == own.0).unwrap_or_default();
    let own_rank = rank(own.1);
    let before = engines.iter().filter(|(zone, name)| *zone == own.0 && rank(name) > own_rank);
    (before.count() + zone) % WAVES
}
