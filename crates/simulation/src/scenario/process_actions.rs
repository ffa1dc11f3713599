//! Reads actions on senders' processes: stop, kill, term and upgrade.

use std::time::Duration;

use super::error::{ScenarioError, ScenarioProblem};
use super::fleet_tables::{NetworkFaultFile, Restart};
use super::source::Source;
use crate::fleet::{Folder, MemberAction, Which};

/// Time from the end of a process until its sender is started again, unless the file sets it.
const DEFAULT_RESTART_DELAY: Duration = Duration::from_millis(600);

/// Reads the action on processes; `None` if the kind of the table is not such an action.
pub(super) fn read(
    source: &Source<'_>,
    table: &NetworkFaultFile,
) -> Result<Option<MemberAction>, ScenarioError> {
    let back = restart_delay(source, table)?;
    let folder = folder(source, table)?;
    Ok(match table.kind.get_ref().as_str() {
        "stop" => Some(MemberAction::Stop {
            duration: table.duration(source)?,
        }),
        "kill" => Some(MemberAction::Kill { back, folder }),
        "term" => Some(MemberAction::Term { back, folder }),
        "upgrade" => {
            let after = table.after.map_or(Duration::ZERO, |a| a.0);
            Some(MemberAction::Upgrade {
                kill: killed_process(source, table)?.map(|which| (which, after)),
            })
        }
        _ => None,
    })
}

/// Time from the end of the process until the restart; `None` for never.
fn restart_delay(
    source: &Source<'_>,
    table: &NetworkFaultFile,
) -> Result<Option<Duration>, ScenarioError> {
    let Some(back) = &table.back else {
        return Ok(Some(DEFAULT_RESTART_DELAY));
    };
    match back.get_ref() {
        Restart::After(span) => Ok(Some(span.0)),
        Restart::Keyword(keyword) if keyword == "never" => Ok(None),
        Restart::Keyword(keyword) => {
            let keyword = keyword.clone();
            Err(source.error(back, ScenarioProblem::Restart { keyword }))
        }
    }
}

fn folder(source: &Source<'_>, table: &NetworkFaultFile) -> Result<Folder, ScenarioError> {
    match (table.wipe, table.cut_journal) {
        (true, true) => Err(source.error(&table.kind, ScenarioProblem::StateFolder)),
        (true, false) => Ok(Folder::Wiped),
        (false, true) => Ok(Folder::Cut),
        (false, false) => Ok(Folder::Kept),
    }
}

/// The process that is killed during an upgrade; `None` if neither is.
fn killed_process(
    source: &Source<'_>,
    table: &NetworkFaultFile,
) -> Result<Option<Which>, ScenarioError> {
    let Some(kill) = &table.kill else {
        return Ok(None);
    };
    match kill.get_ref().as_str() {
        "old" => Ok(Some(Which::Old)),
        "new" => Ok(Some(Which::New)),
        other => {
            let keyword = other.to_owned();
            Err(source.error(kill, ScenarioProblem::UpgradeProcess { keyword }))
        }
    }
}
