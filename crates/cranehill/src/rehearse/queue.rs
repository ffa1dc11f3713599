//! Runs plans, up to `--jobs` in parallel, and passes their outcomes on in order.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Sender, channel};
use std::thread;

use cranehill_scenario_runner::{Outcome, Plan, RunError, play, report};
use indicatif::ProgressBar;

use super::error::RehearseError;
use crate::progress::named_bar;

type Played = (usize, Result<Outcome, RunError>);

/// Runs up to `jobs` plans in parallel; `on_outcome` is called with each plan's index and outcome, in the order of the plans.
///
/// After an error, plans that have begun are run to their end and no further ones begin. The first error is returned.
pub(super) fn play_all(
    plans: &[Plan],
    jobs: usize,
    mut on_outcome: impl FnMut(usize, Outcome) -> Result<(), RehearseError>,
) -> Result<(), RehearseError> {
    let jobs = jobs.clamp(1, plans.len().max(1));
    let is_single = jobs == 1;
    let queue = PlanQueue {
        plans,
        next: AtomicUsize::new(0),
        is_single,
        progress_bar: named_bar(if is_single { "" } else { "scenarios" }),
    };
    queue.progress_bar.set_length(plans.len() as u64);
    let (outcome_sender, outcomes) = channel();
    thread::scope(|scope| {
        for _ in 0..jobs {
            let (queue, outcome_sender) = (&queue, outcome_sender.clone());
            scope.spawn(move || queue.play_until_empty(&outcome_sender));
        }
        // Only the workers hold senders of the channel now, so the loop below ends when the last worker does.
        drop(outcome_sender);
        let mut waiting = BTreeMap::new();
        let mut next_in_order = 0;
        let mut result = Ok(());
        for (index, played) in outcomes {
            waiting.insert(index, played);
            while let Some(played) = waiting.remove(&next_in_order) {
                let handled = match played {
                    Ok(outcome) => queue
                        .progress_bar
                        .suspend(|| on_outcome(next_in_order, outcome)),
                    Err(e) => Err(e.into()),
                };
                next_in_order += 1;
                if handled.is_err() {
                    queue.stop();
                    result = result.and(handled);
                }
            }
        }
        queue.progress_bar.finish_and_clear();
        result
    })
}

/// The plans to run, from which each worker fetches the next one when it has finished the last.
struct PlanQueue<'plans> {
    plans: &'plans [Plan],
    next: AtomicUsize,
    /// Whether one plan runs at a time. The progress bar then shows the time within the plan; otherwise, the number of finished plans.
    is_single: bool,
    progress_bar: ProgressBar,
}

impl PlanQueue<'_> {
    /// Prevents the workers from beginning further plans.
    fn stop(&self) {
        self.next.store(self.plans.len(), Ordering::Relaxed);
    }

    fn play_until_empty(&self, outcomes: &Sender<Played>) {
        loop {
            let index = self.next.fetch_add(1, Ordering::Relaxed);
            let Some(plan) = self.plans.get(index) else {
                return;
            };
            if outcomes.send((index, self.play(plan))).is_err() {
                return;
            }
        }
    }

    fn play(&self, plan: &Plan) -> Result<Outcome, RunError> {
        if self.is_single {
            self.progress_bar.set_message(plan.scenario.name.clone());
        }
        let played = play(plan, |now, end| {
            if self.is_single {
                self.progress_bar.set_length(end.as_millis() as u64);
                self.progress_bar.set_position(now.as_millis() as u64);
            }
        });
        if !self.is_single {
            self.progress_bar.inc(1);
        }
        played
    }
}

/// Prints the table of rules and figures of an outcome.
pub(super) fn print_table(plan: &Plan, outcome: &Outcome) {
    report::table(&plan.scenario.name, plan.seed, outcome)
        .iter()
        .for_each(|line| println!("{line}"));
}
