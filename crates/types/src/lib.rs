//! Newtypes that every other crate shares: names, digests, sizes, rates and counters.
//!
//! Each type has one textual form, which `Display` writes and `FromStr` parses. On the wire and in
//! files it is serialized in that form, except for the counters, which are serialized as numbers.

pub mod counter;
pub mod digest;
pub mod id;
pub mod rate;
pub mod size;

/// Implements `Serialize` and `Deserialize` through `Display` and `FromStr`.
macro_rules! serde_as_text {
    ($type:ty) => {
        impl serde::Serialize for $type {
            fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.collect_str(self)
            }
        }

        impl<'de> serde::Deserialize<'de> for $type {
            fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let text = String::deserialize(deserializer)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }
    };
}
pub(crate) use serde_as_text;
