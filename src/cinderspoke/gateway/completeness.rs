//! Whether an answer that has ended is whole.
//!
//! An answer with neither a length nor chunks ends with its connection, and so does that of an
//! endpoint that crashes. One new connection distinguishes them: a crashed endpoint refuses it. If
//! it is accepted, the pool keeps it in place of the one that ended.

use std::time::Duration;

use cinderspoke_ports::framing::Framing;
use tokio::time::{Instant, timeout};

use super::pool::Pool;
use crate::util::clock::Deadline;

/// Timeout of finding out whether an answer is whole: the end of the answer waits for it.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// Whether an answer that has ended is whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completeness {
    /// It is whole.
    Whole,
    /// It ended with its connection, and whether the endpoint crashed is unknown. For the caller
    /// it counts as whole, but it is no evidence that the endpoint outlived the request.
    Unknown,
    /// The endpoint crashed during the answer.
    BrokenOff,
}

impl Completeness {
    /// Determines the completeness of an answer that has just ended without an error.
    pub async fn determine(framing: Framing, pool: &Pool, until: &Deadline) -> Self {
        if framing != Framing::Connection {
            return Self::Whole;
        }
        let check = timeout(CHECK_TIMEOUT, pool.refuses_connections(Instant::now()));
        match until.timeout(check).await {
            Ok(Ok(Some(false))) => Self::Whole,
            Ok(Ok(Some(true))) => Self::BrokenOff,
            Ok(Ok(None) | Err(_)) | Err(_) => Self::Unknown,
        }
    }
}
