//! Names from the platform. They are opaque: code compares them and never parses them.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

macro_rules! name {
    ($(#[$doc:meta])* $type:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(from = "String", into = "String")]
        pub struct $type(Arc<str>);

        impl $type {
            /// The name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<String> for $type {
            fn from(text: String) -> Self {
                Self(text.into())
            }
        }

        impl From<&str> for $type {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }

        impl From<$type> for String {
            fn from(name: $type) -> Self {
                name.0.as_ref().into()
            }
        }

        impl Default for $type {
            /// The empty name, which the platform never assigns.
            fn default() -> Self {
                "".into()
            }
        }

        impl Borrow<str> for $type {
            fn borrow(&self) -> &str {
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
    };
}

name!(
    /// An endpoint. An endpoint that restarts may keep its name.
    Endpoint
);
name!(
    /// A service that routes lead to.
    Service
);
name!(
    /// A model, which has versions.
    Model
);
name!(
    /// An availability zone.
    Zone
);
name!(
    /// A region of availability zones.
    Region
);
name!(
    /// A team, as requests to endpoints name it.
    Team
);
name!(
    /// A caller's attempt at a request.
    Request
);
