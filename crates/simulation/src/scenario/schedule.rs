//! Reads scheduled events: changes of discovery's endpoint list, and signals to senders.

use super::error::{ScenarioError, ScenarioProblem};
use super::file::{ChangeFile, File, SignalFile};
use super::source::Source;
use super::types::{ListChange, Member, ScheduledSignal, Signal, To};

/// Reads the changes of the endpoint list and sorts them by time.
pub(super) fn changes(
    source: &Source<'_>,
    file: &File,
    destinations: &[Member],
) -> Result<Vec<ListChange>, ScenarioError> {
    let read = file
        .change
        .iter()
        .map(|table| change(source, table, destinations));
    let mut changes = read.collect::<Result<Vec<ListChange>, ScenarioError>>()?;
    changes.sort_by_key(|c| (c.at, c.destination, c.endpoint));
    Ok(changes)
}

/// Reads the signals to senders and sorts them by time.
pub(super) fn signals(
    source: &Source<'_>,
    file: &File,
    senders: usize,
) -> Result<Vec<ScheduledSignal>, ScenarioError> {
    let read = file
        .signal
        .iter()
        .map(|table| signal(source, file, table, senders));
    let mut signals = read.collect::<Result<Vec<ScheduledSignal>, ScenarioError>>()?;
    signals.sort_by_key(|s| (s.at, s.sender));
    Ok(signals)
}

fn change(
    source: &Source<'_>,
    table: &ChangeFile,
    destinations: &[Member],
) -> Result<ListChange, ScenarioError> {
    let text = table.endpoint.get_ref();
    let unknown = || {
        let text = text.clone();
        source.error(&table.endpoint, ScenarioProblem::UnknownEndpoint { text })
    };
    let (name, number) = text.rsplit_once('/').ok_or_else(unknown)?;
    let endpoint: usize = number.parse().map_err(|_| unknown())?;
    let destination = destinations.iter().position(|m| m.name == name);
    let destination = destination
        .filter(|&index| endpoint < destinations[index].spec.endpoints)
        .ok_or_else(unknown)?;
    if destinations[destination].push {
        return Err(source.error(&table.endpoint, ScenarioProblem::PushServiceListed));
    }
    Ok(ListChange {
        at: table.at.get_ref().0,
        destination,
        endpoint,
        to: listed_state(source, table)?,
    })
}

fn listed_state(source: &Source<'_>, table: &ChangeFile) -> Result<To, ScenarioError> {
    match table.to.get_ref().as_str() {
        "up" => Ok(To::Up),
        "draining" => Ok(To::Draining),
        "removed" => Ok(To::Removed),
        "replaced" => Ok(To::Replaced),
        other => {
            let state = other.to_owned();
            Err(source.error(&table.to, ScenarioProblem::ListedState { state }))
        }
    }
}

fn signal(
    source: &Source<'_>,
    file: &File,
    table: &SignalFile,
    senders: usize,
) -> Result<ScheduledSignal, ScenarioError> {
    let sender = table.sender.as_ref().map_or(0, |s| *s.get_ref());
    if sender >= senders {
        let place = table.sender.as_ref().unwrap_or(&file.senders);
        let problem = ScenarioProblem::UnknownSender { sender, senders };
        return Err(source.error(place, problem));
    }
    let signal = match table.send.get_ref().as_str() {
        "TERM" => Signal::Term,
        "KILL" => Signal::Kill,
        "HUP" => Signal::Hup,
        other => {
            let signal = other.to_owned();
            return Err(source.error(&table.send, ScenarioProblem::UnknownSignal { signal }));
        }
    };
    Ok(ScheduledSignal {
        at: table.at.get_ref().0,
        sender,
        signal,
    })
}
