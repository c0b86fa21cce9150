//! Servers that run requests, as the users' pages tell.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{Connection, Head};
use crate::record::{Record, lock};

/// What became of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Run {
    /// It goes on.
    Running,
    /// Its whole answer was written.
    Answered,
    /// Its connection ended before the answer was written.
    Broken,
}

/// How an engine works.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Its id.
    pub id: String,
    /// Requests that it runs at once.
    pub slots: usize,
    /// Requests that it queues beyond these.
    pub queue: usize,
    /// How long a request takes.
    pub work: Duration,
    /// The number of events of a streamed answer; 0 for a plain one.
    pub events: u32,
    /// All runs, by request.
    pub runs: Arc<Mutex<BTreeMap<String, Vec<Run>>>>,
    busy: Arc<AtomicUsize>,
    record: Record,
}

impl Engine {
    /// Creates an engine for plain answers.
    #[must_use]
    pub fn new(id: &str, slots: usize, work: Duration, record: &Record) -> Self {
        Self {
            id: id.to_owned(),
            slots,
            queue: 4 * slots,
            work,
            events: 0,
            runs: Arc::default(),
            busy: Arc::default(),
            record: record.clone(),
        }
    }

    /// Starts the engine at an address.
    ///
    /// # Errors
    ///
    /// If the address is in use.
    pub fn spawn(&self, address: SocketAddr) -> std::io::Result<()> {
        let listener = TcpListener::bind(address)?;
        let engine = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = engine.clone();
                thread::spawn(move || engine.serve(Connection::new(stream)));
            }
        });
        Ok(())
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(head)) = connection.head() {
            let Ok(body) = connection.request_body(&head) else { return };
            if !self.handle(&mut connection, &head, body.len()) {
                return;
            }
        }
    }

    /// Answers a request; returns whether the connection goes on.
    fn handle(&self, connection: &mut Connection, head: &Head, body: usize) -> bool {
        let id = head.get("request-id").unwrap_or("-").to_owned();
        let refused = if head.get("target-instance").is_some_and(|target| target != self.id) {
            Some("421 Misdirected Request")
        } else if self.busy.load(Ordering::SeqCst) >= self.slots + self.queue {
            Some("503 Service Unavailable")
        } else {
            None
        };
        if let Some(status) = refused {
            let answer = format!(
                "HTTP/1.1 {status}\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            return connection.write(answer.as_bytes()).is_ok();
        }
        self.busy.fetch_add(1, Ordering::SeqCst);
        let number = {
            let mut runs = lock(&self.runs);
            let runs = runs.entry(id.clone()).or_default();
            runs.push(Run::Running);
            runs.len() - 1
        };
        self.record.line(format_args!("engine {} runs {id} ({body} bytes)", self.id));
        let answered = self.answer(connection, &id);
        let outcome = if answered { Run::Answered } else { Run::Broken };
        if let Some(runs) = lock(&self.runs).get_mut(&id) {
            runs[number] = outcome;
        }
        self.busy.fetch_sub(1, Ordering::SeqCst);
        self.record.line(format_args!("engine {} ends {id}: {outcome:?}", self.id));
        answered
    }

    fn answer(&self, connection: &mut Connection, id: &str) -> bool {
        let signature = format!("Request-Id: {id}\r\nEngine-Signature: {}.{id}\r\n", self.id);
        if self.events == 0 {
            thread::sleep(self.work);
            let body = format!("done {id}\n");
            let length = body.len();
            let answer =
                format!("HTTP/1.1 200 OK\r\n{signature}Content-Length: {length}\r\n\r\n{body}");
            return connection.write(answer.as_bytes()).is_ok();
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\n{signature}Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        if connection.write(head.as_bytes()).is_err() {
            return false;
        }
        for event in 1..=self.events {
            thread::sleep(self.work / self.events);
            let event = format!("id: {event}\ndata: {id}\n\n");
            if connection.write(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).is_err() {
                return false;
            }
        }
        connection.write(b"0\r\n\r\n").is_ok()
    }
}
