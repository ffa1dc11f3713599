//! Accusations: the suspicions that this member raised itself, because its own probes failed.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::member_table::MemberTable;
use crate::view::{MemberState, MemberView};

/// The members that this member's own probes made suspect, with the SWIM incarnations that are suspected.
#[derive(Debug, Default)]
pub(super) struct Accusations {
    suspected: BTreeMap<SocketAddr, u16>,
}

impl Accusations {
    pub(super) fn add(&mut self, address: SocketAddr, swim_incarnation: u16) {
        self.suspected.insert(address, swim_incarnation);
    }

    pub(super) fn remove(&mut self, address: &SocketAddr) {
        self.suspected.remove(address);
    }

    /// Returns the accused members that are still suspect in the accused SWIM incarnation, and removes the other accusations.
    pub(super) fn retain_pending(&mut self, table: &MemberTable) -> Vec<MemberView> {
        let pending: Vec<MemberView> = self
            .suspected
            .iter()
            .filter_map(|(address, swim_incarnation)| {
                let view = table.get(address)?;
                let is_pending = view.state == MemberState::Suspect
                    && view.swim_incarnation == *swim_incarnation;
                is_pending.then(|| view.clone())
            })
            .collect();
        self.suspected
            .retain(|address, _| pending.iter().any(|view| view.member.address == *address));
        pending
    }
}
