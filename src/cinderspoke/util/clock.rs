//! Time, as the decisions take it: the time since the process started.
//!
//! A machine may be suspended. The system's steady clock, and so every timer, stands still
//! meanwhile, while leases run out, versions grow old and callers leave. What is decided
//! by ages and deadlines goes by a [`Clock`], which counts that time.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cinderspoke_types::counter::Incarnation;
use rustix::time::{ClockId, Timespec, clock_gettime};
use tokio::time::{Instant, error, sleep, timeout};

/// How long a timer is set for at most: so much later than it should a deadline may be
/// noticed that has passed while the machine was suspended. In a second that a request
/// waits it costs two wake-ups.
const LOOK: Duration = Duration::from_millis(500);

/// A suspension that is shorter is none: clocks that are read one after the other differ.
pub const MIN_SUSPENSION: Duration = Duration::from_millis(50);

/// A clock that starts at zero, never goes back, and goes on while the machine is suspended.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started: Instant,
    suspension: Suspension,
    // How long the machine had been suspended then.
    before: Duration,
}

/// What tells how long the machine has been suspended.
#[derive(Debug, Clone, Copy)]
enum Suspension {
    /// The system's clocks.
    Machine,
    /// A number of milliseconds, in tests.
    Told(&'static AtomicU64),
}

impl Suspension {
    fn total(self) -> Duration {
        match self {
            Self::Machine => suspended(),
            Self::Told(milliseconds) => Duration::from_millis(milliseconds.load(Ordering::SeqCst)),
        }
    }
}

impl Clock {
    /// Starts a clock.
    #[must_use]
    pub fn start() -> Self {
        Self::with(Suspension::Machine)
    }

    /// Starts a clock for which the machine is suspended for as many milliseconds as a
    /// test says.
    #[must_use]
    pub fn start_suspended_by(milliseconds: &'static AtomicU64) -> Self {
        Self::with(Suspension::Told(milliseconds))
    }

    fn with(suspension: Suspension) -> Self {
        Self { started: Instant::now(), suspension, before: suspension.total() }
    }

    /// The time since the start.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.started.elapsed() + self.suspended()
    }

    /// How much of that time the machine was suspended.
    #[must_use]
    pub fn suspended(&self) -> Duration {
        self.suspension.total().saturating_sub(self.before)
    }

    /// Whether the machine was suspended since it had been for a time.
    #[must_use]
    pub fn was_suspended_since(&self, suspended: Duration) -> bool {
        self.suspended().saturating_sub(suspended) > MIN_SUSPENSION
    }

    /// The moment so long from now.
    #[must_use]
    pub fn after(&self, time: Duration) -> Deadline {
        Deadline { clock: *self, at: self.now().saturating_add(time) }
    }

    /// Waits for a time.
    pub async fn sleep(self, time: Duration) {
        self.after(time).passed().await;
    }
}

/// A moment up to which something may go on.
#[derive(Debug, Clone, Copy)]
pub struct Deadline {
    clock: Clock,
    at: Duration,
}

impl Deadline {
    /// The time that is left.
    #[must_use]
    pub fn left(&self) -> Duration {
        self.at.saturating_sub(self.clock.now())
    }

    /// Whether no time is left.
    #[must_use]
    pub fn is_over(&self) -> bool {
        self.left().is_zero()
    }

    /// The earlier of two.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        if other.at < self.at { other } else { self }
    }

    /// Waits until no time is left.
    pub async fn passed(&self) {
        loop {
            let left = self.left();
            if left.is_zero() {
                return;
            }
            sleep(left.min(LOOK)).await;
        }
    }

    /// Waits for something until no time is left.
    ///
    /// # Errors
    ///
    /// When it does not come in time.
    pub async fn timeout<F: Future>(&self, awaited: F) -> Result<F::Output, error::Elapsed> {
        let mut awaited = std::pin::pin!(awaited);
        loop {
            let left = self.left();
            match timeout(left.min(LOOK), awaited.as_mut()).await {
                Err(elapsed) if self.is_over() => return Err(elapsed),
                Err(_) => {}
                Ok(output) => return Ok(output),
            }
        }
    }
}

/// How long the machine has been suspended since it started.
#[must_use]
pub fn suspended() -> Duration {
    static LONGEST: AtomicU64 = AtomicU64::new(0);
    let with_suspension = clock_gettime(ClockId::Boottime);
    // Read last, so that a pause in between makes the difference too small; the greatest of
    // all is right then, and never falls.
    let without = clock_gettime(ClockId::Monotonic);
    let difference = nanoseconds(with_suspension).saturating_sub(nanoseconds(without));
    let longest = LONGEST.fetch_max(difference, Ordering::Relaxed).max(difference);
    Duration::from_nanos(longest)
}

fn nanoseconds(time: Timespec) -> u64 {
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    seconds * 1_000_000_000 + u64::try_from(time.tv_nsec).unwrap_or_default()
}

/// The wall clock, in milliseconds of Unix time; for people, never for decisions.
#[must_use]
pub fn unix_ms() -> u64 {
    u64::try_from(since_epoch().as_millis()).unwrap_or(u64::MAX)
}

/// An incarnation for a process that starts now.
#[must_use]
pub fn incarnation() -> Incarnation {
    Incarnation::new(u64::try_from(since_epoch().as_micros()).unwrap_or(u64::MAX))
}

fn since_epoch() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
