//! Counters of the packets that the relay received.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Packets that the relay received, by the number of the member that sent them.
#[derive(Clone, Debug, Default)]
pub struct Passed {
    /// By member: packets that it sent to others.
    pub packets: Vec<u64>,
    /// By member: bytes that it sent to others.
    pub bytes: Vec<u64>,
    /// Packets that were lost on a faulty path.
    pub lost: u64,
}

/// Counters that the relay's thread and its owner share.
#[derive(Clone, Debug)]
pub(super) struct SharedTraffic {
    passed: Arc<Mutex<Passed>>,
}

impl SharedTraffic {
    pub(super) fn new(members: usize) -> SharedTraffic {
        let passed = Passed {
            packets: vec![0; members],
            bytes: vec![0; members],
            lost: 0,
        };
        SharedTraffic {
            passed: Arc::new(Mutex::new(passed)),
        }
    }

    pub(super) fn passed(&self) -> Passed {
        self.lock().clone()
    }

    pub(super) fn add_packet(&self, from: usize, bytes: usize) {
        let mut passed = self.lock();
        passed.packets[from] += 1;
        passed.bytes[from] += bytes as u64;
    }

    pub(super) fn add_lost(&self) {
        self.lock().lost += 1;
    }

    fn lock(&self) -> MutexGuard<'_, Passed> {
        self.passed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
