//! Cutting a stream of server-sent events into whole ones.

/// What an empty line is, after the end of the line before it. Lines end in a line
/// feed, with a carriage return before it or not; senders may mix the two.
const EMPTY: [&[u8]; 2] = [b"\n", b"\r\n"];

/// The field that numbers an event.
const ID: &[u8] = b"id:";

/// The most bytes that an event may have.
const MAX_EVENT: usize = 256 << 10;

/// Whole events and the number of the last of them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Events {
    /// Their bytes.
    pub bytes: Vec<u8>,
    /// How many they are.
    pub count: usize,
    /// The number of the last one that has one.
    pub last_id: Option<u64>,
}

/// Collects bytes until they make up whole events.
#[derive(Debug, Default)]
pub struct Splitter {
    // What has come of an event that is not whole yet.
    rest: Vec<u8>,
}

/// A stream's events cannot be told apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum Error {
    /// an event has more bytes than are allowed
    TooLong,
}

impl std::error::Error for Error {}

impl Splitter {
    /// Takes in bytes; gives the whole events that they complete, if any.
    ///
    /// # Errors
    ///
    /// When an event does not end.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Events>, Error> {
        self.rest.extend_from_slice(bytes);
        let Some(end) = last_end(&self.rest) else {
            return if self.rest.len() > MAX_EVENT { Err(Error::TooLong) } else { Ok(None) };
        };
        let rest = self.rest.split_off(end);
        let whole = std::mem::replace(&mut self.rest, rest);
        let events = events(&whole);
        let count = events.len();
        let last_id = events.iter().rev().find_map(|event| id(event));
        Ok(Some(Events { bytes: whole, count, last_id }))
    }

    /// Whether an event has begun that is not whole.
    #[must_use]
    pub fn has_partial(&self) -> bool {
        !self.rest.is_empty()
    }
}

/// The events of bytes that end with one, each with its empty line.
fn events(bytes: &[u8]) -> Vec<&[u8]> {
    let mut events = Vec::new();
    let mut start = 0;
    while let Some(end) = (start..bytes.len()).find_map(|at| end(bytes, at)) {
        events.push(&bytes[start..end]);
        start = end;
    }
    events
}

/// Where the last whole event ends.
fn last_end(bytes: &[u8]) -> Option<usize> {
    (0..bytes.len()).rev().find_map(|at| end(bytes, at))
}

/// Where an event ends whose last line ends at a place, if it does: after an empty line.
fn end(bytes: &[u8], at: usize) -> Option<usize> {
    let rest = bytes[at..].strip_prefix(b"\n")?;
    let empty = EMPTY.into_iter().find(|empty| rest.starts_with(empty))?;
    Some(at + 1 + empty.len())
}

/// The number of an event.
fn id(event: &[u8]) -> Option<u64> {
    let line = event.split(|byte| *byte == b'\n').find(|line| line.starts_with(ID))?;
    std::str::from_utf8(&line[ID.len()..]).ok()?.trim().parse().ok()
}
