//! At most once: claims on callers' keys, kept in the platform's object API.
//!
//! A request that may run once and carries a key is claimed before it leaves
//! the entry instance, by creating an object that must not exist yet. Of all
//! entry instances that get the same key, whenever and in whatever state, one
//! creates it. See `docs/design/once.md` for what this costs and refuses.

use std::time::Duration;

use cinderspoke_core::object;
use cinderspoke_schema::control::Claim;
use cinderspoke_types::digest::Digest;
use cinderspoke_types::id::{Instance, Service, Team};

use crate::ports::{Error, Expect, ObjectStore};
use crate::util::clock::unix_ms;

/// How often a claim whose reply was lost is looked into.
const ATTEMPTS: u32 = 3;

/// How long to wait before looking again.
const PAUSE: Duration = Duration::from_millis(100);

/// How long a key is remembered.
const REMEMBERED: Duration = Duration::from_secs(24 * 3600);

/// What became of a claim.
#[derive(Debug)]
pub enum ClaimOutcome {
    /// This attempt may run; nobody else's may.
    Claimed,
    /// Another attempt with the same key was first.
    Taken,
    /// The platform does not answer, so this attempt must not run.
    Unknown(Error),
}

/// One attempt at a request with a key.
#[derive(Debug, Clone)]
pub struct Attempt {
    key: String,
    claim: Claim,
}

impl Attempt {
    /// An attempt that no other one is mistaken for.
    #[must_use]
    pub fn new(
        service: &Service,
        team: &Team,
        key: &str,
        instance: &Instance,
        number: u64,
    ) -> Self {
        // Teams cannot take each other's keys, and a key may have any form.
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
                // The reply may be lost and the claim made: the next write tells.
                Err(error) if attempt >= ATTEMPTS => return ClaimOutcome::Unknown(error),
                Err(_) => tokio::time::sleep(PAUSE).await,
            }
        }
        ClaimOutcome::Taken
    }

    /// Looks whose claim it is that stands.
    async fn verify(&self, store: &dyn ObjectStore) -> ClaimOutcome {
        match store.read(&self.key).await {
            Ok(Some(object)) => {
                let standing =
                    object.value.and_then(|value| serde_json::from_str::<Claim>(&value).ok());
                if standing.as_ref() == Some(&self.claim) {
                    ClaimOutcome::Claimed
                } else {
                    ClaimOutcome::Taken
                }
            }
            // Removed in between: whoever had it has not run, but this attempt is late.
            Ok(None) => ClaimOutcome::Taken,
            Err(error) => ClaimOutcome::Unknown(error),
        }
    }

    /// Gives the key back after the attempt has not run.
    ///
    /// When that fails the key stays taken, which is safe.
    pub async fn release(&self, store: &dyn ObjectStore) {
        if let Err(error) = store.remove(&self.key).await {
            tracing::warn!(%error, "giving back a key");
        }
    }
}

/// Forgets keys that are older than they have to be remembered.
///
/// # Errors
///
/// When the platform does not answer.
pub async fn remove_expired(store: &dyn ObjectStore) -> Result<(), Error> {
    let now = unix_ms();
    let remembered = u64::try_from(REMEMBERED.as_millis()).unwrap_or(u64::MAX);
    for object in store.list(object::ONCE).await?.objects {
        let claim = object.value.and_then(|value| serde_json::from_str::<Claim>(&value).ok());
        if claim.is_none_or(|claim| claim.at_ms + remembered < now) {
            store.remove(&object.key).await?;
        }
    }
    Ok(())
}
