//! Counters of each simulated member's packets, in both directions.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// Counters shared by the threads that run members and the one that reads the figures.
#[derive(Debug, Default)]
pub(super) struct Traffic {
    counters: Vec<Counters>,
    /// Packets that were dropped by network faults.
    lost: AtomicU64,
    /// Size of the largest datagram in bytes.
    largest: AtomicU64,
}

#[derive(Debug, Default)]
struct Counters {
    bytes_sent: AtomicU64,
    bytes_received: AtomicU64,
    packets_sent: AtomicU64,
}

/// One member's counters at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct MemberTraffic {
    /// Bytes sent.
    pub bytes_sent: u64,
    /// Bytes received.
    pub bytes_received: u64,
    /// Packets sent.
    pub packets_sent: u64,
}

impl MemberTraffic {
    /// The difference from earlier counters of the same member.
    pub(super) fn since(self, before: MemberTraffic) -> MemberTraffic {
        MemberTraffic {
            bytes_sent: self.bytes_sent - before.bytes_sent,
            bytes_received: self.bytes_received - before.bytes_received,
            packets_sent: self.packets_sent - before.packets_sent,
        }
    }
}

impl Traffic {
    /// Counters for this number of members, all zero.
    pub(super) fn new(members: usize) -> Traffic {
        Traffic {
            counters: (0..members).map(|_| Counters::default()).collect(),
            ..Traffic::default()
        }
    }

    /// Counts a packet that a member sent.
    pub(super) fn add_sent(&self, member: usize, bytes: usize) {
        self.counters[member]
            .bytes_sent
            .fetch_add(bytes as u64, Relaxed);
        self.counters[member].packets_sent.fetch_add(1, Relaxed);
        self.largest.fetch_max(bytes as u64, Relaxed);
    }

    /// Counts a packet that a member received.
    pub(super) fn add_received(&self, member: usize, bytes: usize) {
        self.counters[member]
            .bytes_received
            .fetch_add(bytes as u64, Relaxed);
    }

    /// Counts a packet that was dropped by a network fault.
    pub(super) fn add_lost(&self) {
        self.lost.fetch_add(1, Relaxed);
    }

    /// Packets that were dropped by network faults.
    pub(super) fn lost(&self) -> u64 {
        self.lost.load(Relaxed)
    }

    /// Size of the largest datagram in bytes.
    pub(super) fn largest_datagram(&self) -> usize {
        self.largest.load(Relaxed) as usize
    }

    /// All members' current counters, by index.
    pub(super) fn snapshot(&self) -> Vec<MemberTraffic> {
        let counted = |counters: &Counters| MemberTraffic {
            bytes_sent: counters.bytes_sent.load(Relaxed),
            bytes_received: counters.bytes_received.load(Relaxed),
            packets_sent: counters.packets_sent.load(Relaxed),
        };
        self.counters.iter().map(counted).collect()
    }
}
