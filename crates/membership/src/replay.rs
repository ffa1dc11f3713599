//! Replay protection: each packet of a member's incarnation is accepted once, by its number.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::identity::Identity;
use crate::seal::DropReason;

/// Numbers below the highest one for which it is known whether they were accepted (as in RFC 6347, section 4.1.2.6).
const WINDOW: u64 = 64;
/// Senders that are tracked. Only holders of the key can add one; this bounds memory all the same.
const MAX_SENDERS: usize = 4096;

#[derive(Debug)]
struct ReplayWindow {
    incarnation: u64,
    highest: u64,
    /// Bit k: the number `highest - k` was accepted.
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
            let is_within_window = ahead < WINDOW;
            self.accepted = if is_within_window {
                self.accepted << ahead
            } else {
                0
            };
            self.highest = number;
        }
        let behind = self.highest - number;
        if behind >= WINDOW || self.accepted & (1 << behind) != 0 {
            return Err(DropReason::Replayed);
        }
        self.accepted |= 1 << behind;
        Ok(())
    }
}

/// The packets that were accepted, by their senders' addresses.
#[derive(Debug, Default)]
pub(crate) struct ReplayFilter {
    windows: BTreeMap<SocketAddr, ReplayWindow>,
}

impl ReplayFilter {
    /// Accepts a packet by its number, once.
    pub(crate) fn accept(&mut self, sender: &Identity, number: u64) -> Result<(), DropReason> {
        if !self.windows.contains_key(&sender.at) && self.windows.len() >= MAX_SENDERS {
            self.windows.pop_first();
        }
        let incarnation = sender.incarnation;
        let window = self
            .windows
            .entry(sender.at)
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
