//! HTTP/1.1 over blocking sockets, as much of it as clients, endpoints and the store need.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// The largest body that is read.
const MAX_BODY: usize = 16 << 20;

/// The head of a request or of an answer.
#[derive(Debug, Clone)]
pub struct Head {
    /// The request line or the status line.
    pub first: String,
    /// Names, in lower case, and values.
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of a header.
    pub fn get(&self, name: &str) -> Option<&str> {
        let header = self.headers.iter().find(|(other, _)| other == name);
        header.map(|(_, value)| value.as_str())
    }

    /// Returns the word of the first line at a position.
    pub fn word(&self, number: usize) -> &str {
        self.first.split(' ').nth(number).unwrap_or_default()
    }

    /// Returns the status of an answer; zero if it has none.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    fn is_chunked(&self) -> bool {
        self.get("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked"))
    }

    fn length(&self) -> Option<usize> {
        self.get("content-length")?.trim().parse().ok()
    }
}

/// Reads a head; none if the connection ended before its first byte.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let Some(first) = read_line(reader)? else { return Ok(None) };
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if line.is_empty() {
            return Ok(Some(Head { first, headers }));
        }
        let (name, value) = line.split_once(':').ok_or(io::ErrorKind::InvalidData)?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    if !line.ends_with('\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(Some(line.trim_end_matches(['\r', '\n']).to_owned()))
}

/// Reads the body of a request, which is empty without a length.
pub fn read_request_body(reader: &mut impl BufRead, head: &Head) -> io::Result<Vec<u8>> {
    if head.is_chunked() {
        return read_chunks(reader);
    }
    read_exactly(reader, head.length().unwrap_or(0))
}

/// Reads the body of an answer, which without a length ends with its connection. Fails if the
/// answer does not look complete.
pub fn read_answer_body(reader: &mut impl BufRead, head: &Head) -> io::Result<Vec<u8>> {
    if head.is_chunked() {
        return read_chunks(reader);
    }
    if let Some(length) = head.length() {
        return read_exactly(reader, length);
    }
    let mut body = Vec::new();
    reader.take(MAX_BODY as u64).read_to_end(&mut body)?;
    Ok(body)
}

fn read_exactly(reader: &mut impl Read, length: usize) -> io::Result<Vec<u8>> {
    if length > MAX_BODY {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(body)
}

fn read_chunks(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let size =
            usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
        body.extend(read_exactly(reader, size)?);
        read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if size == 0 {
            return Ok(body);
        }
    }
}

/// A client's connection.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    /// Connects to an address within a second.
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Self { reader: BufReader::new(stream) })
    }

    /// Sends a request.
    pub fn send(&mut self, head: &str, body: &[u8], timeout: Duration) -> io::Result<()> {
        let stream = self.reader.get_mut();
        stream.set_write_timeout(Some(timeout))?;
        stream.set_read_timeout(Some(timeout))?;
        stream.write_all(head.as_bytes())?;
        stream.write_all(body)
    }

    /// Receives an answer. Fails if none comes, or if it does not look complete.
    pub fn receive(&mut self) -> io::Result<(Head, Vec<u8>)> {
        let head = read_head(&mut self.reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let body = read_answer_body(&mut self.reader, &head)?;
        Ok((head, body))
    }
}

/// Makes one call on a connection of its own.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> io::Result<(u16, String)> {
    let mut connection = Connection::open(address)?;
    let length = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Length: {length}\r\n\
         Connection: close\r\n\r\n"
    );
    connection.send(&head, body.as_bytes(), timeout)?;
    let (head, body) = connection.receive()?;
    Ok((head.status(), String::from_utf8_lossy(&body).into_owned()))
}

/// An answer with a length.
pub struct Answer {
    /// The status.
    pub status: u16,
    /// Lines of headers, each with its line end.
    pub headers: String,
    /// The body.
    pub body: Vec<u8>,
}

impl Answer {
    /// An answer without headers of its own.
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self { status, headers: String::new(), body: body.into() }
    }

    /// An answer in JSON.
    pub fn json(status: u16, body: String) -> Self {
        let headers = "Content-Type: application/json\r\n".to_owned();
        Self { status, headers, body: body.into_bytes() }
    }
}

/// Serves an address in the background, each connection in a thread of its own.
pub fn serve(
    address: SocketAddr,
    handle: impl Fn(&Head, &[u8]) -> Answer + Send + Sync + 'static,
) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || serve_connection(stream, &*handle));
        }
    });
    Ok(())
}

fn serve_connection(stream: TcpStream, handle: &impl Fn(&Head, &[u8]) -> Answer) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(head) = read_head(&mut reader)? {
        let body = read_request_body(&mut reader, &head)?;
        let Answer { status, headers, body } = handle(&head, &body);
        let length = body.len();
        let head = format!("HTTP/1.1 {status} -\r\n{headers}Content-Length: {length}\r\n\r\n");
        writer.write_all(head.as_bytes())?;
        writer.write_all(&body)?;
    }
    Ok(())
}

/// Returns the number that a parameter of a query has.
pub fn parameter(query: &str, name: &str) -> Option<u64> {
    let mut values = query.split('&').filter_map(|part| part.split_once('='));
    values.find(|(other, _)| *other == name)?.1.parse().ok()
}
