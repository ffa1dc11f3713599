//! Results of a scenario: figures, and the expectations that were not met.

mod agreement;
mod detection;
mod detection_bound;
mod files;
mod json;
mod limits;
mod part;
mod plot;
mod summary;
mod table;

pub use files::write;
pub use part::Part;
pub use summary::Report;
pub use table::table;
