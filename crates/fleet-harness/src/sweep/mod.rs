//! Sweeps of the capacity proof: the real code at several sizes, measured. What the measurements come to is decided in
//! `cranehill_capacity`.
//!
//! Start at [`play`].

mod backlog;

mod destinations;
mod directory;
mod events;
mod members;
mod reducer;
mod sender;
mod watchers;

use std::path::PathBuf;
use std::time::Duration;

use cranehill_capacity::sizes::Sizes;
use cranehill_capacity::{
    Figure, FitError, Kind, Quantity, STRAIGHT_LEAST, Sample, Samples, Sweep, catalog,
};

/// What to play.
#[derive(Clone, Debug)]
pub struct SweepArgs {
    /// The sender's program.
    pub program: PathBuf,
    pub sizes: Sizes,
    pub sweeps: Vec<Sweep>,
    /// Measure counts and bytes alone.
    pub quick: bool,
    pub seed: u64,
}

/// Why a sweep could not be played.
#[derive(Debug, thiserror::Error)]
pub enum SweepError {
    #[error("{0}")]
    Io(#[from] std::io::Error),
    #[error("{sweep} at size {size}: {why}")]
    Failed {
        sweep: &'static str,
        size: u64,
        why: String,
    },
    #[error("{id}: {source}")]
    Fit { id: &'static str, source: FitError },
    #[error("no quantity '{0}' in the catalog")]
    Unknown(&'static str),
}

/// Plays the sweeps one after the other; `progress` hears of each size.
pub fn play(order: &SweepArgs, mut progress: impl FnMut(&str)) -> Result<Vec<Figure>, SweepError> {
    let mut figures = Vec::new();
    for &sweep in &order.sweeps {
        let played = match sweep {
            Sweep::Destinations => destinations::play(order, &mut progress)?,
            Sweep::Backlog => backlog::play(order, &mut progress)?,
            Sweep::Members => members::play(order, &mut progress)?,
            Sweep::Events => events::play(order, &mut progress)?,
            Sweep::Changes => watchers::play(order, &mut progress)?,
        };
        figures.extend(played);
    }
    Ok(figures)
}

/// Samples of several quantities, gathered size by size.
struct Gathered {
    quick: bool,
    rows: Vec<(&'static Quantity, Vec<Sample>)>,
    /// Each with the beginning of the ids that it is about.
    remarks: Vec<(&'static str, String)>,
}

impl Gathered {
    fn new(quick: bool) -> Gathered {
        Gathered {
            quick,
            rows: Vec::new(),
            remarks: Vec::new(),
        }
    }

    /// Notes one measurement; a quick run keeps no times.
    fn note(&mut self, id: &'static str, size: u64, value: f64) -> Result<(), SweepError> {
        let quantity = catalog::quantity(id).ok_or(SweepError::Unknown(id))?;
        if self.quick && quantity.kind == Kind::Time {
            return Ok(());
        }
        let sample = Sample {
            size: size as f64,
            value,
        };
        match self.rows.iter_mut().find(|(q, _)| q.id == id) {
            Some((_, samples)) => samples.push(sample),
            None => self.rows.push((quantity, vec![sample])),
        }
        Ok(())
    }

    /// What a reader of figures must know, whose ids begin like this: sizes that were not played, or not as they should have been.
    fn remark(&mut self, ids: &'static str, what: String) {
        self.remarks.push((ids, what));
    }

    /// All figures that have samples enough; those that a failure left with fewer are told in a remark of the others.
    fn figures(self) -> Result<Vec<Figure>, SweepError> {
        let mut figures = Vec::new();
        for (quantity, samples) in self.rows {
            if samples.len() < STRAIGHT_LEAST {
                continue;
            }
            let fit = |source| SweepError::Fit {
                id: quantity.id,
                source,
            };
            let mut figure =
                Figure::fitted(quantity, Samples::new(samples).map_err(fit)?).map_err(fit)?;
            let about = self
                .remarks
                .iter()
                .filter(|(ids, _)| quantity.id.starts_with(ids));
            let remarks: Vec<&str> = about.map(|(_, what)| what.as_str()).collect();
            figure.remark = (!remarks.is_empty()).then(|| remarks.join("; "));
            figures.push(figure);
        }
        Ok(figures)
    }
}

/// Seconds, as samples carry them.
fn seconds(duration: Duration) -> f64 {
    duration.as_secs_f64()
}

/// Milliseconds, as samples carry them.
fn milliseconds(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}
