//! The events that a coordinator handles, and the actions that it returns.

use std::time::Duration;

use cinderspoke_schema::control::{Heartbeat, Part, RelayState, Root};
use cinderspoke_types::counter::Revision;
use cinderspoke_types::id::Instance;

use crate::object::{Expect, Object};

/// An input to the control state of an entry instance.
#[derive(Debug, Clone)]
pub enum Event {
    /// An agent sent a heartbeat.
    Heartbeat(Heartbeat),
    /// Objects were read, or a watch reported them.
    Objects(Vec<Object>),
    /// The files of a root were read.
    Parts(Root, Vec<Part>),
    /// Another entry instance sent its state.
    Relay(RelayState),
    /// The platform lists these instances as leaving.
    Leaving(Vec<Instance>),
    /// A write took effect.
    Written {
        /// What was written.
        write: Write,
        /// The object's new revision.
        revision: Revision,
        /// When it was sent.
        sent: Duration,
    },
    /// A write did not take effect, or its outcome is unknown.
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
    /// The condition on the object for the write to take effect.
    pub expect: Expect,
}

/// What the caller of a coordinator has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Read the files of a root.
    ReadParts(Root),
    /// Read an object again, since a write to it has failed.
    Read(String),
    /// Write an object, and report the outcome as an event.
    Write(Write),
    /// Publish the current state to the traffic threads.
    Publish,
}
