//! One generation of one member.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// A member as the others know it. Its address is what lasts; its generation grows with each start and each return after it was
/// declared down, so that what is said of an earlier generation does not touch the present one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Where the others reach it.
    pub at: SocketAddr,
    /// Milliseconds since 1970 at its start, and one more for each return.
    pub generation: u64,
    /// Its name in its configuration, for people.
    pub name: String,
}

impl Identity {
    /// Whoever listens there: enough to ask to be let in.
    pub fn unknown(at: SocketAddr) -> Identity {
        Identity {
            at,
            generation: 0,
            name: String::new(),
        }
    }
}

impl foca::Identity for Identity {
    type Addr = SocketAddr;

    fn renew(&self) -> Option<Identity> {
        Some(Identity {
            generation: self.generation + 1,
            ..self.clone()
        })
    }

    fn addr(&self) -> SocketAddr {
        self.at
    }

    fn win_addr_conflict(&self, other: &Identity) -> bool {
        self.generation > other.generation
    }
}
