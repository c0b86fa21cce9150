//! Objects of the platform's object API, and the keys that Cinderspoke uses.

use cinderspoke_types::counter::{Generation, Revision};
use cinderspoke_types::digest::Digest;
use cinderspoke_types::id::{Operation, Zone};
use serde::{Deserialize, Serialize};

/// An object as read from the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    /// Its key.
    pub key: String,
    /// Its revision, which increases across all objects.
    pub revision: Revision,
    /// Its value; `None` if the object was deleted.
    pub value: Option<String>,
}

/// The condition on an object for a write to take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Expect {
    /// No condition.
    Any,
    /// The object does not exist.
    Absent,
    /// The object is still at this revision.
    Revision(Revision),
}

/// A list of objects, with the revision up to which it is complete.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// The list includes every change up to this revision.
    pub revision: Revision,
    /// The objects, ordered by revision.
    pub objects: Vec<Object>,
}

/// The prefix of the objects that every entry instance watches.
pub const WATCHED: &str = "live/";

/// The key of the root of the accepted configuration.
pub const ROOT: &str = "live/root";

/// The prefix of previous roots.
pub const HISTORY: &str = "history/";

/// The prefix of the records of refused changes.
pub const REFUSED: &str = "refused/";

/// The prefix of the claims on callers' idempotency keys.
pub const ONCE: &str = "once/";

/// The key of the lease whose holder writes the plans.
pub const PLANNER: &str = "lease/planner";

/// The key of the plan of an availability zone.
#[must_use]
pub fn plan(zone: &Zone) -> String {
    format!("live/plan/{zone}")
}

/// The key of the members of an availability zone.
#[must_use]
pub fn members(zone: &Zone) -> String {
    format!("live/members/{zone}")
}

/// The key of the lease whose holder publishes the members of an availability zone.
#[must_use]
pub fn zone_lease(zone: &Zone) -> String {
    format!("lease/zone/{zone}")
}

/// The key of a configuration file, by its digest.
#[must_use]
pub fn part(digest: Digest) -> String {
    format!("part/{digest}")
}

/// The key of the claim on a caller's idempotency key, by the digest of the latter.
#[must_use]
pub fn once(key: Digest) -> String {
    format!("{ONCE}{key}")
}

/// The key of a previous root; keys sort by generation.
#[must_use]
pub fn history(generation: Generation) -> String {
    format!("{HISTORY}{generation:020}")
}

/// The key of a refused change; keys sort by time, in milliseconds.
#[must_use]
pub fn refused(at_ms: u64, operation: &Operation) -> String {
    format!("{REFUSED}{at_ms:020}-{operation}")
}
