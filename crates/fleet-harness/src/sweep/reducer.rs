//! Runs the reducer alone, with the clock as an input, to measure the processor time of its steps and the order of its work
//! queue.

use std::sync::Arc;
use std::time::Duration;

use cranehill_core::{AttemptOutcome, Core, Effect, Input, Listing, Persisted, Record};
use cranehill_scheduler::Time;
use cranehill_scheduler::api::{Condition, DestinationId, EndpointId, Entry, Status};

use super::sender::{EVENT_DURATION, settings};
use crate::invalid_settings::{InvalidSettings, parse_settings};
use crate::simulated::usage::thread_cpu;

/// Start of the reducer's clock.
const START: Time = Time(1_764_590_000_000_000_000);
/// Time between two turns.
const TICK: Duration = Duration::from_millis(5);

/// An endpoint list of this many destinations, with one endpoint each.
pub(super) fn listings(destinations: u64) -> Vec<Listing> {
    let listing = |number: u64| Listing {
        entry: Entry {
            endpoint: EndpointId(format!("s-{number:08x}")),
            destination: DestinationId(number),
            condition: Condition::Ready,
            zone: (number % 6) as u32,
            kind: 0,
            rate: 40.0,
        },
        address: "127.0.0.1:9".into(),
    };
    (0..destinations).map(listing).collect()
}

/// Hashes a number with the mixing function of SplitMix64, so that ids and deadlines are spread and the same in every run.
pub(super) fn mixed(number: u64) -> u64 {
    let mut state = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    state = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    state = (state ^ (state >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    state ^ (state >> 31)
}

/// The journal record of one event of a backlog, accepted at `now` (ns since 1970). Its deadline is at least half of
/// [`EVENT_DURATION`] away.
pub(super) fn event(number: u64, destinations: u64, now: u64, body: &Arc<[u8]>) -> Record {
    let duration = EVENT_DURATION.as_nanos() as u64;
    Record::Accepted {
        id: format!("{:016x}", mixed(number)),
        class: 0,
        tenant: 0,
        destination: number % destinations,
        idempotency_key: Some(format!("{:016x}", mixed(!number))),
        ordering_key: None,
        deadline: now + duration / 2 + mixed(number ^ 0x5eed) % (duration / 2),
        accepted_at: now,
        body: body.clone(),
    }
}

/// A reducer with an endpoint list, whose clock advances only with [`SteppedReducer::turn`].
pub(super) struct SteppedReducer {
    core: Core,
    now: Time,
}

/// Processor time, attempts and final reports of one turn.
#[derive(Debug, Default)]
pub(super) struct Turn {
    /// Processor time of the turn.
    pub took: Duration,
    /// Attempts that were started: id of the event and number of the attempt.
    pub calls: Vec<(String, u32)>,
    /// Number of final reports. A backlog's events are reported when they expire.
    pub expired: u64,
}

impl SteppedReducer {
    /// A reducer with a limit of `max_pending` pending events, and an endpoint list of this many destinations.
    pub(super) fn new(
        max_pending: u64,
        destinations: u64,
    ) -> Result<SteppedReducer, InvalidSettings> {
        let settings = parse_settings(settings(max_pending))?;
        let core = Core::new(settings, 1, START).map_err(InvalidSettings::new)?;
        let mut reducer = SteppedReducer { core, now: START };
        reducer.list(destinations);
        Ok(reducer)
    }

    /// Applies a full endpoint list. Returns the processor time of the step and of the turn after it.
    pub(super) fn list(&mut self, destinations: u64) -> Duration {
        let list = listings(destinations);
        let cpu_before = thread_cpu();
        self.core
            .step(self.now, Input::EndpointsChanged { whole: true, list });
        let step = thread_cpu() - cpu_before;
        step + self.turn().took
    }

    /// Restores a backlog of this many events from journal records. Returns the processor time of the step.
    pub(super) fn recover(&mut self, events: u64, destinations: u64, body: &Arc<[u8]>) -> Duration {
        let records: Vec<Record> = (0..events)
            .map(|n| event(n, destinations, START.0, body))
            .collect();
        let cpu_before = thread_cpu();
        self.core.step(self.now, Input::Recovered(records));
        thread_cpu() - cpu_before
    }

    /// Advances the clock by one tick and runs the due timers. All journal records count as persisted immediately.
    pub(super) fn turn(&mut self) -> Turn {
        self.now = self.now + TICK;
        let cpu_before = thread_cpu();
        let mut effects = self.core.step(self.now, Input::TimerFired);
        effects.extend(self.core.step(self.now, Input::TickEnded));
        if matches!(effects.last(), Some(Effect::Persist(_))) {
            effects.pop();
            effects.extend(self.core.step(self.now, Input::Persisted(Persisted::All)));
        }
        let mut turn = Turn {
            took: thread_cpu() - cpu_before,
            ..Turn::default()
        };
        for effect in effects {
            match effect {
                Effect::Call { attempts, .. } => {
                    turn.calls.extend(
                        attempts
                            .into_iter()
                            .map(|attempt| (attempt.id, attempt.number)),
                    );
                }
                Effect::SendFinalReport { .. } => turn.expired += 1,
                _ => {}
            }
        }
        turn
    }

    /// Reports these attempts as executed by the destinations.
    pub(super) fn serve(&mut self, calls: Vec<(String, u32)>) {
        let end = |(id, attempt)| AttemptOutcome {
            id,
            attempt,
            status: Status::Served,
            is_final: true,
            duration: TICK,
            retry_after: None,
            load_report: None,
        };
        self.core.step(
            self.now,
            Input::AttemptsFinished(calls.into_iter().map(end).collect()),
        );
    }
}
