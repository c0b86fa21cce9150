//! The platform's interfaces that gateways and the agents of their endpoints use.
//!
//! One adapter implements all of these traits; names on the wire are known only to it.
//!
//! - Gateways watch a [`Registry`], translate requests and answers with a [`Dialect`], and keep
//!   quarantined requests across restarts in a [`Quarantine`].
//! - Agents fetch weights from an [`Origin`] and load them into an [`Engine`].

mod dialect;
mod engine;
mod origin;
mod quarantine;
mod registry;

use std::time::Duration;

pub use self::dialect::{AnswerHead, Attempt, Dialect, Invalid};
pub use self::engine::{Engine, EngineReport, Layers, OrderOutcome, Switch};
pub use self::origin::{Listing, Origin};
pub use self::quarantine::Quarantine;
pub use self::registry::{Listed, Registry, Watched};

/// The retry delay after a rate-limited call whose answer names none: of a platform, an engine
/// or an origin.
pub const DEFAULT_RETRY: Duration = Duration::from_millis(300);
