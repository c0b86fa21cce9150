//! A model engine and the origin of its weights, as the users' pages tell.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{Connection, Head, query};
use crate::record::{Record, lock};
use crate::sha256;
use crate::store::field;

/// The model of all engines.
pub const MODEL: &str = "m1";
/// The number of pieces of a version.
pub const PIECES: usize = 96;
/// The size of a piece.
pub const PIECE_BYTES: usize = 24_576;
/// The number of layers.
pub const LAYERS: u32 = 16;
/// The time in which an engine takes what lies there.
const WARM: Duration = Duration::from_millis(300);
/// The time for which a piece is on the origin's link of 7.3 Mbit/s.
const PIECE_TIME: Duration = Duration::from_millis(27);

/// A piece of a version.
#[must_use]
pub fn piece(version: u64, number: usize) -> Vec<u8> {
    let seed = version.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ number as u64;
    let mut state = seed | 1;
    let words = std::iter::repeat_with(|| {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        state.to_le_bytes()
    });
    words.flatten().take(PIECE_BYTES).collect()
}

#[derive(Debug, Default)]
struct Contents {
    staged: BTreeMap<usize, Vec<u8>>,
    version: u64,
    orders: u64,
    is_busy: bool,
    // Pieces that were not those of the version when the engine took them.
    wrong: Vec<usize>,
}

/// A model engine; clones share its contents.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Its id.
    pub id: String,
    contents: Arc<Mutex<Contents>>,
    running: Arc<AtomicUsize>,
    /// How many events it sent.
    pub events: Arc<AtomicUsize>,
    /// How many of them came from wrong pieces.
    pub wrong_events: Arc<AtomicUsize>,
    record: Record,
}

impl Engine {
    /// Creates an engine that holds a version, whose pieces are staged as well.
    #[must_use]
    pub fn new(id: &str, version: u64, record: &Record) -> Self {
        let staged = (0..PIECES).map(|number| (number, piece(version, number))).collect();
        let contents = Contents { staged, version, ..Contents::default() };
        Self {
            id: id.to_owned(),
            contents: Arc::new(Mutex::new(contents)),
            running: Arc::default(),
            events: Arc::default(),
            wrong_events: Arc::default(),
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

    /// The version that it holds, and the numbers of its pieces that are not that version's.
    #[must_use]
    pub fn holds(&self) -> (u64, Vec<usize>) {
        let contents = lock(&self.contents);
        (contents.version, contents.wrong.clone())
    }

    /// What it tells of its models.
    #[must_use]
    pub fn models(&self) -> String {
        let version = lock(&self.contents).version;
        format!(
            "[{{\"name\":\"{MODEL}\",\"version\":{version},\"adapters\":[],\"layers\":[{{\"from\":0,\
             \"target_version\":{LAYERS},\"version\":{version}}}]}}]"
        )
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(head)) = connection.head() {
            let Ok(body) = connection.request_body(&head) else { return };
            let answered = match head.path().split('?').next().unwrap_or_default() {
                "/report" => reply(&mut connection, 200, self.report().as_bytes()),
                "/order" => {
                    let status = self.order(&String::from_utf8_lossy(&body));
                    reply(&mut connection, status, b"{}")
                }
                path if path.starts_with("/stage-") => self.stage(&mut connection, &head, body),
                _ => self.stream(&mut connection, &head),
            };
            if answered.is_err() {
                return;
            }
        }
    }

    fn report(&self) -> String {
        let (models, running) = (self.models(), self.running.load(Ordering::SeqCst));
        let contents = lock(&self.contents);
        format!(
            "{{\"stage\":\"both\",\"models\":{models},\"busy\":{},\"seq\":{},\"queued\":0,\
             \"running\":{running},\"kv_used\":0,\"kv_total\":317000,\"handles\":0}}",
            contents.is_busy, contents.orders
        )
    }

    fn stage(
        &self,
        connection: &mut Connection,
        head: &Head,
        body: Vec<u8>,
    ) -> std::io::Result<()> {
        let number = query(head.path(), "num").and_then(|text| text.parse().ok());
        let mut contents = lock(&self.contents);
        match number {
            Some(number) if head.method() == "PUT" => {
                contents.staged.insert(number, body);
                drop(contents);
                reply(connection, 200, b"")
            }
            Some(number) => {
                let staged = contents.staged.get(&number).cloned();
                drop(contents);
                match staged {
                    Some(bytes) => reply(connection, 200, &bytes),
                    None => reply(connection, 404, b""),
                }
            }
            None => {
                let held: Vec<String> = contents.staged.keys().map(usize::to_string).collect();
                drop(contents);
                reply(connection, 200, format!("{{\"held\":[{}]}}", held.join(",")).as_bytes())
            }
        }
    }

    /// Takes what lies there for all layers.
    fn order(&self, order: &str) -> u16 {
        let number = |name| field(order, name).and_then(|text| text.parse::<u64>().ok());
        let Some(version) = number("version") else { return 400 };
        let mut contents = lock(&self.contents);
        let expected = number("expect_rev");
        if contents.is_busy || expected.is_some_and(|expected| expected != contents.orders) {
            return 409;
        }
        if contents.version == version {
            return 200;
        }
        contents.orders += 1;
        contents.is_busy = true;
        let is_wrong =
            |number: &usize| contents.staged.get(number) != Some(&piece(version, *number));
        let wrong: Vec<usize> = (0..PIECES).filter(is_wrong).collect();
        self.record.line(format_args!(
            "engine {} takes version {version}: {} of {PIECES} pieces are missing or not of it",
            self.id,
            wrong.len()
        ));
        drop(contents);
        let engine = self.clone();
        thread::spawn(move || {
            thread::sleep(WARM);
            let mut contents = lock(&engine.contents);
            (contents.version, contents.wrong, contents.is_busy) = (version, wrong, false);
        });
        202
    }

    fn stream(&self, connection: &mut Connection, head: &Head) -> std::io::Result<()> {
        let id = head.get("request-id").unwrap_or("-");
        let (version, is_busy) = {
            let contents = lock(&self.contents);
            (contents.version, contents.is_busy)
        };
        let expected = head.get("expect-version").and_then(|text| text.parse::<u64>().ok());
        let is_other = head.get("target-instance").is_some_and(|target| target != self.id);
        if is_other || is_busy || expected.is_some_and(|expected| expected != version) {
            let answer = format!(
                "HTTP/1.1 421 X\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            return connection.write(answer.as_bytes());
        }
        self.record.line(format_args!("engine {} runs {id} with version {version}", self.id));
        self.running.fetch_add(1, Ordering::SeqCst);
        let written = self.events(connection, id, version);
        self.running.fetch_sub(1, Ordering::SeqCst);
        written
    }

    fn events(&self, connection: &mut Connection, id: &str, version: u64) -> std::io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nEngine-Signature: {}.{id}\r\n\
             Weight-Versions: {version}\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        connection.write(head.as_bytes())?;
        for event in 1..=10 {
            thread::sleep(Duration::from_millis(40));
            if lock(&self.contents).version != version {
                return Err(std::io::Error::other("cut for another version"));
            }
            let event = format!("id: {event}\ndata: {id}\n\n");
            connection.write(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            self.events.fetch_add(1, Ordering::SeqCst);
            if !lock(&self.contents).wrong.is_empty() {
                self.wrong_events.fetch_add(1, Ordering::SeqCst);
            }
        }
        connection.write(b"0\r\n\r\n")
    }
}

fn reply(connection: &mut Connection, status: u16, body: &[u8]) -> std::io::Result<()> {
    let mut answer =
        format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
    answer.extend(body);
    connection.write(&answer)
}

/// How the origin spoils a listing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Spoilt {
    /// The last digests are missing.
    Short(usize),
    /// It is that of the version before.
    Older,
}

/// The origin of weights; clones share its state.
#[derive(Debug, Clone)]
pub struct Origin {
    // What the next listings are to be.
    spoilt: Arc<Mutex<Vec<(u64, Spoilt)>>>,
    /// How many listings it has spoilt.
    pub spoilt_answers: Arc<AtomicUsize>,
    link: Arc<Mutex<()>>,
    /// How many answers it has given.
    pub answers: Arc<AtomicUsize>,
    record: Record,
}

impl Origin {
    /// Starts the origin at an address; it spoils the first listings of versions that it is asked
    /// for, one for each entry of `spoilt`.
    ///
    /// # Errors
    ///
    /// If the address is in use.
    pub fn spawn(
        address: SocketAddr,
        spoilt: Vec<(u64, Spoilt)>,
        record: &Record,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let origin = Self {
            spoilt: Arc::new(Mutex::new(spoilt)),
            spoilt_answers: Arc::default(),
            link: Arc::default(),
            answers: Arc::default(),
            record: record.clone(),
        };
        let serving = origin.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let origin = serving.clone();
                thread::spawn(move || origin.serve(Connection::new(stream)));
            }
        });
        Ok(origin)
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(head)) = connection.head() {
            let path = head.path();
            let number = |name| query(path, name).and_then(|text| text.parse::<u64>().ok());
            let version = number("version").unwrap_or(0);
            let body = match number("num") {
                Some(number) => {
                    let _link = lock(&self.link);
                    thread::sleep(PIECE_TIME);
                    piece(version, number as usize)
                }
                None => self.listing(version).into_bytes(),
            };
            self.answers.fetch_add(1, Ordering::SeqCst);
            if reply(&mut connection, 200, &body).is_err() || head.closes() {
                return;
            }
        }
    }

    fn listing(&self, version: u64) -> String {
        let how = {
            let mut spoilt = lock(&self.spoilt);
            let next = spoilt.iter().position(|(spoilt, _)| *spoilt == version);
            next.map(|next| spoilt.remove(next).1)
        };
        self.spoilt_answers.fetch_add(usize::from(how.is_some()), Ordering::SeqCst);
        self.record.line(format_args!("origin lists version {version}, spoilt: {how:?}"));
        let (listed, pieces) = match how {
            None => (version, PIECES),
            Some(Spoilt::Short(missing)) => (version, PIECES - missing),
            Some(Spoilt::Older) => (version - 1, PIECES),
        };
        let digests = (0..pieces).map(|number| sha256::hex(&piece(listed, number)));
        let digests: Vec<String> = digests.map(|digest| format!("\"{digest}\"")).collect();
        format!(
            "{{\"model\":\"{MODEL}\",\"version\":{listed},\"chunk_bytes\":{PIECE_BYTES},\
             \"layers\":{LAYERS},\"digests\":[{}]}}",
            digests.join(",")
        )
    }
}
