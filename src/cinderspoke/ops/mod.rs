//! The implementation of the operator's commands.
//!
//! A command parses its arguments and calls one function here, which returns a [`Report`]: text for
//! people, JSON for programs, and an exit code.

pub mod apply;
pub mod audit;
pub mod check;
pub mod client;
pub mod diff;
pub mod files;
pub mod status;

use std::fmt::Write as _;
use std::io::{IsTerminal, Write as _};

use anyhow::Result;
use cinderspoke_schema::control::Finding;
use serde::Serialize;

/// The result of a command; the value is the program's exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Done = 0,
    /// The command failed; the report or an error says why.
    Failed = 1,
    /// The files have findings; nothing was applied.
    Findings = 3,
    /// The generation in force is not the base of the change; nothing was applied.
    Conflict = 4,
    /// It is not known whether the change was accepted.
    Unknown = 5,
}

/// The meaning of the exit codes, for the commands' help.
pub const EXIT_CODES: &str = "Exit codes: 0 done; 1 failed; 2 wrong arguments; 3 the files have findings; \
     4 another generation is in force than --base; 5 not known whether the change was accepted \
     (ask again with the same --operation).";

/// The output of a command.
#[derive(Debug)]
pub struct Report {
    /// For people.
    pub text: String,
    /// For programs.
    pub json: serde_json::Value,
    /// How the command ended.
    pub exit: Exit,
}

impl Report {
    /// Creates a report with a text and a value.
    ///
    /// # Errors
    ///
    /// If the value cannot be converted to JSON.
    pub fn new<T: Serialize>(text: String, value: &T, exit: Exit) -> Result<Self> {
        Ok(Self { text, json: serde_json::to_value(value)?, exit })
    }
}

/// The format of a command's output.
#[derive(Debug, Clone, Copy)]
pub struct Console {
    /// Whether reports are written as JSON.
    pub json: bool,
}

impl Console {
    /// Whether progress is shown: only if standard error is a terminal and reports are not JSON.
    #[must_use]
    pub fn shows_progress(self) -> bool {
        !self.json && std::io::stderr().is_terminal()
    }

    /// Writes a report to standard output.
    ///
    /// # Errors
    ///
    /// If writing to standard output fails.
    pub fn write(self, report: &Report) -> Result<()> {
        let mut out = std::io::stdout().lock();
        if self.json {
            writeln!(out, "{}", report.json)?;
        } else if !report.text.is_empty() {
            writeln!(out, "{}", report.text.trim_end())?;
        }
        Ok(())
    }
}

/// Creates a report of findings; its result is [`Exit::Done`] if there are none.
///
/// # Errors
///
/// If the findings cannot be converted to JSON.
pub fn findings(findings: &[Finding], files: usize) -> Result<Report> {
    let mut text = crate::util::settings::report(findings);
    let exit = if findings.is_empty() {
        let _ = write!(text, "{files} files, no findings");
        Exit::Done
    } else {
        let _ = write!(text, "\n{} findings", findings.len());
        Exit::Findings
    };
    Report::new(text, &serde_json::json!({ "findings": findings }), exit)
}
