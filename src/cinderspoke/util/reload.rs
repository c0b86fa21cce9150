//! Reloading of the settings while a program runs.
//!
//! The settings file is reloaded on SIGHUP, and when a periodic check finds that its content has
//! changed; in both cases only after two reads in a row returned the same content. Changes to the
//! fields in [`Settings::RELOADABLE`] come into force at once, and changes to other fields at the
//! next start. If the file is not valid, the previous settings stay in force.

use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result};
use serde_json::Value;
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval, sleep};

use super::log::Filter;
use super::settings::{self, Settings};
use super::unix::Reload;

/// Interval at which the file is checked for changes. A change without a signal comes into force
/// within seconds, and a check only reads one small file.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// How long the file has to stay the same after a signal. Longer than a small file takes to be
/// written, and much shorter than [`POLL_INTERVAL`].
const SETTLE_DURATION: Duration = Duration::from_millis(100);

/// The content of a file, or why it cannot be read.
type Text = Result<String, io::ErrorKind>;

/// A settings file with the settings in force.
pub struct File<T> {
    path: PathBuf,
    // The content that was last applied or rejected.
    text: Text,
    // Invariant: differs from the settings at the start only in reloadable fields.
    in_force: Arc<T>,
}

/// The names of the fields that a reload changed.
#[derive(Debug)]
struct Change {
    /// The fields whose change is in force.
    changed: String,
    /// The fields that differ from the settings at the start, and whose change comes into force at
    /// the next start.
    at_next_start: String,
}

impl<T: Settings> File<T> {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// If the file cannot be read, or with all findings if it is not valid.
    pub fn open(path: PathBuf) -> Result<Self> {
        let text = std::fs::read_to_string(&path);
        let text = text.with_context(|| format!("reading {}", path.display()))?;
        let in_force = Arc::new(settings::check(&path, &text)?);
        Ok(Self { path, text: Ok(text), in_force })
    }

    /// Returns the settings in force.
    #[must_use]
    pub fn settings(&self) -> &Arc<T> {
        &self.in_force
    }

    /// Starts a task that reloads the file and publishes the settings in force.
    pub fn spawn(self, requests: Reload, filter: Filter) -> watch::Receiver<Arc<T>> {
        let (sender, receiver) = watch::channel(Arc::clone(&self.in_force));
        tokio::spawn(self.watch(requests, filter, sender));
        receiver
    }

    async fn watch(mut self, mut requests: Reload, filter: Filter, sender: watch::Sender<Arc<T>>) {
        let mut polls = interval(POLL_INTERVAL);
        polls.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut seen = self.text.clone();
        loop {
            tokio::select! {
                biased;
                () = requests.requested() => {
                    let text = self.read_settled().await;
                    self.reload(text, &filter, &sender);
                }
                _ = polls.tick() => {
                    let text = self.read();
                    // A partly written file may be valid, so the content has to stay the same
                    // first.
                    let settled = text == seen;
                    seen = text.clone();
                    if settled && text != self.text {
                        self.reload(text, &filter, &sender);
                    }
                }
            }
        }
    }

    /// Reads the file until its content stays the same. The process that sent the signal may still
    /// be writing, and a partly written file may be valid.
    async fn read_settled(&self) -> Text {
        let mut text = self.read();
        loop {
            sleep(SETTLE_DURATION).await;
            let again = self.read();
            if again == text {
                return again;
            }
            text = again;
        }
    }

    fn read(&self) -> Text {
        std::fs::read_to_string(&self.path).map_err(|error| error.kind())
    }

    /// Applies the content of the file, publishes the settings if they changed, and logs the
    /// result.
    fn reload(&mut self, text: Text, filter: &Filter, sender: &watch::Sender<Arc<T>>) {
        self.text = text;
        match self.apply(filter) {
            Ok(Change { changed, at_next_start }) => {
                if !changed.is_empty() {
                    sender.send_replace(Arc::clone(&self.in_force));
                }
                tracing::info!(changed, at_next_start, "settings reloaded");
            }
            Err(error) => {
                let findings = error.downcast_ref::<settings::Error>();
                let findings = findings.map_or_else(|| format!("{error:#}"), |it| it.findings());
                tracing::warn!(
                    findings,
                    "settings cannot be used, the previous ones stay in force"
                );
            }
        }
    }

    /// Parses the content and puts the changes to reloadable fields in force.
    fn apply(&mut self, filter: &Filter) -> Result<Change> {
        let reading = || format!("reading {}", self.path.display());
        let text = self.text.as_ref().map_err(|kind| io::Error::from(*kind));
        let read: T = settings::check(&self.path, text.with_context(reading)?)?;
        let (before, read) = (serde_json::to_value(&*self.in_force)?, serde_json::to_value(read)?);
        let mut after = before.clone();
        T::RELOADABLE.iter().for_each(|field| copy_field(&mut after, &read, field));
        let change = Change {
            changed: differing_fields(&before, &after),
            at_next_start: differing_fields(&after, &read),
        };
        let in_force: T = serde_json::from_value(after)?;
        filter.set(&in_force.log().filter)?;
        self.in_force = Arc::new(in_force);
        Ok(change)
    }
}

/// Copies a field from some settings to others, and removes it if it is absent.
fn copy_field(into: &mut Value, from: &Value, field: &str) {
    if let Some((table, field)) = field.split_once('.') {
        return copy_field(&mut into[table], &from[table], field);
    }
    match (from.get(field), into.as_object_mut()) {
        (Some(value), _) => into[field] = value.clone(),
        (None, Some(into)) => drop(into.remove(field)),
        (None, None) => {}
    }
}

/// Returns the names of the fields that differ, separated by commas.
fn differing_fields(one: &Value, other: &Value) -> String {
    let (one, other) = (fields(one), fields(other));
    let mut names: Vec<_> = one.keys().chain(other.keys()).collect();
    names.sort();
    names.dedup();
    names.retain(|name| one.get(*name) != other.get(*name));
    names.into_iter().map(String::as_str).collect::<Vec<_>>().join(", ")
}

/// Returns the fields of settings by name; those of a table as `table.field`.
fn fields(settings: &Value) -> BTreeMap<String, &Value> {
    let mut fields = BTreeMap::new();
    for (name, value) in settings.as_object().into_iter().flatten() {
        match value.as_object() {
            Some(table) => {
                fields
                    .extend(table.iter().map(|(field, value)| (format!("{name}.{field}"), value)));
            }
            None => drop(fields.insert(name.clone(), value)),
        }
    }
    fields
}
