//! What callers ask: kinds of requests, and the sizes of their prompts.

use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::super::ms;
use super::engine::PROMPT;

/// A kind of requests.
#[derive(Clone, Copy)]
struct Kind {
    // Its part of all requests.
    part: f64,
    aim: Duration,
    sizes: Sizes,
}

/// How the tokens of prompts are spread.
#[derive(Clone, Copy)]
enum Sizes {
    /// Evenly, up to twice the usual prompt.
    Uniform,
    /// Lognormally by a mean, with a deviation as large as the mean, up to a most.
    Lognormal { mean: f64, most: f64 },
}

impl Sizes {
    fn draw(self, random: &mut ChaCha8Rng) -> f64 {
        match self {
            Self::Uniform => random.random_range(100.0..2.0 * PROMPT - 100.0),
            Self::Lognormal { mean, most } => {
                let variance = std::f64::consts::LN_2;
                let exponent = mean.ln() - variance / 2.0 + variance.sqrt() * normal(random);
                exponent.exp().clamp(40.0, most)
            }
        }
    }
}

/// A normal deviate, by Box and Muller.
fn normal(random: &mut ChaCha8Rng) -> f64 {
    let radius = (-2.0 * random.random_range(1e-12..1.0_f64).ln()).sqrt();
    radius * (std::f64::consts::TAU * random.random_range(0.0..1.0_f64)).cos()
}

/// What callers ask.
#[derive(Clone)]
pub(crate) struct Work {
    kinds: Vec<Kind>,
}

impl Work {
    /// One kind, with prompts of all sizes alike.
    pub(crate) fn uniform() -> Self {
        Self { kinds: vec![Kind { part: 1.0, aim: ms(400), sizes: Sizes::Uniform }] }
    }

    /// Three kinds with many short prompts and few long ones.
    pub(crate) fn lognormal() -> Self {
        let kind =
            |part, aim, mean, most| Kind { part, aim, sizes: Sizes::Lognormal { mean, most } };
        let kinds = [
            kind(0.41, ms(500), 1290.0, 3880.0),
            kind(0.31, ms(400), 787.0, 3330.0),
            kind(0.28, ms(400), 607.0, 2640.0),
        ];
        Self { kinds: kinds.into() }
    }

    /// How many kinds there are.
    pub(crate) fn kinds(&self) -> usize {
        self.kinds.len()
    }

    /// The time to a first token that a kind's requests are worth their full price for.
    pub(crate) fn aim(&self, kind: usize) -> Duration {
        self.kinds[kind].aim
    }

    /// One request: its kind, and the tokens of its prompt.
    pub(crate) fn draw(&self, random: &mut ChaCha8Rng) -> (usize, f64) {
        let kind = self.draw_kind(random);
        (kind, self.kinds[kind].sizes.draw(random))
    }

    fn draw_kind(&self, random: &mut ChaCha8Rng) -> usize {
        if self.kinds.len() == 1 {
            return 0;
        }
        let mut left = random.random_range(0.0..1.0_f64);
        let found = self.kinds.iter().position(|kind| {
            left -= kind.part;
            left < 0.0
        });
        found.unwrap_or(self.kinds.len() - 1)
    }
}
