//! Describes agents as members of a swarm.

use std::net::{IpAddr, SocketAddr};

use cinderspoke_core::rendezvous::Key;
use cinderspoke_schema::control::Peer;

/// Describes an agent as a member of a swarm.
pub(super) fn peer(address: IpAddr, port: u16, zone: &str, region: &str) -> Peer {
    Peer {
        instance: swarm_name(&address.to_string()),
        zone: swarm_name(zone),
        region: swarm_name(region),
        address: SocketAddr::new(address, port),
    }
}

/// Converts text to a swarm name; text that is not a valid name is replaced by its hash.
fn swarm_name<T: std::str::FromStr<Err = cinderspoke_types::id::Error>>(text: &str) -> T {
    let hashed = || format!("x{:016x}", Key::of(text).as_u64()).parse();
    match text.parse().or_else(|_| hashed()) {
        Ok(name) => name,
        Err(error) => unreachable!("a hash in hex is a name: {error}"),
    }
}
