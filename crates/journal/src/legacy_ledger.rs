//! Decoder of the ledger, the single file of releases before 0.2. It is read once, to be migrated; damage in it is
//! skipped as in a segment.
//!
//! Each of its frames is `[length u32][crc32 u32][record JSON, newline, body]`.

use std::collections::BTreeMap;
use std::sync::Arc;

use cranehill_core::{FinalReport, Record};
use serde::Deserialize;

use crate::error::OpenError;
use crate::scan::{DamageCause, DamagedRange};
use crate::storage::Storage;

/// Names of the ledger and of the file that was written to replace it.
pub(crate) const FILE_NAMES: [&str; 2] = ["ledger", "ledger.new"];
/// Longest lifetime of a message in releases before 0.2, and therefore the time for which the id of a completed message is retained.
pub(crate) const LEGACY_LIFETIME_NANOS: u64 = 20_000_000_000;

const FRAME_HEADER_BYTES: usize = 8;
/// Upper bound on the length of a frame's payload; every record is shorter.
const MAX_PAYLOAD_BYTES: usize = 256 * 1024;
/// Upper bound on the attempts of one message recorded in a damaged range: more than any class allowed.
const MAX_ATTEMPTS: u32 = 64;
/// Upper bound that is assumed for the records of accepted messages in a damaged range.
const MAX_MESSAGES: u32 = 64;

/// The decoded contents of a ledger.
#[derive(Debug)]
pub(crate) struct LegacyLedger {
    /// The readable records, and added records of attempts that damaged ranges may have contained; see [`decode`].
    pub(crate) records: Vec<Record>,
    pub(crate) damage: Vec<DamagedRange>,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum LegacyRecord {
    #[serde(rename = "taken")]
    Accepted {
        id: String,
        class: usize,
        #[serde(rename = "station")]
        tenant: usize,
        #[serde(rename = "partner")]
        destination: u64,
        key: Option<String>,
        deadline: u64,
    },
    #[serde(rename = "sent")]
    AttemptStarted {
        id: String,
        attempt: u32,
        endpoint: String,
        at: u64,
    },
    #[serde(rename = "back")]
    AttemptFinished {
        id: String,
        attempt: u32,
        #[serde(rename = "never_ran")]
        not_executed: bool,
    },
    #[serde(rename = "closing")]
    FinalReportDue {
        id: String,
        #[serde(rename = "closing")]
        final_report: LegacyFinalReport,
    },
    #[serde(rename = "over")]
    Completed { id: String },
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum LegacyFinalReport {
    Returned { after_ms: u64 },
    Failed,
}

/// Reads the ledger, if there is one. A file `ledger.new` is ignored: the ledger is valid until it is replaced.
pub(crate) fn read<S: Storage>(
    storage: &mut S,
    files: &BTreeMap<String, u64>,
) -> Result<Option<LegacyLedger>, OpenError> {
    let name = FILE_NAMES[0];
    let Some(&size) = files.get(name) else {
        return Ok(None);
    };
    let bytes = storage
        .read(name, 0, size as usize)
        .map_err(OpenError::io(name))?;
    Ok(Some(decode(&bytes)))
}

/// Decodes all readable records. A damaged range may have contained records of attempts of every message accepted before
/// it. Each of these messages counts as possibly executed, with all attempts used: the ledger's frames have no log
/// numbers, from which the number of lost records could be calculated.
pub(crate) fn decode(bytes: &[u8]) -> LegacyLedger {
    let mut ledger = LegacyLedger {
        records: Vec::new(),
        damage: Vec::new(),
    };
    let mut offset = 0;
    while offset < bytes.len() {
        if let Some((record, end)) = decode_frame(bytes, offset) {
            ledger.records.push(record);
            offset = end;
            continue;
        }
        let next = (offset + 1..bytes.len()).find(|&n| decode_frame(bytes, n).is_some());
        let Some(next) = next else {
            // Without a valid frame after it, damage can't be distinguished from a torn last write.
            log::warn!(file = FILE_NAMES[0], offset, bytes = bytes.len() - offset;
                "journal: ignored {} bytes without a valid frame at the end of the old ledger", bytes.len() - offset);
            break;
        };
        add_possible_attempts(&mut ledger.records);
        ledger.damage.push(DamagedRange {
            file: FILE_NAMES[0].into(),
            offset: offset as u64,
            len: (next - offset) as u64,
            // The affected messages are marked by the records just added, not by a log number.
            accepted_before: 0,
            max_attempts: MAX_ATTEMPTS,
            max_messages: MAX_MESSAGES,
            cause: DamageCause::Damaged,
        });
        offset = next;
    }
    ledger
}

/// Adds a record of the last attempt that a class allowed for every message accepted so far.
fn add_possible_attempts(records: &mut Vec<Record>) {
    let attempts: Vec<Record> = records
        .iter()
        .filter_map(|record| match record {
            Record::Accepted {
                id, accepted_at, ..
            } => Some(Record::AttemptStarted {
                id: id.clone(),
                attempt: MAX_ATTEMPTS - 1,
                endpoint: String::new(),
                started_at: *accepted_at,
            }),
            _ => None,
        })
        .collect();
    records.extend(attempts);
}

/// The record of the frame at `offset`, and the frame's end; `None` if there is no valid frame.
fn decode_frame(bytes: &[u8], offset: usize) -> Option<(Record, usize)> {
    let field = |at: usize| Some(u32::from_le_bytes(bytes.get(at..at + 4)?.try_into().ok()?));
    let (len, checksum) = (field(offset)? as usize, field(offset + 4)?);
    if len > MAX_PAYLOAD_BYTES {
        return None;
    }
    let start = offset + FRAME_HEADER_BYTES;
    let payload = bytes.get(start..start + len)?;
    if crc32fast::hash(payload) != checksum {
        return None;
    }
    let newline = payload.iter().position(|&b| b == b'\n')?;
    let record: LegacyRecord = serde_json::from_slice(&payload[..newline]).ok()?;
    Some((record.into_core(&payload[newline + 1..]), start + len))
}

impl LegacyRecord {
    /// The record in the present format; `body` is the message's body, which only an accepted message has.
    fn into_core(self, body: &[u8]) -> Record {
        match self {
            LegacyRecord::Accepted {
                id,
                class,
                tenant,
                destination,
                key,
                deadline,
            } => Record::Accepted {
                id,
                class,
                tenant,
                destination,
                idempotency_key: key,
                ordering_key: None,
                deadline,
                // The ledger has no acceptance times; this is the earliest possible one.
                accepted_at: deadline.saturating_sub(LEGACY_LIFETIME_NANOS),
                body: Arc::from(body),
            },
            LegacyRecord::AttemptStarted {
                id,
                attempt,
                endpoint,
                at,
            } => Record::AttemptStarted {
                id,
                attempt,
                endpoint,
                started_at: at,
            },
            LegacyRecord::AttemptFinished {
                id,
                attempt,
                not_executed,
            } => Record::AttemptFinished {
                id,
                attempt,
                not_executed,
            },
            LegacyRecord::FinalReportDue { id, final_report } => Record::FinalReportDue {
                id,
                final_report: match final_report {
                    LegacyFinalReport::Returned { after_ms } => FinalReport::Returned { after_ms },
                    LegacyFinalReport::Failed => FinalReport::Failed,
                },
                ordering_key: None,
            },
            // The ledger has no completion times; migration replaces `until`.
            LegacyRecord::Completed { id } => Record::Completed {
                id,
                remembered_until: LEGACY_LIFETIME_NANOS,
            },
        }
    }
}
