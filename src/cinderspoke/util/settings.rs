//! Parsing of a program's settings. All findings are reported at once.

use std::net::SocketAddr;
use std::path::Path;

use cinderspoke_core::document::Document;
use cinderspoke_schema::control::Finding;
use cinderspoke_schema::settings::{Agent, Entry, Log, Node};
use cinderspoke_schema::text;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// The settings of a program.
pub trait Settings: DeserializeOwned + Serialize + Send + Sync + 'static {
    /// The fields whose changes come into force while the program runs; fields of tables are
    /// written as `table.field`. Changes to other fields come into force at the next start.
    const RELOADABLE: &'static [&'static str];

    /// Returns the JSON schema of the settings.
    fn schema() -> Value;

    /// Returns the settings of the log.
    fn log(&self) -> &Log;
}

impl Settings for Entry {
    const RELOADABLE: &'static [&'static str] = &["log.filter"];

    fn schema() -> Value {
        text::entry_settings()
    }

    fn log(&self) -> &Log {
        &self.log
    }
}

impl Settings for Agent {
    const RELOADABLE: &'static [&'static str] = &["log.filter"];

    fn schema() -> Value {
        text::agent_settings()
    }

    fn log(&self) -> &Log {
        &self.log
    }
}

impl Settings for Node {
    const RELOADABLE: &'static [&'static str] =
        &["bounds", "limits.link_mbps", "log.filter", "overload", "regions", "seeds"];

    fn schema() -> Value {
        text::node_settings()
    }

    fn log(&self) -> &Log {
        &self.log
    }
}

/// Settings with findings.
#[derive(Debug, displaydoc::Display)]
#[displaydoc("the settings cannot be used:\n{report}")]
pub struct Error {
    report: String,
}

impl std::error::Error for Error {}

impl Error {
    /// Returns all findings in one line.
    #[must_use]
    pub fn findings(&self) -> String {
        self.report.replace('\n', "; ")
    }
}

/// Parses and checks the text of a settings file.
///
/// # Errors
///
/// If the text is not valid, with all findings in it.
pub fn check<T: Settings>(path: &Path, text: &str) -> Result<T, Error> {
    let mut document = Document::read(&path.display().to_string(), text);
    document.check(&T::schema()).map_err(|findings| Error { report: report(&findings) })
}

/// Formats findings for people, one line each.
#[must_use]
pub fn report(findings: &[Finding]) -> String {
    let lines = findings.iter().map(|finding| {
        let Finding { file, line, column, what, expected } = finding;
        format!("{file}:{line}:{column}: {what}; expected {expected}")
    });
    lines.collect::<Vec<_>>().join("\n")
}

/// Returns the address at which the system's other processes reach a process on a platform.
#[must_use]
pub fn internal_address(settings: &Node) -> SocketAddr {
    SocketAddr::new(*settings.address, settings.ports.first.get())
}

/// Returns the addresses at which the system's other processes reach the processes on the seeds'
/// instances.
#[must_use]
pub fn seed_addresses(settings: &Node) -> Vec<SocketAddr> {
    let port = settings.ports.first.get();
    settings.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), port)).collect()
}
