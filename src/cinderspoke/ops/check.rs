//! `cinderspoke check`: reports all findings in a set of files.

use std::path::Path;

use anyhow::Result;
use cinderspoke_core::configuration::Configuration;

use super::{Report, files, findings};

/// Checks the files of a directory.
///
/// # Errors
///
/// If the files cannot be read.
pub fn check(directory: &Path) -> Result<Report> {
    let files = files::read(directory)?;
    findings(&Configuration::check(&files).err().unwrap_or_default(), files.len())
}
