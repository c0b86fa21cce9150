//! Size classes of requests, few enough to be used as metric labels.

/// A size relative to the usual size.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Class {
    /// At most half of the usual size.
    Half,
    /// More than half of the usual size, and at most the usual size.
    Usual,
    /// More than the usual size, and at most twice the usual size.
    Double,
    /// More than twice the usual size.
    Beyond,
}

impl Class {
    /// The class of a size; `size` and `usual` have the same unit.
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

    /// The label of the class in metrics and log lines.
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
