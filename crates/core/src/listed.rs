//! What a list from the directory changes in the reducer's state.

use cranehill_scheduler::api::{Condition, Event};

use crate::effect::Effect;
use crate::message::Listing;
use crate::mutation::{self, Mutation};
use crate::reducer::Core;

impl Core {
    pub(crate) fn on_endpoints_changed(&mut self, whole: bool, list: Vec<Listing>) -> Vec<Effect> {
        let (mut whole, mut list) = (whole, list);
        if mutation::is(Mutation::SendsToDrained) {
            list.retain(|l| l.entry.condition == Condition::Ready);
            whole = false;
        }
        // Without a rate the pace that a part of it sets is gone as well.
        if mutation::is(Mutation::FloodsCold) {
            list.iter_mut().for_each(|l| l.entry.rate = 0.0);
        }
        let now = self.now;
        let entries = list
            .iter()
            .map(|l| self.detached.over(now, l.entry.clone()))
            .collect();
        let update = self.list.update(now, whole, list);
        log::debug!(visited = update.visited; "list: {} entries visited", update.visited);
        self.detached.forget(now, |id| self.list.contains(id));
        self.events.push(Event::List { whole, entries });
        self.count_zones();
        if let Some(recovery) = &mut self.recovery {
            recovery.listed();
        }
        // Idle connections there would only hold descriptors, and must not serve who comes to that address next.
        let mut effects: Vec<Effect> = update
            .closed
            .iter()
            .cloned()
            .map(Effect::CloseIdle)
            .collect();
        effects.push(Effect::CancelUnwritten {
            endpoints: update.closed,
        });
        effects
    }
}
