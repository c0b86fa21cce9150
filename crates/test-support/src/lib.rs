//! Stand-ins for what the system does not own, and a fleet on loopback.
//!
//! The stand-ins speak the same protocols as the adapters expect, over real
//! TCP, and misbehave on request. Tests and the bench use the same ones.
//!
//! - [`platform`]: the object API and the list of instances.
//! - [`objects`]: a store of objects with lists and watches; [`proxy`]: a link to harm.
//! - [`oracle`]: what is promised, and whether an attempt kept it.
//! - [`weights`]: the weight store and the origin.
//! - [`engine`] and [`service`]: the endpoints.
//! - [`network`]: links in memory, for experiments on a paused clock.
//! - [`fleet`]: all of them with real entry instances and agents.
//! - [`fault`]: what goes wrong; [`world`]: configurations of any size.
//! - [`caller`]: sends requests and checks every answer; [`load`] sends many.

pub mod address;
pub mod caller;
pub mod engine;
pub mod fault;
pub mod fleet;
pub mod load;
pub mod network;
pub mod node;
pub mod oracle;
pub mod platform;
pub mod proxy;
pub mod samples;
pub mod service;
pub mod weights;
pub mod world;
