//! Counters that only increase.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

macro_rules! counter {
    ($(#[$doc:meta])* $type:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $type(u64);

        impl $type {
            /// Creates a counter from its number.
            #[must_use]
            pub const fn new(number: u64) -> Self {
                Self(number)
            }

            /// Returns the number.
            #[must_use]
            pub const fn as_u64(self) -> u64 {
                self.0
            }

            /// Returns the counter after this one.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, formatter)
            }
        }

        impl FromStr for $type {
            type Err = ParseIntError;

            fn from_str(text: &str) -> Result<Self, ParseIntError> {
                text.parse().map(Self)
            }
        }
    };
}

counter!(
    /// The number of a configuration; zero before the first one is accepted.
    Generation
);
counter!(
    /// The number of a plan in its availability zone; orders carry it as a fencing token, so that
    /// those of older plans are rejected.
    Fence
);
counter!(
    /// The number of a lease's term, which increases each time the lease changes its holder.
    Term
);
counter!(
    /// The start of a process in microseconds of the wall clock, which distinguishes restarts.
    Incarnation
);
counter!(
    /// The revision of an object in the platform's object API.
    Revision
);
