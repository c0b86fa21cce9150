//! Whether the chunks staged at an engine were verified recently enough for an order to load them.
//!
//! A staged chunk may turn bad at any time, also after it was verified, and an engine takes what
//! lies there at the moment at which it takes the order. The weights are whole if every chunk was
//! read back as intact within [`TOLERANCE`] before that moment. Chunks are read back several at
//! once, more of them the slower the engine is, and those whose verification has become too old
//! are read again before the order is sent. The verification ends without that if the engine is
//! too slow: then the chunks have to be verified again once it has taken the order, since a chunk
//! that was bad then still is.
//!
//! While the outcome of an order is unknown, the engine may take it at any time. Chunks are read
//! back and replaced all that time, so that none is bad for [`TOLERANCE`] at any moment of it.

use std::time::Duration;

/// For how long a chunk may have been bad when an engine takes it.
pub const TOLERANCE: Duration = Duration::from_secs(3);

/// The maximum age of a verification when an order is sent. The rest of [`TOLERANCE`] is the time
/// in which the order has to be answered.
const MAX_AGE_AT_ORDER: Duration = Duration::from_millis(1500);

/// The time in which all chunks are to be read back.
const PASS_TIME: Duration = Duration::from_millis(600);

/// The maximum number of chunks read back at once: a small part of the connections that an engine
/// accepts.
const MAX_READS: usize = 24;

/// How many chunks are read back at once while nothing is known of the engine's speed.
const FIRST_READS: usize = 2;

/// How often each chunk is read back on average until the engine counts as too slow.
const MAX_PASSES: usize = 3;

/// What has to be done before an order is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Read these chunks back, in this order.
    Read(Vec<usize>),
    /// Send the order: each chunk was verified recently enough.
    Order,
    /// Send the order, and verify all chunks again afterwards: the engine is too slow for all
    /// chunks to be read back in time.
    OrderThenVerify,
}

/// The last verification of each staged chunk. All times are those of the caller's clock.
#[derive(Debug, Clone)]
pub struct Verification {
    // When the last read that found each chunk intact began; none if there was no such read.
    intact_at: Vec<Option<Duration>>,
    // The chunks that were staged again after they were found to be bad, and not read back since.
    replaced: Vec<bool>,
    // The number of reads, and the time that they took together.
    reads: usize,
    read_time: Duration,
    // Whether an order was sent and it is not known whether the engine has taken it.
    is_ordered: bool,
    // Whether the order may have been taken while a chunk had been bad for too long that has been
    // staged again since.
    is_masked: bool,
}

impl Verification {
    /// Creates the state of chunks that have just been staged, none of them verified.
    #[must_use]
    pub fn new(chunks: usize) -> Self {
        Self {
            intact_at: vec![None; chunks],
            replaced: vec![false; chunks],
            reads: 0,
            read_time: Duration::ZERO,
            is_ordered: false,
            is_masked: false,
        }
    }

    /// Records that an order is sent.
    pub fn begin_order(&mut self) {
        self.is_ordered = true;
        self.is_masked = false;
    }

    /// Records that the outcome of the order is known.
    pub fn end_order(&mut self) {
        self.is_ordered = false;
    }

    /// Records that a chunk was read back, whatever was found, in a read from `began` to `ended`.
    fn record_read(&mut self, began: Duration, ended: Duration) {
        self.reads += 1;
        self.read_time += ended.saturating_sub(began);
    }

    /// Records that a read from `began` to `ended` found a chunk intact.
    pub fn record_intact(&mut self, chunk: usize, began: Duration, ended: Duration) {
        self.record_read(began, ended);
        self.intact_at[chunk] = Some(began);
        self.replaced[chunk] = false;
    }

    /// Records that a read from `began` to `ended` found a chunk to be bad or missing, so that it
    /// is staged again.
    pub fn record_bad(&mut self, chunk: usize, began: Duration, ended: Duration) {
        self.record_read(began, ended);
        self.replaced[chunk] = true;
        self.is_masked |= self.is_ordered && !self.is_intact_within(chunk, TOLERANCE, ended);
    }

    /// Returns the age of the oldest verification; none while a chunk has not been verified since
    /// it was staged.
    #[must_use]
    pub fn age(&self, now: Duration) -> Option<Duration> {
        if self.replaced.contains(&true) {
            return None;
        }
        let oldest = self.intact_at.iter().copied().min().flatten();
        oldest.map(|oldest| now.saturating_sub(oldest))
    }

    fn is_intact_within(&self, chunk: usize, age: Duration, now: Duration) -> bool {
        self.intact_at[chunk].is_some_and(|at| now.saturating_sub(at) < age)
    }

    /// Returns what has to be done before an order is sent.
    #[must_use]
    pub fn step(&self, now: Duration) -> Step {
        let is_stale = |chunk: &usize| {
            self.replaced[*chunk] || !self.is_intact_within(*chunk, MAX_AGE_AT_ORDER, now)
        };
        let mut stale: Vec<_> = (0..self.intact_at.len()).filter(is_stale).collect();
        if stale.is_empty() {
            return Step::Order;
        }
        let is_verified = self.age(now).is_some();
        if is_verified && self.reads >= self.intact_at.len() * MAX_PASSES {
            return Step::OrderThenVerify;
        }
        stale.sort_by_key(|chunk| self.intact_at[*chunk]);
        Step::Read(stale)
    }

    /// Returns how many chunks to read back at once, so that all of them take [`PASS_TIME`].
    #[must_use]
    pub fn concurrent_reads(&self) -> usize {
        let Ok(reads) = u32::try_from(self.reads) else { return MAX_READS };
        let Some(mean) = self.read_time.checked_div(reads) else { return FIRST_READS };
        let chunks = u32::try_from(self.intact_at.len()).unwrap_or(u32::MAX);
        let needed = mean.saturating_mul(chunks).as_nanos().div_ceil(PASS_TIME.as_nanos());
        usize::try_from(needed).unwrap_or(MAX_READS).clamp(1, MAX_READS)
    }

    /// Returns whether an engine that took the order at `taken_at` or shortly before took each
    /// chunk whole: none can have been bad for [`TOLERANCE`] by then.
    #[must_use]
    pub fn proves_whole(&self, taken_at: Duration) -> bool {
        let is_recent = self.age(taken_at).is_some_and(|age| age < TOLERANCE);
        is_recent && !self.is_masked
    }

    /// Returns whether the engine may have taken a bad chunk that has been staged again since, so
    /// that reading the chunks back shows nothing of the loaded weights.
    #[must_use]
    pub fn is_masked(&self) -> bool {
        self.is_masked
    }
}
