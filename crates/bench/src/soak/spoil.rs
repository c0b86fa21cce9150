//! Heads of answers that endpoints in trouble spoil: where they tell the length of the body or the
//! status, or by a line that is no field.
//!
//! A spoilt head is as long as the sound one, so that it can be put in its place as it is written.

use http::HeaderValue;
use http::header::CONNECTION;
use http::response::Builder;
use rand::Rng;

use super::framing::drawn;

/// In how many cases an answer has a spoilt head.
const SHARE: f64 = 0.03;

/// The field by which an answer names its spoil to the connection that writes it.
const FIELD: &str = "x-odd-field";

/// The status of an answer without a body. Where nothing else marks the end of a body, a head with
/// it is right for an empty one.
const NO_CONTENT: &str = "HTTP/1.1 204 OK";

/// What marks the end of a body, other than the end of the connection.
const MARKS: [&str; 2] = ["content-length", "transfer-encoding"];

/// A part of a head, and what is written in its place.
const SPOILS: [(&str, &str); 10] = [
    ("transfer-encoding: chunked", "transfer-encoding: chonked"),
    ("transfer-encoding", "transfer-encodinq"),
    ("content-length", "content-lenqth"),
    ("content-length: ", "content-length: x"),
    ("connection: close", "connection: cloze"),
    ("HTTP/1.1 200 OK", NO_CONTENT),
    ("HTTP/1.1 200 OK", "HTTP/1.1 600 OK"),
    ("HTTP/1.1 200 OK", "HTTP/1.1 000 OK"),
    (FIELD, "x odd field"),
    (FIELD, "x-odd\u{1}field"),
];

/// Has the answer to a request spoilt in some cases, by the seed, the request and the endpoint.
pub(crate) fn mark(answer: Builder, seed: u64, id: &str, endpoint: &str) -> Builder {
    let mut random = drawn(seed, &format!("{id} at {endpoint}"));
    if !random.random_bool(SHARE) {
        return answer;
    }
    let answer = answer.header(FIELD, HeaderValue::from(random.random_range(0..SPOILS.len())));
    // The connection ends with some of them, which may look like the end of a body.
    match random.random_bool(0.5) {
        true => answer.header(CONNECTION, "close"),
        false => answer,
    }
}

/// The bytes to write in place of `bytes`, if they begin with a head that is to be spoilt.
pub(crate) fn spoil(bytes: &[u8]) -> Option<Vec<u8>> {
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n")?;
    let head = std::str::from_utf8(&bytes[..end]).ok()?;
    let value = head.lines().find_map(|line| line.strip_prefix(FIELD)?.strip_prefix(": "))?;
    let (part, spoilt) = SPOILS.get(value.parse::<usize>().ok()?)?;
    if *spoilt == NO_CONTENT && !MARKS.iter().any(|mark| head.contains(mark)) {
        return None;
    }
    let at = head.find(part)?;
    let mut written = bytes.to_vec();
    written[at..at + spoilt.len()].copy_from_slice(spoilt.as_bytes());
    Some(written)
}
