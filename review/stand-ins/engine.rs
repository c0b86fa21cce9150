//! A model engine with the pieces that lie at it, and the origin of its weights.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::http::{self, Answer, Head, parameter};
use crate::sha256;

/// The name of the model.
pub const MODEL: &str = "m0";

/// The pieces of a version, and their size.
pub const PIECES: usize = 96;
pub const PIECE_BYTES: usize = 24_576;

/// How long an engine takes to load what lies at it.
const LOAD_TIME: Duration = Duration::from_millis(300);

/// How long it takes to read a piece back, and how many times as long where it is slow.
const READ_TIME: Duration = Duration::from_millis(12);
const SLOWNESS: u32 = 4;

/// The bytes of a piece of a version.
pub fn piece(version: u64, number: usize) -> Vec<u8> {
    format!("{version} {number} ").into_bytes().into_iter().cycle().take(PIECE_BYTES).collect()
}

/// A piece that lies at an engine.
#[derive(Clone)]
struct Staged {
    bytes: Vec<u8>,
    // When it turned bad there.
    spoilt_at: Option<Instant>,
}

/// An order that an engine took.
#[derive(Clone)]
pub struct Taken {
    /// The version that it named.
    pub version: u64,
    /// When it was taken.
    pub at: Instant,
    /// The pieces that were not those of the version, and for how long they had been bad.
    pub bad: Vec<(usize, Option<Duration>)>,
}

struct State {
    staged: Vec<Option<Staged>>,
    loaded: u64,
    loading: Option<(u64, Instant)>,
    orders: u64,
    taken: Vec<Taken>,
    // The requests that it has begun, and the version with which it did.
    begun: Vec<(String, u64)>,
    // When the first piece was last read back.
    read_first_at: Option<Instant>,
    // Whether it works slower than usual.
    is_slow: bool,
}

/// A model engine; clones share its state.
#[derive(Clone)]
pub struct Engine {
    /// Its id.
    pub id: String,
    state: Arc<Mutex<State>>,
}

impl Engine {
    /// Starts an engine that runs version 1, which lies at it, too.
    pub fn spawn(id: &str, address: SocketAddr) -> io::Result<Self> {
        let staged = |number| Some(Staged { bytes: piece(1, number), spoilt_at: None });
        let state = State {
            staged: (0..PIECES).map(staged).collect(),
            loaded: 1,
            loading: None,
            orders: 0,
            taken: Vec::new(),
            begun: Vec::new(),
            read_first_at: None,
            is_slow: false,
        };
        let engine = Self { id: id.to_owned(), state: Arc::new(Mutex::new(state)) };
        let served = engine.clone();
        http::serve(address, move |head, body| served.answer(head, body))?;
        Ok(engine)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((version, _)) = state.loading.filter(|(_, at)| at.elapsed() >= LOAD_TIME) {
            (state.loaded, state.loading) = (version, None);
        }
        state
    }

    /// The orders that it took.
    pub fn taken(&self) -> Vec<Taken> {
        self.lock().taken.clone()
    }

    /// The version with which it began a request.
    pub fn begun(&self, id: &str) -> Option<u64> {
        let state = self.lock();
        state.begun.iter().find(|(other, _)| other == id).map(|(_, version)| *version)
    }

    /// When the first piece was last read back.
    pub fn read_first_at(&self) -> Option<Instant> {
        self.lock().read_first_at
    }

    /// Whether all pieces of a version lie at it.
    pub fn has_staged(&self, version: u64) -> bool {
        let state = self.lock();
        let mut staged = state.staged.iter().enumerate();
        staged.all(|(number, staged)| {
            staged.as_ref().is_some_and(|staged| staged.bytes == piece(version, number))
        })
    }

    /// Has it work slower than usual, or no longer.
    pub fn set_slow(&self, is_slow: bool) {
        self.lock().is_slow = is_slow;
    }

    /// Has a piece turn bad.
    pub fn spoil(&self, number: usize) {
        if let Some(staged) = &mut self.lock().staged[number] {
            staged.bytes[0] ^= 1;
            staged.spoilt_at = Some(Instant::now());
        }
    }

    /// What it writes into the store.
    pub fn entry(&self, service: &str, address: SocketAddr) -> String {
        let models = models(self.lock().loaded);
        format!(
            r#"{{"service":"{service}","address":"{address}","zone":"zone-a","version":"v1","slots":16,"state":"ready","cold_remaining_ms":0,"stage":"both","models":{models},"seq":1}}"#
        )
    }

    fn answer(&self, head: &Head, body: &[u8]) -> Answer {
        let (path, query) = head.word(1).split_once('?').unwrap_or((head.word(1), ""));
        let number = parameter(query, "num").and_then(|number| usize::try_from(number).ok());
        match (head.word(0), path.split('/').nth(1).unwrap_or_default(), number) {
            ("GET", "report", _) => self.report(),
            ("GET", "healthz", _) => Answer::new(200, ""),
            ("PUT", "stage-put", Some(number)) if number < PIECES => {
                let staged = Staged { bytes: body.to_vec(), spoilt_at: None };
                self.lock().staged[number] = Some(staged);
                Answer::new(200, "")
            }
            ("GET", "stage-get", Some(number)) if number < PIECES => self.read(number),
            ("POST", "order", _) => self.order(&String::from_utf8_lossy(body)),
            ("POST", "say", _) => self.say(head),
            _ => Answer::new(404, ""),
        }
    }

    fn report(&self) -> Answer {
        let state = self.lock();
        let (models, busy, seq) = (models(state.loaded), state.loading.is_some(), state.orders);
        let report = format!(
            r#"{{"stage":"both","models":{models},"busy":{busy},"seq":{seq},"queued":0,"running":0,"kv_used":0,"kv_total":317000,"handles":0}}"#
        );
        Answer::json(200, report)
    }

    fn read(&self, number: usize) -> Answer {
        let (staged, is_slow) = {
            let mut state = self.lock();
            if number == 0 {
                state.read_first_at = Some(Instant::now());
            }
            (state.staged[number].clone(), state.is_slow)
        };
        sleep(if is_slow { READ_TIME * SLOWNESS } else { READ_TIME });
        staged.map_or_else(|| Answer::new(404, ""), |staged| Answer::new(200, staged.bytes))
    }

    fn order(&self, order: &str) -> Answer {
        let field = |name: &str| {
            let (_, rest) = order.split_once(&format!(r#""{name}":"#))?;
            let digits = rest.split(|letter: char| !letter.is_ascii_digit()).next()?;
            digits.parse::<u64>().ok()
        };
        let mut state = self.lock();
        let Some(version) = field("version") else { return Answer::new(400, "") };
        let is_expected = field("expect_rev").is_none_or(|seq| seq == state.orders);
        if !is_expected || state.loading.is_some() {
            return Answer::new(409, "");
        }
        let now = Instant::now();
        let bad = |(number, staged): (usize, &Option<Staged>)| match staged {
            Some(staged) if staged.bytes == piece(version, number) => None,
            Some(staged) => Some((number, staged.spoilt_at.map(|at| now - at))),
            None => Some((number, None)),
        };
        let bad = state.staged.iter().enumerate().filter_map(bad).collect();
        state.taken.push(Taken { version, at: now, bad });
        state.orders += 1;
        state.loading = Some((version, now));
        Answer::new(202, "")
    }

    fn say(&self, head: &Head) -> Answer {
        let id = head.get("request-id").unwrap_or_default();
        let mut state = self.lock();
        let expected = head.get("expect-version").and_then(|text| text.parse().ok());
        let is_target = head.get("target-instance").is_none_or(|target| target == self.id);
        let id_line = format!("Request-Id: {id}\r\n");
        if !is_target || expected.is_some_and(|version: u64| version != state.loaded) {
            return Answer { headers: id_line, ..Answer::new(421, "") };
        }
        if state.loading.is_some() {
            return Answer { headers: id_line + "Not-Executed: 1\r\n", ..Answer::new(503, "") };
        }
        let version = state.loaded;
        state.begun.push((id.to_owned(), version));
        let body = format!("id: 1\nweight-versions: {version}\ndata: a token\n\n");
        let headers = format!(
            "{id_line}Engine-Signature: {}\r\nWeight-Versions: {version}\r\n\
             Content-Type: text/event-stream\r\n",
            self.id
        );
        Answer { headers, ..Answer::new(200, body) }
    }
}

fn models(version: u64) -> String {
    format!(r#"[{{"name":"{MODEL}","version":{version},"adapters":[]}}]"#)
}

/// Serves the origin of weights at an address.
pub fn spawn_origin(address: SocketAddr) -> io::Result<()> {
    http::serve(address, |head, _| {
        let (path, query) = head.word(1).split_once('?').unwrap_or((head.word(1), ""));
        let version = parameter(query, "version").unwrap_or(1);
        let number = parameter(query, "num").and_then(|number| usize::try_from(number).ok());
        match (path.split('/').nth(1).unwrap_or_default(), number) {
            ("manifest", _) => Answer::json(200, manifest(version)),
            ("piece", Some(number)) if number < PIECES => Answer::new(200, piece(version, number)),
            _ => Answer::new(404, ""),
        }
    })
}

fn manifest(version: u64) -> String {
    let digests = (0..PIECES).map(|number| {
        let digest = sha256::hex(&piece(version, number));
        format!("\"{digest}\"")
    });
    let digests: Vec<_> = digests.collect();
    let digests = digests.join(",");
    format!(
        r#"{{"model":"{MODEL}","version":{version},"chunk_bytes":{PIECE_BYTES},"layers":16,"digests":[{digests}]}}"#
    )
}

/// Has an engine write its entry again and again.
pub fn keep_listed(
    engine: &Engine,
    store: &crate::store::Store,
    service: &'static str,
    address: SocketAddr,
) {
    let (engine, store) = (engine.clone(), store.clone());
    thread::spawn(move || {
        loop {
            store.put("servers", &engine.id, &engine.entry(service, address));
            sleep(Duration::from_millis(200));
        }
    });
}
