//! The platform's store: lists, watches, and objects that are created, replaced and removed.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::http::{self, Answer, Head, parameter};

/// A change of one object; without content if the object was removed.
struct Change {
    revision: u64,
    kind: String,
    name: String,
    spec: Option<String>,
}

#[derive(Default)]
struct Objects {
    revision: u64,
    // By kind and name: the content and the revision of the last change.
    specs: BTreeMap<(String, String), (String, u64)>,
    history: Vec<Change>,
}

/// The store; clones share its objects.
#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<Objects>, Condvar)>,
}

impl Store {
    /// Serves a store at an address.
    pub fn spawn(address: SocketAddr) -> io::Result<Self> {
        let store = Self::default();
        let served = store.clone();
        http::serve(address, move |head, body| {
            let (status, answer) = served.answer(head, &String::from_utf8_lossy(body));
            Answer::json(status, answer)
        })?;
        Ok(store)
    }

    fn lock(&self) -> MutexGuard<'_, Objects> {
        self.shared.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Creates or replaces an object, unless it has this content already.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.change(kind, name, Some(spec));
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        self.change(kind, name, None);
    }

    fn change(&self, kind: &str, name: &str, spec: Option<&str>) {
        let mut objects = self.lock();
        let key = (kind.to_owned(), name.to_owned());
        if objects.specs.get(&key).map(|(content, _)| content.as_str()) == spec {
            return;
        }
        objects.revision += 1;
        let revision = objects.revision;
        match spec {
            Some(spec) => _ = objects.specs.insert(key, (spec.to_owned(), revision)),
            None => _ = objects.specs.remove(&key),
        }
        let (kind, name) = (kind.to_owned(), name.to_owned());
        objects.history.push(Change { revision, kind, name, spec: spec.map(str::to_owned) });
        drop(objects);
        self.shared.1.notify_all();
    }

    fn answer(&self, head: &Head, body: &str) -> (u16, String) {
        let (path, query) = head.word(1).split_once('?').unwrap_or((head.word(1), ""));
        let mut parts = path.trim_start_matches('/').split('/').skip(1);
        let (kind, name) = (parts.next().unwrap_or_default(), parts.next());
        match (head.word(0), name) {
            ("GET", None) => match parameter(query, "watch") {
                Some(after) => {
                    let wait = parameter(query, "wait_ms").unwrap_or(0);
                    (200, self.watch(kind, after, Duration::from_millis(wait)))
                }
                None => (200, self.list(kind)),
            },
            ("POST", Some(name)) => {
                let key = (kind.to_owned(), name.to_owned());
                if self.lock().specs.contains_key(&key) {
                    return (409, self.object(kind, name));
                }
                self.put(kind, name, spec(body));
                (200, self.object(kind, name))
            }
            ("PUT", Some(name)) => {
                self.put(kind, name, spec(body));
                (200, self.object(kind, name))
            }
            ("DELETE", Some(name)) => {
                self.remove(kind, name);
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn object(&self, kind: &str, name: &str) -> String {
        let objects = self.lock();
        let found = objects.specs.get(&(kind.to_owned(), name.to_owned()));
        found.map_or_else(|| "{}".to_owned(), |(spec, revision)| object(name, spec, *revision))
    }

    fn list(&self, kind: &str) -> String {
        let objects = self.lock();
        let of_kind = objects.specs.iter().filter(|((other, _), _)| other == kind);
        let items: Vec<_> =
            of_kind.map(|((_, name), (spec, revision))| object(name, spec, *revision)).collect();
        let (items, revision) = (items.join(","), objects.revision);
        format!(r#"{{"items":[{items}],"has_more":false,"current_rev":{revision}}}"#)
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> String {
        let until = Instant::now() + wait;
        let mut objects = self.lock();
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let events: Vec<_> = objects
                .history
                .iter()
                .filter(|change| change.kind == kind && change.revision > after)
                .map(event)
                .collect();
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), objects.revision);
                return format!(r#"{{"events":[{events}],"current_rev":{revision}}}"#);
            }
            let waited = self.shared.1.wait_timeout(objects, left);
            objects = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

fn object(name: &str, spec: &str, revision: u64) -> String {
    format!(
        r#"{{"metadata":{{"name":"{name}","rev":{revision},"created":1,"finalizers":[],"deleting":false}},"spec":{spec},"status":null}}"#
    )
}

fn event(change: &Change) -> String {
    let Change { revision, name, spec, .. } = change;
    let object = object(name, spec.as_deref().unwrap_or("null"), *revision);
    format!(r#"{{"deleted":{},"object":{object}}}"#, spec.is_none())
}

/// Returns the text of the field `spec` of a JSON object, which is the last of its fields or is
/// followed by another one.
fn spec(body: &str) -> &str {
    let Some((_, rest)) = body.split_once(r#""spec":"#) else { return "null" };
    let rest = rest.trim_start();
    let (mut depth, mut in_text, mut escaped) = (0, false, false);
    for (at, letter) in rest.char_indices() {
        match letter {
            _ if escaped => escaped = false,
            '\\' if in_text => escaped = true,
            '"' => in_text = !in_text,
            '{' | '[' if !in_text => depth += 1,
            '}' | ']' if !in_text && depth == 0 => return &rest[..at],
            '}' | ']' if !in_text => depth -= 1,
            ',' if !in_text && depth == 0 => return &rest[..at],
            _ => {}
        }
    }
    rest
}
