//! `cinderspoke status`: shows running replicas, transfers in progress and instances that do not
//! follow the current plan yet.

use std::collections::BTreeMap;
use std::time::Duration;

use anyhow::{Result, bail};
use cinderspoke_schema::control::{ServiceStatus, StatusReport};
use cinderspoke_types::counter::Generation;
use indicatif::{MultiProgress, ProgressBar, ProgressDrawTarget, ProgressStyle};
use tokio::time::{Instant, sleep};

use super::client::Admin;
use super::{Console, Exit, Report};

/// Interval at which a wait polls the status.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Reads the status.
///
/// # Errors
///
/// If the entry instance does not answer.
pub async fn status(admin: &Admin) -> Result<Report> {
    let report = admin.status().await?;
    Report::new(text(&report), &report, Exit::Done)
}

fn text(report: &StatusReport) -> String {
    let mut lines = vec![format!("generation {}", report.generation), String::new()];
    lines
        .push(format!("{:<24} {:<12} {:>7} {:>7}  phases", "service", "version", "wanted", "live"));
    lines.extend(report.services.iter().map(service_line));
    lines.push(String::new());
    lines.push(format!(
        "{:<24} {:>10} {:>6} {:>8}  not in force yet on",
        "zone", "generation", "plan", "members"
    ));
    for zone in &report.zones {
        let behind: Vec<_> = zone.behind.iter().map(ToString::to_string).collect();
        let behind = if behind.is_empty() { "-".into() } else { behind.join(", ") };
        let (generation, fence) = (zone.generation.as_u64(), zone.fence.as_u64());
        lines.push(format!(
            "{:<24} {generation:>10} {fence:>6} {:>8}  {behind}",
            zone.zone, zone.members
        ));
    }
    if !report.transfers.is_empty() {
        lines.push(String::new());
        lines.push("transfers".into());
    }
    for transfer in &report.transfers {
        let (held, total) = (transfer.chunks_held, transfer.chunks_total);
        lines.push(format!(
            "{:<24} {} {}: {held} of {total} chunks",
            transfer.instance, transfer.service, transfer.version
        ));
    }
    lines.join("\n")
}

fn service_line(service: &ServiceStatus) -> String {
    let version = service.version.as_ref().map_or("-".into(), ToString::to_string);
    let phases = service.phases.iter().map(|count| format!("{} {}", count.replicas, count.phase));
    let phases: Vec<_> = phases.collect();
    format!(
        "{:<24} {version:<12} {:>7} {:>7}  {}",
        service.service,
        service.wanted,
        service.live,
        phases.join(", ")
    )
}

/// Waits until all replicas of a generation are live. Shows progress bars on a terminal.
///
/// # Errors
///
/// If that takes longer than `limit`.
pub async fn wait(
    admin: &Admin,
    generation: Generation,
    limit: Duration,
    console: Console,
) -> Result<StatusReport> {
    let deadline = Instant::now() + limit;
    let mut bars = Bars::new(console);
    while Instant::now() < deadline {
        // An entry instance that does not answer now may answer the next poll.
        if let Ok(report) = admin.status().await {
            bars.show(&report);
            if is_live(&report, generation) {
                return Ok(report);
            }
        }
        sleep(POLL_INTERVAL).await;
    }
    bail!("generation {generation} is accepted, but not live everywhere after {limit:?}")
}

/// Whether a generation is in force in all availability zones, every service has all its replicas
/// live, and no replica of another version is live.
#[must_use]
pub fn is_live(report: &StatusReport, generation: Generation) -> bool {
    let live = |service: &ServiceStatus| match service.wanted {
        0 => service.live == 0,
        wanted => service.live >= wanted,
    };
    let in_force = report.zones.iter().all(|zone| zone.generation >= generation);
    report.generation >= generation && in_force && report.services.iter().all(live)
}

/// A progress bar for each service.
#[derive(Debug)]
pub struct Bars {
    all: MultiProgress,
    bars: BTreeMap<String, ProgressBar>,
}

impl Bars {
    /// Creates the bars; they are hidden if the console shows no progress.
    #[must_use]
    pub fn new(console: Console) -> Self {
        let all = MultiProgress::new();
        if !console.shows_progress() {
            all.set_draw_target(ProgressDrawTarget::hidden());
        }
        Self { all, bars: BTreeMap::new() }
    }

    /// Updates the number of live replicas of each service.
    pub fn show(&mut self, report: &StatusReport) {
        for service in report.services.iter().filter(|service| service.wanted > 0) {
            let name = service.service.to_string();
            let bar = self.bars.entry(name.clone()).or_insert_with(|| self.all.add(bar(name)));
            bar.set_length(u64::from(service.wanted));
            bar.set_position(u64::from(service.live));
        }
    }
}

fn bar(name: String) -> ProgressBar {
    let style = ProgressStyle::with_template("{msg:24} {wide_bar} {pos:>4}/{len}");
    let bar = ProgressBar::no_length().with_message(name);
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    bar
}
