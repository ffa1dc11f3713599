//! The end of a run: kills the senders and audits the recorded events.

use cranehill_simulation::audit::{Auditor, Class, RuleLimits};
use cranehill_simulation::scenario::Effect;

use super::state::Runner;
use crate::outcome::Outcome;

impl Runner<'_> {
    /// Collects the senders' resource usage and views of the fleet, kills the senders, and audits the recorded events.
    pub(super) fn finish(mut self) -> Outcome {
        let end = self.now();
        self.outcome.began = self.started_unix;
        self.outcome.views = self.fleet_views();
        self.outcome.senders = self
            .senders
            .iter()
            .map(|sender| sender.process.resource_usage())
            .collect();
        self.senders
            .iter_mut()
            .for_each(|sender| sender.process.kill());
        let classes = self
            .scenario
            .classes
            .iter()
            .map(|class| audited_class(class.effect))
            .collect();
        let mut auditor = Auditor::new(RuleLimits::default(), classes);
        self.log
            .records
            .iter()
            .for_each(|record| auditor.observe(record));
        let lateness = self.log.lateness();
        Outcome {
            verdicts: auditor.verdicts(end, lateness.p99),
            worth: self.clients.worth(),
            worth_over_time: self.clients.worth_over_time(),
            late: (lateness.max, lateness.p99),
            lasted: end,
            lines: self.log.records,
            ..self.outcome
        }
    }
}

fn audited_class(effect: Effect) -> Class {
    match effect {
        Effect::Safe => Class::Safe,
        Effect::Keyed { window } => Class::Keyed { window },
        Effect::Unsafe => Class::Unsafe,
    }
}
