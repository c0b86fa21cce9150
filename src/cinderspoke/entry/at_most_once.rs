//! At-most-once execution: claims on callers' keys, stored in the platform's object API.
//!
//! Before an entry instance forwards a request that has a key and may run only once, it claims the
//! key by creating an object that must not exist yet. If several entry instances receive the same
//! key, at any time and in any state, exactly one of them creates the object. See
//! `docs/design/once.md` for the cost of a claim and for the requests that are refused.

use std::time::Duration;

use cinderspoke_core::object;
use cinderspoke_schema::control::Claim;
use cinderspoke_types::digest::Digest;
use cinderspoke_types::id::{Instance, Service, Team};

use crate::ports::{Error, Expect, ObjectStore};
use crate::util::clock::unix_ms;

/// Upper bound on the attempts to write a claim whose reply is lost.
const MAX_ATTEMPTS: u32 = 3;

/// Delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// How long a claim is retained.
const CLAIM_RETENTION: Duration = Duration::from_secs(24 * 3600);

/// The outcome of a claim.
#[derive(Debug)]
pub enum ClaimOutcome {
    /// This attempt holds the key and is the only one that may run.
    Claimed,
    /// Another attempt with the same key claimed it first.
    Taken,
    /// The platform does not answer, so this attempt must not run.
    Unknown(Error),
}

/// An attempt to run a request that has a key.
#[derive(Debug, Clone)]
pub struct Attempt {
    key: String,
    claim: Claim,
}

impl Attempt {
    /// Creates an attempt. The pair of `instance` and `number` identifies it, so no other attempt
    /// may have the same pair.
    #[must_use]
    pub fn new(
        service: &Service,
        team: &Team,
        key: &str,
        instance: &Instance,
        number: u64,
    ) -> Self {
        // The digest includes the team, so that teams cannot claim each other's keys. It also
        // allows any characters in a key.
        let digest = Digest::of(format!("{service}\n{team}\n{key}").as_bytes());
        let at_ms = unix_ms();
        let claim = Claim { instance: instance.clone(), number, at_ms };
        Self { key: object::once(digest), claim }
    }

    /// Claims the key for this attempt.
    pub async fn claim(&self, store: &dyn ObjectStore) -> ClaimOutcome {
        let value = serde_json::to_string(&self.claim).unwrap_or_default();
        for attempt in 1.. {
            match store.write(&self.key, value.clone(), Expect::Absent).await {
                Ok(_) => return ClaimOutcome::Claimed,
                Err(Error::Conflict) => return self.verify(store).await,
                // The claim may exist although its reply was lost; the next write then conflicts.
                Err(error) if attempt >= MAX_ATTEMPTS => return ClaimOutcome::Unknown(error),
                Err(_) => tokio::time::sleep(RETRY_DELAY).await,
            }
        }
        ClaimOutcome::Taken
    }

    /// Determines after a conflict whether the stored claim is that of this attempt.
    async fn verify(&self, store: &dyn ObjectStore) -> ClaimOutcome {
        match store.read(&self.key).await {
            Ok(Some(object)) => {
                let stored =
                    object.value.and_then(|value| serde_json::from_str::<Claim>(&value).ok());
                if stored.as_ref() == Some(&self.claim) {
                    ClaimOutcome::Claimed
                } else {
                    ClaimOutcome::Taken
                }
            }
            // The claim was removed after the conflict. Its holder has not run, but this attempt
            // does not claim the key again.
            Ok(None) => ClaimOutcome::Taken,
            Err(error) => ClaimOutcome::Unknown(error),
        }
    }

    /// Releases the key of an attempt that has not run.
    ///
    /// If this fails, the key stays claimed, which is safe.
    pub async fn release(&self, store: &dyn ObjectStore) {
        if let Err(error) = store.remove(&self.key).await {
            tracing::warn!(%error, "failed to release a key");
        }
    }
}

/// Removes claims that are older than the retention time.
///
/// # Errors
///
/// If the platform does not answer.
pub async fn remove_expired(store: &dyn ObjectStore) -> Result<(), Error> {
    let now = unix_ms();
    let retention = u64::try_from(CLAIM_RETENTION.as_millis()).unwrap_or(u64::MAX);
    for object in store.list(object::ONCE).await?.objects {
        let claim = object.value.and_then(|value| serde_json::from_str::<Claim>(&value).ok());
        if claim.is_none_or(|claim| claim.at_ms + retention < now) {
            store.remove(&object.key).await?;
        }
    }
    Ok(())
}
