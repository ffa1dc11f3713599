//! [`FinalReports`]: reports to the platform about accepted messages that ended undelivered, kept until acknowledged.

use std::collections::BTreeMap;

use cranehill_scheduler::api::{MessageId, OrderingKey};

use crate::effect::Effect;
use crate::message::FinalReport;

/// A final report that the platform has not acknowledged yet.
#[derive(Debug)]
pub(crate) struct PendingReport {
    pub(crate) final_report: FinalReport,
    /// Ordering key of the message; no other message of this key is sent until the report is acknowledged.
    pub(crate) ordering_key: Option<OrderingKey>,
}

/// The final reports that the platform has not acknowledged yet, by message id.
#[derive(Debug, Default)]
pub(crate) struct FinalReports {
    pending: BTreeMap<MessageId, PendingReport>,
}

impl FinalReports {
    /// Adds the final report of a message.
    pub(crate) fn insert(&mut self, id: MessageId, report: PendingReport) {
        self.pending.insert(id, report);
    }

    /// Removes the final report of a message, as the platform has acknowledged it.
    pub(crate) fn remove(&mut self, id: &MessageId) -> Option<PendingReport> {
        self.pending.remove(id)
    }

    /// Number of unacknowledged reports.
    pub(crate) fn len(&self) -> usize {
        self.pending.len()
    }

    /// The ordering keys of which no message is sent until a report is acknowledged.
    pub(crate) fn ordering_keys(&self) -> impl Iterator<Item = &OrderingKey> {
        self.pending
            .values()
            .filter_map(|report| report.ordering_key.as_ref())
    }

    /// The effects that send all unacknowledged reports again.
    pub(crate) fn resend(&self) -> Vec<Effect> {
        let send = |(id, report): (&MessageId, &PendingReport)| Effect::SendFinalReport {
            id: id.0.clone(),
            final_report: report.final_report,
        };
        self.pending.iter().map(send).collect()
    }
}
