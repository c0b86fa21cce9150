//! `cinderspoke audit`: lists accepted and refused changes with their authors, times and
//! generations.

use anyhow::Result;
use cinderspoke_schema::control::Audit;

use super::client::Admin;
use super::{Exit, Report};

/// Reads the newest `limit` records of the audit trail, newest first.
///
/// # Errors
///
/// If the entry instance does not answer.
pub async fn audit(admin: &Admin, limit: usize) -> Result<Report> {
    let mut report = admin.audit().await?;
    report.records.truncate(limit);
    let lines: Vec<_> = report.records.iter().map(line).collect();
    Report::new(lines.join("\n"), &report, Exit::Done)
}

fn line(record: &Audit) -> String {
    let Audit { operation, author, at_ms, base, outcome, detail, generation } = record;
    let to = generation.map_or("-".into(), |generation| generation.to_string());
    format!("{} {author} {outcome} {base} -> {to} {operation}: {detail}", format_time(*at_ms))
}

/// Formats a Unix time in milliseconds as UTC, to the second.
fn format_time(at_ms: u64) -> String {
    let (days, seconds) = (at_ms / 86_400_000, at_ms / 1000 % 86_400);
    let (year, month, day) = date(days);
    let (hour, minute, second) = (seconds / 3600, seconds / 60 % 60, seconds % 60);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}Z")
}

/// Returns year, month and day for a number of days since 1970-01-01, in the Gregorian calendar.
///
/// Computes with years that begin in March, so that a leap day is the last day of its year.
fn date(days: u64) -> (u64, u64, u64) {
    let days = days + 719_468;
    let (era, of_era) = (days / 146_097, days % 146_097);
    let year = (of_era - of_era / 1460 + of_era / 36_524 - of_era / 146_096) / 365;
    let of_year = of_era - (365 * year + year / 4 - year / 100);
    let month = (5 * of_year + 2) / 153;
    let day = of_year - (153 * month + 2) / 5 + 1;
    let (month, carry) = if month < 10 { (month + 3, 0) } else { (month - 9, 1) };
    (year + 400 * era + carry, month, day)
}
