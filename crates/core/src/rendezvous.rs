//! Rendezvous hashing (highest random weight; Thaler and Ravishankar, 1998).
//!
//! All processes that know the same names rank them in the same order, without
//! coordination.

use std::net::SocketAddr;

use cinderspoke_types::digest::Digest;

/// The hash of a name, computed once so that ranking is cheap.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(u64);

impl Key {
    /// The key of a name.
    #[must_use]
    pub fn of(name: &str) -> Self {
        let digest = Digest::of(name.as_bytes());
        let mut first = [0; 8];
        first.copy_from_slice(&digest.as_bytes()[..8]);
        Self(u64::from_le_bytes(first))
    }

    /// The key of a number, such as a chunk's.
    #[must_use]
    pub fn of_number(number: u64) -> Self {
        Self(mix(number))
    }

    /// The key of an address.
    #[must_use]
    pub fn of_address(address: SocketAddr) -> Self {
        let number = match address {
            SocketAddr::V4(address) => u64::from(u32::from(*address.ip())),
            SocketAddr::V6(address) => Self::of(&address.ip().to_string()).0,
        };
        Self(mix(number << 16 ^ u64::from(address.port())))
    }

    /// The key as a number.
    #[must_use]
    pub const fn as_u64(self) -> u64 {
        self.0
    }

    /// Combines two keys into one.
    #[must_use]
    pub fn with(self, other: Self) -> Self {
        Self(weight(self, other))
    }
}

/// The weight of a candidate for a subject. The candidate with the highest weight ranks first.
#[must_use]
pub fn weight(subject: Key, candidate: Key) -> u64 {
    mix(subject.0 ^ mix(candidate.0))
}

/// The finalizer of the SplitMix64 generator: every output bit depends on every input bit.
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
