//! HTTP/1.1 as far as the stand-ins need it, on blocking sockets.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The head of a request or an answer.
#[derive(Debug, Clone, Default)]
pub struct Head {
    /// The request line or status line.
    pub start: String,
    /// The headers, with names in lower case.
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// The value of a header.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// The status of an answer; 0 if the line has none.
    #[must_use]
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// The method of a request.
    #[must_use]
    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    /// The path of a request, with its query.
    #[must_use]
    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// Whether the sender closes the connection after this message.
    #[must_use]
    pub fn closes(&self) -> bool {
        self.get("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }

    fn is_chunked(&self) -> bool {
        self.get("transfer-encoding").is_some_and(|value| value.to_lowercase().contains("chunked"))
    }

    fn length(&self) -> Option<usize> {
        self.get("content-length")?.parse().ok()
    }
}

/// A connection that is read through a buffer.
#[derive(Debug)]
pub struct Connection {
    reader: BufReader<TcpStream>,
}

fn ended() -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, "the connection ended inside a message")
}

impl Connection {
    /// Wraps a stream.
    #[must_use]
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { reader: BufReader::with_capacity(16 << 10, stream) }
    }

    /// Connects, with a limit on the time for that and for each read.
    ///
    /// # Errors
    ///
    /// If the connection is not up in time.
    pub fn open(address: SocketAddr, connect: Duration, read: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, connect)?;
        stream.set_read_timeout(Some(read))?;
        stream.set_write_timeout(Some(read))?;
        Ok(Self::new(stream))
    }

    /// The stream, for writing and for its options.
    #[must_use]
    pub fn stream(&self) -> &TcpStream {
        self.reader.get_ref()
    }

    /// Writes bytes.
    ///
    /// # Errors
    ///
    /// If the peer is gone or does not read in time.
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.reader.get_mut().write_all(bytes)
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        let mut line = Vec::new();
        if self.reader.read_until(b'\n', &mut line)? == 0 {
            return Ok(None);
        }
        if line.pop() != Some(b'\n') {
            return Err(ended());
        }
        if line.last() == Some(&b'\r') {
            line.pop();
        }
        Ok(Some(String::from_utf8_lossy(&line).into_owned()))
    }

    /// Reads a head; none if the connection ends before one.
    ///
    /// # Errors
    ///
    /// If the connection breaks off or nothing arrives in time.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        let Some(start) = self.line()? else { return Ok(None) };
        let mut head = Head { start, headers: Vec::new() };
        loop {
            let line = self.line()?.ok_or_else(ended)?;
            if line.is_empty() {
                return Ok(Some(head));
            }
            if let Some((name, value)) = line.split_once(':') {
                head.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
    }

    /// Reads the next part of a chunked body; none at its end.
    ///
    /// # Errors
    ///
    /// If the connection breaks off or nothing arrives in time.
    pub fn chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let line = self.line()?.ok_or_else(ended)?;
        let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16)
            .map_err(|_| io::Error::other("a chunk without a size"))?;
        let mut bytes = vec![0; size];
        self.reader.read_exact(&mut bytes)?;
        self.line()?;
        Ok((size > 0).then_some(bytes))
    }

    /// Reads the body of a request.
    ///
    /// # Errors
    ///
    /// If the connection breaks off or nothing arrives in time.
    pub fn request_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if head.is_chunked() {
            return self.chunked_body();
        }
        let mut body = vec![0; head.length().unwrap_or(0)];
        self.reader.read_exact(&mut body)?;
        Ok(body)
    }

    fn chunked_body(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        while let Some(bytes) = self.chunk()? {
            body.extend(bytes);
        }
        Ok(body)
    }

    /// Reads the body of an answer.
    ///
    /// # Errors
    ///
    /// If the connection breaks off or nothing arrives in time.
    pub fn answer_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if head.is_chunked() {
            return self.chunked_body();
        }
        match head.length() {
            Some(length) => {
                let mut body = vec![0; length];
                self.reader.read_exact(&mut body)?;
                Ok(body)
            }
            None if head.status() == 204 || head.status() == 304 => Ok(Vec::new()),
            None => {
                let mut body = Vec::new();
                self.reader.read_to_end(&mut body)?;
                Ok(body)
            }
        }
    }
}

/// The value of a field of the query in a path.
#[must_use]
pub fn query<'a>(path: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = path.split_once('?')?;
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}
