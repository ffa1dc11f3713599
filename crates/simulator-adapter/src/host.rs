//! Hosts the schedulers of the simulated senders in this process.

use std::collections::BTreeMap;

use cranehill_scheduler::api::{Entry, Event};
use cranehill_scheduler::{Scheduler, Time};

use crate::error::AdapterError;
use crate::wire::{
    Batch, Configure, EndpointList, EndpointRow, ListChanged, Reply, Request, SenderAction,
    SenderEvent,
};

/// The schedulers in this process. They share only the endpoint lists; each has its own state and random number generator.
#[derive(Default)]
pub(crate) struct Host {
    /// Schedulers by sender.
    schedulers: BTreeMap<String, Scheduler>,
    /// Endpoint lists by number; a later list replaces one with the same number.
    endpoint_lists: BTreeMap<u32, Vec<Entry>>,
}

/// The events of one batch, grouped by sender.
#[derive(Default)]
struct BatchEvents {
    /// Senders in the order in which the batch first refers to them, perhaps repeated.
    senders: Vec<String>,
    events: BTreeMap<String, Vec<Event>>,
}

impl BatchEvents {
    /// The events of a sender. The first call for a sender determines its position in the order.
    fn events_of(&mut self, sender: String) -> &mut Vec<Event> {
        self.events.entry(sender.clone()).or_insert_with(|| {
            self.senders.push(sender);
            Vec::new()
        })
    }

    /// Clears the events of a sender that this batch configures. The sender may then be listed twice; its events are processed at
    /// its first position.
    fn reset(&mut self, sender: String) {
        self.events.insert(sender.clone(), Vec::new());
        self.senders.push(sender);
    }

    /// Discards the events of a sender that is destroyed.
    fn discard(&mut self, sender: &str) {
        self.events.remove(sender);
    }
}

impl Host {
    /// Processes one batch, a line of JSON, and returns the reply as JSON.
    ///
    /// # Errors
    ///
    /// Fails if the line is not a valid batch, a request refers to an unknown sender or endpoint list, or a sender's settings are
    /// invalid.
    pub(crate) fn handle_batch(&mut self, line: &str) -> Result<String, AdapterError> {
        let batch: Batch = serde_json::from_str(line).map_err(AdapterError::MalformedBatch)?;
        let now = Time(batch.at_time);
        let mut batch_events = BatchEvents::default();
        for request in batch.requests {
            self.apply(request, now, &mut batch_events)?;
        }
        let output = self.run_schedulers(now, batch_events);
        serde_json::to_string(&Reply { output }).map_err(AdapterError::Encode)
    }

    /// Applies a request that concerns the host itself, or adds its event to those of the batch.
    fn apply(
        &mut self,
        request: Request,
        now: Time,
        batch_events: &mut BatchEvents,
    ) -> Result<(), AdapterError> {
        let sender_event = match request {
            Request::EndpointList(endpoint_list) => return self.store_list(endpoint_list),
            Request::Configure(configure) => return self.configure(*configure, now, batch_events),
            Request::Destroy(request) => return self.destroy(&request.sender, batch_events),
            Request::ListChanged(change) => self.list_event(change)?,
            Request::Accept(accept) => SenderEvent::from(accept),
            Request::AttemptFinished(attempt) => SenderEvent::from(attempt),
            Request::Cancelled(cancelled) => SenderEvent::from(cancelled),
            Request::CheckResult(result) => SenderEvent::from(result),
            Request::Wake(request) => SenderEvent::new(request.sender, Event::TimerFired),
            Request::ConnectionOpened(request) | Request::PeerMessage(request) => SenderEvent {
                sender: request.sender,
                event: None,
            },
        };
        if !self.schedulers.contains_key(&sender_event.sender) {
            return Err(AdapterError::UnknownSender(sender_event.sender));
        }
        batch_events
            .events_of(sender_event.sender)
            .extend(sender_event.event);
        Ok(())
    }

    /// Stores an endpoint list for later requests.
    fn store_list(&mut self, endpoint_list: EndpointList) -> Result<(), AdapterError> {
        let entries = endpoint_list
            .rows
            .into_iter()
            .map(EndpointRow::into_entry)
            .collect::<Result<_, _>>()?;
        self.endpoint_lists.insert(endpoint_list.number, entries);
        Ok(())
    }

    /// Creates a sender's scheduler, or replaces it.
    fn configure(
        &mut self,
        configure: Configure,
        now: Time,
        batch_events: &mut BatchEvents,
    ) -> Result<(), AdapterError> {
        let settings = configure.profile.into_settings()?;
        let scheduler = Scheduler::new(settings, configure.seed, now)?;
        self.schedulers.insert(configure.sender.clone(), scheduler);
        batch_events.reset(configure.sender);
        Ok(())
    }

    /// Removes a sender's scheduler.
    fn destroy(
        &mut self,
        sender: &str,
        batch_events: &mut BatchEvents,
    ) -> Result<(), AdapterError> {
        if self.schedulers.remove(sender).is_none() {
            return Err(AdapterError::UnknownSender(sender.to_owned()));
        }
        batch_events.discard(sender);
        Ok(())
    }

    /// The event for a change of a sender's endpoint list.
    fn list_event(&self, change: ListChanged) -> Result<SenderEvent, AdapterError> {
        if change.has_failed() {
            return Ok(SenderEvent::new(change.sender, Event::EndpointListFailed));
        }
        let entries = self
            .endpoint_lists
            .get(&change.list)
            .ok_or(AdapterError::UnknownList(change.list))?;
        let event = Event::EndpointList {
            replaces_all: change.is_whole(),
            entries: entries.clone(),
        };
        Ok(SenderEvent::new(change.sender, event))
    }

    /// Passes the events to the schedulers and returns their actions.
    fn run_schedulers(&mut self, now: Time, mut batch_events: BatchEvents) -> Vec<SenderAction> {
        let mut output = Vec::new();
        for sender in batch_events.senders {
            let Some(scheduler) = self.schedulers.get_mut(&sender) else {
                continue;
            };
            let Some(events) = batch_events.events.remove(&sender) else {
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
