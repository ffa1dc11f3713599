//! Errors of sweeps.

use std::error::Error;
use std::io;

use cranehill_capacity::FitError;
use cranehill_scenario_runner::RunError;

use super::sender::StartError;
use crate::invalid_settings::InvalidSettings;
use crate::simulated::SimulatedFleetError;

/// Why a sweep could not be played.
#[derive(Debug, thiserror::Error)]
pub enum SweepError {
    /// A file or socket fails.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// A measurement fails.
    #[error("{sweep} at size {size}: {source}")]
    Failed {
        /// The sweep.
        sweep: &'static str,
        /// The size that was measured.
        size: u64,
        /// Why it failed.
        source: MeasurementError,
    },
    /// The samples of a quantity can't be fitted.
    #[error("{id}: {source}")]
    Fit {
        /// The quantity.
        id: &'static str,
        /// Why the fit failed.
        source: FitError,
    },
    /// A measured quantity is not in the catalog.
    #[error("no quantity '{0}' in the catalog")]
    Unknown(&'static str),
}

/// Why a measurement failed.
#[derive(Debug, thiserror::Error)]
pub enum MeasurementError {
    /// A sender did not start.
    #[error(transparent)]
    Start(#[from] StartError),
    /// A scenario could not be played.
    #[error(transparent)]
    Run(#[from] RunError),
    /// A fleet of simulated members could not be played.
    #[error(transparent)]
    Members(#[from] SimulatedFleetError),
    /// The reducer does not accept its settings.
    #[error(transparent)]
    Settings(#[from] InvalidSettings),
    /// The journal of a backlog can't be written.
    #[error("the journal: {0}")]
    Journal(#[source] Box<dyn Error + Send + Sync>),
    /// A sender does not watch the directory.
    #[error("the sender does not watch the directory")]
    NotWatching,
    /// Not all senders watch the directory.
    #[error("not all senders watch the directory")]
    NotAllWatching,
    /// A sender did not apply a change of the endpoint list in time.
    #[error("a change of the list was not applied in time")]
    ChangeNotApplied,
    /// A sender did not apply several changes at once in time.
    #[error("{changes} changes at once were not applied in time")]
    ChangesNotApplied {
        /// The number of changes.
        changes: u64,
    },
    /// A sender neither accepted nor rejected a whole list in time.
    #[error("a whole list was neither accepted nor rejected in time")]
    ListUnanswered,
    /// The reducer sent too few events of a backlog.
    #[error("only {sent} events were sent in {turns} turns")]
    TooFewSent {
        /// Events that were sent.
        sent: usize,
        /// Turns of the reducer.
        turns: u32,
    },
}

impl MeasurementError {
    /// As the error of a sweep at a size.
    pub(super) fn at(self, sweep: &'static str, size: u64) -> SweepError {
        SweepError::Failed {
            sweep,
            size,
            source: self,
        }
    }
}
