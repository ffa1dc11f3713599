//! The report of a run as files: a JSON summary, all recorded events as Parquet and text, and a self-contained HTML page with plots.

mod error;
mod events;
mod html;
mod json;
mod plots;

use std::path::Path;

use crate::figures::figures;
use crate::outcome::Outcome;
use crate::plan::Plan;

pub use error::ReportError;

/// Writes `report.json`, `report.html`, and all events as `events.parquet` and `events.txt` into the folder `dir`, which is created if
/// it does not exist. Existing files of these names are overwritten.
///
/// # Errors
/// The folder can't be created, a file can't be written, or a plot or table can't be built.
pub fn write(dir: &Path, plan: &Plan, outcome: &Outcome) -> Result<(), ReportError> {
    std::fs::create_dir_all(dir)?;
    let figures = figures(&plan.scenario, &outcome.lines, outcome.lasted);
    let json = serde_json::to_string_pretty(&json::report(plan, outcome, &figures))?;
    std::fs::write(dir.join("report.json"), json)?;
    events::write_parquet(&dir.join("events.parquet"), &outcome.lines)?;
    events::write_text(&dir.join("events.txt"), &outcome.lines)?;
    std::fs::write(
        dir.join("report.html"),
        html::page(plan, outcome, &figures)?,
    )?;
    Ok(())
}
