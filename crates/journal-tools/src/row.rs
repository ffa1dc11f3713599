//! One fact as a person or a table reads it.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use cranehill_journal::{AcceptedMessage, JournalRecord, PackedId, RecordLocation, unpack};
use serde::Serialize;

/// A fact with its place. Times are Unix time in milliseconds; what a kind of fact does not have is left out.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Row {
    pub segment: u32,
    pub offset: u64,
    /// Bytes of its frame.
    pub bytes: u32,
    pub lsn: u64,
    pub kind: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub id: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    #[serde(rename = "born")]
    pub accepted_lsn: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub attempt: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    #[serde(rename = "never_ran")]
    pub not_executed: Option<bool>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub endpoint: Option<String>,
    /// When it was accepted or sent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub at: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub class: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    #[serde(rename = "station")]
    pub tenant: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    #[serde(rename = "partner")]
    pub destination: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// What its message keeps its order within.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[serde(rename = "order_key")]
    pub ordering_key: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub deadline: Option<u64>,
    /// A closing's wait; a closing without one failed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub after_ms: Option<u64>,
    /// Until when an ended id, or a doubt, is remembered.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub until: Option<u64>,
    /// A doubt's: messages born before that number are concerned.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub before: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub body_bytes: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none", serialize_with = "base64")]
    pub body: Option<Vec<u8>>,
}

fn base64<S: serde::Serializer>(body: &Option<Vec<u8>>, s: S) -> Result<S::Ok, S::Error> {
    s.serialize_str(&STANDARD.encode(body.as_deref().unwrap_or_default()))
}

impl Row {
    pub fn new(at: RecordLocation, fact: &JournalRecord<'_>) -> Row {
        let text = |packed: &[u8]| PackedId::from_packed(packed).map(|id| id.text());
        let place = Row {
            segment: at.sequence,
            offset: at.offset,
            bytes: at.len,
            lsn: at.lsn,
            ..Row::default()
        };
        let subject = fact.subject();
        let row = Row {
            id: subject.and_then(|s| text(s.0)),
            accepted_lsn: subject.map(|s| s.1),
            ..place
        };
        let row = Row {
            ordering_key: fact.ordering_key().and_then(|key| text(key)),
            ..row
        };
        match *fact {
            JournalRecord::Accepted(taken) | JournalRecord::AcceptedInOrder { taken, .. } => {
                let AcceptedMessage {
                    class,
                    tenant,
                    destination,
                    key,
                    deadline,
                    lifetime_ms,
                    uncompressed_len,
                    body,
                    ..
                } = taken;
                let body = unpack(uncompressed_len, body).map(|b| b.into_owned());
                Row {
                    kind: "taken",
                    class: Some(class),
                    tenant: Some(tenant),
                    destination: Some(destination),
                    key: key.and_then(|k| text(k)),
                    deadline: Some(deadline),
                    at: Some(deadline.saturating_sub(u64::from(lifetime_ms))),
                    body_bytes: body.as_ref().map(|b| b.len() as u32),
                    body,
                    ..row
                }
            }
            JournalRecord::AttemptStarted {
                attempt,
                endpoint,
                at,
                ..
            } => Row {
                kind: "sent",
                attempt: Some(attempt),
                endpoint: Some(endpoint.to_owned()),
                at: Some(at),
                ..row
            },
            JournalRecord::AttemptFinished {
                attempt,
                not_executed,
                ..
            } => Row {
                kind: "back",
                attempt: Some(attempt),
                not_executed: Some(not_executed),
                ..row
            },
            JournalRecord::FinalReportDue { after, .. }
            | JournalRecord::FinalReportDueInOrder { after, .. } => Row {
                kind: "closing",
                after_ms: after,
                ..row
            },
            JournalRecord::Completed { until, .. } => Row {
                kind: "over",
                until: Some(until),
                ..row
            },
            JournalRecord::PossiblyExecuted {
                before,
                attempts,
                until,
            } => Row {
                kind: "doubt",
                before: Some(before),
                attempt: Some(attempts),
                until: Some(until),
                ..row
            },
        }
    }

    /// One line for a person; bodies by their size only.
    pub fn line(&self) -> String {
        let mut line = format!(
            "{:08x}+{} lsn {} {}",
            self.segment, self.offset, self.lsn, self.kind
        );
        let mut add = |name: &str, value: Option<String>| {
            if let Some(value) = value {
                line.push_str(&format!(" {name}={value}"));
            }
        };
        add("id", self.id.clone());
        add("born", self.accepted_lsn.map(|v| v.to_string()));
        add("attempt", self.attempt.map(|v| v.to_string()));
        add("never_ran", self.not_executed.map(|v| v.to_string()));
        add("endpoint", self.endpoint.clone());
        add("at", self.at.map(|v| v.to_string()));
        add("class", self.class.map(|v| v.to_string()));
        add("station", self.tenant.map(|v| v.to_string()));
        add("partner", self.destination.map(|v| v.to_string()));
        add("key", self.key.clone());
        add("order_key", self.ordering_key.clone());
        add("deadline", self.deadline.map(|v| v.to_string()));
        add("after_ms", self.after_ms.map(|v| v.to_string()));
        add("until", self.until.map(|v| v.to_string()));
        add("before", self.before.map(|v| v.to_string()));
        add("body_bytes", self.body_bytes.map(|v| v.to_string()));
        line
    }
}
