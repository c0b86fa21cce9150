//! The memory for answers that a gateway buffers until they, or their next events, are whole.
//!
//! The bytes of each answer are charged to one budget for the whole process as they arrive. If the
//! budget is exhausted, the endpoint whose unfinished answers hold most of it loses the largest of
//! them: an endpoint in trouble may send bytes without end, on many connections, and the answers of
//! others must not wait for these. An answer that needs memory meanwhile is not read further, so
//! that its sender is slowed down by its connection.

use std::collections::BTreeMap;
use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use cinderspoke_core::gateway::name::Endpoint;
use cinderspoke_types::size;
use displaydoc::Display;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use metrics::counter;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::util::metrics::ANSWERS_GIVEN_UP;

/// The share of a process's memory that answers may take, in percent. An answer takes up to twice
/// its size while it grows, and requests' bodies need memory too.
const ANSWERS_PERCENT: u64 = 25;

/// Why a body was not buffered.
#[derive(Debug, Display)]
pub enum Error {
    /// the body broke off: {0}
    BrokenOff(hyper::Error),
    /// the body has more bytes than are allowed
    TooLong,
    /// no memory was left for the body
    Exhausted,
}

impl std::error::Error for Error {}

/// The budget of memory for the answers of one process.
#[derive(Debug)]
pub struct Memory {
    state: Mutex<State>,
    // Wakes up those who wait for memory.
    freed: Notify,
}

#[derive(Debug)]
struct State {
    limit: usize,
    // The bytes of all shares.
    used: usize,
    // The bytes of shares that were given up and are not dropped yet.
    given_up: usize,
    shares: BTreeMap<u64, Holder>,
    next: u64,
}

/// Who holds a share.
#[derive(Debug)]
struct Holder {
    endpoint: Endpoint,
    bytes: usize,
    // Whether all bytes have arrived, so that the share grows no further.
    is_whole: bool,
    given_up: CancellationToken,
}

impl Memory {
    /// Creates the budget of a process with a limit on all of its memory.
    #[must_use]
    pub fn new(process: size::Bytes) -> Arc<Self> {
        let state = State {
            limit: answers_limit(process),
            used: 0,
            given_up: 0,
            shares: BTreeMap::new(),
            next: 0,
        };
        Arc::new(Self { state: Mutex::new(state), freed: Notify::new() })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the limit on all of the process's memory.
    pub fn set_limit(&self, process: size::Bytes) {
        self.lock().limit = answers_limit(process);
        self.freed.notify_waiters();
    }

    /// Returns the number of bytes held.
    #[must_use]
    pub fn used(&self) -> usize {
        self.lock().used
    }

    /// Returns a share of an endpoint's answer, which holds nothing yet.
    #[must_use]
    pub fn share(self: &Arc<Self>, endpoint: &Endpoint) -> Share {
        let given_up = CancellationToken::new();
        let holder = Holder {
            endpoint: endpoint.clone(),
            bytes: 0,
            is_whole: false,
            given_up: given_up.clone(),
        };
        let mut state = self.lock();
        let number = state.next;
        state.next += 1;
        state.shares.insert(number, holder);
        drop(state);
        Share { memory: Arc::clone(self), number, held: 0, given_up }
    }
}

/// The bytes that all answers together may hold.
fn answers_limit(process: size::Bytes) -> usize {
    usize::try_from(process.as_u64() / 100 * ANSWERS_PERCENT).unwrap_or(usize::MAX)
}

impl State {
    /// Gives up answers until there is room for more bytes once they are dropped.
    fn make_room(&mut self, bytes: usize) {
        while self.used - self.given_up + bytes > self.limit {
            let Some(largest) = self.largest() else { return };
            let Some(holder) = self.shares.get(&largest) else { return };
            self.given_up += holder.bytes;
            holder.given_up.cancel();
            counter!(ANSWERS_GIVEN_UP).increment(1);
            tracing::warn!(
                endpoint = %holder.endpoint,
                bytes = holder.bytes,
                used = self.used,
                limit = self.limit,
                "answer given up: no memory is left"
            );
        }
    }

    /// The largest unfinished answer of the endpoint whose unfinished answers hold most.
    fn largest(&self) -> Option<u64> {
        let growing = |holder: &&Holder| {
            !holder.is_whole && holder.bytes > 0 && !holder.given_up.is_cancelled()
        };
        let mut sums: BTreeMap<&Endpoint, usize> = BTreeMap::new();
        for holder in self.shares.values().filter(growing) {
            *sums.entry(&holder.endpoint).or_default() += holder.bytes;
        }
        let (endpoint, _) = sums.into_iter().max_by_key(|(_, bytes)| *bytes)?;
        let shares = self.shares.iter().filter(|(_, it)| growing(it) && it.endpoint == *endpoint);
        shares.max_by_key(|(_, holder)| holder.bytes).map(|(number, _)| *number)
    }
}

/// The part of the memory that one answer holds until it is dropped.
#[derive(Debug)]
pub struct Share {
    memory: Arc<Memory>,
    number: u64,
    held: usize,
    given_up: CancellationToken,
}

impl Share {
    /// Changes the number of bytes held. Waits for memory if there is none.
    ///
    /// # Errors
    ///
    /// [`Error::Exhausted`] if this answer is given up for others.
    pub async fn hold(&mut self, bytes: usize) -> Result<(), Error> {
        if self.given_up.is_cancelled() {
            return Err(Error::Exhausted);
        }
        if !self.try_hold(bytes) {
            self.wait_for(bytes).await?;
        }
        Ok(())
    }

    /// Changes the number of bytes held if there is memory for it.
    fn try_hold(&mut self, bytes: usize) -> bool {
        let memory = Arc::clone(&self.memory);
        let mut state = memory.lock();
        let used = state.used - self.held + bytes;
        let fits = bytes <= self.held || used <= state.limit;
        if fits && let Some(holder) = state.shares.get_mut(&self.number) {
            holder.bytes = bytes;
            if holder.given_up.is_cancelled() {
                state.given_up = state.given_up - self.held + bytes;
            }
            state.used = used;
            let is_freed = bytes < self.held;
            self.held = bytes;
            drop(state);
            if is_freed {
                memory.freed.notify_waiters();
            }
        }
        fits
    }

    /// Lowers the number of bytes held to `bytes`, if it is higher.
    pub fn release_to(&mut self, bytes: usize) {
        if bytes < self.held {
            self.try_hold(bytes);
        }
    }

    async fn wait_for(&mut self, bytes: usize) -> Result<(), Error> {
        let memory = Arc::clone(&self.memory);
        loop {
            let mut freed = pin!(memory.freed.notified());
            freed.as_mut().enable();
            if self.given_up.is_cancelled() {
                return Err(Error::Exhausted);
            }
            if self.try_hold(bytes) {
                return Ok(());
            }
            memory.lock().make_room(bytes - self.held);
            tokio::select! {
                biased;
                () = self.given_up.cancelled() => return Err(Error::Exhausted),
                () = freed => {}
            }
        }
    }

    /// Waits for the next data of a body; none at its end.
    ///
    /// # Errors
    ///
    /// If the body breaks off, or the answer is given up for others.
    pub async fn next(&self, body: &mut Incoming) -> Result<Option<Bytes>, Error> {
        loop {
            let frame = tokio::select! {
                biased;
                () = self.given_up.cancelled() => return Err(Error::Exhausted),
                frame = body.frame() => frame,
            };
            let Some(frame) = frame else { return Ok(None) };
            if let Ok(data) = frame.map_err(Error::BrokenOff)?.into_data() {
                return Ok(Some(data));
            }
        }
    }

    /// Reads a body of at most `limit` bytes whole. Its bytes are held until it is dropped.
    ///
    /// Its pieces are copied: each keeps the memory of the read that it came with, which may be many
    /// times its size.
    ///
    /// # Errors
    ///
    /// If the body is not received whole, is too long, or is given up for others.
    pub async fn collect(mut self, mut body: Incoming, limit: usize) -> Result<Bytes, Error> {
        let mut bytes = Vec::new();
        while let Some(piece) = self.next(&mut body).await? {
            let length = bytes.len() + piece.len();
            if length > limit {
                return Err(Error::TooLong);
            }
            self.hold(length).await?;
            bytes.extend_from_slice(&piece);
        }
        self.finish()?;
        Ok(Bytes::from_owner(Held { bytes: bytes.into_boxed_slice(), _share: self }))
    }

    /// Records that the answer is whole, so that it is not given up any more.
    ///
    /// # Errors
    ///
    /// [`Error::Exhausted`] if it was given up before.
    pub fn finish(&self) -> Result<(), Error> {
        let mut state = self.memory.lock();
        match state.shares.get_mut(&self.number) {
            Some(holder) if !holder.given_up.is_cancelled() => {
                holder.is_whole = true;
                Ok(())
            }
            _ => Err(Error::Exhausted),
        }
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        let mut state = self.memory.lock();
        state.used -= self.held;
        let holder = state.shares.remove(&self.number);
        if holder.is_some_and(|holder| holder.given_up.is_cancelled()) {
            state.given_up -= self.held;
        }
        drop(state);
        self.memory.freed.notify_waiters();
    }
}

/// The bytes of a whole answer, and the memory that they hold.
struct Held {
    bytes: Box<[u8]>,
    _share: Share,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
