//! The journal of releases up to 0.1: one file of frames, `[length u32][crc32 u32][record JSON, newline, body]`.
//! Read once, and damage in it is passed over like in a segment.

use std::collections::BTreeMap;
use std::sync::Arc;

use cranehill_core::{FinalReport, Record};
use serde::Deserialize;

use crate::error::OpenError;
use crate::scan::{DamageCause, DamagedRange};
use crate::storage::Storage;

/// The file, and the one that was being written to replace it.
pub const NAMES: [&str; 2] = ["ledger", "ledger.new"];
const FRAME_HEADER_BYTES: usize = 8;
const MAX_PAYLOAD_BYTES: usize = 256 * 1024;
/// Ids that ended are remembered for so long from now: the old file did not say.
pub const COMPLETED: u64 = 20_000_000_000;

/// What the old file held.
#[derive(Debug)]
pub struct LegacyLedger {
    pub records: Vec<Record>,
    pub damage: Vec<DamagedRange>,
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
    Sent {
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
    FinalReport {
        id: String,
        #[serde(rename = "closing")]
        final_report: LegacyFinalReport,
    },
    Over {
        id: String,
    },
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum LegacyFinalReport {
    Returned { after_ms: u64 },
    Failed,
}

/// Reads the old file, if there is one. Its unfinished successor was never the ledger.
pub fn read<S: Storage>(
    storage: &mut S,
    files: &BTreeMap<String, u64>,
) -> Result<Option<LegacyLedger>, OpenError> {
    let Some(&size) = files.get(NAMES[0]) else {
        return Ok(None);
    };
    let bytes = storage
        .read(NAMES[0], 0, size as usize)
        .map_err(OpenError::io(NAMES[0]))?;
    Ok(Some(decode(&bytes)))
}

/// All readable records. A message open before a damaged stretch may have been tried in it: it counts as possibly run
/// with all attempts used, since the old frames have no numbers to tell which it can concern.
pub fn decode(bytes: &[u8]) -> LegacyLedger {
    let mut old = LegacyLedger {
        records: Vec::new(),
        damage: Vec::new(),
    };
    let mut at = 0;
    while at < bytes.len() {
        if let Some((record, next)) = decode_one(bytes, at) {
            old.records.push(record);
            at = next;
            continue;
        }
        let next = (at + 1..bytes.len()).find(|&n| decode_one(bytes, n).is_some());
        let Some(next) = next else {
            // With nothing good behind it: a torn last record, or one that can't be told from it.
            log::warn!(file = NAMES[0], offset = at; "journal: {} bytes at the end left out", bytes.len() - at);
            break;
        };
        doubt(&mut old.records);
        old.damage.push(DamagedRange {
            file: NAMES[0].into(),
            offset: at as u64,
            len: (next - at) as u64,
            before: 0,
            attempts: 64,
            taken: 64,
            why: DamageCause::Damaged,
        });
        at = next;
    }
    old
}

fn doubt(records: &mut Vec<Record>) {
    let taken: Vec<(String, u64)> = records
        .iter()
        .filter_map(|r| {
            if let Record::Accepted { id, at, .. } = r {
                Some((id.clone(), *at))
            } else {
                None
            }
        })
        .collect();
    let sent = |(id, at)| Record::AttemptStarted {
        id,
        attempt: 63,
        endpoint: String::new(),
        at,
    };
    records.extend(taken.into_iter().map(sent));
}

fn decode_one(bytes: &[u8], at: usize) -> Option<(Record, usize)> {
    let field = |at: usize| Some(u32::from_le_bytes(bytes.get(at..at + 4)?.try_into().ok()?));
    let (len, sum) = (field(at)? as usize, field(at + 4)?);
    if len > MAX_PAYLOAD_BYTES {
        return None;
    }
    let payload = bytes.get(at + FRAME_HEADER_BYTES..at + FRAME_HEADER_BYTES + len)?;
    if crc32fast::hash(payload) != sum {
        return None;
    }
    let split = payload.iter().position(|&b| b == b'\n')?;
    let record = match serde_json::from_slice(&payload[..split]).ok()? {
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
            key,
            ordering_key: None,
            deadline,
            // It lasted 20 s at most.
            at: deadline.saturating_sub(COMPLETED),
            body: Arc::from(&payload[split + 1..]),
        },
        LegacyRecord::Sent {
            id,
            attempt,
            endpoint,
            at,
        } => Record::AttemptStarted {
            id,
            attempt,
            endpoint,
            at,
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
        LegacyRecord::FinalReport { id, final_report } => Record::FinalReportDue {
            id,
            final_report: match final_report {
                LegacyFinalReport::Returned { after_ms } => FinalReport::Returned { after_ms },
                LegacyFinalReport::Failed => FinalReport::Failed,
            },
            ordering_key: None,
        },
        LegacyRecord::Over { id } => Record::Completed {
            id,
            until: COMPLETED,
        },
    };
    Some((record, at + FRAME_HEADER_BYTES + len))
}
