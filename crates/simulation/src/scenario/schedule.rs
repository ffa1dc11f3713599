//! What happens at a set time: changes of the directory's list, and signals to senders.

use super::file::{ChangeFile, File, SignalFile};
use super::source::{ScenarioError, Source};
use super::types::{ListChange, Member, ScheduledSignal, Signal, To};

/// The changes of the directory's list, in the order of time.
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

/// The signals to senders, in the order of time.
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
    let wrong = || {
        source.error(
            &table.endpoint,
            format!("'{text}' is not an endpoint such as \"onda-1/0\""),
        )
    };
    let (name, number) = text.rsplit_once('/').ok_or_else(wrong)?;
    let endpoint: usize = number.parse().map_err(|_| wrong())?;
    let destination = destinations.iter().position(|m| m.name == name);
    let destination = destination
        .filter(|&p| endpoint < destinations[p].spec.endpoints)
        .ok_or_else(wrong)?;
    if destinations[destination].push {
        return Err(source.error(
            &table.endpoint,
            "a push service is not in the directory's list",
        ));
    }
    let to = match table.to.get_ref().as_str() {
        "up" => To::Up,
        "draining" => To::Draining,
        "removed" => To::Removed,
        "replaced" => To::Replaced,
        other => {
            let why = format!("'{other}' is not up, draining, removed or replaced");
            return Err(source.error(&table.to, why));
        }
    };
    Ok(ListChange {
        at: table.at.get_ref().0,
        destination,
        endpoint,
        to,
    })
}

fn signal(
    source: &Source<'_>,
    file: &File,
    table: &SignalFile,
    senders: usize,
) -> Result<ScheduledSignal, ScenarioError> {
    let sender = table.sender.as_ref().map_or(0, |s| *s.get_ref());
    if sender >= senders {
        let at = table.sender.as_ref().unwrap_or(&file.senders);
        return Err(source.error(at, format!("sender {sender}: there are {senders}, from 0")));
    }
    let signal = match table.send.get_ref().as_str() {
        "TERM" => Signal::Term,
        "KILL" => Signal::Kill,
        "HUP" => Signal::Hup,
        other => {
            return Err(source.error(&table.send, format!("'{other}' is not TERM, KILL or HUP")));
        }
    };
    Ok(ScheduledSignal {
        at: table.at.get_ref().0,
        sender,
        signal,
    })
}
