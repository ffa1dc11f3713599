//! Passes inputs to the core, and carries out the effects that it returns, in their order.

use std::time::Duration;

use cranehill_core::mutation::{self, Mutation};
use cranehill_core::{Answer, Effect, Input, Origin, Persisted, Record};

use super::Reactor;
use crate::upstream::UpstreamPool;
use crate::{client_ingress, client_protocol, fleet_log, webpush};

impl Reactor {
    /// Passes an input to the core, and schedules a tick, since its decisions may depend on the input.
    pub(super) fn step(&mut self, input: Input) {
        self.dirty = true;
        self.step_without_tick(input);
    }

    /// Passes an input to the core that does not affect its decisions, so no tick is needed.
    pub(super) fn step_without_tick(&mut self, input: Input) {
        let effects = self.core.step(self.clock.now(), input);
        self.carry_out(effects);
    }

    pub(super) fn carry_out(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            self.carry_out_one(effect);
        }
    }

    fn carry_out_one(&mut self, effect: Effect) {
        match effect {
            Effect::Persist(records) => self.persist(records),
            Effect::Answer { to, id, answer } => self.answer(to, &id, answer),
            Effect::Call {
                endpoint,
                address,
                attempts,
            } => self.call(&endpoint, &address, attempts),
            Effect::SendFinalReport { .. } if mutation::is_enabled(Mutation::DropsReports) => {}
            Effect::SendFinalReport { id, final_report } => {
                self.final_reports.add(id, final_report);
            }
            Effect::CancelUnwritten { endpoints } => self.cancel_unwritten_calls(&endpoints),
            Effect::CloseIdle(endpoint) => {
                UpstreamPool::close_idle(&mut self.connections, &endpoint);
            }
            Effect::CheckHealth { endpoint, address } => self.check_health(endpoint, &address),
            Effect::WakeAt(at) => {
                self.wakeups.insert(at);
            }
            Effect::Fleet(effect) => self.carry_out_for_fleet(effect),
            Effect::Zone(change) => fleet_log::log_zone(&change, &self.platform_settings),
            Effect::Detached {
                connection,
                known,
                detachments,
            } => self.on_detached(connection, known, &detachments),
            Effect::PersistLearnedState(bytes) => {
                self.state_store
                    .write_learned_state(&bytes, self.clock.now());
            }
            Effect::RecoveryComplete(recovery_duration) => log_recovery_complete(recovery_duration),
        }
    }

    fn persist(&mut self, records: Vec<Record>) {
        let persisted = self.journal.append(records, self.clock.now());
        // The core completes messages that could not be persisted, so another tick is needed.
        self.dirty |= persisted != Persisted::All;
        self.step_without_tick(Input::Persisted(persisted));
    }

    fn answer(&mut self, to: Origin, id: &str, answer: Answer) {
        let (connection, bytes) = match to {
            Origin::Client(connection) => {
                log::trace!("message {id}: answered on connection {connection}: {answer:?}");
                (connection, client_protocol::write_answer(answer))
            }
            Origin::Waiting(connection) => (connection, webpush::write_answer(answer, id)),
            Origin::Restored => return,
        };
        // During shutdown, and while the sender drains, connections are closed between requests.
        let closing = !self.listeners.is_open() || self.drain.is_active();
        let now = self.clock.now();
        client_ingress::answer(&mut self.connections, connection, &bytes, closing, now);
    }
}

fn log_recovery_complete(recovery_duration: Duration) {
    log::info!(event = "recovery-complete", took_ms = recovery_duration.as_millis() as u64;
        "recovery: completed {recovery_duration:?} after the start");
}
