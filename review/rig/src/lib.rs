//! Stand-ins for the users' platform, its clients and its servers, for the scripts of the second
//! review. They use the standard library only.

pub mod engine;
pub mod http;
pub mod model;
pub mod process;
pub mod record;
pub mod sha256;
pub mod store;
pub mod world;
