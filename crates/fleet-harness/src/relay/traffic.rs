//! Counters of the packets that the relay receives.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Packets that the relay has received.
#[derive(Clone, Debug, Default)]
pub struct RelayTraffic {
    /// Packets that each member sent, by member number.
    pub packets: Vec<u64>,
    /// Bytes that each member sent, by member number.
    pub bytes: Vec<u64>,
    /// Packets that were dropped by network faults.
    pub lost: u64,
}

/// Counters that the relay's thread and its owner share.
#[derive(Clone, Debug)]
pub(super) struct SharedTraffic {
    counters: Arc<Mutex<RelayTraffic>>,
}

impl SharedTraffic {
    pub(super) fn new(members: usize) -> SharedTraffic {
        let counters = RelayTraffic {
            packets: vec![0; members],
            bytes: vec![0; members],
            lost: 0,
        };
        SharedTraffic {
            counters: Arc::new(Mutex::new(counters)),
        }
    }

    pub(super) fn snapshot(&self) -> RelayTraffic {
        self.lock().clone()
    }

    pub(super) fn add_packet(&self, from: usize, bytes: usize) {
        let mut counters = self.lock();
        counters.packets[from] += 1;
        counters.bytes[from] += bytes as u64;
    }

    pub(super) fn add_lost(&self) {
        self.lock().lost += 1;
    }

    fn lock(&self) -> MutexGuard<'_, RelayTraffic> {
        self.counters.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
