//! Journal records, the payloads of frames. The state is the join of all records: it depends neither on their order nor
//! on how often a record is present.

use serde::{Deserialize, Serialize};

use crate::format::frame;
use crate::format::packed_id;

/// Lower bound on the bytes of an attempt's frame: it bounds how many attempts' records a damaged range may have contained.
pub(crate) const MIN_ATTEMPT_FRAME_BYTES: usize = frame::HEADER_BYTES + 10;

/// Bytes prefixed with their length: a packed id or a body.
pub type RawBytes<'a> = &'a serde_bytes::Bytes;

/// The contents of the record of an accepted message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedMessage<'a> {
    /// The message's id, packed.
    #[serde(borrow)]
    pub id: RawBytes<'a>,
    /// Log number of the message's acceptance; 0 on disk if it is this frame's own log number.
    pub accepted_lsn: u64,
    /// Index of its class.
    pub class: u32,
    /// Index of its tenant.
    pub tenant: u32,
    /// The destination's id.
    pub destination: u64,
    /// The idempotency key, packed, if the message has one.
    pub key: Option<RawBytes<'a>>,
    /// The deadline, as Unix time in milliseconds.
    pub deadline_ms: u64,
    /// Milliseconds from acceptance to the deadline.
    pub lifetime_ms: u32,
    /// Size of the body in bytes before compression; `None` if it is not compressed.
    pub uncompressed_len: Option<u32>,
    /// The body in its stored form; see [`decompress_body`](crate::decompress_body).
    pub body: RawBytes<'a>,
}

/// One journal record, borrowed from its frame. `accepted_lsn` is the log number under which the message was accepted;
/// it distinguishes incarnations of an id that a client uses again after the sender no longer retains it.
///
/// The position of a variant is its number on disk: new variants are added at the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JournalRecord<'a> {
    /// A message was accepted.
    #[serde(borrow)]
    Accepted(AcceptedMessage<'a>),
    /// An attempt was about to be sent.
    AttemptStarted {
        /// The message's id, packed.
        #[serde(borrow)]
        id: RawBytes<'a>,
        /// Log number of the message's acceptance.
        accepted_lsn: u64,
        /// The attempt's number, from 0.
        attempt: u32,
        /// The endpoint that the attempt was sent to.
        endpoint: &'a str,
        /// Start of the attempt, as Unix time in milliseconds.
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
        /// Whether it is known that the destination did not execute the attempt.
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
        /// Unix time in milliseconds until which the id is retained.
        remember_until_ms: u64,
    },
    /// Damage may have destroyed records of attempts of messages accepted before a log number.
    PossiblyExecuted {
        /// Messages accepted under this log number or a later one are not affected.
        accepted_before: u64,
        /// Upper bound on one message's attempts without a readable record.
        attempts: u32,
        /// Unix time in milliseconds by which all affected messages have ended.
        until_ms: u64,
    },
    /// As [`JournalRecord::Accepted`], for a message with an ordering key.
    AcceptedInOrder {
        /// The contents of the record.
        #[serde(borrow)]
        message: AcceptedMessage<'a>,
        /// Its ordering key, packed.
        ordering_key: RawBytes<'a>,
    },
    /// As [`JournalRecord::FinalReportDue`], for a message with an ordering key.
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

/// The incarnation of a message that a record belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MessageRef<'a> {
    /// The message's id, packed.
    pub id: &'a [u8],
    /// Log number of the message's acceptance.
    pub accepted_lsn: u64,
}

/// Identifies a record within its message: two records of one message with the same kind are copies.
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
    /// The message that the record belongs to; `None` for [`JournalRecord::PossiblyExecuted`].
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

    /// The contents of the record of an accepted message; `None` for other kinds.
    pub fn accepted(&self) -> Option<&AcceptedMessage<'a>> {
        match self {
            JournalRecord::Accepted(message) | JournalRecord::AcceptedInOrder { message, .. } => {
                Some(message)
            }
            _ => None,
        }
    }

    /// The message's ordering key, packed; `None` for kinds that do not store it.
    pub fn ordering_key(&self) -> Option<RawBytes<'a>> {
        match self {
            JournalRecord::AcceptedInOrder { ordering_key, .. }
            | JournalRecord::FinalReportDueInOrder { ordering_key, .. } => Some(ordering_key),
            _ => None,
        }
    }

    /// The Unix time in milliseconds at which the record's event happened, which the clock has therefore reached; 0 if
    /// the record has none.
    pub(crate) fn event_ms(&self) -> u64 {
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

    /// The record with an omitted `accepted_lsn` replaced by the log number of its frame.
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

    /// Whether the message's id and keys are valid packed ids.
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

/// A decoded record with the log number of its frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct DecodedRecord<'a> {
    pub(crate) lsn: u64,
    pub(crate) record: JournalRecord<'a>,
}

/// Appends the payload of a record's frame.
pub(crate) fn encode(lsn: u64, record: &JournalRecord<'_>, buffer: &mut Vec<u8>) {
    // Serializing these types into a vector can't fail.
    let written = postcard::to_io(&lsn, &mut *buffer).is_ok()
        && postcard::to_io(record, &mut *buffer).is_ok();
    debug_assert!(written);
}

/// Decodes a frame's payload; `None` if it is not exactly one record with a positive log number and valid ids.
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
