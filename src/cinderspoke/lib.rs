//! Cinderspoke distributes the weights of many small models to hundreds of instances in bursts,
//! while the instances continue to serve requests.
//!
//! This library implements the programs; each program is a thin `main` on top of it. The decision
//! logic is in [`cinderspoke_core`], which does no I/O.
//!
//! - [`entry`]: the program on each entry instance. It serves callers, applies operators' changes
//!   and relays the configuration and the membership within its availability zone.
//! - [`agent`]: the program on the instance of each endpoint. It exchanges chunks of weights with
//!   peers, sends orders to its endpoint and forwards requests to it.
//! - [`gateway`] and [`staging`]: the same two programs on a platform that stores
//!   the configuration, the versions and the list of endpoints.
//! - [`ops`]: the operator's commands.
//! - [`ports`] and [`endpoint`]: the traits for external systems and their implementations.
//! - [`util`]: utilities that the programs share.

pub mod agent;
pub mod endpoint;
pub mod entry;
pub mod gateway;
pub mod ops;
pub mod staging;
pub mod util;

pub use cinderspoke_ports as ports;
