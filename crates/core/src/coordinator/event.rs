//! What a coordinator takes in, and what it has done in return.

use std::time::Duration;

use cinderspoke_schema::control::{Heartbeat, Part, RelayState, Root};
use cinderspoke_types::counter::Revision;
use cinderspoke_types::id::Instance;

use crate::object::{Expect, Object};

/// What happens to an entry instance's control state.
#[derive(Debug, Clone)]
pub enum Event {
    /// An agent reported.
    Heartbeat(Heartbeat),
    /// Objects were read or watched.
    Objects(Vec<Object>),
    /// The files of a root were read.
    Parts(Root, Vec<Part>),
    /// Another entry instance told what it knows.
    Relay(RelayState),
    /// The platform's list names these instances as leaving.
    Leaving(Vec<Instance>),
    /// A write took effect; `sent` is when it was sent.
    Written {
        /// What was written.
        write: Write,
        /// The object's new revision.
        revision: Revision,
        /// When it was sent.
        sent: Duration,
    },
    /// A write did not take effect, or that is not known.
    NotWritten(Write),
    /// Time passed.
    Tick,
}

/// A write to the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// The object's key.
    pub key: String,
    /// Its new value.
    pub value: String,
    /// What it must be.
    pub expect: Expect,
}

/// What to do next.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Read the files of a root.
    ReadParts(Root),
    /// Read an object, since a write to it has failed.
    Read(String),
    /// Write an object; the outcome is due as an event.
    Write(Write),
    /// Show the traffic threads the state anew.
    Publish,
}
