//! Sends queued final reports to the platform over one connection, and retries failed calls.

use std::net::SocketAddr;

use cranehill_core::FinalReport;
use cranehill_scheduler::Time;

use crate::connection::{Connection, ConnectionKind};
use crate::connection_table::ConnectionTable;
use crate::final_report_queue::{FinalReportQueue, RESPONSE_TIMEOUT, RETRY_DELAY};

/// The queue of reports, and the earliest time of the next call.
pub(crate) struct FinalReportSender {
    queue: FinalReportQueue,
    next_call: Time,
}

impl FinalReportSender {
    pub(crate) fn new(now: Time) -> FinalReportSender {
        FinalReportSender {
            queue: FinalReportQueue::default(),
            next_call: now,
        }
    }

    pub(crate) fn add(&mut self, id: String, final_report: FinalReport) {
        log::trace!("message {id}: final report due, {final_report:?}");
        self.queue.add(id, final_report);
    }

    /// When the next call may be sent; `None` if no report is queued or a call is in flight.
    pub(crate) fn due(&self) -> Option<Time> {
        self.queue.is_ready().then_some(self.next_call)
    }

    /// When the call on the connection times out; `None` if nothing is left to report.
    pub(crate) fn deadline(&self, connection: &Connection) -> Option<Time> {
        (!self.queue.is_idle()).then(|| connection.last_used + RESPONSE_TIMEOUT)
    }

    /// Whether a call waits for its response.
    pub(crate) fn has_call_in_flight(&self) -> bool {
        self.queue.has_call_in_flight()
    }

    /// Sends the next call if it is due, on the open connection or on a new one. A connection that rests is closed instead: a
    /// second copy of its last response would acknowledge the reports of this call.
    pub(crate) fn send(
        &mut self,
        connections: &mut ConnectionTable,
        address: SocketAddr,
        now: Time,
    ) {
        if self.due().is_none_or(|due| now < due) {
            return;
        }
        let open = connections.iter().find(|(_, connection)| {
            matches!(connection.kind, ConnectionKind::FinalReports) && !connection.ended
        });
        let open = open.map(|(id, connection)| (id, connection.is_resting(now)));
        if let Some((id, true)) = open {
            connections.close(id);
        }
        let id = match open {
            Some((id, false)) => id,
            _ => match connections.connect(ConnectionKind::FinalReports, address, now) {
                Ok(id) => id,
                Err(e) => {
                    log::info!("final reports: {e}");
                    return self.on_lost(now);
                }
            },
        };
        if let Some(bytes) = self.queue.next_call(&address.to_string()) {
            log::trace!(
                "final reports {:?}: sent on connection {id}",
                self.queue.in_flight()
            );
            connections.send_request(id, bytes, now);
        }
    }

    /// Processes the status of the response; returns the ids of the messages whose reports are acknowledged.
    pub(crate) fn on_response(&mut self, status: u16, now: Time) -> Vec<String> {
        let acknowledged = self.queue.on_response(status);
        log::trace!("final reports {acknowledged:?}: acknowledged");
        if acknowledged.is_empty() {
            self.next_call = now + RETRY_DELAY;
        }
        acknowledged
    }

    /// Schedules a retry, because the call failed without a response.
    pub(crate) fn on_lost(&mut self, now: Time) {
        self.queue.on_lost();
        self.next_call = now + RETRY_DELAY;
    }

    /// The platform has moved to another address: unacknowledged reports are sent there immediately.
    pub(crate) fn on_platform_moved(&mut self, now: Time) {
        self.queue.on_lost();
        self.next_call = now;
    }
}
