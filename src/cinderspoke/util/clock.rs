//! Clocks and deadlines that include the time for which the machine was suspended.
//!
//! The system's monotonic clock, and with it every timer, stops while the machine is suspended.
//! Meanwhile leases expire, versions age and callers disconnect. Decisions by age or deadline
//! therefore use a [`Clock`], which counts that time.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cinderspoke_types::counter::Incarnation;
use rustix::time::{ClockId, Timespec, clock_gettime};
use tokio::time::{Instant, error, sleep, timeout};

/// Upper bound on the duration of a timer, and so on the delay with which a wait notices that its
/// deadline passed while the machine was suspended. It costs a waiting request two wake-ups per
/// second.
const MAX_TIMER: Duration = Duration::from_millis(500);

/// Shortest difference that counts as a suspension. The two clocks are read one after the other, so
/// smaller differences occur without one.
pub const MIN_SUSPENSION: Duration = Duration::from_millis(50);

/// A monotonic clock that starts at zero and continues while the machine is suspended.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started: Instant,
    suspension: Suspension,
    // The total suspension at the start of this clock.
    suspended_at_start: Duration,
}

/// The source of the total time for which the machine was suspended.
#[derive(Debug, Clone, Copy)]
enum Suspension {
    /// The difference between the system's clocks.
    System,
    /// A number of milliseconds that a test sets.
    Simulated(&'static AtomicU64),
}

impl Suspension {
    fn total(self) -> Duration {
        match self {
            Self::System => suspended(),
            Self::Simulated(milliseconds) => {
                Duration::from_millis(milliseconds.load(Ordering::SeqCst))
            }
        }
    }
}

impl Clock {
    /// Starts a clock.
    #[must_use]
    pub fn start() -> Self {
        Self::with(Suspension::System)
    }

    /// Starts a clock for tests, with the total suspension in `milliseconds`.
    #[must_use]
    pub fn start_suspended_by(milliseconds: &'static AtomicU64) -> Self {
        Self::with(Suspension::Simulated(milliseconds))
    }

    fn with(suspension: Suspension) -> Self {
        Self { started: Instant::now(), suspension, suspended_at_start: suspension.total() }
    }

    /// Returns the time since the start, including suspensions.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.started.elapsed() + self.suspended()
    }

    /// Returns for how much of the time since the start the machine was suspended.
    #[must_use]
    pub fn suspended(&self) -> Duration {
        self.suspension.total().saturating_sub(self.suspended_at_start)
    }

    /// Whether the machine was suspended since [`Self::suspended`] returned `suspended`.
    #[must_use]
    pub fn was_suspended_since(&self, suspended: Duration) -> bool {
        self.suspended().saturating_sub(suspended) > MIN_SUSPENSION
    }

    /// Returns the deadline that is `time` from now.
    #[must_use]
    pub fn after(&self, time: Duration) -> Deadline {
        Deadline { clock: *self, at: self.now().saturating_add(time) }
    }

    /// Waits for `time`, including suspensions.
    pub async fn sleep(self, time: Duration) {
        self.after(time).passed().await;
    }
}

/// A point in time on a [`Clock`].
#[derive(Debug, Clone, Copy)]
pub struct Deadline {
    clock: Clock,
    at: Duration,
}

impl Deadline {
    /// Returns the time until the deadline; zero if it has passed.
    #[must_use]
    pub fn left(&self) -> Duration {
        self.at.saturating_sub(self.clock.now())
    }

    /// Whether the deadline has passed.
    #[must_use]
    pub fn is_over(&self) -> bool {
        self.left().is_zero()
    }

    /// Returns the earlier of two deadlines of the same clock.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        if other.at < self.at { other } else { self }
    }

    /// Waits until the deadline has passed.
    pub async fn passed(&self) {
        loop {
            let left = self.left();
            if left.is_zero() {
                return;
            }
            sleep(left.min(MAX_TIMER)).await;
        }
    }

    /// Awaits a future until the deadline.
    ///
    /// # Errors
    ///
    /// If the deadline passes before the future completes.
    pub async fn timeout<F: Future>(&self, awaited: F) -> Result<F::Output, error::Elapsed> {
        let mut awaited = std::pin::pin!(awaited);
        loop {
            let left = self.left();
            match timeout(left.min(MAX_TIMER), awaited.as_mut()).await {
                Err(elapsed) if self.is_over() => return Err(elapsed),
                Err(_) => {}
                Ok(output) => return Ok(output),
            }
        }
    }
}

/// Returns for how long the machine was suspended since it booted: `CLOCK_BOOTTIME` minus
/// `CLOCK_MONOTONIC`. The result never decreases.
#[must_use]
pub fn suspended() -> Duration {
    static MAX_DIFFERENCE: AtomicU64 = AtomicU64::new(0);
    let with_suspension = clock_gettime(ClockId::Boottime);
    // Read last, so that a pause between the two reads makes the difference too small, never too
    // large. The maximum of all differences is therefore correct, and it never decreases.
    let without = clock_gettime(ClockId::Monotonic);
    let difference = nanoseconds(with_suspension).saturating_sub(nanoseconds(without));
    let maximum = MAX_DIFFERENCE.fetch_max(difference, Ordering::Relaxed).max(difference);
    Duration::from_nanos(maximum)
}

fn nanoseconds(time: Timespec) -> u64 {
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    seconds * 1_000_000_000 + u64::try_from(time.tv_nsec).unwrap_or_default()
}

/// Returns the Unix time in milliseconds. The wall clock may be set back, so this is for display
/// and records, not for decisions about time.
#[must_use]
pub fn unix_ms() -> u64 {
    u64::try_from(since_epoch().as_millis()).unwrap_or(u64::MAX)
}

/// Returns the incarnation of a process that starts now, which is the Unix time in microseconds.
#[must_use]
pub fn incarnation() -> Incarnation {
    Incarnation::new(u64::try_from(since_epoch().as_micros()).unwrap_or(u64::MAX))
}

fn since_epoch() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
