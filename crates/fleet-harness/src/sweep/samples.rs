//! Collects the samples of a sweep and fits figures to them.

use cranehill_capacity::{Figure, Kind, MIN_SAMPLES, Quantity, Sample, Samples, catalog};

use super::error::SweepError;

/// Samples of several quantities, collected in ascending order of size.
pub(super) struct SweepSamples {
    /// Whether samples of times are ignored, since they depend on the machine.
    pub(super) quick: bool,
    by_quantity: Vec<(&'static Quantity, Vec<Sample>)>,
    /// Remarks, each with the prefix of the quantity ids that it applies to.
    remarks: Vec<(&'static str, String)>,
}

impl SweepSamples {
    /// An empty collection.
    pub(super) fn new(quick: bool) -> SweepSamples {
        SweepSamples {
            quick,
            by_quantity: Vec::new(),
            remarks: Vec::new(),
        }
    }

    /// Adds one measurement of a quantity. A quick run ignores times.
    ///
    /// # Errors
    /// The catalog has no quantity with this id.
    pub(super) fn add(
        &mut self,
        id: &'static str,
        size: u64,
        value: f64,
    ) -> Result<(), SweepError> {
        let quantity = catalog::quantity(id).ok_or(SweepError::UnknownQuantity(id))?;
        if self.quick && quantity.kind == Kind::Time {
            return Ok(());
        }
        let sample = Sample {
            size: size as f64,
            value,
        };
        match self
            .by_quantity
            .iter_mut()
            .find(|(known, _)| known.id == id)
        {
            Some((_, samples)) => samples.push(sample),
            None => self.by_quantity.push((quantity, vec![sample])),
        }
        Ok(())
    }

    /// Adds a remark, such as on sizes that were not measured, to the figures whose quantity ids have this prefix.
    pub(super) fn remark(&mut self, id_prefix: &'static str, text: String) {
        self.remarks.push((id_prefix, text));
    }

    /// Fits all quantities that have enough samples. A quantity with fewer, such as after skipped sizes, has no figure.
    pub(super) fn figures(self) -> Result<Vec<Figure>, SweepError> {
        let mut figures = Vec::new();
        for (quantity, samples) in self.by_quantity {
            if samples.len() < MIN_SAMPLES {
                continue;
            }
            let fit = |source| SweepError::Fit {
                id: quantity.id,
                source,
            };
            let mut figure =
                Figure::fitted(quantity, Samples::new(samples).map_err(fit)?).map_err(fit)?;
            let applicable = self
                .remarks
                .iter()
                .filter(|(prefix, _)| quantity.id.starts_with(prefix));
            let remarks: Vec<&str> = applicable.map(|(_, text)| text.as_str()).collect();
            figure.remark = (!remarks.is_empty()).then(|| remarks.join("; "));
            figures.push(figure);
        }
        Ok(figures)
    }
}

/// The figure of a limit found by a search: `holds` is the largest size that passed, `fails` the smallest that failed, if any did.
pub(super) fn limit_figure(
    id: &'static str,
    mut samples: Vec<Sample>,
    holds: u64,
    fails: Option<u64>,
) -> Result<Figure, SweepError> {
    samples.sort_by(|a, b| a.size.total_cmp(&b.size));
    samples.dedup_by(|a, b| a.size == b.size);
    let quantity = catalog::quantity(id).ok_or(SweepError::UnknownQuantity(id))?;
    let samples = Samples::new(samples).map_err(|source| SweepError::Fit { id, source })?;
    let fails = fails.map(|size| size as f64);
    Ok(Figure::limit(quantity, samples, holds as f64, fails))
}
