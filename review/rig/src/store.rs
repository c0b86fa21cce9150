//! The platform's metadata store: objects by kind and name, lists and watches.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Head, query};
use crate::record::lock;

#[derive(Debug, Clone)]
struct Object {
    rev: u64,
    created: u64,
    spec: String,
}

#[derive(Debug)]
struct Event {
    rev: u64,
    kind: String,
    object: String,
    deleted: bool,
}

#[derive(Debug, Default)]
struct Contents {
    rev: u64,
    objects: BTreeMap<String, BTreeMap<String, Object>>,
    events: Vec<Event>,
}

/// The store; clones share its contents.
#[derive(Debug, Clone, Default)]
pub struct Store {
    contents: Arc<Mutex<Contents>>,
    changed: Arc<Condvar>,
}

fn render(name: &str, object: &Object) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"rev\":{},\"created\":{},\"finalizers\":[],\
         \"deleting\":false}},\"spec\":{},\"status\":null}}",
        object.rev, object.created, object.spec
    )
}

/// The text of a field of a JSON object; none if it has no such field.
#[must_use]
pub fn field<'a>(json: &'a str, name: &str) -> Option<&'a str> {
    let bytes = json.as_bytes();
    let (mut depth, mut in_text, mut at) = (0, false, 0);
    let (mut key, mut text_from, mut value_from) = ("", 0, None);
    while at < bytes.len() {
        match bytes[at] {
            b'\\' if in_text => at += 1,
            b'"' => {
                if in_text && depth == 1 && value_from.is_none() {
                    key = &json[text_from..at];
                }
                in_text = !in_text;
                text_from = at + 1;
            }
            _ if in_text => {}
            b':' if depth == 1 && value_from.is_none() => value_from = Some(at + 1),
            b'{' | b'[' => depth += 1,
            closing @ (b'}' | b']' | b',') => {
                if depth == 1
                    && let Some(from) = value_from.take()
                    && key == name
                {
                    return Some(json[from..at].trim());
                }
                if closing != b',' {
                    depth -= 1;
                }
            }
            _ => {}
        }
        at += 1;
    }
    None
}

impl Store {
    /// Starts a store at an address.
    ///
    /// # Errors
    ///
    /// If the address is in use.
    pub fn spawn(address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let store = Self::default();
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(Connection::new(stream)));
            }
        });
        Ok(store)
    }

    /// Writes an object; what changes nothing raises no revision.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut contents = lock(&self.contents);
        let known = contents.objects.get(kind).and_then(|objects| objects.get(name));
        if known.is_some_and(|known| known.spec == spec) {
            return;
        }
        let created = known.map(|known| known.created);
        contents.rev += 1;
        let rev = contents.rev;
        let object = Object { rev, created: created.unwrap_or(rev), spec: spec.to_owned() };
        let text = render(name, &object);
        contents.objects.entry(kind.to_owned()).or_default().insert(name.to_owned(), object);
        contents.events.push(Event { rev, kind: kind.to_owned(), object: text, deleted: false });
        drop(contents);
        self.changed.notify_all();
    }

    /// Removes an object. Returns whether there was one.
    pub fn remove(&self, kind: &str, name: &str) -> bool {
        let mut contents = lock(&self.contents);
        let removed = contents.objects.get_mut(kind).and_then(|objects| objects.remove(name));
        let Some(object) = removed else { return false };
        contents.rev += 1;
        let (rev, text) = (contents.rev, render(name, &object));
        contents.events.push(Event { rev, kind: kind.to_owned(), object: text, deleted: true });
        drop(contents);
        self.changed.notify_all();
        true
    }

    fn has(&self, kind: &str, name: &str) -> bool {
        lock(&self.contents).objects.get(kind).is_some_and(|objects| objects.contains_key(name))
    }

    fn list(&self, kind: &str, after: Option<&str>) -> String {
        let contents = lock(&self.contents);
        let objects = contents.objects.get(kind).into_iter().flatten();
        let items: Vec<String> = objects
            .filter(|(name, _)| after.is_none_or(|after| name.as_str() > after))
            .map(|(name, object)| render(name, object))
            .collect();
        let (items, rev) = (items.join(","), contents.rev);
        format!("{{\"items\":[{items}],\"has_more\":false,\"current_rev\":{rev}}}")
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> String {
        let until = Instant::now() + wait;
        let mut contents = lock(&self.contents);
        loop {
            let mut events = String::new();
            for event in contents.events.iter().filter(|it| it.rev > after && it.kind == kind) {
                let comma = if events.is_empty() { "" } else { "," };
                let Event { object, deleted, .. } = event;
                let _ = write!(events, "{comma}{{\"deleted\":{deleted},\"object\":{object}}}");
            }
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let rev = contents.rev;
                return format!("{{\"events\":[{events}],\"current_rev\":{rev}}}");
            }
            let waited = self.changed.wait_timeout(contents, left);
            contents = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(head)) = connection.head() {
            let Ok(body) = connection.request_body(&head) else { return };
            let (status, text) = self.answer(&head, &String::from_utf8_lossy(&body));
            let answer = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
                text.len()
            );
            if connection.write(answer.as_bytes()).is_err() || head.closes() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &str) -> (u16, String) {
        let path = head.path();
        let plain = path.split('?').next().unwrap_or_default();
        let mut parts = plain.trim_start_matches("/objects/").split('/');
        let (kind, name) = (parts.next().unwrap_or_default(), parts.next());
        match (head.method(), name) {
            ("GET", None) => match query(path, "watch").and_then(|text| text.parse().ok()) {
                Some(after) => {
                    let wait = query(path, "wait_ms").and_then(|text| text.parse().ok());
                    (200, self.watch(kind, after, Duration::from_millis(wait.unwrap_or(0))))
                }
                None => (200, self.list(kind, query(path, "since_rev"))),
            },
            ("GET", Some(name)) => {
                let contents = lock(&self.contents);
                let found = contents.objects.get(kind).and_then(|objects| objects.get(name));
                found.map_or((404, "{}".into()), |object| (200, render(name, object)))
            }
            ("POST", Some(name)) if self.has(kind, name) => (409, "{}".into()),
            ("POST" | "PUT", Some(name)) => {
                self.put(kind, name, field(body, "spec").unwrap_or("null"));
                (200, "{}".into())
            }
            ("DELETE", Some(name)) if self.remove(kind, name) => (200, "{}".into()),
            _ => (404, "{}".into()),
        }
    }
}
