//! The directory's list, as the reducer keeps it.

use std::collections::BTreeSet;
use std::time::Duration;

use tansycroft::api::{Condition, EndpointId, Event};

use crate::breakage::{self, Breakage};
use crate::effect::Effect;
use crate::notice::Listing;
use crate::reducer::{Core, Listed};

/// A partner that is no longer listed is known for so long.
pub(crate) const FORGOTTEN: Duration = Duration::from_secs(600);

impl Core {
    pub(crate) fn on_listed(&mut self, whole: bool, list: Vec<Listing>) -> Vec<Effect> {
        let mut hold_back = Vec::new();
        let mut list = list;
        let mut whole = whole;
        if breakage::is(Breakage::SendsToDrained) {
            list.retain(|l| l.entry.condition == Condition::Ready);
            whole = false;
        }
        if whole {
            let named: BTreeSet<&EndpointId> = list.iter().map(|l| &l.entry.endpoint).collect();
            hold_back.extend(self.list.keys().filter(|e| !named.contains(e)).cloned());
        }
        let mut entries = Vec::new();
        for Listing { entry, address } in list {
            if entry.condition != Condition::Ready {
                hold_back.push(entry.endpoint.clone());
            }
            entries.push(self.detached.over(self.now, entry.clone()));
            self.list.insert(entry.endpoint.clone(), Listed { endpoint: entry, address });
        }
        // What has gone must not be kept: on a long day the directory names endpoints without end.
        if whole {
            self.list.retain(|e, _| entries.iter().any(|entry| entry.endpoint == *e));
        }
        self.list.retain(|_, p| p.endpoint.condition != Condition::Gone);
        for partner in self.list.values() {
            self.known.insert(partner.endpoint.dest.0, self.now);
        }
        let now = self.now;
        self.detached.forget(now, |id| self.list.contains_key(id));
        self.known.retain(|_, listed| now - *listed < FORGOTTEN);
        self.events.push(Event::List { whole, entries });
        self.count_zones();
        if let Some(recovery) = &mut self.recovery {
            recovery.listed();
        }
        // Idle connections there would only hold descriptors, and must not serve who comes to that address next.
        let mut effects: Vec<Effect> = hold_back.iter().cloned().map(Effect::CloseIdle).collect();
        effects.push(Effect::HoldBack { endpoints: hold_back });
        effects
    }
}
