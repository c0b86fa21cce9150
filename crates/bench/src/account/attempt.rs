//! One attempt of a caller, as its gateway logged it.

use std::fmt;

use serde::Deserialize;
use serde_json::Value;
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

/// What became of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Fate {
    /// Its answer began in time, and no pause was too long.
    InTime,
    /// No endpoint could be asked: none is there, or none has weights to answer with.
    NoEndpoint,
    /// Endpoints were there, and none would have begun in time.
    NoRoom,
    /// The same, for a caller that had been refused before.
    RefusedAgain,
    /// It was answered, but its caller had been refused before.
    Returned,
    /// The first byte or event came late.
    LateFirst,
    /// A pause between events was too long.
    LongPause,
    /// It was answered with a failure.
    Failed,
    /// Its answer broke off.
    BrokenOff,
    /// Its caller left before an answer.
    Left,
}

impl Fate {
    /// All of them, in the order of reports.
    pub(crate) const ALL: [Self; 10] = [
        Self::InTime,
        Self::Returned,
        Self::LateFirst,
        Self::LongPause,
        Self::NoRoom,
        Self::RefusedAgain,
        Self::NoEndpoint,
        Self::Failed,
        Self::BrokenOff,
        Self::Left,
    ];

    /// Whether its caller got an answer, in time or later.
    pub(crate) const fn is_served(self) -> bool {
        matches!(self, Self::InTime | Self::Returned | Self::LateFirst | Self::LongPause)
    }

    /// A few words for people and columns.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::InTime => "in time",
            Self::Returned => "after a refusal",
            Self::LateFirst => "late first event",
            Self::LongPause => "long pause",
            Self::NoRoom => "refused, no room",
            Self::RefusedAgain => "refused again",
            Self::NoEndpoint => "refused, no endpoint",
            Self::Failed => "failed",
            Self::BrokenOff => "broken off",
            Self::Left => "left",
        }
    }
}

impl fmt::Display for Fate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.pad(self.as_str())
    }
}

/// An attempt.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Attempt {
    /// When it ended, in seconds since 1970.
    pub(crate) ended: f64,
    /// Its route; empty where none fits.
    pub(crate) route: String,
    /// What became of it.
    pub(crate) fate: Fate,
    /// Whether its caller had been refused before.
    pub(crate) returning: bool,
    /// Its size, where it was for a model.
    pub(crate) size: Option<Size>,
}

/// The size of a request for a model, in tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Size {
    /// Tokens of the prompt.
    pub(crate) prompt: u64,
    /// The most tokens of the answer.
    pub(crate) answer: u64,
    /// Tokens of the answer as its caller guessed; else the most.
    pub(crate) guess: u64,
}

/// How many read tokens take an engine about as long as one that it writes.
const READ_PER_WRITTEN: u64 = 10;

impl Size {
    /// The work that it is, in read tokens.
    pub(crate) fn work(self) -> u64 {
        self.prompt + READ_PER_WRITTEN * self.answer
    }
}

/// The fields of a gateway's line on a request that an account needs.
#[derive(Debug, Deserialize)]
struct Line {
    timestamp: String,
    outcome: String,
    #[serde(default)]
    route: String,
    status: Option<u16>,
    #[serde(default)]
    candidates: u64,
    first_ms: Option<u64>,
    #[serde(default)]
    waited_ms: u64,
    #[serde(default)]
    aim_ms: u64,
    #[serde(default)]
    gap_ms: u64,
    gap_aim_ms: Option<u64>,
    #[serde(default)]
    prompt: u64,
    #[serde(default)]
    answer: u64,
    guess: Option<u64>,
    // Only of requests that are held back.
    fingerprint: Option<String>,
}

/// What a line of a log holds.
#[derive(Debug)]
pub(crate) enum Read {
    /// An attempt.
    Attempt(Attempt),
    /// Something else than the end of a request.
    Other,
    /// A line on a request that cannot be read, and why.
    Misfit(String),
}

/// Reads a line: JSON, behind whatever the reader of logs wrote before it.
pub(crate) fn read(text: &str) -> Read {
    let Some(json) = text.find('{').map(|begin| &text[begin..]) else { return Read::Other };
    let Ok(value) = serde_json::from_str::<Value>(json) else { return Read::Other };
    if value["message"] != "request" {
        return Read::Other;
    }
    match serde_json::from_value(value) {
        Ok(line) => attempt(line),
        Err(error) => Read::Misfit(error.to_string()),
    }
}

fn attempt(line: Line) -> Read {
    let ended = match OffsetDateTime::parse(&line.timestamp, &Rfc3339) {
        Ok(time) => time.unix_timestamp_nanos() as f64 / 1e9,
        Err(error) => return Read::Misfit(error.to_string()),
    };
    match fate(&line) {
        Some(fate) => {
            let guess = line.guess.unwrap_or(line.answer);
            let size = Size { prompt: line.prompt, answer: line.answer, guess };
            let size = (size.work() > 0).then_some(size);
            let returning = line.waited_ms > 0;
            Read::Attempt(Attempt { ended, route: line.route, fate, returning, size })
        }
        None => Read::Misfit(format!("unknown outcome \"{}\"", line.outcome)),
    }
}

/// What became of an attempt; none where its outcome is not known.
fn fate(line: &Line) -> Option<Fate> {
    let returning = line.waited_ms > 0;
    Some(match line.outcome.as_str() {
        "left" => Fate::Left,
        "broken" => Fate::BrokenOff,
        "answered" if line.status.is_some_and(|status| status >= 500) => Fate::Failed,
        "answered" if returning => Fate::Returned,
        "answered" if line.first_ms.is_some_and(|first| first > line.aim_ms) => Fate::LateFirst,
        "answered" if line.gap_aim_ms.is_some_and(|aim| line.gap_ms > aim) => Fate::LongPause,
        "answered" => Fate::InTime,
        "refused" if line.status != Some(503) || line.fingerprint.is_some() => Fate::Failed,
        "refused" if returning => Fate::RefusedAgain,
        "refused" if line.candidates == 0 => Fate::NoEndpoint,
        "refused" => Fate::NoRoom,
        _ => return None,
    })
}
