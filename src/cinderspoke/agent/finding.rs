//! What a transfer finds that speaks against its listing.

use std::net::SocketAddr;

use bytes::Bytes;
use cinderspoke_types::digest::Digest;
use tokio::sync::mpsc;

/// How many findings may wait. Further ones are dropped; they are found again while they hold.
const CAPACITY: usize = 64;

/// What speaks against the listing of a version, or against a source.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Finding {
    /// The origin returned a chunk that is not the listed one.
    Unmatched {
        /// The chunk's number.
        chunk: usize,
        /// The digest of what was returned.
        digest: Digest,
        /// What was returned.
        bytes: Bytes,
    },
    /// A peer counts chunks by another listing, or has proven another chunk in the place of a
    /// listed one.
    OtherListing {
        /// The peer's address.
        peer: SocketAddr,
    },
}

/// Sends findings to whoever reviews the listing; clones send to the same.
#[derive(Debug, Clone, Default)]
pub struct Findings(Option<mpsc::Sender<Finding>>);

impl Findings {
    /// Creates a channel for findings.
    #[must_use]
    pub fn channel() -> (Self, mpsc::Receiver<Finding>) {
        let (sender, receiver) = mpsc::channel(CAPACITY);
        (Self(Some(sender)), receiver)
    }

    /// Sends a finding, if anybody receives it.
    pub fn report(&self, finding: Finding) {
        if let Some(sender) = &self.0
            && sender.try_send(finding).is_err()
        {
            tracing::debug!("a finding on a listing was dropped");
        }
    }
}
