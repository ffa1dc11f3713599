//! Journal records: what a frame's payload says. The state is the join of all records, whatever their order and
//! however often each is there.

use serde::{Deserialize, Serialize};

use crate::format::frame;
use crate::format::packed_id;

/// The least that the record of an attempt takes on disk: bounds how many a damaged range may have held.
pub(crate) const MIN_ATTEMPT_FRAME_BYTES: usize = frame::HEADER_BYTES + 10;

/// Bytes with their length before them: a packed id or a body.
pub type RawBytes<'a> = &'a serde_bytes::Bytes;

/// A message as it was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedMessage<'a> {
    /// The message's id, packed.
    #[serde(borrow)]
    pub id: RawBytes<'a>,
    /// Log number under which it was accepted; 0 on disk for that of this very frame.
    pub accepted_lsn: u64,
    /// Index of its class.
    pub class: u32,
    /// Index of its tenant.
    pub tenant: u32,
    /// Its destination's id.
    pub destination: u64,
    /// Its idempotency key, packed, if it has one.
    pub key: Option<RawBytes<'a>>,
    /// Unix time in milliseconds.
    pub deadline_ms: u64,
    /// Milliseconds from acceptance to the deadline.
    pub lifetime_ms: u32,
    /// Size of the body before compression, if it is compressed.
    pub uncompressed_len: Option<u32>,
    /// The body as stored.
    pub body: RawBytes<'a>,
}

/// One journal record, borrowed from its frame. `accepted_lsn` is the log number under which the message was
/// accepted: an id that is used again after it was forgotten is a new incarnation.
///
/// The position of a variant is its number on disk: new ones are added at the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JournalRecord<'a> {
    /// A message was accepted.
    #[serde(borrow)]
    Accepted(AcceptedMessage<'a>),
    /// An attempt was about to be submitted.
    AttemptStarted {
        /// The message's id, packed.
        #[serde(borrow)]
        id: RawBytes<'a>,
        /// Log number of the message's acceptance.
        accepted_lsn: u64,
        /// The attempt's number, from 0.
        attempt: u32,
        /// The endpoint that it was submitted to.
        endpoint: &'a str,
        /// Unix time in milliseconds.
        started_ms: u64,
    },
    /// An attempt ended without completing its message.
    AttemptFinished {
        /// The message's id, packed.
        #[serde(borrow)]
        id: RawBytes<'a>,
        /// Log number of the message's acceptance.
        accepted_lsn: u64,
        /// The attempt's number, from 0.
        attempt: u32,
        /// It is known that the destination did not execute it.
        not_executed: bool,
    },
    /// The message's final report is due.
    FinalReportDue {
        /// The message's id, packed.
        #[serde(borrow)]
        id: RawBytes<'a>,
        /// Log number of the message's acceptance.
        accepted_lsn: u64,
        /// Milliseconds after which the client may submit it again; `None` if it failed.
        retry_after_ms: Option<u64>,
    },
    /// The message is completed.
    Completed {
        /// The message's id, packed.
        #[serde(borrow)]
        id: RawBytes<'a>,
        /// Log number of the message's acceptance.
        accepted_lsn: u64,
        /// Unix time in milliseconds until which the id is remembered.
        remember_until_ms: u64,
    },
    /// Damage may hide attempts of messages accepted before a log number.
    PossiblyExecuted {
        /// Messages accepted under this log number or a later one are not affected.
        accepted_before: u64,
        /// Attempts that one message may have had besides those known.
        attempts: u32,
        /// Unix time in milliseconds by which all messages affected have ended.
        until_ms: u64,
    },
    /// As [`JournalRecord::Accepted`], for a message that is ordered.
    AcceptedInOrder {
        /// The message.
        #[serde(borrow)]
        message: AcceptedMessage<'a>,
        /// Its ordering key, packed.
        ordering_key: RawBytes<'a>,
    },
    /// As [`JournalRecord::FinalReportDue`], for a message that is ordered.
    FinalReportDueInOrder {
        /// The message's id, packed.
        #[serde(borrow)]
        id: RawBytes<'a>,
        /// Log number of the message's acceptance.
        accepted_lsn: u64,
        /// Milliseconds after which the client may submit it again; `None` if it failed.
        retry_after_ms: Option<u64>,
        /// The message's ordering key, packed.
        ordering_key: RawBytes<'a>,
    },
}

/// The message that a record is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MessageRef<'a> {
    /// Its id, packed.
    pub id: &'a [u8],
    /// Log number under which it was accepted.
    pub accepted_lsn: u64,
}

/// Which of its message's records one is: the same kind twice is the same record twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RecordKind {
    Accepted,
    /// With the attempt's number.
    AttemptStarted(u32),
    /// With the attempt's number.
    AttemptFinished(u32),
    FinalReportDue,
    Completed,
    PossiblyExecuted,
}

impl<'a> JournalRecord<'a> {
    /// The message that it is about; `None` for [`JournalRecord::PossiblyExecuted`].
    pub fn message(&self) -> Option<MessageRef<'a>> {
        let (id, accepted_lsn) = match *self {
            JournalRecord::Accepted(message) | JournalRecord::AcceptedInOrder { message, .. } => {
                (message.id, message.accepted_lsn)
            }
            JournalRecord::AttemptStarted {
                id, accepted_lsn, ..
            }
            | JournalRecord::AttemptFinished {
                id, accepted_lsn, ..
            }
            | JournalRecord::FinalReportDue {
                id, accepted_lsn, ..
            }
            | JournalRecord::FinalReportDueInOrder {
                id, accepted_lsn, ..
            }
            | JournalRecord::Completed {
                id, accepted_lsn, ..
            } => (id, accepted_lsn),
            JournalRecord::PossiblyExecuted { .. } => return None,
        };
        Some(MessageRef { id, accepted_lsn })
    }

    /// The message as it was accepted, if the record says that.
    pub fn accepted(&self) -> Option<&AcceptedMessage<'a>> {
        match self {
            JournalRecord::Accepted(message) | JournalRecord::AcceptedInOrder { message, .. } => {
                Some(message)
            }
            _ => None,
        }
    }

    /// The message's ordering key, packed, where the record has it.
    pub fn ordering_key(&self) -> Option<RawBytes<'a>> {
        match self {
            JournalRecord::AcceptedInOrder { ordering_key, .. }
            | JournalRecord::FinalReportDueInOrder { ordering_key, .. } => Some(ordering_key),
            _ => None,
        }
    }

    /// The latest Unix time in milliseconds that the record proves to have been reached; 0 if it proves none.
    pub(crate) fn reached_ms(&self) -> u64 {
        match *self {
            JournalRecord::Accepted(message) | JournalRecord::AcceptedInOrder { message, .. } => {
                message
                    .deadline_ms
                    .saturating_sub(u64::from(message.lifetime_ms))
            }
            JournalRecord::AttemptStarted { started_ms, .. } => started_ms,
            _ => 0,
        }
    }

    /// The same with `accepted_lsn` filled in, for a frame with this log number.
    fn resolved(mut self, lsn: u64) -> JournalRecord<'a> {
        if let JournalRecord::Accepted(message) | JournalRecord::AcceptedInOrder { message, .. } =
            &mut self
            && message.accepted_lsn == 0
        {
            message.accepted_lsn = lsn;
        }
        self
    }

    pub(crate) fn kind(&self) -> RecordKind {
        match *self {
            JournalRecord::Accepted(_) | JournalRecord::AcceptedInOrder { .. } => {
                RecordKind::Accepted
            }
            JournalRecord::AttemptStarted { attempt, .. } => RecordKind::AttemptStarted(attempt),
            JournalRecord::AttemptFinished { attempt, .. } => RecordKind::AttemptFinished(attempt),
            JournalRecord::FinalReportDue { .. } | JournalRecord::FinalReportDueInOrder { .. } => {
                RecordKind::FinalReportDue
            }
            JournalRecord::Completed { .. } => RecordKind::Completed,
            JournalRecord::PossiblyExecuted { .. } => RecordKind::PossiblyExecuted,
        }
    }

    /// Whether its ids are valid packed ids.
    fn has_valid_ids(&self) -> bool {
        let ids = [
            self.message().map(|message| message.id),
            self.accepted()
                .and_then(|message| message.key)
                .map(|key| &**key),
            self.ordering_key().map(|key| &**key),
        ];
        ids.into_iter().flatten().all(packed_id::is_valid)
    }
}

/// A record as it was read, with its log number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct DecodedRecord<'a> {
    pub(crate) lsn: u64,
    pub(crate) record: JournalRecord<'a>,
}

/// Appends a frame's payload.
pub(crate) fn encode(lsn: u64, record: &JournalRecord<'_>, buffer: &mut Vec<u8>) {
    // Neither a number nor bytes can fail to be written into a vector.
    let written = postcard::to_io(&lsn, &mut *buffer).is_ok()
        && postcard::to_io(record, &mut *buffer).is_ok();
    debug_assert!(written);
}

/// Reads a frame's payload; `None` if it is none, or has ids that no message has.
pub(crate) fn decode(payload: &[u8]) -> Option<DecodedRecord<'_>> {
    let (lsn, rest) = postcard::take_from_bytes::<u64>(payload).ok()?;
    let (record, rest) = postcard::take_from_bytes::<JournalRecord<'_>>(rest).ok()?;
    if !rest.is_empty() || lsn == 0 || !record.has_valid_ids() {
        return None;
    }
    let record = record.resolved(lsn);
    Some(DecodedRecord { lsn, record })
}

#[cfg(test)]
mod tests;
