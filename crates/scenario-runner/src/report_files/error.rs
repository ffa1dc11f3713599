//! Errors of the report.

use std::io;

use parquet::errors::ParquetError;
use plotters::drawing::DrawingAreaErrorKind;

/// What a plot's drawing area reports.
pub(super) type DrawingError = DrawingAreaErrorKind<io::Error>;

/// Why a report could not be written.
#[derive(Debug, thiserror::Error)]
pub enum ReportError {
    /// A folder or file can't be written.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The report is not representable as JSON.
    #[error("report.json: {0}")]
    Json(#[from] serde_json::Error),
    /// The table of events can't be built or written.
    #[error("events.parquet: {0}")]
    Events(#[from] ParquetError),
    /// A plot can't be drawn.
    #[error("the plot '{title}': {source}")]
    Plot {
        /// The plot's title.
        title: String,
        /// What the drawing area reported.
        source: DrawingError,
    },
}
