//! Classes of sizes: few enough to count requests by.

/// How a size compares with a usual one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Class {
    /// Up to half of it.
    Half,
    /// Up to as much.
    Usual,
    /// Up to twice as much.
    Double,
    /// More.
    Beyond,
}

impl Class {
    /// The class of a size, where so much is usual; both in the same unit.
    #[must_use]
    pub fn of(size: u64, usual: u64) -> Self {
        if size > usual.saturating_mul(2) {
            Self::Beyond
        } else if size > usual {
            Self::Double
        } else if size > usual / 2 {
            Self::Usual
        } else {
            Self::Half
        }
    }

    /// A word for labels.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Half => "half",
            Self::Usual => "usual",
            Self::Double => "double",
            Self::Beyond => "beyond",
        }
    }
}
