//! Attempts added up.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use serde::Serialize;

use super::attempt::{Attempt, Fate, Size};

/// How often each thing became of attempts.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct Counts {
    fates: BTreeMap<Fate, u64>,
    // Attempts that were their callers' first.
    firsts: u64,
}

impl Counts {
    pub(crate) fn add(&mut self, attempt: &Attempt) {
        *self.fates.entry(attempt.fate).or_default() += 1;
        self.firsts += u64::from(!attempt.returning);
    }

    /// How many attempts there were.
    pub(crate) fn all(&self) -> u64 {
        self.fates.values().sum()
    }

    /// The part of callers who were served, at their first attempt or a later one; zero
    /// where there were none.
    pub(crate) fn served(&self) -> f64 {
        let served = self.fates.iter().filter(|(fate, _)| fate.is_served());
        served.map(|(_, count)| count).sum::<u64>() as f64 / self.firsts.max(1) as f64
    }

    /// The part of all that became this; zero where there were none.
    pub(crate) fn share(&self, fate: Fate) -> f64 {
        let count = self.fates.get(&fate).copied().unwrap_or_default();
        count as f64 / self.all().max(1) as f64
    }
}

/// An account of attempts.
#[derive(Debug, Default)]
// Invariant: the counts of routes add up to `all`, and so do those of seconds.
pub(crate) struct Table {
    all: Counts,
    routes: BTreeMap<String, Counts>,
    // By the second in which attempts ended, since 1970.
    seconds: BTreeMap<u64, Counts>,
    // Of each route, the attempts whose size is known.
    sized: BTreeMap<String, Vec<(Size, Attempt)>>,
}

/// A part of a route's attempts, by a size of them.
struct Part {
    name: &'static str,
    size: fn(Size) -> u64,
    // Which part of the sizes are smaller than those in it, and which part are not larger.
    from: f64,
    to: f64,
}

/// The parts of each route that have a line of their own.
const PARTS: [Part; 4] = [
    Part { name: "largest tenth", size: Size::work, from: 0.9, to: 1.0 },
    Part { name: "fifth below it", size: Size::work, from: 0.7, to: 0.9 },
    Part { name: "longest prompts", size: |size| size.prompt, from: 0.9, to: 1.0 },
    Part { name: "longest answers", size: |size| size.guess, from: 0.9, to: 1.0 },
];

impl Part {
    /// Adds up the attempts in it.
    fn counts(&self, attempts: &[(Size, Attempt)]) -> Counts {
        let size = |(size, _): &&(Size, Attempt)| (self.size)(*size);
        // Those who come again are as large as before: each caller counts once.
        let firsts = attempts.iter().filter(|(_, attempt)| !attempt.returning);
        let mut sizes: Vec<u64> = firsts.map(|attempt| size(&attempt)).collect();
        sizes.sort_unstable();
        let at = |part: f64| sizes.get((part * sizes.len() as f64) as usize).copied();
        let (from, to) = (at(self.from).unwrap_or(u64::MAX), at(self.to).unwrap_or(u64::MAX));
        let mut counts = Counts::default();
        let inside = attempts.iter().filter(|attempt| (from..to).contains(&size(attempt)));
        inside.for_each(|(_, attempt)| counts.add(attempt));
        counts
    }
}

/// A line of an account, for programs.
#[derive(Debug, Serialize)]
pub(crate) struct Row {
    /// A route, a second of the account, or "all".
    pub(crate) of: String,
    /// How many attempts.
    pub(crate) attempts: u64,
    /// The part of callers who were served, at any of their attempts.
    pub(crate) served: f64,
    /// The part of attempts that became each thing.
    pub(crate) shares: BTreeMap<&'static str, f64>,
}

impl Row {
    fn new(of: String, counts: &Counts) -> Self {
        let shares = Fate::ALL.map(|fate| (fate.as_str(), counts.share(fate)));
        Self {
            of,
            attempts: counts.all(),
            served: counts.served(),
            shares: shares.into_iter().collect(),
        }
    }
}

impl Table {
    /// Takes in an attempt.
    pub(crate) fn add(&mut self, attempt: &Attempt) {
        self.all.add(attempt);
        self.routes.entry(attempt.route.clone()).or_default().add(attempt);
        self.seconds.entry(attempt.ended as u64).or_default().add(attempt);
        if let Some(size) = attempt.size {
            let sized = self.sized.entry(attempt.route.clone()).or_default();
            sized.push((size, attempt.clone()));
        }
    }

    /// Whether nothing was taken in.
    pub(crate) fn is_empty(&self) -> bool {
        self.all.all() == 0
    }

    /// The seconds from the first to the last, those without attempts among them.
    pub(crate) fn seconds(&self) -> Vec<Counts> {
        let (Some((first, _)), Some((last, _))) =
            (self.seconds.first_key_value(), self.seconds.last_key_value())
        else {
            return Vec::new();
        };
        (*first..=*last).map(|at| self.seconds.get(&at).cloned().unwrap_or_default()).collect()
    }

    /// The lines of a route: of all its attempts, and of parts of them by size.
    fn route(&self, name: &str, counts: &Counts) -> Vec<Row> {
        let shown = if name.is_empty() { "(no route)" } else { name };
        let mut rows = vec![Row::new(shown.into(), counts)];
        let sized = self.sized.get(name).map(Vec::as_slice).unwrap_or_default();
        let parts = PARTS.iter().filter(|_| !sized.is_empty());
        rows.extend(
            parts.map(|part| Row::new(format!("{shown}, {}", part.name), &part.counts(sized))),
        );
        rows
    }

    /// All lines: of all attempts, of each route and its sizes, of each second.
    pub(crate) fn rows(&self) -> Vec<Row> {
        let mut rows = vec![Row::new("all".into(), &self.all)];
        rows.extend(self.routes.iter().flat_map(|(route, counts)| self.route(route, counts)));
        let seconds = self.seconds();
        let seconds = seconds.iter().enumerate();
        rows.extend(seconds.map(|(at, counts)| Row::new(format!("second {at}"), counts)));
        rows
    }

    /// The account for people: shares in hundredths; the columns of a line behind `served` add
    /// up to 100.
    pub(crate) fn text(&self) -> String {
        let rows = self.rows();
        let width = rows.iter().map(|row| row.of.len()).max().unwrap_or(0) + 1;
        let mut text = format!("{:<width$}{:>9}  served", "", "attempts");
        for fate in Fate::ALL {
            write!(text, "  {fate}").unwrap_or_default();
        }
        for row in rows {
            let (of, attempts, served) = (&row.of, row.attempts, 100.0 * row.served);
            write!(text, "\n{of:<width$}{attempts:>9}  {served:>6.1}").unwrap_or_default();
            for fate in Fate::ALL {
                let (width, share) = (fate.as_str().len(), 100.0 * row.shares[fate.as_str()]);
                write!(text, "  {share:>width$.1}").unwrap_or_default();
            }
        }
        text
    }
}
