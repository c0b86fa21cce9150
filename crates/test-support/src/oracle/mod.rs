//! What callers, operators and endpoints are promised, and whether it was kept.
//!
//! - [`attempt`]: a request as its caller and endpoints have seen it.
//! - [`disturbance`]: what a fault suspends, decided once for each kind of fault.
//! - [`judge`]: what is broken by an attempt; [`fatal`] by a request that ends endpoints,
//!   [`notice`] by those that pass over what endpoints say, [`limit`] by all gateways together that
//!   exceed what an endpoint accepts, [`budget`] by all that send requests again, [`size`] by all
//!   callers together.
//!   Pure, so that tests need no processes.

pub mod attempt;
pub mod budget;
pub mod disturbance;
pub mod fatal;
pub mod judge;
pub mod limit;
pub mod notice;
pub mod size;
