//! Limits on the number and duration of operators' connections.

use std::time::Duration;

use cranehill_scheduler::Time;

use crate::connection::Connection;
use crate::connection_table::ConnectionTable;

/// Limit on simultaneous connections of operators, each of which carries one command.
pub(crate) const MAX_OPERATOR_CONNECTIONS: usize = 8;
/// Time allowed for the command to arrive, and for the operator to read the response. Operators' tools wait 1 s for a response.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(2);

/// When an operator's connection times out.
pub(crate) fn deadline(connection: &Connection) -> Time {
    connection.waiting_since + COMMAND_TIMEOUT
}

/// Closes the oldest connection if the limit is reached, so that idle connections don't block new ones.
pub(crate) fn make_room(connections: &mut ConnectionTable) {
    let open = connections.ids(Connection::is_operator);
    if open.len() >= MAX_OPERATOR_CONNECTIONS {
        connections.close(open[0]);
    }
}
