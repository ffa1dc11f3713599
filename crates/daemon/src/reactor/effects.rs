//! Inputs go to the core, and the effects that it answers with are carried out.

use super::*;

impl Reactor {
    pub(super) fn step(&mut self, input: Input) {
        self.dirty = true;
        let effects = self.core.step(self.clock.now(), input);
        self.carry_out(effects);
    }

    pub(super) fn carry_out(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Persist(records) if mutation::is(Mutation::AnswersFirst) => {
                    self.unwritten.extend(records);
                    let effects = self
                        .core
                        .step(self.clock.now(), Input::Persisted(Persisted::All));
                    self.carry_out(effects);
                }
                Effect::Persist(records) => {
                    let now = millis(self.clock.now());
                    let forgets = mutation::is(Mutation::ForgetsJournal);
                    let journal = self.journal.as_mut().filter(|_| !forgets);
                    let kept = match journal.map_or(Ok(()), |j| j.append(now, &records)) {
                        Ok(()) => Persisted::All,
                        Err(e) => {
                            log::error!(records = records.len(), kept:? = e.kept;
                                "journal: of {} records kept: {:?}: {e}", records.len(), e.kept);
                            e.kept
                        }
                    };
                    // What could not be kept has ended in the core: another turn must take that in.
                    self.dirty |= kept != Persisted::All;
                    let effects = self.core.step(self.clock.now(), Input::Persisted(kept));
                    self.carry_out(effects);
                }
                Effect::Answer {
                    to: Origin::Client(connection),
                    id,
                    answer,
                } => {
                    log::trace!("message {id}: client {connection} is answered {answer:?}");
                    self.answer(connection, client_protocol::write_answer(answer));
                }
                Effect::Answer {
                    to: Origin::Waiting(connection),
                    id,
                    answer,
                } => {
                    self.answer(connection, webpush::write_answer(answer, &id));
                }
                Effect::Answer {
                    to: Origin::Restored,
                    ..
                } => {}
                Effect::Call {
                    endpoint,
                    address,
                    attempts,
                } => self.call(endpoint, address, attempts),
                Effect::SendFinalReport { .. } if mutation::is(Mutation::DropsReports) => {}
                Effect::SendFinalReport { id, final_report } => {
                    log::trace!("message {id}: final report due, {final_report:?}");
                    self.reports.add(id, final_report);
                }
                Effect::CancelUnwritten { endpoints } => self.hold_back(&endpoints),
                Effect::CloseIdle(endpoint) => self.close_idle(&endpoint),
                Effect::CheckHealth { endpoint, address } => self.check(endpoint, address),
                Effect::WakeAt(at) => {
                    self.wakes.insert(at);
                }
                Effect::Fleet(effect) => self.on_fleet(effect),
                Effect::Zone(change) => {
                    fleet::log_zone(&change, &self.platform_settings.names.zones)
                }
                Effect::Detached { by, known, now } => self.detached(by, known, &now),
                Effect::PersistLearnedState(bytes) => self.remember(&bytes),
                Effect::RecoveryComplete(took) => {
                    log::info!(event = "recovery-complete", took_ms = took.as_millis() as u64;
                        "recovery: complete {took:?} after the start");
                }
            }
        }
    }
}
