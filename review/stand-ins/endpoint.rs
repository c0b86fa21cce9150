//! An endpoint of a plain service, as a process of its own, and how clients check its answers.

use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, sleep};
use std::time::Duration;

use crate::http::{self, Head};

/// How often an endpoint writes its entry.
pub const HEARTBEAT: Duration = Duration::from_millis(1200);

/// Into how many pieces an answer is cut, which are sent one after the other.
const PIECES: usize = 10;

/// How the end of an answer is marked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// By a length.
    Length,
    /// By the end of its connection, for one request in three; by a length otherwise.
    Mixed,
}

/// What an endpoint is and does.
#[derive(Debug, Clone)]
pub struct Options {
    /// The id of this run.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Its address.
    pub address: SocketAddr,
    /// The platform's store.
    pub store: SocketAddr,
    /// The file to which it writes which requests it runs.
    pub log: String,
    /// How many requests it runs at once; it queues none.
    pub slots: usize,
    /// How long a request takes.
    pub work: Duration,
    /// How its answers end.
    pub framing: Framing,
    /// The bytes of an answer's body.
    pub body_bytes: usize,
}

impl Options {
    /// The arguments of its process.
    pub fn to_args(&self) -> Vec<String> {
        let framing = if self.framing == Framing::Length { "length" } else { "mixed" };
        vec![
            "endpoint".to_owned(),
            self.id.clone(),
            self.service.clone(),
            self.address.to_string(),
            self.store.to_string(),
            self.log.clone(),
            self.slots.to_string(),
            self.work.as_millis().to_string(),
            framing.to_owned(),
            self.body_bytes.to_string(),
        ]
    }

    /// Reads the arguments of its process.
    pub fn from_args(args: &[String]) -> Option<Self> {
        let [_, id, service, address, store, log, slots, work, framing, body_bytes] = args else {
            return None;
        };
        Some(Self {
            id: id.clone(),
            service: service.clone(),
            address: address.parse().ok()?,
            store: store.parse().ok()?,
            log: log.clone(),
            slots: slots.parse().ok()?,
            work: Duration::from_millis(work.parse().ok()?),
            framing: if framing == "length" { Framing::Length } else { Framing::Mixed },
            body_bytes: body_bytes.parse().ok()?,
        })
    }
}

struct Endpoint {
    options: Options,
    active: AtomicUsize,
    log: Mutex<File>,
}

/// Serves until the process is killed.
pub fn run(options: Options) -> io::Result<()> {
    let listener = TcpListener::bind(options.address)?;
    let log = File::options().create(true).append(true).open(&options.log)?;
    let endpoint = Arc::new(Endpoint { options, active: AtomicUsize::new(0), log: log.into() });
    let beating = Arc::clone(&endpoint);
    thread::spawn(move || {
        loop {
            if let Err(error) = beating.write_entry() {
                eprintln!("the store took no entry: {error}");
            }
            sleep(HEARTBEAT);
        }
    });
    for stream in listener.incoming().flatten() {
        let endpoint = Arc::clone(&endpoint);
        thread::spawn(move || endpoint.serve(stream));
    }
    Ok(())
}

impl Endpoint {
    fn write_entry(&self) -> io::Result<()> {
        let Options { id, service, address, store, slots, .. } = &self.options;
        let spec = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"zone-a","version":"v1","slots":{slots},"state":"ready","cold_remaining_ms":0,"seq":1}}"#
        );
        let body = format!(r#"{{"metadata":{{"name":"{id}"}},"spec":{spec}}}"#);
        let path = format!("/objects/servers/{id}");
        http::call(*store, "PUT", &path, &body, Duration::from_secs(2)).map(|_| ())
    }

    fn record(&self, what: &str, request: &str) {
        // Written at once, since other endpoints write to the same file.
        let line = format!("{what} {request} {}\n", self.options.id);
        let mut log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        if let Err(error) = log.write_all(line.as_bytes()) {
            eprintln!("the record of {request} was not written: {error}");
        }
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::with_capacity(256 << 10, stream);
        while let Some(head) = http::read_head(&mut reader)? {
            discard_body(&mut reader, &head)?;
            let goes_on = self.answer(&head, &mut writer)?;
            if !goes_on {
                break;
            }
        }
        Ok(())
    }

    /// Answers a request; returns whether the connection may carry another one.
    fn answer(&self, head: &Head, writer: &mut TcpStream) -> io::Result<bool> {
        let id = head.get("request-id").unwrap_or_default();
        if head.get("target-instance").is_some_and(|target| target != self.options.id) {
            refuse(writer, "421 Misdirected Request", id)?;
            return Ok(true);
        }
        if self.active.fetch_add(1, Ordering::SeqCst) >= self.options.slots {
            self.active.fetch_sub(1, Ordering::SeqCst);
            refuse(writer, "503 Service Unavailable", id)?;
            return Ok(true);
        }
        self.record("run", id);
        let has_length =
            self.options.framing == Framing::Length || hash(id.as_bytes()).rem_euclid(3) != 0;
        let answered = self.run(id, has_length, writer);
        self.active.fetch_sub(1, Ordering::SeqCst);
        answered?;
        self.record("done", id);
        Ok(has_length)
    }

    fn run(&self, id: &str, has_length: bool, writer: &mut TcpStream) -> io::Result<()> {
        let Options { id: own, work, body_bytes, .. } = &self.options;
        let body = body_of(id, *body_bytes);
        let end = match has_length {
            true => format!("Content-Length: {body_bytes}"),
            false => "Connection: close".to_owned(),
        };
        let signature = sign(own, &body);
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nEngine-Signature: {signature}\r\n{end}\r\n\r\n"
        );
        writer.write_all(head.as_bytes())?;
        for piece in body.chunks(body.len().div_ceil(PIECES)) {
            sleep(*work / PIECES as u32);
            writer.write_all(piece)?;
        }
        Ok(())
    }
}

fn refuse(writer: &mut TcpStream, status: &str, id: &str) -> io::Result<()> {
    let answer = format!(
        "HTTP/1.1 {status}\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
    );
    writer.write_all(answer.as_bytes())
}

fn discard_body(reader: &mut impl BufRead, head: &Head) -> io::Result<()> {
    let Some(length) = head.get("content-length").and_then(|text| text.parse::<u64>().ok()) else {
        return http::read_request_body(reader, head).map(|_| ());
    };
    let mut left = length;
    while left > 0 {
        let got = reader.fill_buf()?.len() as u64;
        if got == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let used = got.min(left);
        reader.consume(used as usize);
        left -= used;
    }
    Ok(())
}

/// The body of the answer to a request.
fn body_of(id: &str, bytes: usize) -> Vec<u8> {
    format!("{id} ").into_bytes().into_iter().cycle().take(bytes).collect()
}

/// The signature of an answer, which tells its whole body.
fn sign(endpoint: &str, body: &[u8]) -> String {
    format!("{endpoint}.{}.{:016x}", body.len(), hash(body))
}

/// Whether a body is the whole one that a signature tells.
pub fn is_whole(signature: &str, body: &[u8]) -> bool {
    let mut parts = signature.rsplit('.');
    let (hashed, length) = (parts.next(), parts.next());
    hashed == Some(format!("{:016x}", hash(body)).as_str())
        && length == Some(body.len().to_string().as_str())
}

/// The FNV-1a hash of some bytes.
fn hash(bytes: &[u8]) -> u64 {
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, step)
}
