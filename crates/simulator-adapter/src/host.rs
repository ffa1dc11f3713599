//! The simulated senders of this process, one scheduler each.

use std::collections::BTreeMap;

use cranehill_scheduler::api::{Entry, Event};
use cranehill_scheduler::{Scheduler, Time};

use crate::error::AdapterError;
use crate::wire::{
    Batch, Configure, Inventory, Reply, Request, Row, SenderAction, SenderEvent, Sync,
};

/// The schedulers hosted by this process, by sender. They share nothing: each owns its state and random source.
#[derive(Default)]
pub(crate) struct Host {
    schedulers: BTreeMap<String, Scheduler>,
    /// Endpoint lists by number; a later one may reuse a number.
    endpoint_lists: BTreeMap<u32, Vec<Entry>>,
}

/// Events of one batch by sender, in the order in which senders are first named.
#[derive(Default)]
struct Inbox {
    senders: Vec<String>,
    events: BTreeMap<String, Vec<Event>>,
}

impl Inbox {
    /// The events of a sender, which takes its place in the order with the first of them.
    fn of(&mut self, sender: String) -> &mut Vec<Event> {
        self.events.entry(sender.clone()).or_insert_with(|| {
            self.senders.push(sender);
            Vec::new()
        })
    }

    /// Begins anew for a sender that was configured in this batch. It may be listed twice then, and is served at its first
    /// place.
    fn reset(&mut self, sender: String) {
        self.events.insert(sender.clone(), Vec::new());
        self.senders.push(sender);
    }

    fn discard(&mut self, sender: &str) {
        self.events.remove(sender);
    }
}

impl Host {
    /// Carries out one batch, a line of JSON, and returns the reply as JSON.
    ///
    /// # Errors
    ///
    /// Fails where the line is not a batch, or a request names what is not known.
    pub(crate) fn answer(&mut self, line: &str) -> Result<String, AdapterError> {
        let batch: Batch = serde_json::from_str(line).map_err(AdapterError::MalformedBatch)?;
        let now = Time(batch.at_time);
        let mut inbox = Inbox::default();
        for request in batch.requests {
            self.apply(request, now, &mut inbox)?;
        }
        let output = self.deliver(now, inbox);
        serde_json::to_string(&Reply { output }).map_err(AdapterError::Encode)
    }

    /// Applies a request to the hosted senders, or puts its event into the inbox.
    fn apply(
        &mut self,
        request: Request,
        now: Time,
        inbox: &mut Inbox,
    ) -> Result<(), AdapterError> {
        let addressed = match request {
            Request::Inventory(inventory) => return self.store_list(inventory),
            Request::Configure(configure) => return self.configure(*configure, now, inbox),
            Request::Destroy(request) => return self.destroy(&request.sender, inbox),
            Request::Sync(sync) => self.list_event(sync)?,
            Request::Accept(accept) => SenderEvent::from(accept),
            Request::Returned(returned) => SenderEvent::from(returned),
            Request::Lapsed(lapsed) => SenderEvent::from(lapsed),
            Request::CheckResult(result) => SenderEvent::from(result),
            Request::Wake(request) => SenderEvent::new(request.sender, Event::Wake),
            Request::Established(request) | Request::Peer(request) => SenderEvent {
                sender: request.sender,
                event: None,
            },
        };
        if !self.schedulers.contains_key(&addressed.sender) {
            return Err(AdapterError::UnknownSender(addressed.sender));
        }
        inbox.of(addressed.sender).extend(addressed.event);
        Ok(())
    }

    fn store_list(&mut self, inventory: Inventory) -> Result<(), AdapterError> {
        let entries = inventory
            .rows
            .into_iter()
            .map(Row::into_entry)
            .collect::<Result<_, _>>()?;
        self.endpoint_lists.insert(inventory.list, entries);
        Ok(())
    }

    fn configure(
        &mut self,
        configure: Configure,
        now: Time,
        inbox: &mut Inbox,
    ) -> Result<(), AdapterError> {
        let settings = configure.profile.into_settings()?;
        let scheduler = Scheduler::new(settings, configure.seed, now)?;
        self.schedulers.insert(configure.sender.clone(), scheduler);
        inbox.reset(configure.sender);
        Ok(())
    }

    fn destroy(&mut self, sender: &str, inbox: &mut Inbox) -> Result<(), AdapterError> {
        if self.schedulers.remove(sender).is_none() {
            return Err(AdapterError::UnknownSender(sender.to_owned()));
        }
        inbox.discard(sender);
        Ok(())
    }

    fn list_event(&self, sync: Sync) -> Result<SenderEvent, AdapterError> {
        if sync.has_failed() {
            return Ok(SenderEvent::new(sync.sender, Event::ListFailed));
        }
        let entries = self
            .endpoint_lists
            .get(&sync.list)
            .ok_or(AdapterError::UnknownList(sync.list))?;
        let event = Event::List {
            whole: sync.is_whole(),
            entries: entries.clone(),
        };
        Ok(SenderEvent::new(sync.sender, event))
    }

    /// Hands the events to the schedulers, and collects their actions.
    fn deliver(&mut self, now: Time, mut inbox: Inbox) -> Vec<SenderAction> {
        let mut output = Vec::new();
        for sender in inbox.senders {
            let Some(scheduler) = self.schedulers.get_mut(&sender) else {
                continue;
            };
            let Some(events) = inbox.events.remove(&sender) else {
                continue;
            };
            let actions = scheduler.handle(now, events);
            output.extend(
                actions
                    .into_iter()
                    .map(|action| SenderAction::new(&sender, action)),
            );
        }
        output
    }
}
