//! Draining on an operator's command: the clients of this sender move to other senders.

use std::time::Duration;

use cranehill_scheduler::Time;

use crate::client_ingress::NEW_CLIENT_GRACE;
use crate::connection::Connection;
use crate::connection_table::ConnectionTable;

/// Time between the command and closing the first connection. The platform's load balancer checks every 100 ms whether this
/// sender is ready for clients, and routes new connections to it for up to 200 ms after a negative answer.
const FRONT_DELAY: Duration = Duration::from_millis(400);
/// Interval between checks for client connections that can be closed.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Whether this sender is draining, and since when.
#[derive(Debug, Default)]
pub(crate) struct Drain {
    since: Option<Time>,
}

impl Drain {
    pub(crate) fn is_active(&self) -> bool {
        self.since.is_some()
    }

    /// Begins or ends draining.
    pub(crate) fn set(&mut self, active: bool, connections: &ConnectionTable, now: Time) {
        let clients = connections.count(Connection::is_client);
        match (active, self.since) {
            (true, None) => {
                self.since = Some(now);
                log::info!(event = "draining", clients; "operator: draining started, {clients} client connections open");
            }
            (false, Some(_)) => {
                self.since = None;
                log::info!(event = "draining-ended", clients; "operator: draining ended");
            }
            _ => {}
        }
    }

    /// When client connections are checked next; `None` if the sender is not draining or no client is connected.
    pub(crate) fn next_check(&self, connections: &ConnectionTable, now: Time) -> Option<Time> {
        let first = self.since? + FRONT_DELAY;
        if now < first {
            return Some(first);
        }
        let remaining = connections.values().any(Connection::is_client);
        remaining.then_some(now + CHECK_INTERVAL)
    }

    /// The client connections that may be closed now. Connections with a request in progress are excluded, as are new ones, whose
    /// first request may be in transit.
    pub(crate) fn closable(&self, connections: &ConnectionTable, now: Time) -> Vec<usize> {
        let Some(since) = self.since.filter(|since| now >= *since + FRONT_DELAY) else {
            return Vec::new();
        };
        let is_new = |connection: &Connection| {
            !connection.request_received
                && now - connection.waiting_since < NEW_CLIENT_GRACE
                && connection.waiting_since >= since
        };
        connections.ids(|connection| connection.is_idle_client() && !is_new(connection))
    }
}
