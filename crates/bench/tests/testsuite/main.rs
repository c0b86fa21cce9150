//! The bench's commands, as programs.

#![allow(clippy::unwrap_used, reason = "a test fails where it panics")]

mod days;
