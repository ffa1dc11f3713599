//! [`RecoveryProgress`]: restores learned state after a restart, and drives the phases of
//! [`cranehill_recovery::Recovery`].

use std::net::SocketAddr;

use cranehill_recovery::{self as recovery, Phase, Recovery, Settings};
use cranehill_scheduler::api::{Action, DestinationId, Event, MessageId};
use cranehill_scheduler::{LearnedState, Scheduler, Time};

use crate::effect::Effect;

/// The result of [`RecoveryProgress::restore`].
pub(crate) struct RestoredTick {
    /// The scheduler's actions on the events that it handled before learned state was restored.
    pub(crate) actions: Vec<Action>,
    /// The events that the scheduler has not handled yet.
    pub(crate) remaining: Vec<Event>,
}

/// Learned state that is not restored yet, and the recovery if it is enabled.
#[derive(Debug, Default)]
pub(crate) struct RecoveryProgress {
    recovery: Option<Recovery>,
    /// Learned state of the previous process, received in a hand-over, for destinations that are not listed yet.
    inherited: Vec<LearnedState>,
}

impl RecoveryProgress {
    /// Enables and starts the recovery. Until it is complete, learned state is collected and restored, and first calls
    /// and recovered messages are spread over time.
    pub(crate) fn enable(&mut self, now: Time, settings: Settings) {
        self.recovery = Some(Recovery::new(settings, now));
    }

    /// The phase of the recovery; `None` if recovery is not enabled.
    pub(crate) fn phase(&self) -> Option<Phase> {
        self.recovery.as_ref().map(Recovery::phase)
    }

    /// Handles the content of the state file that an earlier process wrote. Content that can't be decoded is logged and
    /// ignored.
    pub(crate) fn on_restored(&mut self, now: Time, bytes: &[u8]) {
        let Some(recovery) = &mut self.recovery else {
            return;
        };
        match recovery::decode_state_file(bytes) {
            Ok(learned_state) => {
                let routes = learned_state.len();
                log::info!(routes; "recovery: learned state of {routes} routes restored");
                recovery.on_persisted_state(now, learned_state);
            }
            Err(error) => log::warn!("recovery: the persisted learned state is ignored: {error}"),
        }
    }

    /// Handles the learned state that the previous process sent in a hand-over. State that can't be decoded is logged
    /// and ignored.
    pub(crate) fn on_inherited(&mut self, bytes: &[u8]) {
        match recovery::decode_state_file(bytes) {
            Ok(learned_state) => self.inherited = learned_state,
            Err(error) => log::error!("hand-over: the inherited learned state is ignored: {error}"),
        }
    }

    /// Handles a reply of another member: `piece` is one encoded part of its learned state. A part that can't be
    /// decoded is logged and ignored. Returns a request for a tick at once, in which the state is restored.
    pub(crate) fn on_peer_reply(
        &mut self,
        now: Time,
        member: SocketAddr,
        piece: &[u8],
    ) -> Option<Effect> {
        let recovery = self.recovery.as_mut()?;
        match recovery::decode_chunk(piece) {
            Ok(learned_state) => {
                let routes = learned_state.len();
                log::info!(event = "learned-state-received", member:%, routes;
                    "recovery: learned state of {routes} routes received from {member}");
                recovery.on_peer_reply(now, learned_state);
            }
            Err(error) => log::warn!("recovery: learned state from {member} is ignored: {error}"),
        }
        Some(Effect::WakeAt(now))
    }

    /// Handles a change of the endpoint list: learned state about newly listed destinations can be restored.
    pub(crate) fn on_endpoints_changed(&mut self) {
        if let Some(recovery) = &mut self.recovery {
            recovery.on_endpoints_changed();
        }
    }

    /// Handles a message that has been sent or has ended: the work queue may release the next one of its destination.
    pub(crate) fn on_sent_or_ended(&mut self, destination: DestinationId, id: &MessageId) {
        if let Some(recovery) = &mut self.recovery {
            recovery.work_queue.on_sent_or_ended(destination, id);
        }
    }

    /// Adds a recovered message to the work queue. `hand_over_by` is the latest time to hand it over to the scheduler;
    /// messages with the earliest time are released first. Returns false if recovery is not enabled: there is no work
    /// queue then.
    pub(crate) fn enqueue(
        &mut self,
        destination: DestinationId,
        hand_over_by: Time,
        id: &MessageId,
    ) -> bool {
        let Some(recovery) = &mut self.recovery else {
            return false;
        };
        recovery
            .work_queue
            .add(destination, hand_over_by, id.clone());
        true
    }

    /// Removes and returns the messages that the work queue releases now.
    pub(crate) fn release(&mut self, now: Time) -> Vec<MessageId> {
        self.recovery
            .as_mut()
            .map(|recovery| recovery.work_queue.release(now))
            .unwrap_or_default()
    }

    /// Restores learned state in the scheduler, if any is pending. The scheduler first handles the endpoint lists among
    /// `events`, as it restores state only for listed destinations.
    pub(crate) fn restore(
        &mut self,
        now: Time,
        scheduler: &mut Scheduler,
        events: Vec<Event>,
    ) -> RestoredTick {
        let nothing_restored = |remaining| RestoredTick {
            actions: Vec::new(),
            remaining,
        };
        // The scheduler would send messages when it handles the endpoint lists, before it handles a cancellation in the
        // same tick. The state is therefore restored in a later tick.
        if events.iter().any(|e| matches!(e, Event::Cancelled(_))) {
            return nothing_restored(events);
        }
        if !self.inherited.is_empty() {
            let (list_events, remaining) = split_list_events(events);
            let actions = scheduler.handle(now, list_events);
            self.inherited =
                scheduler.restore_handed_over(now, std::mem::take(&mut self.inherited));
            return RestoredTick { actions, remaining };
        }
        let Some(recovery) = &mut self.recovery else {
            return nothing_restored(events);
        };
        let Some(learned_state) = recovery.take_state_to_restore(now) else {
            return nothing_restored(events);
        };
        let (list_events, remaining) = split_list_events(events);
        let actions = scheduler.handle(now, list_events);
        let first_calls_until = scheduler.restore(now, &learned_state);
        recovery.spread_first_calls_until(first_calls_until);
        RestoredTick { actions, remaining }
    }

    /// Whether to request learned state from other members now.
    pub(crate) fn should_ask_peers(&mut self, now: Time, has_peers: bool) -> bool {
        self.recovery
            .as_mut()
            .is_some_and(|recovery| recovery.should_ask_peers(now, has_peers))
    }

    /// Called at the end of a tick: persists learned state if that is due, and checks whether the recovery is complete.
    /// `has_handed_over` is whether messages of the work queue were handed over in this tick for the scheduler to
    /// handle in the next one, which is then requested at once.
    pub(crate) fn end_tick(
        &mut self,
        now: Time,
        scheduler: &Scheduler,
        has_handed_over: bool,
    ) -> Vec<Effect> {
        let Some(recovery) = &mut self.recovery else {
            return Vec::new();
        };
        let mut effects = Vec::new();
        let learned_state = scheduler.learned_state();
        if recovery.should_persist(now, &learned_state) {
            effects.push(Effect::PersistLearnedState(recovery::encode_state_file(
                &learned_state,
            )));
        }
        effects.extend(recovery.check_complete(now).map(Effect::RecoveryComplete));
        let next_tick = if has_handed_over {
            Some(now)
        } else {
            recovery.next_wakeup(now)
        };
        effects.extend(next_tick.map(Effect::WakeAt));
        effects
    }

    /// Whether recovery is enabled.
    pub(crate) fn is_enabled(&self) -> bool {
        self.recovery.is_some()
    }
}

/// Splits events into those that must be handled before learned state is restored (endpoint lists and the number of
/// senders, on which quotas depend), and all others.
fn split_list_events(events: Vec<Event>) -> (Vec<Event>, Vec<Event>) {
    events
        .into_iter()
        .partition(|e| matches!(e, Event::EndpointList { .. } | Event::QuotaDivisor(_)))
}
