//! Structured logs.

use std::time::Duration;

use anyhow::Context;
use cinderspoke_schema::settings::{Log, LogFormat};
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::layer::{Layer, Layered, SubscriberExt};
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{EnvFilter, Registry, fmt, reload};

/// What decides on events before they are written.
type Filtered = Layered<reload::Layer<EnvFilter, Registry>, Registry>;

/// Which events are logged.
#[derive(Debug, Clone)]
pub struct Filter(reload::Handle<EnvFilter, Registry>);

impl Filter {
    /// Has other events logged from now on.
    ///
    /// # Errors
    ///
    /// When the filter cannot be read; the last one stays.
    pub fn set(&self, filter: &str) -> anyhow::Result<()> {
        Ok(self.0.reload(read(filter)?)?)
    }
}

fn read(filter: &str) -> anyhow::Result<EnvFilter> {
    EnvFilter::try_new(filter).with_context(|| format!("the log filter {filter:?}"))
}

/// Sends the process's log events to standard error, as its settings say.
///
/// # Errors
///
/// When the filter cannot be read, or logs already go somewhere.
pub fn open(log: &Log) -> anyhow::Result<Filter> {
    let layer = fmt::layer().with_writer(std::io::stderr);
    let layer = match log.format {
        LogFormat::Text => layer.boxed(),
        LogFormat::Json => layer.json().flatten_event(true).boxed(),
    };
    install(log, layer)
}

/// Sends what passes the filter to where it is written.
fn install(log: &Log, layer: Box<dyn Layer<Filtered> + Send + Sync>) -> anyhow::Result<Filter> {
    let (filter, handle) = reload::Layer::new(read(&log.filter)?);
    tracing_subscriber::registry().with(filter).with(layer).try_init()?;
    Ok(Filter(handle))
}

/// Lines that may wait to be written; more are dropped and counted.
const WAITING_LINES: usize = 4096;

/// Keeps lines going to standard output until it is dropped.
pub struct Guard {
    _worker: WorkerGuard,
}

/// Sends the process's log events to standard output as JSON lines, without
/// ever waiting for whoever reads them.
///
/// # Errors
///
/// When the filter cannot be read, or logs already go somewhere.
pub fn open_bounded(log: &Log) -> anyhow::Result<(Guard, Filter)> {
    let (writer, worker) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(WAITING_LINES)
        .finish(std::io::stdout());
    let dropped = writer.error_counter();
    let layer = fmt::layer().with_writer(writer);
    let layer = match log.format {
        LogFormat::Text => layer.boxed(),
        LogFormat::Json => layer.json().flatten_event(true).with_target(false).boxed(),
    };
    let filter = install(log, layer)?;
    tokio::spawn(count_dropped(dropped));
    Ok((Guard { _worker: worker }, filter))
}

/// How often lines that were dropped are counted.
const COUNT: Duration = Duration::from_secs(10);

/// Tells from time to time how many lines were dropped.
async fn count_dropped(dropped: tracing_appender::non_blocking::ErrorCounter) {
    let mut told = 0;
    loop {
        tokio::time::sleep(COUNT).await;
        let lines = dropped.dropped_lines();
        if lines != told {
            told = lines;
            tracing::warn!(lines, "log lines were dropped");
        }
    }
}
