//! Reading a program's settings, with every finding at once.

use std::net::SocketAddr;
use std::path::Path;

use anyhow::{Context, Result};
use cinderspoke_core::document::Document;
use cinderspoke_schema::control::Finding;
use cinderspoke_schema::settings::Node;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Settings with something wrong in them.
#[derive(Debug, displaydoc::Display)]
#[displaydoc("the settings cannot be used:\n{report}")]
pub struct Error {
    report: String,
}

impl std::error::Error for Error {}

/// Reads a settings file against its schema.
///
/// # Errors
///
/// When the file cannot be read, or with all findings in it.
pub fn open<T: DeserializeOwned>(path: &Path, schema: &Value) -> Result<T> {
    let text =
        std::fs::read_to_string(path).with_context(|| format!("reading {}", path.display()))?;
    let mut document = Document::read(&path.display().to_string(), &text);
    Ok(document.check(schema).map_err(|findings| Error { report: report(&findings) })?)
}

/// Findings as lines for people to read.
#[must_use]
pub fn report(findings: &[Finding]) -> String {
    let lines = findings.iter().map(|finding| {
        let Finding { file, line, column, what, expected } = finding;
        format!("{file}:{line}:{column}: {what}; expected {expected}")
    });
    lines.collect::<Vec<_>>().join("\n")
}

/// Where a process on a platform is reached by the system's other processes.
#[must_use]
pub fn inner_address(settings: &Node) -> SocketAddr {
    SocketAddr::new(*settings.address, settings.ports.first.get())
}

/// Where the processes on the seeds' instances are reached by the system's other processes.
#[must_use]
pub fn seed_addresses(settings: &Node) -> Vec<SocketAddr> {
    let port = settings.ports.first.get();
    settings.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), port)).collect()
}
