//! A request of a caller, read once from whatever form it came in.

use std::time::Duration;

use super::name::{Model, Request};

/// What a gateway has to know of a request; everything else is passed on as it is.
#[derive(Debug, Clone, PartialEq)]
pub struct Call {
    /// The caller's attempt.
    pub id: Request,
    /// The host that it is meant for, in lower case, without a port.
    pub host: String,
    /// The path, without the query.
    pub path: String,
    /// What the caller proves its team with.
    pub key: Option<String>,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// The model, where it is for one.
    pub model: Option<Model>,
    /// Its size in tokens, where it is for a model.
    pub size: Size,
    /// The first parts of the prompt, shared with other requests: key and tokens.
    pub prefix: Vec<(u64, u32)>,
    /// The last event of a stream that the caller has already.
    pub last_event: Option<u64>,
}

/// The size of a generation, in tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Size {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// The most tokens of the answer.
    pub max_answer: u32,
    /// Tokens of the answer as the caller guesses; often far off.
    pub answer_hint: Option<u32>,
}

impl Size {
    /// The tokens that the answer is expected to have.
    #[must_use]
    pub fn expected(&self) -> u32 {
        self.answer_hint.unwrap_or(self.max_answer / 2).min(self.max_answer.max(1))
    }
}
