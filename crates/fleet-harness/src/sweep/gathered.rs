//! Samples of a sweep, and the figures that are fitted to them.

use cranehill_capacity::{Figure, Kind, Quantity, STRAIGHT_LEAST, Sample, Samples, catalog};

use super::error::SweepError;

/// Samples of several quantities, collected size by size.
pub(super) struct Gathered {
    pub(super) quick: bool,
    rows: Vec<(&'static Quantity, Vec<Sample>)>,
    /// Remarks with the prefix of the ids that they are about.
    remarks: Vec<(&'static str, String)>,
}

impl Gathered {
    /// No samples yet.
    pub(super) fn new(quick: bool) -> Gathered {
        Gathered {
            quick,
            rows: Vec::new(),
            remarks: Vec::new(),
        }
    }

    /// Adds one measurement; a quick run keeps no times.
    pub(super) fn note(
        &mut self,
        id: &'static str,
        size: u64,
        value: f64,
    ) -> Result<(), SweepError> {
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

    /// Adds a remark on the figures whose ids have this prefix: on sizes that were not measured.
    pub(super) fn remark(&mut self, ids: &'static str, text: String) {
        self.remarks.push((ids, text));
    }

    /// All figures with enough samples. Remarks of the others name the sizes that were not measured.
    pub(super) fn figures(self) -> Result<Vec<Figure>, SweepError> {
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
            let remarks: Vec<&str> = about.map(|(_, text)| text.as_str()).collect();
            figure.remark = (!remarks.is_empty()).then(|| remarks.join("; "));
            figures.push(figure);
        }
        Ok(figures)
    }
}

/// The figure of a limit that was searched: the largest size that holds, and the smallest that fails, if any does.
pub(super) fn limit_figure(
    id: &'static str,
    mut samples: Vec<Sample>,
    holds: u64,
    fails: Option<u64>,
) -> Result<Figure, SweepError> {
    samples.sort_by(|a, b| a.size.total_cmp(&b.size));
    samples.dedup_by(|a, b| a.size == b.size);
    let quantity = catalog::quantity(id).ok_or(SweepError::Unknown(id))?;
    let samples = Samples::new(samples).map_err(|source| SweepError::Fit { id, source })?;
    let fails = fails.map(|size| size as f64);
    Ok(Figure::limit(quantity, samples, holds as f64, fails))
}
