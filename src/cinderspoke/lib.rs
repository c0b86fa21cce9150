//! Cinderspoke distributes the weights of many small models to hundreds of
//! instances in bursts, while live requests keep being answered.
//!
//! This library holds what the programs do; each program is a thin `main` over
//! it. The decisions themselves are in [`cinderspoke_core`], which does no I/O.
//!
//! - [`entry`]: the program on each entry instance. It answers callers, takes
//!   operators' changes and relays configuration and membership in its zone.
//! - [`agent`]: the program beside each endpoint. It collects and gives chunks
//!   of weights, gives its endpoint orders and passes requests on.
//! - [`gateway`] and [`stager`]: the same two programs on a platform that keeps
//!   configuration, versions and the list of endpoints.
//! - [`ops`]: what the operator's commands do.
//! - [`ports`] and [`endpoint`]: what we do not own, behind narrow traits.
//! - [`util`]: what the programs share.

pub mod agent;
pub mod endpoint;
pub mod entry;
pub mod gateway;
pub mod ops;
pub mod stager;
pub mod util;

pub use cinderspoke_ports as ports;
