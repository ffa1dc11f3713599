//! Draining: operators have the clients of this sender leave.

use std::time::Duration;

use cranehill_scheduler::Time;

use crate::client_ingress::NEW_CLIENT_GRACE;
use crate::connection::Connection;
use crate::connection_table::ConnectionTable;

/// From the command to the end of the first connection: the platform's front checks every 100 ms whether this sender takes
/// clients, and sends new connections for 200 ms after a no.
const FRONT_DELAY: Duration = Duration::from_millis(400);
/// How often the remaining clients are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Whether this sender drains, and since when.
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
                log::info!(event = "draining", clients; "operator: draining, {clients} client connections");
            }
            (false, Some(_)) => {
                self.since = None;
                log::info!(event = "draining-ended", clients; "operator: draining ended");
            }
            _ => {}
        }
    }

    /// When the remaining clients are to be checked.
    pub(crate) fn next_check(&self, connections: &ConnectionTable, now: Time) -> Option<Time> {
        let first = self.since? + FRONT_DELAY;
        if now < first {
            return Some(first);
        }
        let remaining = connections.values().any(Connection::is_client);
        remaining.then_some(now + CHECK_INTERVAL)
    }

    /// Clients' connections that may be closed now: none with a request in progress, and none that has just connected, whose request
    /// is on its way.
    pub(crate) fn closable(&self, connections: &ConnectionTable, now: Time) -> Vec<usize> {
        let Some(since) = self.since.filter(|since| now >= *since + FRONT_DELAY) else {
            return Vec::new();
        };
        let is_new = |connection: &Connection| {
            !connection.has_requested
                && now - connection.waiting_since < NEW_CLIENT_GRACE
                && connection.waiting_since >= since
        };
        connections.ids(|connection| connection.is_idle_client() && !is_new(connection))
    }
}
