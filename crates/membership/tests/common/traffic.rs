//! Bytes that members send, by what they carry.

use std::collections::BTreeMap;

use cranehill_membership::Identity;
use cranehill_membership::seal::{self, Kind};
use cranehill_scheduler::Time;
use foca::{Header, Member, Message};

use super::KEY;

/// What an IPv4 and a UDP header add to a packet; counted apart.
pub(crate) const IP_UDP_HEADERS: u64 = 28;

/// What bytes carry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Content {
    /// Probes, their answers, and the frames of all packets.
    Probes,
    /// Updates of members, spread with probes and gossip.
    Updates,
    /// Votes and payloads, spread with probes and gossip.
    Broadcasts,
    /// Lists of members for one that asked.
    Lists,
    /// Exchanges of state by digest.
    AntiEntropy,
}

/// What was sent and received, by member and second.
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
        for (content, len) in contents(bytes) {
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

    /// Most bytes a second, both directions, of any member over any `span` seconds.
    pub(crate) fn most(&self, members: usize, span: u64) -> f64 {
        let seconds = self.out.keys().chain(self.received.keys()).map(|k| k.1);
        let Some((first, last)) = seconds.clone().min().zip(seconds.max()) else {
            return 0.0;
        };
        let bytes = |i: usize, s: u64| {
            self.out.get(&(i, s)).unwrap_or(&0) + self.received.get(&(i, s)).unwrap_or(&0)
        };
        let starts = || first..=last.saturating_sub(span - 1).max(first);
        let window = |i: usize, from: u64| (from..from + span).map(|s| bytes(i, s)).sum::<u64>();
        let most = (0..members)
            .flat_map(|i| starts().map(move |from| window(i, from)))
            .max();
        most.unwrap_or(0) as f64 / span as f64
    }
}

/// What a packet carries besides its frame, with lengths.
fn contents(bytes: &[u8]) -> Vec<(Content, usize)> {
    let Ok(opened) = seal::open(&KEY, 0, u64::MAX, bytes) else {
        return Vec::new();
    };
    if opened.kind != Kind::Swim {
        return vec![(Content::AntiEntropy, bytes.len())];
    }
    let Ok((header, rest)) = postcard::take_from_bytes::<Header<Identity>>(opened.message) else {
        return Vec::new();
    };
    let list = matches!(header.message, Message::Feed | Message::Announce);
    let Some((tally, mut rest)) = rest.split_first_chunk::<2>() else {
        return Vec::new();
    };
    let begun = rest.len();
    for _ in 0..u16::from_be_bytes(*tally) {
        let Ok((_, after)) = postcard::take_from_bytes::<Member<Identity>>(rest) else {
            break;
        };
        rest = after;
    }
    let members = if list {
        Content::Lists
    } else {
        Content::Updates
    };
    vec![
        (members, begun - rest.len()),
        (Content::Broadcasts, rest.len()),
    ]
}
