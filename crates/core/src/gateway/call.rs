//! A caller's request, parsed once and independent of the protocol that carried it.

use std::time::Duration;

use super::name::{Model, Request};

/// The parts of a request that a gateway uses; everything else is forwarded unchanged.
#[derive(Debug, Clone, PartialEq)]
pub struct Call {
    /// The id of the caller's attempt.
    pub id: Request,
    /// The target host, in lower case, without a port.
    pub host: String,
    /// The path, without the query.
    pub path: String,
    /// The API key that identifies the caller's team.
    pub key: Option<String>,
    /// The time for which the caller waits for the answer.
    pub deadline: Option<Duration>,
    /// The requested model, if any.
    pub model: Option<Model>,
    /// The size in tokens; zero for a request without a model.
    pub size: Size,
    /// The leading parts of the prompt that other requests may share, each as a key and its
    /// number of tokens.
    pub prefix: Vec<(u64, u32)>,
    /// The id of the last stream event that the caller has received.
    pub last_event: Option<u64>,
}

/// The size of a generation, in tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Size {
    /// Number of tokens in the prompt.
    pub prompt: u32,
    /// Maximum number of tokens in the answer.
    pub max_answer: u32,
    /// The caller's estimate of the number of tokens in the answer; often far off.
    pub answer_hint: Option<u32>,
}

impl Size {
    /// The expected number of tokens in the answer: the hint, or else half of the
    /// maximum, and at most the maximum.
    #[must_use]
    pub fn expected(&self) -> u32 {
        self.answer_hint.unwrap_or(self.max_answer / 2).min(self.max_answer.max(1))
    }
}
