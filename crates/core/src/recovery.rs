//! [`RecoveryProgress`]: learned state from before the start, and the steps back to full service.

use std::net::SocketAddr;

use cranehill_recovery::{self as recovery, Phase, Recovery, Settings};
use cranehill_scheduler::api::{Action, DestinationId, Event, MessageId};
use cranehill_scheduler::{LearnedState, Scheduler, Time};

use crate::effect::Effect;

/// What the scheduler did with the first events of a tick, before it restored learned state, and the other events.
pub(crate) struct RestoredTick {
    pub(crate) actions: Vec<Action>,
    pub(crate) remaining: Vec<Event>,
}

/// Learned state that is not restored yet, and the recovery where it is enabled.
#[derive(Debug, Default)]
pub(crate) struct RecoveryProgress {
    recovery: Option<Recovery>,
    /// Learned state of the process that this one takes over from, for destinations that are not listed yet.
    inherited: Vec<LearnedState>,
}

impl RecoveryProgress {
    /// Recovers in steps from now on.
    pub(crate) fn enable(&mut self, now: Time, settings: Settings) {
        self.recovery = Some(Recovery::new(settings, now));
    }

    /// The phase of the recovery, where it is enabled.
    pub(crate) fn phase(&self) -> Option<Phase> {
        self.recovery.as_ref().map(Recovery::phase)
    }

    /// An earlier process persisted this.
    pub(crate) fn on_restored(&mut self, now: Time, bytes: &[u8]) {
        let Some(recovery) = &mut self.recovery else {
            return;
        };
        match recovery::unpack(bytes) {
            Ok(learned_state) => {
                let routes = learned_state.len();
                log::info!(routes; "recovery: learned state of {routes} routes restored");
                recovery.on_persisted_state(now, learned_state);
            }
            Err(error) => log::warn!("recovery: the persisted state is not used: {error}"),
        }
    }

    /// The process that this one takes over from handed over this.
    pub(crate) fn on_inherited(&mut self, bytes: &[u8]) {
        match recovery::unpack(bytes) {
            Ok(learned_state) => self.inherited = learned_state,
            Err(error) => log::error!("hand-over: the inherited state is not used: {error}"),
        }
    }

    /// Another member sent a piece of its learned state.
    pub(crate) fn on_peer_reply(
        &mut self,
        now: Time,
        member: SocketAddr,
        piece: &[u8],
    ) -> Option<Effect> {
        let recovery = self.recovery.as_mut()?;
        match recovery::decode(piece) {
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

    /// The endpoint list has changed: it may have destinations that learned state is about.
    pub(crate) fn on_endpoints_changed(&mut self) {
        if let Some(recovery) = &mut self.recovery {
            recovery.on_endpoints_changed();
        }
    }

    /// A message has been sent, or has ended: the next of its destination may be handed over.
    pub(crate) fn on_sent_or_ended(&mut self, destination: DestinationId, id: &MessageId) {
        if let Some(recovery) = &mut self.recovery {
            recovery.work_queue.on_sent_or_ended(destination, id);
        }
    }

    /// Adds a message of an earlier process to the work queue. False where recovery is not enabled and there is none.
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

    /// Removes and returns the next messages of the work queue.
    pub(crate) fn release(&mut self, now: Time) -> Vec<MessageId> {
        self.recovery
            .as_mut()
            .map(|recovery| recovery.work_queue.release(now))
            .unwrap_or_default()
    }

    /// Restores learned state once the scheduler knows the destinations that it is about: endpoint lists are handled
    /// before it.
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
        // A message must not be sent after its cancellation, which would be handled later than the endpoint list: state is
        // restored in the next tick.
        if events.iter().any(|e| matches!(e, Event::Cancelled(_))) {
            return nothing_restored(events);
        }
        if !self.inherited.is_empty() {
            let (lists, remaining) = split_lists(events);
            let actions = scheduler.handle(now, lists);
            self.inherited = scheduler.inherit(now, std::mem::take(&mut self.inherited));
            return RestoredTick { actions, remaining };
        }
        let Some(recovery) = &mut self.recovery else {
            return nothing_restored(events);
        };
        let Some(learned_state) = recovery.take_state_to_restore(now) else {
            return nothing_restored(events);
        };
        let (lists, remaining) = split_lists(events);
        let actions = scheduler.handle(now, lists);
        let last_first_call = scheduler.restore(now, &learned_state);
        recovery.spread_first_calls_until(last_first_call);
        RestoredTick { actions, remaining }
    }

    /// Whether other members should be asked now for their learned state.
    pub(crate) fn should_ask_peers(&mut self, now: Time, has_peers: bool) -> bool {
        self.recovery
            .as_mut()
            .is_some_and(|recovery| recovery.should_ask_peers(now, has_peers))
    }

    /// At the end of a tick: persists learned state where that is due, and checks whether the recovery is complete.
    /// `handed_over` is whether the scheduler gets messages of the work queue with the next tick.
    pub(crate) fn end_tick(
        &mut self,
        now: Time,
        scheduler: &Scheduler,
        handed_over: bool,
    ) -> Vec<Effect> {
        let Some(recovery) = &mut self.recovery else {
            return Vec::new();
        };
        let mut effects = Vec::new();
        let learned_state = scheduler.learned_state();
        if recovery.should_persist(now, &learned_state) {
            effects.push(Effect::PersistLearnedState(recovery::pack(&learned_state)));
        }
        effects.extend(recovery.check_complete(now).map(Effect::RecoveryComplete));
        let next_tick = if handed_over {
            Some(now)
        } else {
            recovery.next_wakeup(now)
        };
        effects.extend(next_tick.map(Effect::WakeAt));
        effects
    }

    /// Whether recovery in steps is enabled.
    pub(crate) fn is_enabled(&self) -> bool {
        self.recovery.is_some()
    }
}

/// Events about endpoints and members, which are handled first, and the others.
fn split_lists(events: Vec<Event>) -> (Vec<Event>, Vec<Event>) {
    events
        .into_iter()
        .partition(|e| matches!(e, Event::List { .. } | Event::SenderCount(_)))
}
