//! The decision logic of Cinderspoke: pure state machines and functions.
//!
//! Nothing here reads a clock, opens a socket or generates a random number. Time
//! is passed in as a [`std::time::Duration`] since the process started, and the
//! next action is returned as an enum. The programs, the tests and the benchmarks
//! run the same code.
//!
//! - Configuration: [`document`] and [`configuration`] parse and check operators'
//!   files; [`change`] decides whether an operator's change is accepted.
//! - Control plane: [`coordinator`] is the control state of an entry instance. It
//!   uses [`member`] for the health of instances, [`placement`] to assign replicas
//!   to instances, [`drain`] to grant which replicas may drain, and [`lease`] to
//!   elect the instance that writes the plan. [`object`] has the keys in the
//!   platform's store.
//! - Distribution of weights: [`manifest`] lists chunks, [`proof`] decides which
//!   of those that an origin lists are certain, and [`swarm`] and
//!   [`transfer`] decide which chunk is fetched from where; [`replica`] turns
//!   orders into steps for an agent.
//! - Requests at an entry instance: [`admission`], [`route`] and [`outcome`].
//! - Requests at a gateway, on a platform that stores the configuration and the
//!   versions itself: [`gateway`].
//! - Building blocks: [`bitmap`] and [`rendezvous`].

pub mod admission;
pub mod bitmap;
pub mod change;
pub mod configuration;
pub mod coordinator;
pub mod document;
pub mod drain;
pub mod gateway;
pub mod lease;
pub mod manifest;
pub mod member;
pub mod object;
pub mod outcome;
pub mod placement;
pub mod proof;
pub mod rendezvous;
pub mod replica;
pub mod route;
pub mod swarm;
pub mod transfer;
