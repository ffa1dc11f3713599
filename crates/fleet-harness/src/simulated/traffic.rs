//! Counters of each member's packets, in both directions.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// Shared by the threads that drive members and the one that reads them.
#[derive(Debug, Default)]
pub(super) struct Traffic {
    counters: Vec<Counters>,
    /// Packets that were lost by network faults.
    lost: AtomicU64,
    /// Bytes of the largest datagram.
    largest: AtomicU64,
}

#[derive(Debug, Default)]
struct Counters {
    bytes_sent: AtomicU64,
    bytes_received: AtomicU64,
    packets_sent: AtomicU64,
}

/// One member's counters at some time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Passed {
    /// Bytes sent.
    pub bytes_sent: u64,
    /// Bytes received.
    pub bytes_received: u64,
    /// Packets sent.
    pub packets_sent: u64,
}

impl Passed {
    /// The difference to earlier counters.
    pub(super) fn since(self, before: Passed) -> Passed {
        Passed {
            bytes_sent: self.bytes_sent - before.bytes_sent,
            bytes_received: self.bytes_received - before.bytes_received,
            packets_sent: self.packets_sent - before.packets_sent,
        }
    }
}

impl Traffic {
    /// Counters of this number of members, all zero.
    pub(super) fn new(members: usize) -> Traffic {
        Traffic {
            counters: (0..members).map(|_| Counters::default()).collect(),
            ..Traffic::default()
        }
    }

    /// Counts a packet that a member sent.
    pub(super) fn sent(&self, member: usize, bytes: usize) {
        self.counters[member]
            .bytes_sent
            .fetch_add(bytes as u64, Relaxed);
        self.counters[member].packets_sent.fetch_add(1, Relaxed);
        self.largest.fetch_max(bytes as u64, Relaxed);
    }

    /// Counts a packet that a member received.
    pub(super) fn received(&self, member: usize, bytes: usize) {
        self.counters[member]
            .bytes_received
            .fetch_add(bytes as u64, Relaxed);
    }

    /// Counts a packet that was lost by a network fault.
    pub(super) fn lose(&self) {
        self.lost.fetch_add(1, Relaxed);
    }

    /// Packets that were lost by network faults.
    pub(super) fn lost(&self) -> u64 {
        self.lost.load(Relaxed)
    }

    /// Bytes of the largest datagram.
    pub(super) fn largest(&self) -> usize {
        self.largest.load(Relaxed) as usize
    }

    /// All members' counters, by index.
    pub(super) fn passed(&self) -> Vec<Passed> {
        let passed = |c: &Counters| Passed {
            bytes_sent: c.bytes_sent.load(Relaxed),
            bytes_received: c.bytes_received.load(Relaxed),
            packets_sent: c.packets_sent.load(Relaxed),
        };
        self.counters.iter().map(passed).collect()
    }
}
