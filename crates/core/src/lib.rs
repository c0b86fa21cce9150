//! The decisions of the system: pure state machines and functions.
//!
//! Nothing here reads a clock, opens a socket or draws a random number. Time
//! comes in as a [`std::time::Duration`] since the process started; what to do
//! next goes out as an enum. The programs, the tests and the experiments all
//! run this same code.
//!
//! - What is to run: [`document`] and [`configuration`] turn operators' files
//!   into a checked [`configuration::Configuration`] or a list of findings.
//! - Where it runs: [`member`] keeps who is there, [`placement`] lays replicas
//!   on instances, [`drain`] says which of them may drain, [`lease`] who may
//!   write the plan.
//! - Who keeps it: [`coordinator`] is the control state of an entry instance,
//!   [`change`] decides what becomes of an operator's change.
//! - How weights get there: [`manifest`], [`swarm`] and [`transfer`] decide
//!   which chunk is drawn from whom; [`replica`] turns orders into steps.
//! - How requests are answered: [`admission`], [`route`] and [`outcome`]; on a
//!   platform that keeps configuration and versions, by a [`gateway`].

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
pub mod rendezvous;
pub mod replica;
pub mod route;
pub mod swarm;
pub mod transfer;
