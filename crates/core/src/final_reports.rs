//! [`FinalReports`]: how accepted messages ended without delivery, until the platform has acknowledged it.

use std::collections::BTreeMap;

use cranehill_scheduler::api::{MessageId, OrderingKey};

use crate::effect::Effect;
use crate::message::FinalReport;

/// A final report that the platform has not acknowledged yet.
#[derive(Debug)]
pub(crate) struct PendingReport {
    pub(crate) final_report: FinalReport,
    /// No other message of this key is sent until the report is acknowledged.
    pub(crate) ordering_key: Option<OrderingKey>,
}

/// The final reports that the platform has not acknowledged yet, by message.
#[derive(Debug, Default)]
pub(crate) struct FinalReports {
    pending: BTreeMap<MessageId, PendingReport>,
}

impl FinalReports {
    /// Adds the report of a message.
    pub(crate) fn insert(&mut self, id: MessageId, report: PendingReport) {
        self.pending.insert(id, report);
    }

    /// Removes the report of a message: it is acknowledged.
    pub(crate) fn remove(&mut self, id: &MessageId) -> Option<PendingReport> {
        self.pending.remove(id)
    }

    /// Reports that are not acknowledged.
    pub(crate) fn len(&self) -> usize {
        self.pending.len()
    }

    /// The ordering keys that reports hold back.
    pub(crate) fn ordering_keys(&self) -> impl Iterator<Item = &OrderingKey> {
        self.pending
            .values()
            .filter_map(|report| report.ordering_key.as_ref())
    }

    /// The effects that send all reports again.
    pub(crate) fn resend(&self) -> Vec<Effect> {
        let send = |(id, report): (&MessageId, &PendingReport)| Effect::SendFinalReport {
            id: id.0.clone(),
            final_report: report.final_report,
        };
        self.pending.iter().map(send).collect()
    }
}
