//! Settings that change while a program runs.
//!
//! The file is read again when a signal says so, and when it reads otherwise than
//! before, each time once it stands still. What can be used comes into force, as far as
//! it takes effect while the program runs; of what cannot be used the last good settings
//! are in force still.

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

/// How often the file is looked at: a change that nobody tells of is in force
/// within seconds, and a look reads one small file.
const LOOK: Duration = Duration::from_secs(1);

/// For how long a file has to read the same after a signal: longer than a small file
/// takes to be written, and far shorter than until the next look.
const STILL: Duration = Duration::from_millis(100);

/// What a file holds, or why it cannot be read.
type Text = Result<String, io::ErrorKind>;

/// A settings file.
pub struct File<T> {
    path: PathBuf,
    // What was last taken in, whether it could be used or not.
    text: Text,
    // Invariant: differs from the settings at the start only in what takes effect
    // while the program runs.
    in_force: Arc<T>,
}

/// The names of the fields in which what was read is new.
#[derive(Debug)]
struct Change {
    /// These took effect.
    changed: String,
    /// These differ from what the program started with, and will take effect then.
    at_next_start: String,
}

impl<T: Settings> File<T> {
    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// When it cannot be read, or with all findings in it.
    pub fn open(path: PathBuf) -> Result<Self> {
        let text = std::fs::read_to_string(&path);
        let text = text.with_context(|| format!("reading {}", path.display()))?;
        let in_force = Arc::new(settings::check(&path, &text)?);
        Ok(Self { path, text: Ok(text), in_force })
    }

    /// The settings in force.
    #[must_use]
    pub fn settings(&self) -> &Arc<T> {
        &self.in_force
    }

    /// Reads the file again whenever it changes, and publishes what is in force.
    pub fn spawn(self, requests: Reload, filter: Filter) -> watch::Receiver<Arc<T>> {
        let (sender, receiver) = watch::channel(Arc::clone(&self.in_force));
        tokio::spawn(self.watch(requests, filter, sender));
        receiver
    }

    async fn watch(mut self, mut requests: Reload, filter: Filter, sender: watch::Sender<Arc<T>>) {
        let mut looks = interval(LOOK);
        looks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut seen = self.text.clone();
        loop {
            tokio::select! {
                biased;
                () = requests.requested() => {
                    let text = self.settled().await;
                    self.take(text, &filter, &sender);
                }
                _ = looks.tick() => {
                    let text = self.read();
                    // Half a file may read like a whole one: it has to stand still first.
                    let still = text == seen;
                    seen = text.clone();
                    if still && text != self.text {
                        self.take(text, &filter, &sender);
                    }
                }
            }
        }
    }

    /// What the file holds once it stands still: who signals may still be writing, and
    /// half a file may read like a whole one.
    async fn settled(&self) -> Text {
        let mut text = self.read();
        loop {
            sleep(STILL).await;
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

    /// Takes in what the file holds, and says what came of it.
    fn take(&mut self, text: Text, filter: &Filter, sender: &watch::Sender<Arc<T>>) {
        self.text = text;
        match self.apply(filter) {
            Ok(Change { changed, at_next_start }) => {
                if !changed.is_empty() {
                    sender.send_replace(Arc::clone(&self.in_force));
                }
                tracing::info!(changed, at_next_start, "settings read again");
            }
            Err(error) => {
                let findings = error.downcast_ref::<settings::Error>();
                let findings = findings.map_or_else(|| format!("{error:#}"), |it| it.findings());
                tracing::warn!(findings, "settings cannot be used, the last ones stay in force");
            }
        }
    }

    /// Brings what the file holds into force.
    fn apply(&mut self, filter: &Filter) -> Result<Change> {
        let reading = || format!("reading {}", self.path.display());
        let text = self.text.as_ref().map_err(|kind| io::Error::from(*kind));
        let read: T = settings::check(&self.path, text.with_context(reading)?)?;
        let (before, read) = (serde_json::to_value(&*self.in_force)?, serde_json::to_value(read)?);
        let mut after = before.clone();
        T::RELOADABLE.iter().for_each(|field| put(&mut after, &read, field));
        let change =
            Change { changed: differing(&before, &after), at_next_start: differing(&after, &read) };
        let in_force: T = serde_json::from_value(after)?;
        filter.set(&in_force.log().filter)?;
        self.in_force = Arc::new(in_force);
        Ok(change)
    }
}

/// Puts a field of some settings into others, or takes it away as they have none.
fn put(into: &mut Value, from: &Value, field: &str) {
    if let Some((table, field)) = field.split_once('.') {
        return put(&mut into[table], &from[table], field);
    }
    match (from.get(field), into.as_object_mut()) {
        (Some(value), _) => into[field] = value.clone(),
        (None, Some(into)) => drop(into.remove(field)),
        (None, None) => {}
    }
}

/// The names of the fields that differ.
fn differing(one: &Value, other: &Value) -> String {
    let (one, other) = (fields(one), fields(other));
    let mut names: Vec<_> = one.keys().chain(other.keys()).collect();
    names.sort();
    names.dedup();
    names.retain(|name| one.get(*name) != other.get(*name));
    names.into_iter().map(String::as_str).collect::<Vec<_>>().join(", ")
}

/// The fields of settings and of the tables in them, by name.
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
