use serde_bytes::Bytes;

use super::{AcceptedMessage, DecodedRecord, JournalRecord, decode, encode};
use crate::format::packed_id::PackedId;

#[test]
fn records_round_trip_and_truncated_or_extended_payloads_are_rejected() {
    let id = PackedId::new("9b1f03aa5c7e2d41");
    let id = Bytes::new(id.as_bytes());
    for record in one_of_each(id) {
        let mut bytes = Vec::new();
        encode(12, &record, &mut bytes);
        assert_eq!(decode(&bytes), Some(DecodedRecord { lsn: 12, record }));
        for cut in 0..bytes.len() {
            assert_eq!(decode(&bytes[..cut]), None, "{record:?} cut at {cut}");
        }
        bytes.push(0);
        assert_eq!(decode(&bytes), None, "one byte appended");
    }
}

fn one_of_each(id: &Bytes) -> [JournalRecord<'_>; 8] {
    let accepted_lsn = 5;
    let message = AcceptedMessage {
        id,
        accepted_lsn,
        class: 1,
        tenant: 2,
        destination: 300,
        key: Some(id),
        deadline_ms: 1_764_590_000_000,
        lifetime_ms: 20_000,
        uncompressed_len: None,
        body: Bytes::new(b"\0body"),
    };
    [
        JournalRecord::Accepted(message),
        JournalRecord::AcceptedInOrder {
            message,
            ordering_key: id,
        },
        JournalRecord::FinalReportDueInOrder {
            id,
            accepted_lsn,
            retry_after_ms: None,
            ordering_key: id,
        },
        JournalRecord::AttemptStarted {
            id,
            accepted_lsn,
            attempt: 3,
            endpoint: "s-5be2a07c",
            started_ms: 1_764_590_000_000,
        },
        JournalRecord::AttemptFinished {
            id,
            accepted_lsn,
            attempt: 3,
            not_executed: true,
        },
        JournalRecord::FinalReportDue {
            id,
            accepted_lsn,
            retry_after_ms: Some(500),
        },
        JournalRecord::Completed {
            id,
            accepted_lsn,
            remember_until_ms: 9,
        },
        JournalRecord::PossiblyExecuted {
            accepted_before: 77,
            attempts: 2,
            until_ms: 8,
        },
    ]
}
