//! Errors of sweeps.

use std::error::Error;
use std::io;

use cranehill_capacity::FitError;
use cranehill_scenario_runner::RunError;

use super::sender::StartError;
use crate::invalid_settings::InvalidSettings;
use crate::simulated::SimulatedFleetError;

/// Why a sweep could not be completed.
#[derive(Debug, thiserror::Error)]
pub enum SweepError {
    /// A file or socket operation failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// A measurement failed.
    #[error("{sweep} at size {size}: {source}")]
    Failed {
        /// Name of the sweep.
        sweep: &'static str,
        /// The size at which the measurement failed.
        size: u64,
        /// Why it failed.
        source: MeasurementError,
    },
    /// The samples of a quantity could not be fitted.
    #[error("{id}: {source}")]
    Fit {
        /// Id of the quantity.
        id: &'static str,
        /// Why the fit failed.
        source: FitError,
    },
    /// A sweep adds a sample of a quantity that the catalog does not contain.
    #[error("quantity '{0}' is not in the catalog")]
    UnknownQuantity(&'static str),
}

/// Why a measurement failed.
#[derive(Debug, thiserror::Error)]
pub enum MeasurementError {
    /// A sender did not start.
    #[error(transparent)]
    Start(#[from] StartError),
    /// The scenario runner failed.
    #[error(transparent)]
    Run(#[from] RunError),
    /// A fleet of simulated members could not be run.
    #[error(transparent)]
    Members(#[from] SimulatedFleetError),
    /// The reducer rejected its settings.
    #[error(transparent)]
    Settings(#[from] InvalidSettings),
    /// The journal of a backlog could not be written.
    #[error("can't write the journal of the backlog: {0}")]
    Journal(#[source] Box<dyn Error + Send + Sync>),
    /// A sender did not begin to watch the directory in time.
    #[error("the sender did not watch the directory in time")]
    NotWatching,
    /// Not all senders began to watch the directory in time.
    #[error("not all senders watched the directory in time")]
    NotAllWatching,
    /// A sender did not apply a change of the endpoint list in time.
    #[error("a change of the endpoint list was not applied in time")]
    ChangeNotApplied,
    /// A sender did not apply several simultaneous changes in time.
    #[error("{changes} simultaneous changes of the endpoint list were not applied in time")]
    ChangesNotApplied {
        /// Number of changes.
        changes: u64,
    },
    /// A sender neither accepted nor rejected a full endpoint list in time.
    #[error("a full endpoint list was neither accepted nor rejected in time")]
    NoListOutcome,
    /// The reducer sent too few events of a backlog.
    #[error("the reducer sent only {sent} events of the backlog in {turns} turns")]
    TooFewSent {
        /// Number of events that were sent.
        sent: usize,
        /// Number of turns of the reducer.
        turns: u32,
    },
}

impl MeasurementError {
    /// Converts to the error of a sweep at a size.
    pub(super) fn at(self, sweep: &'static str, size: u64) -> SweepError {
        SweepError::Failed {
            sweep,
            size,
            source: self,
        }
    }
}
