//! Measurements: what one sender carries on one core, and what the simulated servers carry themselves.
//!
//! A step is a short day of steady load to many destinations that could take more. The load is open, so a sender that can't
//! keep up shows by refusals, late answers and what is never delivered, and not by a load that slows down with it.

use std::fmt::Write as _;
use std::path::Path;
use std::time::Duration;

use cranehill_simulation::audit::Verdict;
use cranehill_simulation::scenario;

use crate::figures::{Figures, figures};
use crate::{Limits, Outcome, Plan, RunError, play};

/// Delivered of what is submitted, for a rate to count as sustained. What a kind of errors would cost is far more.
const MIN_DELIVERED_SHARE: f64 = 0.999;
/// Answers come within this, 99 of 100 times.
const MAX_ANSWER_P99: Duration = Duration::from_millis(100);
/// Beyond this lateness of the rig, 99 of 100 times, nothing can be said of the sender.
const MAX_RUNNER_LATENESS: Duration = Duration::from_millis(20);
/// Messages last so long; what is held longer than a fraction of it shows as a late answer or delivery.
const MESSAGE_DURATION_S: u64 = 8;
/// A search begins here and goes no further than that, in messages a second.
const FIRST_RATE: f64 = 250.0;
const MAX_RATE: f64 = 64_000.0;
/// Halvings of the span between a rate that held and one that did not.
const SEARCH_STEPS: u32 = 4;

/// What is measured.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MeasureOptions {
    /// Endpoints of all destinations together, two for each.
    pub endpoints: usize,
    pub senders: usize,
    /// Over Web Push in place of the first front.
    pub push: bool,
    /// How long a step hands in.
    pub span: Duration,
    pub seed: u64,
}

/// One step.
#[derive(Clone, Debug)]
pub struct Step {
    /// Messages a second that were asked for.
    pub rate: f64,
    pub submitted: u64,
    pub delivered: u64,
    /// Median, 99 and 99.9 of 100 from handing in to the answer, and to the destination's 200, in microseconds.
    pub answered: [u64; 3],
    pub done: [u64; 3],
    /// Cores that the rig's one loop was busy with, and each sender.
    pub runner_cores: f64,
    pub sender_cores: f64,
    /// The most that one sender had: resident memory in kB, open descriptors.
    pub memory_kb: u64,
    pub descriptors: usize,
    pub late: Duration,
    pub holds: bool,
    /// What was broken, void or ended by itself, the first of each.
    pub wrong: Vec<String>,
}

impl Step {
    /// The sender kept up.
    pub fn sustained(&self) -> bool {
        self.holds
            && self.delivered as f64 >= self.submitted as f64 * MIN_DELIVERED_SHARE
            && Duration::from_micros(self.answered[1]) <= MAX_ANSWER_P99
    }

    /// The rig kept up, so that the step says something.
    pub fn clear(&self) -> bool {
        self.late <= MAX_RUNNER_LATENESS
    }

    /// The step as a line of a table; its heading is [`Step::HEADING`].
    pub fn line(&self) -> String {
        let ms = |us: [u64; 3]| us.map(|v| format!("{:.1}", v as f64 / 1e3)).join("/");
        format!(
            "{:>8.0} {:>8} {:>9} {:>16} {:>18} {:>7.2} {:>7.2} {:>8} {:>6} {:>8.1}  {}",
            self.rate,
            self.submitted,
            self.delivered,
            ms(self.answered),
            ms(self.done),
            self.sender_cores,
            self.runner_cores,
            self.memory_kb,
            self.descriptors,
            self.late.as_secs_f64() * 1e3,
            match (self.clear(), self.sustained()) {
                (false, _) => "rig too late",
                (true, true) => "kept up",
                (true, false) => "did not keep up",
            }
        )
    }

    pub const HEADING: &str = "  rate/s   handed delivered   answered ms      delivered ms        sender     rig   mem kB    fds  late ms";
}

/// The day of one step.
fn text(setup: &MeasureOptions, rate: f64) -> String {
    let destinations = (setup.endpoints / 2).max(1);
    // Twice what comes, so that no destination is what is measured.
    let capacity = (rate / destinations as f64 * 4.0).max(20.0);
    let seconds = setup.span.as_secs_f64();
    let mut text = format!(
        "name = \"{rate:.0} messages a second\"\nsenders = {}\nlasts = \"{seconds} s\"\n[load]\nrate = \"{rate}/s\"\nclumps = 0.0\nzipf = 0.0\n",
        setup.senders
    );
    let _ = write!(
        text,
        "[[class]]\nname = \"episode-notice\"\naim = \"2 s\"\nlasts = \"{MESSAGE_DURATION_S} s\"\n"
    );
    let _ = write!(
        text,
        "[[partner]]\nname = \"estacion\"\ncount = {destinations}\nendpoints = 2\npush = {}\ncapacity = \"{capacity}/s\"\nqueue = 1000\npace = \"10 ms\"\nspread = 0.2\n",
        setup.push
    );
    text
}

/// Plays one rate against this program.
pub fn step(program: &Path, setup: &MeasureOptions, rate: f64) -> Result<Step, RunError> {
    let scenario = scenario::parse(&text(setup, rate), setup.seed)
        .map_err(|e| RunError::Scenario(e.to_string()))?;
    // Room in plenty: neither descriptors, nor the disk, nor the calls that may be out are what is measured.
    let limits = Limits {
        memory_mb: 512.0,
        sockets: 4096,
        disk_mb: 256.0,
        calls_out: Some(1000),
    };
    let program = program.to_owned();
    let plan = Plan {
        scenario,
        seed: setup.seed,
        program,
        limits,
        mutation: None,
        against: None,
    };
    let outcome = play(&plan, |_, _| {})?;
    Ok(read(&plan, rate, &outcome))
}

fn read(plan: &Plan, rate: f64, outcome: &Outcome) -> Step {
    let Figures {
        answered,
        delivered,
        ..
    } = figures(&plan.scenario, &outcome.lines, outcome.lasted);
    let quantiles =
        |h: &hdrhistogram::Histogram<u64>| [0.5, 0.99, 0.999].map(|q| h.value_at_quantile(q));
    let span = outcome.lasted.as_secs_f64().max(1e-9);
    let most =
        |of: fn(&crate::ResourceUsage) -> f64| outcome.senders.iter().map(of).fold(0.0, f64::max);
    Step {
        rate,
        submitted: outcome.submitted,
        delivered: outcome.delivered,
        answered: quantiles(&answered),
        done: quantiles(&delivered),
        runner_cores: outcome.runner_cpu.as_secs_f64() / span,
        sender_cores: most(|u| u.cpu.as_secs_f64()) / span,
        memory_kb: outcome
            .senders
            .iter()
            .map(|u| u.memory_kb)
            .max()
            .unwrap_or(0),
        descriptors: outcome
            .senders
            .iter()
            .map(|u| u.descriptors)
            .max()
            .unwrap_or(0),
        late: outcome.late.1,
        holds: outcome.holds(),
        wrong: wrong(outcome),
    }
}

fn wrong(outcome: &Outcome) -> Vec<String> {
    let mut all: Vec<String> = outcome
        .crashed
        .iter()
        .map(|s| format!("sender {s} ended by itself"))
        .take(1)
        .collect();
    all.extend(outcome.void.first().cloned());
    for (_, verdict) in &outcome.verdicts {
        if let Verdict::Broken(violations) = verdict {
            all.extend(
                violations
                    .first()
                    .map(|b| format!("{} times: {b}", violations.len())),
            );
        }
    }
    all
}

/// Looks for the highest rate that is sustained; `each` hears of every step. `None` if not even the first rate is.
pub fn highest(
    program: &Path,
    setup: &MeasureOptions,
    mut each: impl FnMut(&Step),
) -> Result<Option<Step>, RunError> {
    let mut best: Option<Step> = None;
    let (mut rate, mut failed) = (FIRST_RATE, None);
    while failed.is_none() && rate <= MAX_RATE {
        let step = step(program, setup, rate)?;
        each(&step);
        if step.sustained() && step.clear() {
            rate *= 2.0;
            best = Some(step);
        } else {
            failed = Some(rate);
        }
    }
    let (Some(mut above), Some(mut below)) = (failed, best.as_ref().map(|b| b.rate)) else {
        return Ok(best);
    };
    for _ in 0..SEARCH_STEPS {
        let rate = (above + below) / 2.0;
        let step = step(program, setup, rate)?;
        each(&step);
        if step.sustained() && step.clear() {
            below = rate;
            best = Some(step);
        } else {
            above = rate;
        }
    }
    Ok(best)
}
