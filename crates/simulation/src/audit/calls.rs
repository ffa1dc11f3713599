//! The calls in flight on each connection.

use std::collections::BTreeMap;

use super::record::{AuditEvent, DeliveryOutcome};

/// An attempt that has ended.
#[derive(Debug)]
pub(super) struct EndedAttempt {
    pub(super) id: String,
    pub(super) possibly_executed: bool,
}

/// A call that has ended with a reply, a reset or a closed connection.
#[derive(Debug)]
pub(super) struct EndedCall {
    pub(super) connection: u64,
    pub(super) attempts: Vec<EndedAttempt>,
}

/// Ids of the messages of the call in flight, by connection.
#[derive(Debug, Default)]
pub(super) struct CallsInFlight {
    ids: BTreeMap<u64, Vec<String>>,
}

impl CallsInFlight {
    /// Updates the calls in flight from an event, and returns the call that it ends, if any.
    pub(super) fn observe(&mut self, event: &AuditEvent) -> Option<EndedCall> {
        let (connection, attempts) = match event {
            AuditEvent::Called {
                connection, ids, ..
            } => {
                self.ids.insert(*connection, ids.clone());
                return None;
            }
            AuditEvent::Replied {
                connection,
                outcomes,
                ..
            } => {
                self.ids.remove(connection);
                let attempt = |(id, outcome): &(String, DeliveryOutcome)| EndedAttempt {
                    id: id.clone(),
                    possibly_executed: *outcome != DeliveryOutcome::Busy,
                };
                (connection, outcomes.iter().map(attempt).collect())
            }
            AuditEvent::Broke {
                connection,
                ids,
                executed,
                ..
            } => {
                self.ids.remove(connection);
                (connection, ended(ids.clone(), *executed))
            }
            // The sender closed the connection before the reply arrived: the call was possibly executed.
            AuditEvent::Closed { connection } => {
                let ids = self.ids.remove(connection).unwrap_or_default();
                (connection, ended(ids, true))
            }
            _ => return None,
        };
        Some(EndedCall {
            connection: *connection,
            attempts,
        })
    }
}

fn ended(ids: Vec<String>, possibly_executed: bool) -> Vec<EndedAttempt> {
    let attempt = |id| EndedAttempt {
        id,
        possibly_executed,
    };
    ids.into_iter().map(attempt).collect()
}
