//! Measurements: what one sender carries on one core, and what the simulated servers carry themselves.
//!
//! A step is a short scenario of steady load to many destinations that have more capacity than it needs. The load is open: a sender
//! that can't sustain it shows rejections, late answers and missing deliveries, and does not slow the load down.

use std::fmt::Write as _;
use std::path::Path;
use std::time::Duration;

use cranehill_simulation::audit::Verdict;
use cranehill_simulation::scenario;
use hdrhistogram::Histogram;

use crate::error::RunError;
use crate::figures::figures;
use crate::outcome::Outcome;
use crate::plan::{Limits, Plan};
use crate::runner::play;

/// Share of the submitted messages that must be delivered for a rate to count as sustained.
const MIN_DELIVERED_SHARE: f64 = 0.999;
/// 99 of 100 answers must arrive within this.
const MAX_ANSWER_P99: Duration = Duration::from_millis(100);
/// If the runner is later than this for 1 of 100 events, the step says nothing of the sender.
const MAX_RUNNER_LATENESS: Duration = Duration::from_millis(20);
/// Time to live of messages; a message that is held for a part of it shows as a late answer or delivery.
const MESSAGE_DURATION_S: u64 = 8;
/// The first rate of a search, in messages a second.
const FIRST_RATE: f64 = 250.0;
/// A search does not go beyond this rate, in messages a second.
const MAX_RATE: f64 = 64_000.0;
/// Bisections between a rate that was sustained and one that was not.
const SEARCH_STEPS: u32 = 4;

/// What is measured.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MeasureOptions {
    /// Endpoints of all destinations together, two for each.
    pub endpoints: usize,
    /// Senders that share the load.
    pub senders: usize,
    /// Submit over Web Push in place of RESP2.
    pub push: bool,
    /// How long messages are submitted in each step.
    pub span: Duration,
    /// Seed of all random draws.
    pub seed: u64,
}

/// Results of one step.
#[derive(Clone, Debug)]
pub struct Step {
    /// Messages a second that were to be submitted.
    pub rate: f64,
    /// Messages that were submitted.
    pub submitted: u64,
    /// Messages that were delivered.
    pub delivered: u64,
    /// Microseconds from submission to the answer: median, 99 and 99.9 of 100.
    pub answered: [u64; 3],
    /// Microseconds from submission to the destination's success: median, 99 and 99.9 of 100.
    pub done: [u64; 3],
    /// Cores that the runner's loop used.
    pub runner_cores: f64,
    /// Cores that the busiest sender used.
    pub sender_cores: f64,
    /// Largest resident memory of a sender, in kB.
    pub memory_kb: u64,
    /// Most open descriptors of a sender at the end.
    pub descriptors: usize,
    /// Within this the runner noticed 99 of 100 events.
    pub late: Duration,
    /// No rule was violated, nothing crashed, and the run was not void.
    pub holds: bool,
    /// The first violation of each rule, the first reason why the run is void, and the first crash.
    pub wrong: Vec<String>,
}

impl Step {
    /// The sender sustained the rate.
    pub fn sustained(&self) -> bool {
        self.holds
            && self.delivered as f64 >= self.submitted as f64 * MIN_DELIVERED_SHARE
            && Duration::from_micros(self.answered[1]) <= MAX_ANSWER_P99
    }

    /// The runner was not late, so the step says something of the sender.
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

    /// The heading of the table whose rows are [`Step::line`].
    pub const HEADING: &str = "  rate/s   handed delivered   answered ms      delivered ms        sender     rig   mem kB    fds  late ms";
}

/// The text of the scenario of one step.
fn scenario_text(options: &MeasureOptions, rate: f64) -> String {
    let destinations = (options.endpoints / 2).max(1);
    // Twice the load of each endpoint, so that the sender is what is measured.
    let capacity = (rate / destinations as f64 * 4.0).max(20.0);
    let seconds = options.span.as_secs_f64();
    let mut text = format!(
        "name = \"{rate:.0} messages a second\"\nsenders = {}\nlasts = \"{seconds} s\"\n[load]\nrate = \"{rate}/s\"\nclumps = 0.0\nzipf = 0.0\n",
        options.senders
    );
    let _ = write!(
        text,
        "[[class]]\nname = \"episode-notice\"\naim = \"2 s\"\nlasts = \"{MESSAGE_DURATION_S} s\"\n"
    );
    let _ = write!(
        text,
        "[[partner]]\nname = \"estacion\"\ncount = {destinations}\nendpoints = 2\npush = {}\ncapacity = \"{capacity}/s\"\nqueue = 1000\npace = \"10 ms\"\nspread = 0.2\n",
        options.push
    );
    text
}

/// Plays one rate against senders of this program.
///
/// # Errors
/// The senders do not start, or a socket fails.
pub fn step(program: &Path, options: &MeasureOptions, rate: f64) -> Result<Step, RunError> {
    let scenario =
        scenario::parse(&scenario_text(options, rate), options.seed).map_err(RunError::Scenario)?;
    // Generous limits: neither descriptors, nor disk, nor calls in flight are measured.
    let limits = Limits {
        memory_mb: 512.0,
        sockets: 4096,
        disk_mb: 256.0,
        calls_out: Some(1000),
    };
    let program = program.to_owned();
    let plan = Plan {
        scenario,
        seed: options.seed,
        program,
        limits,
        mutation: None,
        against: None,
    };
    let outcome = play(&plan, |_, _| {})?;
    Ok(read(&plan, rate, &outcome))
}

fn read(plan: &Plan, rate: f64, outcome: &Outcome) -> Step {
    let figures = figures(&plan.scenario, &outcome.lines, outcome.lasted);
    let seconds = outcome.lasted.as_secs_f64().max(1e-9);
    let senders = &outcome.senders;
    let busiest = senders
        .iter()
        .map(|usage| usage.cpu.as_secs_f64())
        .fold(0.0, f64::max);
    let most_memory = senders.iter().map(|usage| usage.memory_kb).max();
    let most_descriptors = senders.iter().map(|usage| usage.descriptors).max();
    Step {
        rate,
        submitted: outcome.submitted,
        delivered: outcome.delivered,
        answered: quantiles(&figures.answer_latency),
        done: quantiles(&figures.delivery_latency),
        runner_cores: outcome.runner_cpu.as_secs_f64() / seconds,
        sender_cores: busiest / seconds,
        memory_kb: most_memory.unwrap_or(0),
        descriptors: most_descriptors.unwrap_or(0),
        late: outcome.late.1,
        holds: outcome.holds(),
        wrong: wrong(outcome),
    }
}

fn quantiles(latency: &Histogram<u64>) -> [u64; 3] {
    [0.5, 0.99, 0.999].map(|quantile| latency.value_at_quantile(quantile))
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

/// Searches for the highest rate that is sustained; `each` is called with every step. `None` if not even the first rate is.
///
/// # Errors
/// The senders do not start, or a socket fails.
pub fn highest(
    program: &Path,
    options: &MeasureOptions,
    mut each: impl FnMut(&Step),
) -> Result<Option<Step>, RunError> {
    let mut best: Option<Step> = None;
    let (mut rate, mut failed) = (FIRST_RATE, None);
    while failed.is_none() && rate <= MAX_RATE {
        let step = step(program, options, rate)?;
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
        let step = step(program, options, rate)?;
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
