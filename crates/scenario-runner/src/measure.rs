//! Measurements: the message rate that a sender sustains on one core, and the processor time that the runner itself needs.
//!
//! A step is a short scenario with a steady load to many destinations that have more capacity than the load needs. The load is open:
//! messages arrive at the same rate however slow the sender is, so one that can't sustain the rate shows rejections, late answers and
//! missing deliveries.

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
/// Upper bound on the 99th percentile of the answer latency for a rate to count as sustained.
const MAX_ANSWER_P99: Duration = Duration::from_millis(100);
/// If the runner notices more than 1 of 100 events later than this, the step's results may show the runner's delays instead of the
/// sender's.
const MAX_RUNNER_LATENESS: Duration = Duration::from_millis(20);
/// Time to live of the messages. It is far longer than the latencies to be measured, so that a delayed message shows as a late
/// answer or delivery and does not expire.
const MESSAGE_DURATION_S: u64 = 8;
/// The first rate of a search, in messages a second.
const FIRST_RATE: f64 = 250.0;
/// The highest rate that a search tries before bisection, in messages a second.
const MAX_RATE: f64 = 64_000.0;
/// Number of bisections between the highest rate that was sustained and the lowest that was not.
const SEARCH_STEPS: u32 = 4;

/// The load of a measurement, and the senders that share it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MeasureOptions {
    /// Number of endpoints of all destinations together. Each destination has two.
    pub endpoints: usize,
    /// Number of senders that share the load.
    pub senders: usize,
    /// Submit messages over Web Push instead of RESP2.
    pub push: bool,
    /// Duration of each step, in which messages are submitted.
    pub span: Duration,
    /// Seed of all random draws.
    pub seed: u64,
}

/// Results of one step.
#[derive(Clone, Debug)]
pub struct Step {
    /// Intended rate of submissions, in messages a second.
    pub rate: f64,
    /// Number of submissions, including repeated ones.
    pub submitted: u64,
    /// Number of messages that were delivered.
    pub delivered: u64,
    /// Microseconds from submission to the sender's answer: median, 99th and 99.9th percentile.
    pub answered: [u64; 3],
    /// Microseconds from submission to the destination's successful reply: median, 99th and 99.9th percentile.
    pub done: [u64; 3],
    /// Average number of cores that the runner's event loop used.
    pub runner_cores: f64,
    /// Average number of cores that the busiest sender used.
    pub sender_cores: f64,
    /// Largest resident memory of a sender, in kB.
    pub memory_kb: u64,
    /// Largest number of open file descriptors of a sender at the end.
    pub descriptors: usize,
    /// 99th percentile of the delay with which the runner noticed events.
    pub late: Duration,
    /// Whether no rule was violated, no sender crashed, and the run was not void.
    pub holds: bool,
    /// The first crash, the first reason why the run is void, and the first violation of each rule, as text.
    pub wrong: Vec<String>,
}

impl Step {
    /// Whether the senders sustained the rate: [`holds`](Step::holds), enough messages delivered, and answers fast enough.
    pub fn sustained(&self) -> bool {
        self.holds
            && self.delivered as f64 >= self.submitted as f64 * MIN_DELIVERED_SHARE
            && Duration::from_micros(self.answered[1]) <= MAX_ANSWER_P99
    }

    /// Whether the runner noticed events early enough for the step to be a measurement of the senders.
    pub fn clear(&self) -> bool {
        self.late <= MAX_RUNNER_LATENESS
    }

    /// The step as a row of the table whose heading is [`Step::HEADING`].
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
                (false, _) => "runner too late",
                (true, true) => "kept up",
                (true, false) => "did not keep up",
            }
        )
    }

    /// The heading of the table whose rows are [`Step::line`]. `handed` counts submissions; `sender` and `rig` are the cores that the
    /// busiest sender and the runner used.
    pub const HEADING: &str = "  rate/s   handed delivered   answered ms      delivered ms        sender     rig   mem kB    fds  late ms";
}

/// The scenario file of one step.
fn scenario_text(options: &MeasureOptions, rate: f64) -> String {
    let destinations = (options.endpoints / 2).max(1);
    // Each destination has four times the capacity that its load needs, so that the sender is the bottleneck.
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

/// Plays one step, at `rate` messages a second, with the senders' executable `program`.
///
/// # Errors
/// A sender does not start, or a socket or file operation fails.
pub fn step(program: &Path, options: &MeasureOptions, rate: f64) -> Result<Step, RunError> {
    let scenario =
        scenario::parse(&scenario_text(options, rate), options.seed).map_err(RunError::Scenario)?;
    // High limits, so that neither sockets, nor disk space, nor calls in flight bound the rate.
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
    Ok(step_results(&plan, rate, &outcome))
}

fn step_results(plan: &Plan, rate: f64, outcome: &Outcome) -> Step {
    let figures = figures(&plan.scenario, &outcome.lines, outcome.lasted);
    let seconds = outcome.lasted.as_secs_f64().max(1e-9);
    let senders = &outcome.senders;
    let busiest_cpu_seconds = senders
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
        sender_cores: busiest_cpu_seconds / seconds,
        memory_kb: most_memory.unwrap_or(0),
        descriptors: most_descriptors.unwrap_or(0),
        late: outcome.late.1,
        holds: outcome.holds(),
        wrong: problems(outcome),
    }
}

fn quantiles(latency: &Histogram<u64>) -> [u64; 3] {
    [0.5, 0.99, 0.999].map(|quantile| latency.value_at_quantile(quantile))
}

fn problems(outcome: &Outcome) -> Vec<String> {
    let mut problems: Vec<String> = outcome
        .crashed
        .iter()
        .map(|sender| format!("sender {sender}: its process exited unexpectedly"))
        .take(1)
        .collect();
    problems.extend(outcome.void.first().cloned());
    for (_, verdict) in &outcome.verdicts {
        if let Verdict::Broken(violations) = verdict {
            problems.extend(
                violations
                    .first()
                    .map(|first| format!("{} violations, first: {first}", violations.len())),
            );
        }
    }
    problems
}

/// Searches for the highest sustained rate: doubles the rate until a step is not sustained or the runner is too late in it, then
/// bisects. Ends without bisection once the rate exceeds 64,000 messages a second. `on_step` is called with every step. `None` if the
/// first step, with 250 messages a second, fails.
///
/// # Errors
/// A sender does not start, or a socket or file operation fails.
pub fn highest(
    program: &Path,
    options: &MeasureOptions,
    mut on_step: impl FnMut(&Step),
) -> Result<Option<Step>, RunError> {
    let mut best: Option<Step> = None;
    let (mut rate, mut failed) = (FIRST_RATE, None);
    while failed.is_none() && rate <= MAX_RATE {
        let step = step(program, options, rate)?;
        on_step(&step);
        if step.sustained() && step.clear() {
            rate *= 2.0;
            best = Some(step);
        } else {
            failed = Some(rate);
        }
    }
    let (Some(mut above), Some(mut below)) = (failed, best.as_ref().map(|step| step.rate)) else {
        return Ok(best);
    };
    for _ in 0..SEARCH_STEPS {
        let rate = (above + below) / 2.0;
        let step = step(program, options, rate)?;
        on_step(&step);
        if step.sustained() && step.clear() {
            below = rate;
            best = Some(step);
        } else {
            above = rate;
        }
    }
    Ok(best)
}
