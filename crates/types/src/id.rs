//! Names of instances, zones, teams, services, models and other entities.
//!
//! Each kind of name has its own type; all have the form that [`is_name`] checks.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use displaydoc::Display;

/// The maximum length of a name in characters.
pub const MAX_LENGTH: usize = 63;

/// The form of every name, for error messages.
pub const FORM: &str =
    "1 to 63 lower-case letters, digits, '-' or '.', first and last a letter or digit";

/// The error when a text is not a name.
#[derive(Debug, Clone, Display, PartialEq, Eq)]
#[displaydoc("{text:?} is not a name: expected {form}")]
pub struct Error {
    text: String,
    form: &'static str,
}

impl std::error::Error for Error {}

/// Returns whether a text has the form of a name.
#[must_use]
pub fn is_name(text: &str) -> bool {
    let edge = |byte: &u8| byte.is_ascii_lowercase() || byte.is_ascii_digit();
    let inner = |byte: &u8| edge(byte) || matches!(byte, b'-' | b'.');
    let bytes = text.as_bytes();
    let (Some(first), Some(last)) = (bytes.first(), bytes.last()) else { return false };
    bytes.len() <= MAX_LENGTH && edge(first) && edge(last) && bytes.iter().all(inner)
}

macro_rules! name {
    ($(#[$doc:meta])* $type:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        // Invariant: the text has passed `is_name`.
        pub struct $type(Arc<str>);

        impl $type {
            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.pad(&self.0)
            }
        }

        impl fmt::Debug for $type {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{}", self.0)
            }
        }

        impl FromStr for $type {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self, Error> {
                if is_name(text) {
                    Ok(Self(text.into()))
                } else {
                    Err(Error { text: text.into(), form: FORM })
                }
            }
        }

        crate::serde_as_text!($type);
    };
}

name!(
    /// An instance: an entry instance or an endpoint's instance.
    Instance
);
name!(
    /// An availability zone.
    Zone
);
name!(
    /// A region: availability zones with low latency between them.
    Region
);
name!(
    /// A team: a customer of the operators, whose requests count towards one limit.
    Team
);
name!(
    /// A service, which callers name in their requests.
    Service
);
name!(
    /// A model, which has versions.
    Model
);
name!(
    /// An operator's name for one version of a model.
    Version
);
name!(
    /// One attempt to change the configuration, named by its author.
    Operation
);
name!(
    /// A person or program that requests a change.
    Author
);
