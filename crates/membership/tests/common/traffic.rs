//! Counts the bytes that members send and receive, and classifies sent bytes by content.

use std::collections::BTreeMap;

use cranehill_membership::Identity;
use cranehill_membership::seal::{self, MessageKind};
use cranehill_scheduler::Time;
use foca::{Header, Member, Message};

use super::KEY;

/// Bytes of an IPv4 and a UDP header, which the counts of this module exclude.
pub(crate) const IP_UDP_HEADERS: u64 = 28;

/// The content of sent bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Content {
    /// Probes and their answers, and all bytes of SWIM packets outside updates and broadcasts.
    Probes,
    /// Updates of members, sent with probes and gossip.
    Updates,
    /// Votes and payloads, sent with probes and gossip.
    Broadcasts,
    /// Lists of members, sent in answer to an announcement.
    Lists,
    /// Packets other than SWIM's: anti-entropy, and learned state.
    AntiEntropy,
}

/// The bytes sent and received, by member and second.
#[derive(Default)]
pub(crate) struct Traffic {
    pub(crate) packets: u64,
    pub(crate) by_content: BTreeMap<Content, u64>,
    pub(crate) out: BTreeMap<(usize, u64), u64>,
    pub(crate) received: BTreeMap<(usize, u64), u64>,
}

fn second(time: Time) -> u64 {
    time.0 / 1_000_000_000
}

impl Traffic {
    pub(crate) fn sent(&mut self, now: Time, from: usize, bytes: &[u8]) {
        self.packets += 1;
        *self.out.entry((from, second(now))).or_default() += bytes.len() as u64;
        let mut rest = bytes.len();
        for (content, len) in content_lengths(bytes) {
            rest -= len;
            *self.by_content.entry(content).or_default() += len as u64;
        }
        *self.by_content.entry(Content::Probes).or_default() += rest as u64;
    }

    pub(crate) fn received(&mut self, now: Time, by: usize, len: usize) {
        *self.received.entry((by, second(now))).or_default() += len as u64;
    }

    pub(crate) fn bytes_out(&self) -> u64 {
        self.out.values().sum()
    }

    pub(crate) fn bytes_in(&self) -> u64 {
        self.received.values().sum()
    }

    /// The maximum bytes per second, sent and received, of any member over any `span` consecutive seconds.
    pub(crate) fn peak_bytes_per_second(&self, members: usize, span: u64) -> f64 {
        let seconds = self.out.keys().chain(self.received.keys()).map(|k| k.1);
        let Some((first, last)) = seconds.clone().min().zip(seconds.max()) else {
            return 0.0;
        };
        let bytes = |i: usize, s: u64| {
            self.out.get(&(i, s)).unwrap_or(&0) + self.received.get(&(i, s)).unwrap_or(&0)
        };
        let starts = || first..=last.saturating_sub(span - 1).max(first);
        let window = |i: usize, from: u64| (from..from + span).map(|s| bytes(i, s)).sum::<u64>();
        let peak = (0..members)
            .flat_map(|i| starts().map(move |from| window(i, from)))
            .max();
        peak.unwrap_or(0) as f64 / span as f64
    }
}

/// The parts of a packet by content, with their lengths in bytes. Bytes not listed count as [`Content::Probes`].
fn content_lengths(bytes: &[u8]) -> Vec<(Content, usize)> {
    let Ok(opened) = seal::open(&KEY, 0, u64::MAX, bytes) else {
        return Vec::new();
    };
    if opened.kind != MessageKind::Swim {
        return vec![(Content::AntiEntropy, bytes.len())];
    }
    let Ok((header, rest)) = postcard::take_from_bytes::<Header<Identity>>(opened.message) else {
        return Vec::new();
    };
    let is_list = matches!(header.message, Message::Feed | Message::Announce);
    let Some((update_count, mut rest)) = rest.split_first_chunk::<2>() else {
        return Vec::new();
    };
    let len_before_updates = rest.len();
    for _ in 0..u16::from_be_bytes(*update_count) {
        let Ok((_, after)) = postcard::take_from_bytes::<Member<Identity>>(rest) else {
            break;
        };
        rest = after;
    }
    let members = if is_list {
        Content::Lists
    } else {
        Content::Updates
    };
    vec![
        (members, len_before_updates - rest.len()),
        (Content::Broadcasts, rest.len()),
    ]
}
