//! Replay protection: each packet number of a member's incarnation is accepted once, by a sliding window.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::identity::Identity;
use crate::seal::DropReason;

/// The size of the sliding window in packet numbers: packets reordered by less are still accepted (RFC 6347, section 4.1.2.6).
const WINDOW_NUMBERS: u64 = 64;
/// The maximum number of senders with a window. Bounds memory, although only processes with the fleet's key can add a sender.
const MAX_SENDERS: usize = 4096;

/// The sliding window of one sender's incarnation.
#[derive(Debug)]
struct ReplayWindow {
    incarnation: u64,
    highest: u64,
    /// Bit k is set if the packet number `highest - k` was accepted.
    accepted: u64,
}

impl ReplayWindow {
    fn new(incarnation: u64, number: u64) -> ReplayWindow {
        ReplayWindow {
            incarnation,
            highest: number,
            accepted: 0,
        }
    }

    fn accept(&mut self, number: u64) -> Result<(), DropReason> {
        if number > self.highest {
            let ahead = number - self.highest;
            let is_within_window = ahead < WINDOW_NUMBERS;
            self.accepted = if is_within_window {
                self.accepted << ahead
            } else {
                0
            };
            self.highest = number;
        }
        let behind = self.highest - number;
        if behind >= WINDOW_NUMBERS || self.accepted & (1 << behind) != 0 {
            return Err(DropReason::Replayed);
        }
        self.accepted |= 1 << behind;
        Ok(())
    }
}

/// The sliding windows of accepted packet numbers, by the sender's address.
#[derive(Debug, Default)]
pub(crate) struct ReplayFilter {
    windows: BTreeMap<SocketAddr, ReplayWindow>,
}

impl ReplayFilter {
    /// Accepts a packet number once. Fails with [`DropReason::Replayed`] if it was accepted before or is below the window, and with
    /// [`DropReason::EarlierIncarnation`] if a later incarnation of the sender has sent a packet.
    pub(crate) fn accept(&mut self, sender: &Identity, number: u64) -> Result<(), DropReason> {
        if !self.windows.contains_key(&sender.address) && self.windows.len() >= MAX_SENDERS {
            self.windows.pop_first();
        }
        let incarnation = sender.incarnation;
        let window = self
            .windows
            .entry(sender.address)
            .or_insert_with(|| ReplayWindow::new(incarnation, number));
        if incarnation < window.incarnation {
            return Err(DropReason::EarlierIncarnation);
        }
        if incarnation > window.incarnation {
            *window = ReplayWindow::new(incarnation, number);
        }
        window.accept(number)
    }
}
