//! Splitting a stream of server-sent events into whole events.
//!
//! See the [HTML specification](https://html.spec.whatwg.org/multipage/server-sent-events.html)
//! for the format.

/// The forms of an empty line. Lines end in a line feed with or without a carriage return
/// before it, and senders may mix the two.
const EMPTY_LINES: [&[u8]; 2] = [b"\n", b"\r\n"];

/// The field with the id of an event.
const ID_FIELD: &[u8] = b"id:";

/// Maximum size of an event.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// One or more whole events.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Events {
    /// The bytes of the events.
    pub bytes: Vec<u8>,
    /// The number of events.
    pub count: usize,
    /// The id of the last event that has one.
    pub last_id: Option<u64>,
}

/// Buffers bytes until they form whole events.
#[derive(Debug, Default)]
pub struct Splitter {
    // The bytes of an incomplete event.
    rest: Vec<u8>,
}

/// Why a stream cannot be split into events.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum Error {
    /// an event has more bytes than are allowed
    TooLong,
}

impl std::error::Error for Error {}

impl Splitter {
    /// Appends bytes and returns the events that they complete, if any.
    ///
    /// # Errors
    ///
    /// When an incomplete event exceeds the maximum size.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Events>, Error> {
        self.rest.extend_from_slice(bytes);
        let Some(end) = last_end(&self.rest) else {
            return if self.rest.len() > MAX_EVENT_BYTES { Err(Error::TooLong) } else { Ok(None) };
        };
        let rest = self.rest.split_off(end);
        let whole = std::mem::replace(&mut self.rest, rest);
        let events = events(&whole);
        let count = events.len();
        let last_id = events.iter().rev().find_map(|event| id(event));
        Ok(Some(Events { bytes: whole, count, last_id }))
    }

    /// Returns the number of bytes of the incomplete event.
    #[must_use]
    pub fn partial_bytes(&self) -> usize {
        self.rest.len()
    }

    /// Whether the buffer holds an incomplete event.
    #[must_use]
    pub fn has_partial(&self) -> bool {
        !self.rest.is_empty()
    }
}

/// Splits bytes that end with a whole event into events, each with its empty line.
fn events(bytes: &[u8]) -> Vec<&[u8]> {
    let mut events = Vec::new();
    let mut start = 0;
    while let Some(end) = (start..bytes.len()).find_map(|at| end(bytes, at)) {
        events.push(&bytes[start..end]);
        start = end;
    }
    events
}

/// The position after the last whole event, if there is one.
fn last_end(bytes: &[u8]) -> Option<usize> {
    (0..bytes.len()).rev().find_map(|at| end(bytes, at))
}

/// The position after the event whose last line ends at `at`, if an empty line follows there.
fn end(bytes: &[u8], at: usize) -> Option<usize> {
    let rest = bytes[at..].strip_prefix(b"\n")?;
    let empty = EMPTY_LINES.into_iter().find(|empty| rest.starts_with(empty))?;
    Some(at + 1 + empty.len())
}

/// The id of an event, if it has a numeric one.
fn id(event: &[u8]) -> Option<u64> {
    let line = event.split(|byte| *byte == b'\n').find(|line| line.starts_with(ID_FIELD))?;
    std::str::from_utf8(&line[ID_FIELD.len()..]).ok()?.trim().parse().ok()
}
