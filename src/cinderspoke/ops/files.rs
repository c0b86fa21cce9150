//! Reads the set of files that an operator wants to check, compare or apply.

use std::path::Path;

use anyhow::{Context, Result};
use cinderspoke_schema::control::Part;

/// Reads every `.toml` file of a directory, ordered by name.
///
/// # Errors
///
/// If the directory or a file in it cannot be read.
pub fn read(directory: &Path) -> Result<Vec<Part>> {
    let context = || format!("reading {}", directory.display());
    let mut files = Vec::new();
    for entry in std::fs::read_dir(directory).with_context(context)? {
        let path = entry.with_context(context)?.path();
        if path.extension().is_none_or(|extension| extension != "toml") {
            continue;
        }
        let name = path.file_name().unwrap_or_default().to_string_lossy().into_owned();
        let bytes = std::fs::read(&path).with_context(|| format!("reading {}", path.display()))?;
        let text = String::from_utf8(bytes).with_context(|| format!("{name} is not UTF-8"))?;
        files.push(Part { name, text });
    }
    files.sort_by(|left, right| left.name.cmp(&right.name));
    Ok(files)
}
