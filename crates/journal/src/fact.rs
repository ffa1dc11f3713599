//! Facts: what a frame says. The state is the join of all facts, whatever their order and number.

use std::borrow::Cow;

use serde::{Deserialize, Serialize};

use crate::id::is_packed;

/// Bodies shorter than this are not worth a try at compressing.
const MIN_COMPRESSIBLE_BYTES: usize = 256;
/// A body is never larger when unpacked: what says so is damaged.
const MAX_BODY_BYTES: usize = 128 * 1024;

/// An id in its packed form, as it stands in a frame.
pub type RawBytes<'a> = &'a serde_bytes::Bytes;

/// A message as it was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedMessage<'a> {
    #[serde(borrow)]
    pub id: RawBytes<'a>,
    /// 0 for the log number of this very frame.
    pub accepted_lsn: u64,
    pub class: u32,
    pub tenant: u32,
    pub destination: u64,
    pub key: Option<RawBytes<'a>>,
    /// Unix time in milliseconds, like all times here.
    pub deadline: u64,
    /// Milliseconds from when it was taken to the deadline.
    pub lifetime_ms: u32,
    /// Size before packing, if it is packed.
    pub uncompressed_len: Option<u32>,
    pub body: RawBytes<'a>,
}

/// One fact, borrowed from its frame. `accepted_lsn` is the log number under which the message was taken: an id that comes
/// again after it was forgotten is a new life of it.
///
/// The place of a variant is its number on disk: new ones go to the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JournalRecord<'a> {
    #[serde(borrow)]
    Accepted(AcceptedMessage<'a>),
    AttemptStarted {
        #[serde(borrow)]
        id: RawBytes<'a>,
        accepted_lsn: u64,
        attempt: u32,
        endpoint: &'a str,
        at: u64,
    },
    AttemptFinished {
        #[serde(borrow)]
        id: RawBytes<'a>,
        accepted_lsn: u64,
        attempt: u32,
        not_executed: bool,
    },
    /// `after` milliseconds the client may try again; `None` if it failed.
    FinalReportDue {
        #[serde(borrow)]
        id: RawBytes<'a>,
        accepted_lsn: u64,
        after: Option<u64>,
    },
    Completed {
        #[serde(borrow)]
        id: RawBytes<'a>,
        accepted_lsn: u64,
        until: u64,
    },
    /// A message born before that number may have had so many more attempts; all of these have ended by `until`.
    PossiblyExecuted {
        before: u64,
        attempts: u32,
        until: u64,
    },
    /// A message that keeps its order with others of the same key.
    AcceptedInOrder {
        #[serde(borrow)]
        taken: AcceptedMessage<'a>,
        ordering_key: RawBytes<'a>,
    },
    /// As [`JournalRecord::FinalReport`], for a message that keeps its order.
    FinalReportDueInOrder {
        #[serde(borrow)]
        id: RawBytes<'a>,
        accepted_lsn: u64,
        after: Option<u64>,
        ordering_key: RawBytes<'a>,
    },
}

/// The least that a fact of an attempt takes on disk: bounds how many a damaged stretch may have held.
pub const MIN_ATTEMPT_FRAME_BYTES: usize = crate::frame::HEADER_BYTES + 10;

impl<'a> JournalRecord<'a> {
    /// The message that it is about, and its life.
    pub fn subject(&self) -> Option<(&'a [u8], u64)> {
        match *self {
            JournalRecord::Accepted(AcceptedMessage {
                id, accepted_lsn, ..
            })
            | JournalRecord::AcceptedInOrder {
                taken: AcceptedMessage {
                    id, accepted_lsn, ..
                },
                ..
            }
            | JournalRecord::FinalReportDueInOrder {
                id, accepted_lsn, ..
            }
            | JournalRecord::AttemptStarted {
                id, accepted_lsn, ..
            }
            | JournalRecord::AttemptFinished {
                id, accepted_lsn, ..
            }
            | JournalRecord::FinalReportDue {
                id, accepted_lsn, ..
            }
            | JournalRecord::Completed {
                id, accepted_lsn, ..
            } => Some((id, accepted_lsn)),
            JournalRecord::PossiblyExecuted { .. } => None,
        }
    }

    /// The message that it says was accepted, if it says that.
    pub fn taken(&self) -> Option<&AcceptedMessage<'a>> {
        match self {
            JournalRecord::Accepted(taken) | JournalRecord::AcceptedInOrder { taken, .. } => {
                Some(taken)
            }
            _ => None,
        }
    }

    /// What its message keeps its order within, where the fact tells.
    pub fn ordering_key(&self) -> Option<RawBytes<'a>> {
        match self {
            JournalRecord::AcceptedInOrder { ordering_key, .. }
            | JournalRecord::FinalReportDueInOrder { ordering_key, .. } => Some(ordering_key),
            _ => None,
        }
    }

    /// The same with `accepted_lsn` filled in, for a frame with this log number.
    pub fn resolved(mut self, lsn: u64) -> JournalRecord<'a> {
        if let JournalRecord::Accepted(taken) | JournalRecord::AcceptedInOrder { taken, .. } =
            &mut self
            && taken.accepted_lsn == 0
        {
            taken.accepted_lsn = lsn;
        }
        self
    }

    /// Which of its message's facts it is: the same tag twice is the same fact twice.
    pub fn tag(&self) -> RecordKind {
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
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordKind {
    Accepted,
    AttemptStarted(u32),
    AttemptFinished(u32),
    FinalReportDue,
    Completed,
    PossiblyExecuted,
}

/// Appends a payload.
pub fn write(lsn: u64, fact: &JournalRecord<'_>, into: &mut Vec<u8>) {
    // Neither a number nor bytes can fail to be written into a vector.
    let written =
        postcard::to_io(&lsn, &mut *into).is_ok() && postcard::to_io(fact, &mut *into).is_ok();
    debug_assert!(written);
}

/// Reads a payload; `None` if it is none, or has ids that no message has.
pub fn read(payload: &[u8]) -> Option<(u64, JournalRecord<'_>)> {
    let (lsn, rest) = postcard::take_from_bytes::<u64>(payload).ok()?;
    let (fact, rest) = postcard::take_from_bytes::<JournalRecord<'_>>(rest).ok()?;
    let ids = [
        fact.subject().map(|(id, _)| id),
        fact.taken().and_then(|t| t.key).map(|key| &**key),
    ];
    let ordering_key = fact.ordering_key().map(|key| &**key);
    let sound = ids
        .into_iter()
        .chain([ordering_key])
        .flatten()
        .all(is_packed);
    (rest.is_empty() && lsn > 0 && sound).then_some((lsn, fact.resolved(lsn)))
}

/// The body packed, with its size before, if that is worth it.
pub fn pack(body: &[u8]) -> (Option<u32>, Cow<'_, [u8]>) {
    if body.len() >= MIN_COMPRESSIBLE_BYTES {
        let packed = lz4_flex::block::compress(body);
        // A sixteenth at least, or unpacking is work for nothing.
        if packed.len() + body.len() / 16 < body.len() {
            return (Some(body.len() as u32), Cow::Owned(packed));
        }
    }
    (None, Cow::Borrowed(body))
}

/// The body as it came; `None` if it can't be unpacked.
pub fn unpack(uncompressed_len: Option<u32>, body: &[u8]) -> Option<Cow<'_, [u8]>> {
    let Some(size) = uncompressed_len else {
        return Some(Cow::Borrowed(body));
    };
    let size = usize::try_from(size)
        .ok()
        .filter(|&s| s <= MAX_BODY_BYTES)?;
    let unpacked = lz4_flex::block::decompress(body, size).ok()?;
    (unpacked.len() == size).then_some(Cow::Owned(unpacked))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::id::PackedId;
    use serde_bytes::Bytes;

    #[test]
    fn facts_are_read_as_written_and_never_from_other_bytes() {
        let id = PackedId::new("9b1f03aa5c7e2d41");
        let id = Bytes::new(id.packed());
        let taken = AcceptedMessage {
            id,
            accepted_lsn: 5,
            class: 1,
            tenant: 2,
            destination: 300,
            key: Some(id),
            deadline: 1_764_590_000_000,
            lifetime_ms: 20_000,
            uncompressed_len: None,
            body: Bytes::new(b"\0body"),
        };
        let facts = [
            JournalRecord::Accepted(taken),
            JournalRecord::AcceptedInOrder {
                taken,
                ordering_key: id,
            },
            JournalRecord::FinalReportDueInOrder {
                id,
                accepted_lsn: 5,
                after: None,
                ordering_key: id,
            },
            JournalRecord::AttemptStarted {
                id,
                accepted_lsn: 5,
                attempt: 3,
                endpoint: "s-5be2a07c",
                at: 1_764_590_000_000,
            },
            JournalRecord::AttemptFinished {
                id,
                accepted_lsn: 5,
                attempt: 3,
                not_executed: true,
            },
            JournalRecord::FinalReportDue {
                id,
                accepted_lsn: 5,
                after: Some(500),
            },
            JournalRecord::Completed {
                id,
                accepted_lsn: 5,
                until: 9,
            },
            JournalRecord::PossiblyExecuted {
                before: 77,
                attempts: 2,
                until: 8,
            },
        ];
        for fact in facts {
            let mut bytes = Vec::new();
            write(12, &fact, &mut bytes);
            assert_eq!(read(&bytes), Some((12, fact)));
            for cut in 0..bytes.len() {
                assert_eq!(read(&bytes[..cut]), None, "{fact:?} cut at {cut}");
            }
            bytes.push(0);
            assert_eq!(read(&bytes), None, "with a byte too many");
        }
    }

    #[test]
    fn bodies_are_packed_only_where_it_pays_and_a_false_size_is_refused() {
        let text = b"<episode><title>El programa de la tarde</title></episode>".repeat(8);
        let (from, packed) = pack(&text);
        assert!(from == Some(text.len() as u32) && packed.len() < text.len() / 2);
        assert_eq!(unpack(from, &packed).as_deref(), Some(&text[..]));
        assert_eq!(unpack(Some(text.len() as u32 + 1), &packed), None);
        assert_eq!(
            unpack(Some(u32::MAX), &packed),
            None,
            "no room is made for what is claimed"
        );
        let mut noise = [0; 400];
        blake3::Hasher::new().finalize_xof().fill(&mut noise);
        assert_eq!(pack(&noise).0, None);
    }
}
