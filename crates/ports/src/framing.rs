//! What the head of an answer says of where its body ends.
//!
//! Whatever a head says, some bytes follow it, and the connection ends sooner or later: a body that
//! was read up to there is no evidence that the head was understood. So [`Framing::read`] accepts
//! only heads that name one end of the body, by the rules of [RFC 9112, section 6.3], and returns
//! what is wrong with any other one as a [`Fault`]. Every reader of answers asks it before it uses
//! anything of the head or the body, and whoever passes a body on frames it anew, after [`strip`].
//!
//! [RFC 9112, section 6.3]: https://www.rfc-editor.org/rfc/rfc9112#section-6.3

use std::ops::RangeInclusive;

use displaydoc::Display;
use http::header::{CONNECTION, CONTENT_LENGTH, HeaderName, HeaderValue, TRANSFER_ENCODING};
use http::{HeaderMap, Method, StatusCode, Version, response};
use metrics::counter;

/// The metric that counts answers with a spoilt head, by what is wrong with it.
pub const SPOILT_HEADS: &str = "cinderspoke_heads_spoilt_total";

/// The statuses of final answers ([RFC 9110, section 15]). A request never asks for another
/// protocol, so that 101 is none of them.
///
/// [RFC 9110, section 15]: https://www.rfc-editor.org/rfc/rfc9110#section-15
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// The fields of requests and answers that concern one connection only.
pub const HOP_BY_HOP: [&str; 7] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// The fields that a head may have at most, as its parser allows.
const MAX_FIELDS: usize = 100;

/// How the end of an answer's body is marked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// Not at all: the status, or the method of the request, allows no body.
    Empty,
    /// By a length, which may be zero.
    Length,
    /// By the last chunk.
    Chunked,
    /// By the end of the connection.
    Connection,
}

/// What is wrong with the head of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Fault {
    /// the head cannot be read
    Unreadable,
    /// the status is none of a final answer
    Status,
    /// the transfer coding is not exactly one that is chunked
    Coding,
    /// a transfer coding stands beside a length
    CodingAndLength,
    /// the length is no number, or there are several
    Length,
    /// a body is announced where the status allows none
    Body,
    /// the name of a field is nearly that of the length or of the transfer coding
    Misspelt,
    /// neither a length nor chunks nor the end of the connection marks the end of the body
    NoEnd,
    /// the head ends early, so that the body begins with the rest of it
    EarlyEnd,
}

impl std::error::Error for Fault {}

impl Fault {
    /// Returns the name for the log and the metric.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Unreadable => "unreadable",
            Self::Status => "status",
            Self::Coding => "coding",
            Self::CodingAndLength => "coding-and-length",
            Self::Length => "length",
            Self::Body => "body",
            Self::Misspelt => "misspelt",
            Self::NoEnd => "no-end",
            Self::EarlyEnd => "early-end",
        }
    }

    /// Counts an answer with the fault.
    pub fn count(self) {
        counter!(SPOILT_HEADS, "fault" => self.as_str()).increment(1);
    }
}

impl Framing {
    /// Reads how the head of an answer to a request with this method marks the end of its body.
    ///
    /// # Errors
    ///
    /// What is wrong with the head, if it contradicts itself or does not say where the body ends.
    pub fn read(method: &Method, head: &response::Parts) -> Result<Self, Fault> {
        let headers = &head.headers;
        if !FINAL_STATUSES.contains(&head.status.as_u16()) {
            return Err(Fault::Status);
        }
        let is_chunked = is_chunked(headers)?;
        let length = length(headers, is_chunked)?;
        if head.status == StatusCode::NO_CONTENT && (is_chunked || length.unwrap_or(0) > 0) {
            return Err(Fault::Body);
        }
        if *method == Method::HEAD || has_no_body(head.status) {
            Ok(Self::Empty)
        } else if is_chunked {
            Ok(Self::Chunked)
        } else if length.is_some() {
            Ok(Self::Length)
        } else if headers.iter().any(is_nearly_framing) {
            Err(Fault::Misspelt)
        } else if !closes(head) {
            Err(Fault::NoEnd)
        } else {
            Ok(Self::Connection)
        }
    }

    /// Checks the beginning of a body whose end is marked like this, up to its first empty line: if
    /// only the connection marks it, a head that ended early looks sound.
    ///
    /// # Errors
    ///
    /// If the body begins with the rest of a head.
    pub fn check_body(self, body: &[u8]) -> Result<(), Fault> {
        if self == Self::Connection && begins_with_framing(body) {
            return Err(Fault::EarlyEnd);
        }
        Ok(())
    }

    /// Returns the name for the log.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Empty => "empty",
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::Connection => "connection",
        }
    }

    /// Returns whether the connection can carry another request after the answer.
    #[must_use]
    pub fn allows_reuse(self) -> bool {
        self != Self::Connection
    }
}

/// Removes what the head of an answer says of its connection and of the framing of its body, both
/// of which whoever sends the answer on writes anew. The length that an answer to HEAD names is
/// that of another answer, and stays.
pub fn strip(method: &Method, head: &mut response::Parts) {
    for name in HOP_BY_HOP {
        head.headers.remove(name);
    }
    if *method != Method::HEAD {
        head.headers.remove(CONTENT_LENGTH);
    }
    head.version = Version::HTTP_11;
}

/// Returns whether a status allows no body ([RFC 9112, section 6.3], rule 1).
///
/// [RFC 9112, section 6.3]: https://www.rfc-editor.org/rfc/rfc9112#section-6.3
fn has_no_body(status: StatusCode) -> bool {
    matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
}

/// Returns whether the body comes in chunks. Requests name no transfer coding that they accept, so
/// a sound endpoint uses no other.
fn is_chunked(headers: &HeaderMap) -> Result<bool, Fault> {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let Some(coding) = codings.next() else { return Ok(false) };
    let is_single = codings.next().is_none();
    if is_single && coding.as_bytes().trim_ascii().eq_ignore_ascii_case(b"chunked") {
        Ok(true)
    } else {
        Err(Fault::Coding)
    }
}

/// Returns the length that the head names. The same number may be repeated.
fn length(headers: &HeaderMap, is_chunked: bool) -> Result<Option<u64>, Fault> {
    let mut found = None;
    for value in headers.get_all(CONTENT_LENGTH) {
        if is_chunked {
            return Err(Fault::CodingAndLength);
        }
        for number in value.as_bytes().split(|byte| *byte == b',') {
            let number = parse_length(number.trim_ascii()).ok_or(Fault::Length)?;
            if found.is_some_and(|found| found != number) {
                return Err(Fault::Length);
            }
            found = Some(number);
        }
    }
    Ok(found)
}

/// Parses a length, which consists of digits only.
fn parse_length(text: &[u8]) -> Option<u64> {
    if !text.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(text).ok()?.parse().ok()
}

/// Returns whether the connection ends with the answer.
fn closes(head: &response::Parts) -> bool {
    let has_option = |option: &str| {
        let values = head.headers.get_all(CONNECTION);
        let mut options = values.iter().filter_map(|value| value.to_str().ok());
        options.any(|text| text.split(',').any(|found| found.trim().eq_ignore_ascii_case(option)))
    };
    match head.version {
        Version::HTTP_11 => has_option("close"),
        _ => has_option("close") || !has_option("keep-alive"),
    }
}

/// Returns whether a text begins with the fields of a head and an empty line, and one of the fields
/// marks the end of a body.
fn begins_with_framing(text: &[u8]) -> bool {
    let mut has_framing = false;
    for line in text.split(|byte| *byte == b'\n').take(MAX_FIELDS) {
        let line = line.trim_ascii_end();
        if line.is_empty() {
            return has_framing;
        }
        let name = line.split(|byte| *byte == b':').next().unwrap_or_default();
        let Ok(name) = HeaderName::from_bytes(name) else { return false };
        has_framing |= [CONTENT_LENGTH, TRANSFER_ENCODING].contains(&name);
    }
    false
}

/// Returns whether the name of a field differs by one byte from that of one that marks the end of a
/// body. Where that byte is a colon, the rest of the name stands in the value.
fn is_nearly_framing((name, value): (&HeaderName, &HeaderValue)) -> bool {
    let name = name.as_str().as_bytes();
    let rest = value.as_bytes().split(|byte| *byte == b':').next().unwrap_or_default();
    let split = [name, b":", rest].concat().to_ascii_lowercase();
    [CONTENT_LENGTH, TRANSFER_ENCODING].iter().any(|framing| {
        let framing = framing.as_str().as_bytes();
        differs_by_one(name, framing) || differs_by_one(&split, framing)
    })
}

/// Returns whether one text becomes the other when a single byte of it is changed, removed or
/// added.
fn differs_by_one(one: &[u8], other: &[u8]) -> bool {
    let same = one.iter().zip(other).take_while(|(one, other)| one == other).count();
    let (one, other) = (&one[same..], &other[same..]);
    match (one.split_first(), other.split_first()) {
        (Some((_, one_rest)), Some((_, other_rest))) => {
            one_rest == other_rest || one_rest == other || one == other_rest
        }
        (Some((_, rest)), None) | (None, Some((_, rest))) => rest.is_empty(),
        (None, None) => false,
    }
}
