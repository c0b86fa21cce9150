//! When an engine goes over to a new version, so that not all do at once.
//!
//! Engines go over in two waves. The first closes while its weights still come
//! in, so that little runs when they are there; the second follows once the
//! first is back. What still runs then is broken off, and streams go on at
//! another engine: waiting for the longest of them would leave half of the
//! engines idle for seconds. Nothing new begins on the old version any more
//! once the second wave has closed, which leaves time for an engine that stands
//! still in between.

use std::time::Duration;

use crate::rendezvous::{Key, weight};

/// The number of waves.
const WAVES: usize = 2;

/// What staging, breaking off and loading take: the first wave is back then.
const BACK: Duration = Duration::from_millis(400);

/// How long requests have to end by themselves once an engine is closed.
const DRAIN: Duration = Duration::from_millis(900);

/// Minimum fraction of a version's chunks an engine must hold before it may close early.
const CLOSING: f64 = 0.75;

/// Time in which most running requests finish after an engine of the first wave closes.
const EXPECTED_DRAIN: Duration = Duration::from_millis(650);

/// Whether an engine of the first wave should close before it holds all of a version's chunks.
///
/// At one chunk per `spacing`, the remaining chunks must arrive within the expected drain time,
/// so that the engine does not sit idle waiting for them.
#[must_use]
pub fn should_close_early(held: usize, total: usize, spacing: Duration) -> bool {
    let remaining = u32::try_from(total.saturating_sub(held)).unwrap_or(u32::MAX);
    held as f64 >= total as f64 * CLOSING && spacing.saturating_mul(remaining) <= EXPECTED_DRAIN
}

/// When an engine goes over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Changeover {
    /// It closes while its weights still come in, and what runs is broken off
    /// once they are there.
    First,
    /// It waits until the first wave should be back.
    Second,
}

impl Changeover {
    /// The changeover of a wave.
    #[must_use]
    pub fn of_wave(wave: usize) -> Self {
        if wave == 0 { Self::First } else { Self::Second }
    }

    /// When it takes nothing new any more, after its weights are there.
    #[must_use]
    pub fn close_after(self) -> Duration {
        match self {
            Self::First => Duration::ZERO,
            Self::Second => BACK,
        }
    }

    /// When what still runs is broken off, after its weights are there.
    #[must_use]
    pub fn abort_after(self) -> Duration {
        match self {
            Self::First => Duration::ZERO,
            Self::Second => BACK + DRAIN,
        }
    }
}

/// The wave of an engine among all of its service, given as zone and name.
///
/// Waves are dealt out within each zone, and differently from zone to zone, so
/// that neither a zone nor the service is without engines.
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
