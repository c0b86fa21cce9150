//! Messages between the programs, their settings and operators' files.
//!
//! The types are generated from `schema/*.json` and committed, so that a build
//! needs no generator. `cargo run -p cinderspoke-codegen` makes them anew.

/// Messages between the programs, and the objects that they keep.
#[allow(missing_docs, clippy::all, clippy::unwrap_used, unused_qualifications, reason = "generated code")]
#[rustfmt::skip]
#[path = "generated/control.rs"]
pub mod control;

/// Operators' files.
#[allow(missing_docs, clippy::all, clippy::unwrap_used, unused_qualifications, reason = "generated code")]
#[rustfmt::skip]
#[path = "generated/operator.rs"]
pub mod operator;

/// Settings of the programs.
#[allow(missing_docs, clippy::all, clippy::unwrap_used, unused_qualifications, reason = "generated code")]
#[rustfmt::skip]
#[path = "generated/settings.rs"]
pub mod settings;

pub mod text;
