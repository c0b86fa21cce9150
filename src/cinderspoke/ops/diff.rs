//! `cinderspoke diff`: shows what applying a set of files would change.

use std::path::Path;

use anyhow::Result;
use cinderspoke_core::configuration::{Change, Configuration, changes};

use super::client::Admin;
use super::{Exit, Report, files, findings};

/// Compares the files of a directory with the configuration in force.
///
/// # Errors
///
/// If the files cannot be read or the entry instance does not answer.
pub async fn diff(directory: &Path, admin: &Admin) -> Result<Report> {
    let files = files::read(directory)?;
    let after = match Configuration::check(&files) {
        Ok(after) => after,
        Err(found) => return findings(&found, files.len()),
    };
    let current = admin.configuration().await?;
    // Before the first change no configuration is in force, so every item is new.
    let before = Configuration::check(&current.files).unwrap_or_else(|_| Configuration {
        zones: Default::default(),
        teams: Default::default(),
        models: Default::default(),
        services: Default::default(),
        origin_weight: after.origin_weight,
    });
    let changes = changes(&before, &after);
    let mut lines: Vec<_> = changes.iter().map(Change::to_string).collect();
    lines.push(format!("{} changes to generation {}", changes.len(), current.generation));
    let value = serde_json::json!({ "generation": current.generation, "changes": changes });
    Report::new(lines.join("\n"), &value, Exit::Done)
}
