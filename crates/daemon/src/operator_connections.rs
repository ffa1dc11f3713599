//! Bounds on operators' connections.

use std::time::Duration;

use cranehill_scheduler::Time;

use crate::connection::Connection;
use crate::connection_table::ConnectionTable;

/// Operators' connections at once: each has one command.
pub(crate) const MAX_OPERATOR_CONNECTIONS: usize = 8;
/// A command is received, and its response read, within this. Operators' tools wait 1 s for a response.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(2);

/// When an operator's connection is closed at the latest.
pub(crate) fn deadline(connection: &Connection) -> Time {
    connection.waiting_since + COMMAND_TIMEOUT
}

/// Closes the oldest connection if a further one would be too many: one that sends nothing must not keep others out.
pub(crate) fn make_room(connections: &mut ConnectionTable) {
    let open = connections.ids(Connection::is_operator);
    if open.len() >= MAX_OPERATOR_CONNECTIONS {
        connections.close(open[0]);
    }
}
