//! Where a call goes: constant text, and parts that may hold any text.

use std::fmt::Display;

use displaydoc::Display as DisplayDoc;
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};

/// What is escaped in segments and values: all but the characters that mean themselves everywhere
/// ([RFC 3986, section 2.3]). A blank becomes `%20` and a plus `%2B`, so that servers that read
/// queries as forms and servers that do not agree on both.
///
/// [RFC 3986, section 2.3]: https://www.rfc-editor.org/rfc/rfc3986#section-2.3
const ESCAPED: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_').remove(b'~');

/// Why a path would lead elsewhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DisplayDoc)]
pub enum Misfit {
    /// a segment of its path is empty
    Empty,
    /// a segment of its path is `.` or `..`, which servers resolve
    Dots,
}

impl std::error::Error for Misfit {}

/// The path of a call with its query.
///
/// It begins with constant text; [`segment`](Self::segment) and [`pair`](Self::pair) add parts,
/// which are escaped.
#[derive(Debug, Clone)]
pub struct Path {
    text: String,
    // The first segment that would lead elsewhere, if any.
    misfit: Option<Misfit>,
}

impl From<&'static str> for Path {
    fn from(text: &'static str) -> Self {
        Self { text: text.into(), misfit: None }
    }
}

impl Path {
    /// Adds a segment. Segments come before pairs.
    #[must_use]
    pub fn segment(mut self, segment: impl Display) -> Self {
        let segment = segment.to_string();
        self.misfit = self.misfit.or(match segment.as_str() {
            "" => Some(Misfit::Empty),
            "." | ".." => Some(Misfit::Dots),
            _ => None,
        });
        self.text.push('/');
        self.push(&segment);
        self
    }

    /// Adds segments that stand between slashes.
    #[must_use]
    pub fn segments(self, segments: &str) -> Self {
        segments.split('/').fold(self, Self::segment)
    }

    /// Adds a pair of the query.
    #[must_use]
    pub fn pair(mut self, key: &'static str, value: impl Display) -> Self {
        self.text.push(if self.text.contains('?') { '&' } else { '?' });
        self.text.push_str(key);
        self.text.push('=');
        self.push(&value.to_string());
        self
    }

    fn push(&mut self, text: &str) {
        self.text.extend(utf8_percent_encode(text, ESCAPED));
    }

    /// The path as a request has it.
    ///
    /// # Errors
    ///
    /// If a segment would lead elsewhere.
    pub fn as_str(&self) -> Result<&str, Misfit> {
        match self.misfit {
            Some(misfit) => Err(misfit),
            None => Ok(&self.text),
        }
    }
}
