//! The report of a scenario: its figures, and the expectations that were not met.

mod agreement;
mod cut_side;
mod detection;
mod detection_bound;
mod files;
mod json;
mod limits;
mod plot;
mod summary;
mod table;

pub use cut_side::CutSideLoad;
pub use files::write;
pub use summary::Report;
pub use table::table;
