//! Errors of writing a report.

use std::io;

use parquet::errors::ParquetError;
use plotters::drawing::DrawingAreaErrorKind;

/// The error type of a plot's drawing area.
pub(super) type DrawingError = DrawingAreaErrorKind<io::Error>;

/// Why a report could not be written.
#[derive(Debug, thiserror::Error)]
pub enum ReportError {
    /// A folder or file can't be written.
    #[error("cannot write the report files: {0}")]
    Io(#[from] io::Error),
    /// The report can't be encoded as JSON.
    #[error("report.json: {0}")]
    Json(#[from] serde_json::Error),
    /// The Parquet table of events can't be built or written.
    #[error("events.parquet: {0}")]
    Events(#[from] ParquetError),
    /// A plot can't be drawn.
    #[error("report.html: cannot draw the plot '{title}': {source}")]
    Plot {
        /// Title of the plot.
        title: String,
        /// The error of the drawing area.
        source: DrawingError,
    },
}
