//! An index of connections by endpoint, so that an operation on one endpoint visits only that endpoint's connections.

use std::collections::{BTreeMap, BTreeSet};

use cranehill_scheduler::api::EndpointId;

use crate::connection::ConnectionKind;

/// The ids of connections to destinations, by endpoint.
#[derive(Debug, Default)]
pub(crate) struct ConnectionIndex {
    connections: BTreeMap<EndpointId, BTreeSet<usize>>,
}

impl ConnectionIndex {
    /// Adds a connection, unless it is of another kind.
    pub(crate) fn add(&mut self, kind: &ConnectionKind, connection: usize) {
        if let ConnectionKind::Destination { endpoint, .. } = kind {
            self.connections
                .entry(endpoint.clone())
                .or_default()
                .insert(connection);
        }
    }

    /// Removes a connection that is closed.
    pub(crate) fn remove(&mut self, kind: &ConnectionKind, connection: usize) {
        let ConnectionKind::Destination { endpoint, .. } = kind else {
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
    pub(crate) fn of(&self, endpoint: &EndpointId) -> impl Iterator<Item = usize> {
        self.connections
            .get(endpoint)
            .into_iter()
            .flatten()
            .copied()
    }
}
