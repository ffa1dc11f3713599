//! `cranehill rehearse`: days and push scripts, one after the other.

use std::path::{Path, PathBuf};
use std::time::Duration;

use cranehill_model::day;
use cranehill_rehearsal::breakages::CASES;
use cranehill_rehearsal::{Limits, Plan, out, play, report};
use indicatif::{ProgressBar, ProgressStyle};

use crate::rehearsal;

/// What is played without a file.
const CALM: &str = include_str!("../../../rehearsals/days/calm.toml");

/// Plays all files; false if a rule is broken or an expectation missed. An error if a file can't be played, or the
/// machine was too busy to judge.
pub fn all(
    files: &[PathBuf],
    seed: u64,
    repeat: u64,
    senders: Option<usize>,
    to: Option<&Path>,
) -> Result<bool, String> {
    let mut plans = Vec::new();
    let mut scripts = Vec::new();
    // All files are checked before any is played.
    for path in files {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        if path.extension().is_some_and(|e| e == "toml") {
            for seed in seed..seed + repeat {
                plans.push(plan(&text, seed, senders).map_err(|e| format!("{}: {e}", path.display()))?);
            }
        } else {
            scripts.push(rehearsal::parse(&text).map_err(|e| format!("{}: {e}", path.display()))?);
        }
    }
    if files.is_empty() {
        for seed in seed..seed + repeat {
            plans.push(plan(CALM, seed, senders)?);
        }
    }
    let (mut holds, mut unclear) = (true, 0);
    for script in &scripts {
        let report = rehearsal::play(script)?;
        report.lines.iter().for_each(|l| println!("{l}"));
        holds &= report.missed == 0;
    }
    let count = plans.len();
    for (played, plan) in plans.into_iter().enumerate() {
        let bar = bar(&plan.day.name);
        let outcome = play(&plan, |now, end| {
            bar.set_length(end.as_millis() as u64);
            bar.set_position(now.as_millis() as u64);
        });
        bar.finish_and_clear();
        let outcome = outcome.map_err(|e| e.to_string())?;
        report::table(&plan.day.name, plan.seed, &outcome).iter().for_each(|l| println!("{l}"));
        if let Some(dir) = to {
            // One day goes right there; several have a folder each.
            let dir =
                if count == 1 { dir.to_owned() } else { dir.join(format!("{played:02}-seed{}", plan.seed)) };
            out::write(&dir, &plan, &outcome).map_err(|e| format!("{}: {e}", dir.display()))?;
        }
        holds &= outcome.holds();
        unclear += usize::from(outcome.holds() && outcome.unclear());
    }
    if holds && unclear > 0 {
        return Err(format!("in {unclear} of {count} days the machine was too busy to judge every rule"));
    }
    Ok(holds)
}

fn plan(text: &str, seed: u64, senders: Option<usize>) -> Result<Plan, String> {
    let mut day = day::parse(text, seed).map_err(|e| e.to_string())?;
    if let Some(count) = senders {
        if !(1..=64).contains(&count) || day.signals.iter().any(|s| s.1 >= count) {
            return Err(format!("--senders {count}: the day needs others"));
        }
        day.senders = count;
    }
    let program = std::env::current_exe().map_err(|e| format!("this program's own file: {e}"))?;
    Ok(Plan { day, seed, program: program_of(&program), limits: Limits::default(), breakage: None })
}

/// Plays each breakage of `broken` on its day: false if one is not caught by its rule, or if this program breaks a rule on
/// one of these days.
pub fn breakages(broken: &Path, seed: u64) -> Result<bool, String> {
    let mut all = true;
    let mut days: Vec<&str> = CASES.iter().map(|c| c.day).collect();
    days.sort_unstable();
    days.dedup();
    for text in days {
        let plan = plan(text, seed, None)?;
        let outcome = play(&plan, |_, _| {}).map_err(|e| e.to_string())?;
        if !outcome.holds() {
            report::table(&plan.day.name, seed, &outcome).iter().for_each(|l| println!("{l}"));
        }
        println!("{:<18} {}", "sound", if outcome.holds() { "passes" } else { "BREAKS A RULE" });
        all &= outcome.holds();
    }
    for case in CASES {
        let sound = plan(case.day, seed, None)?;
        let plan = Plan { program: broken.to_owned(), breakage: Some(case.name.into()), ..sound };
        let outcome = play(&plan, |_, _| {}).map_err(|e| e.to_string())?;
        let broken = report::broken(&outcome);
        let caught = broken.contains(&case.rule);
        let by: Vec<&str> = broken.iter().map(|r| r.says()).collect();
        let verdict = if caught { "caught" } else { "NOT CAUGHT" };
        println!(
            "{:<18} {verdict} in {:.1} s; broken: {}",
            case.name,
            outcome.lasted.as_secs_f64(),
            by.join("; ")
        );
        all &= caught;
    }
    Ok(all)
}

/// The sender is this very program.
fn program_of(path: &Path) -> PathBuf {
    path.to_owned()
}

/// A bar on standard error; none if that is no terminal.
fn bar(name: &str) -> ProgressBar {
    let bar = ProgressBar::new(1);
    if let Ok(style) = ProgressStyle::with_template("{elapsed_precise} {wide_bar} {msg}") {
        bar.set_style(style);
    }
    bar.set_message(name.to_owned());
    bar.enable_steady_tick(Duration::from_millis(200));
    bar
}
