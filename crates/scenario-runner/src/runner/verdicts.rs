//! The end of a run: the senders are killed, and the record is audited.

use cranehill_simulation::audit::{Auditor, Class, Figures};
use cranehill_simulation::scenario::Effect;

use super::state::Runner;
use crate::outcome::Outcome;

impl Runner<'_> {
    /// Ends the senders and audits the record.
    pub(super) fn finish(mut self) -> Outcome {
        let end = self.now();
        self.outcome.began = self.started_unix;
        self.outcome.views = self.fleet_views();
        self.outcome.senders = self
            .senders
            .iter()
            .map(|s| s.process.resource_usage())
            .collect();
        self.senders.iter_mut().for_each(|s| s.process.kill());
        let classes = self
            .scenario
            .classes
            .iter()
            .map(|c| audited_class(c.effect))
            .collect();
        let mut auditor = Auditor::new(Figures::default(), classes);
        self.log.lines.iter().for_each(|l| auditor.hear(l));
        let lateness = self.log.lateness();
        Outcome {
            verdicts: auditor.verdicts(end, lateness.usual),
            worth: self.clients.worth(),
            worth_over_time: self.clients.worth_over_time(),
            late: (lateness.most, lateness.usual),
            lasted: end,
            lines: self.log.lines,
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
