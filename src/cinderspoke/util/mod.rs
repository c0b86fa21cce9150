//! Utilities shared by the programs.

pub mod body;
pub mod clock;
pub mod listen;
pub mod log;
pub mod metrics;
pub mod pacer;
pub mod program;
pub mod reload;
pub mod rpc;
pub mod settings;
pub mod signal;
pub mod stop;
pub mod unix;

pub use cinderspoke_ports::client as http;
