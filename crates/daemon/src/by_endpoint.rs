//! Which connections lead to which endpoint, so that what concerns one endpoint looks at its own connections alone.

use std::collections::{BTreeMap, BTreeSet};

use cranehill_scheduler::api::EndpointId;

use crate::link::Role;

/// Connections to endpoints, by endpoint.
#[derive(Debug, Default)]
pub struct ByEndpoint {
    connections: BTreeMap<EndpointId, BTreeSet<usize>>,
}

impl ByEndpoint {
    /// A connection was opened.
    pub fn add(&mut self, role: &Role, connection: usize) {
        if let Role::Destination { endpoint, .. } = role {
            self.connections
                .entry(endpoint.clone())
                .or_default()
                .insert(connection);
        }
    }

    /// A connection is closed.
    pub fn remove(&mut self, role: &Role, connection: usize) {
        let Role::Destination { endpoint, .. } = role else {
            return;
        };
        let Some(connections) = self.connections.get_mut(endpoint) else {
            return;
        };
        connections.remove(&connection);
        if connections.is_empty() {
            self.connections.remove(endpoint);
        }
    }

    /// The connections to an endpoint, the oldest first.
    pub fn of(&self, endpoint: &EndpointId) -> impl Iterator<Item = usize> {
        self.connections
            .get(endpoint)
            .into_iter()
            .flatten()
            .copied()
    }
}
