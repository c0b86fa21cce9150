//! What a gateway and the agents beside its endpoints need of the platform.
//!
//! One adapter stands behind all of these traits; what it knows of wire names
//! stays there.
//!
//! - Gateways follow a [`Registry`] and speak with callers and endpoints in a
//!   [`Dialect`]; what they hold back outlasts them in [`Quarantine`].
//! - Agents have an [`Engine`] load what an [`Origin`] gives.

mod dialect;
mod engine;
mod origin;
mod quarantine;
mod registry;

use std::time::Duration;

pub use self::dialect::{AnswerHead, Attempt, Dialect, Invalid};
pub use self::engine::{Engine, EngineReport, OrderOutcome, Switch};
pub use self::origin::{Listing, Origin};
pub use self::quarantine::Quarantine;
pub use self::registry::{Registry, Watched};

/// How long to stay away from a platform, an engine or an origin that is asked too often and
/// names no time.
pub const DEFAULT_RETRY: Duration = Duration::from_millis(300);
