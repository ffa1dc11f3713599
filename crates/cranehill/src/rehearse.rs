//! `cranehill rehearse`: days and push scripts, one after the other.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use cranehill_scenario_runner::measure::{self, Step};
use cranehill_scenario_runner::mutations::CASES;
use cranehill_scenario_runner::{
    Against, Limits, Outcome, Plan, node_config, play, report, report_files,
};
use cranehill_simulation::scenario;
use indicatif::{ProgressBar, ProgressStyle};

use crate::rehearsal;

/// What is played without a file.
const CALM: &str = include_str!("../../../rehearsals/days/calm.toml");

/// What the command line asks for.
#[derive(Clone, Debug)]
pub struct RehearseArgs {
    /// Days, scripts of pushes, or folders whose days are all played.
    pub files: Vec<PathBuf>,
    pub seed: u64,
    pub repeat: u64,
    /// Days at once.
    pub jobs: usize,
    pub senders: Option<usize>,
    /// A sender that runs already, and the directory that it asks.
    pub against: Option<SocketAddr>,
    pub directory: Option<SocketAddr>,
    /// Write the configuration of such a sender there, and play nothing.
    pub write_config: Option<PathBuf>,
    /// Where reports go.
    pub out: Option<PathBuf>,
}

/// The files asked for; of a folder its days, by name.
fn gather(files: &[PathBuf]) -> Result<Vec<PathBuf>, String> {
    let mut all = Vec::new();
    for path in files {
        if !path.is_dir() {
            all.push(path.clone());
            continue;
        }
        let read = std::fs::read_dir(path).map_err(|e| format!("{}: {e}", path.display()))?;
        let mut scenarios: Vec<PathBuf> = read.map_while(Result::ok).map(|e| e.path()).collect();
        scenarios.retain(|p| p.extension().is_some_and(|e| e == "toml"));
        if scenarios.is_empty() {
            return Err(format!("{}: there is no day in it", path.display()));
        }
        scenarios.sort_unstable();
        all.extend(scenarios);
    }
    Ok(all)
}

/// Plays all that is asked for; false if a rule is broken or an expectation missed. An error if a file can't be played, or
/// the machine was too busy to judge.
pub fn all(order: &RehearseArgs) -> Result<bool, String> {
    let mut plans = Vec::new();
    let mut scripts = Vec::new();
    let seeds = order.seed..order.seed.saturating_add(order.repeat);
    // All files are checked before any is played.
    for path in gather(&order.files)? {
        let text =
            std::fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))?;
        if path.extension().is_some_and(|e| e == "toml") {
            for seed in seeds.clone() {
                plans.push(
                    plan(&text, seed, order).map_err(|e| format!("{}: {e}", path.display()))?,
                );
            }
        } else {
            scripts.push(rehearsal::parse(&text).map_err(|e| format!("{}: {e}", path.display()))?);
        }
    }
    if order.files.is_empty() {
        for seed in seeds {
            plans.push(plan(CALM, seed, order)?);
        }
    }
    if let (Some(path), Some(directory)) = (&order.write_config, order.directory) {
        let [plan] = plans.as_slice() else {
            return Err("--write-config is for one day".into());
        };
        let config = node_config(plan, directory);
        std::fs::write(path, config).map_err(|e| format!("{}: {e}", path.display()))?;
        println!(
            "{}: for a sender that asks the directory at {directory}",
            path.display()
        );
        return Ok(true);
    }
    let (mut holds, mut unclear) = (true, 0);
    for script in &scripts {
        let report = rehearsal::play(script)?;
        report.lines.iter().for_each(|l| println!("{l}"));
        holds &= report.missed == 0;
    }
    let count = plans.len();
    play_all(&plans, order.jobs, |n, outcome| {
        let plan = &plans[n];
        report::table(&plan.scenario.name, plan.seed, &outcome)
            .iter()
            .for_each(|l| println!("{l}"));
        if let Some(dir) = &order.out {
            // One day goes right there; several have a folder each.
            let dir = if count == 1 {
                dir.clone()
            } else {
                dir.join(format!("{n:02}-seed{}", plan.seed))
            };
            report_files::write(&dir, plan, &outcome)
                .map_err(|e| format!("{}: {e}", dir.display()))?;
        }
        holds &= outcome.holds();
        unclear += usize::from(outcome.holds() && outcome.unclear());
        Ok(())
    })?;
    if count > 1 {
        println!("{count} days played; in {unclear} the machine was too busy to judge every rule");
    }
    if holds && unclear > 0 {
        return Err(format!(
            "in {unclear} of {count} days the machine was too busy to judge every rule"
        ));
    }
    Ok(holds)
}

/// Plays so many at once; `each` hears of every outcome, in the order of the plans.
fn play_all(
    plans: &[Plan],
    jobs: usize,
    mut each: impl FnMut(usize, Outcome) -> Result<(), String>,
) -> Result<(), String> {
    let jobs = jobs.clamp(1, plans.len().max(1));
    let (next, (notified, heard)) = (AtomicUsize::new(0), mpsc::channel());
    let single = jobs == 1;
    let all = bar(if single { "" } else { "days" });
    all.set_length(plans.len() as u64);
    thread::scope(|scope| {
        for _ in 0..jobs {
            let (notified, next, all) = (notified.clone(), &next, &all);
            scope.spawn(move || {
                loop {
                    let n = next.fetch_add(1, Ordering::Relaxed);
                    let Some(plan) = plans.get(n) else { return };
                    if single {
                        all.set_message(plan.scenario.name.clone());
                    }
                    let outcome = play(plan, |now, end| {
                        // One at a time shows how far it is; several show how many are done.
                        if single {
                            all.set_length(end.as_millis() as u64);
                            all.set_position(now.as_millis() as u64);
                        }
                    });
                    if !single {
                        all.inc(1);
                    }
                    if notified.send((n, outcome)).is_err() {
                        return;
                    }
                }
            });
        }
        drop(notified);
        let (mut waiting, mut turn) = (BTreeMap::new(), 0);
        let mut result = Ok(());
        for (n, outcome) in heard {
            waiting.insert(n, outcome);
            while let Some(outcome) = waiting.remove(&turn) {
                let printed = match outcome {
                    Ok(outcome) => all.suspend(|| each(turn, outcome)),
                    Err(why) => Err(why.to_string()),
                };
                turn += 1;
                if printed.is_err() {
                    // What has begun is played to its end; nothing more begins.
                    next.store(plans.len(), Ordering::Relaxed);
                    result = result.and(printed);
                }
            }
        }
        all.finish_and_clear();
        result
    })
}

fn plan(text: &str, seed: u64, order: &RehearseArgs) -> Result<Plan, String> {
    let mut scenario = scenario::parse_for(text, seed, order.senders).map_err(|e| e.to_string())?;
    if scenario.fleet.is_some() || !scenario.network_faults.is_empty() {
        return Err("the day breaks ways between senders: play it with `cranehill rig`".into());
    }
    let mut against = None;
    if let (Some(clients), Some(directory)) = (order.against, order.directory) {
        for (what, address) in [("--against", clients), ("--directory", directory)] {
            if !address.ip().is_loopback() {
                return Err(format!(
                    "{what} {address}: only on this machine (127.0.0.0/8)"
                ));
            }
        }
        if !scenario.signals.is_empty() || !scenario.scheduled_actions.is_empty() {
            return Err(
                "the day ends or kills senders, which --against does not: drop its [[signal]]"
                    .into(),
            );
        }
        if scenario.load.push.is_some() {
            return Err(
                "the scenario has push services, which a running sender can't be given".into(),
            );
        }
        scenario.senders = 1;
        against = Some(Against { clients, directory });
    }
    let program = std::env::current_exe().map_err(|e| format!("this program's own file: {e}"))?;
    Ok(Plan {
        scenario,
        seed,
        program,
        limits: Limits::default(),
        mutation: None,
        against,
    })
}

/// Plays each mutation of `broken` on its day: false if one is not caught by its rule, or if this program breaks a rule on
/// one of these days.
pub fn mutations(broken: &Path, order: &RehearseArgs) -> Result<bool, String> {
    let mut scenarios: Vec<&str> = CASES.iter().map(|c| c.scenario).collect();
    scenarios.sort_unstable();
    scenarios.dedup();
    let mut plans = Vec::new();
    for text in &scenarios {
        plans.push(plan(text, order.seed, order)?);
    }
    for case in CASES {
        let sound = plan(case.scenario, order.seed, order)?;
        plans.push(Plan {
            program: broken.to_owned(),
            mutation: Some(case.name.into()),
            ..sound
        });
    }
    let mut all = true;
    play_all(&plans, order.jobs, |n, mut outcome| {
        let plan = &plans[n];
        let Some(case) = n.checked_sub(scenarios.len()).map(|n| CASES[n]) else {
            if !outcome.holds() {
                report::table(&plan.scenario.name, plan.seed, &outcome)
                    .iter()
                    .for_each(|l| println!("{l}"));
            }
            println!(
                "{:<18} {}",
                "sound",
                if outcome.holds() {
                    "passes"
                } else {
                    "BREAKS A RULE"
                }
            );
            all &= outcome.holds();
            return Ok(());
        };
        let caught = |o: &Outcome| report::broken(o).contains(&case.rule);
        // A busy machine is no verdict: once more, by itself.
        if !caught(&outcome) && outcome.unclear() {
            outcome = play(plan, |_, _| {}).map_err(|e| e.to_string())?;
        }
        let by: Vec<&str> = report::broken(&outcome)
            .iter()
            .map(|r| r.description())
            .collect();
        let verdict = if caught(&outcome) {
            "caught"
        } else {
            "NOT CAUGHT"
        };
        let lasted = outcome.lasted.as_secs_f64();
        println!(
            "{:<18} {verdict} in {lasted:.1} s; broken: {}",
            case.name,
            by.join("; ")
        );
        all &= caught(&outcome);
        Ok(())
    })?;
    Ok(all)
}

/// Measures and prints a line for each step; false if not even the lowest rate is sustained.
pub fn measure(setup: &measure::MeasureOptions, rate: Option<f64>) -> Result<bool, String> {
    let program = std::env::current_exe().map_err(|e| format!("this program's own file: {e}"))?;
    println!("{}", Step::HEADING);
    let notified = |step: &Step| {
        println!("{}", step.line());
        // What a rig that can't keep up sees is no proof.
        step.wrong
            .iter()
            .filter(|_| step.clear())
            .for_each(|w| println!("    {w}"));
    };
    if let Some(rate) = rate {
        let step = measure::step(&program, setup, rate).map_err(|e| e.to_string())?;
        notified(&step);
        return Ok(step.sustained());
    }
    let Some(best) = measure::highest(&program, setup, notified).map_err(|e| e.to_string())? else {
        return Ok(false);
    };
    println!(
        "highest sustained rate: {:.0}/s; at half of it, for a longer time:",
        best.rate
    );
    let longer = measure::MeasureOptions {
        span: setup.span * 3,
        ..*setup
    };
    notified(&measure::step(&program, &longer, best.rate / 2.0).map_err(|e| e.to_string())?);
    Ok(true)
}

/// A bar on standard error; none if that is no terminal.
pub(crate) fn bar(name: &str) -> ProgressBar {
    let bar = ProgressBar::new(1);
    if let Ok(style) = ProgressStyle::with_template("{elapsed_precise} {wide_bar} {msg}") {
        bar.set_style(style);
    }
    bar.set_message(name.to_owned());
    bar.enable_steady_tick(Duration::from_millis(200));
    bar
}
