//! What a sweep has measured.

use serde::Serialize;

/// One measurement: a size and what was measured there.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Sample {
    /// The size, on the quantity's axis.
    pub size: f64,
    /// The measured value, in the quantity's unit.
    pub value: f64,
}

/// Why samples can't be used. The place of a sample counts from 1.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SampleError {
    /// A size that is not above 0.
    #[error("sample {place}: size {size} is not above zero")]
    NotPositive {
        /// Which sample.
        place: usize,
        /// Its size.
        size: f64,
    },
    /// A size that no sweep reaches.
    #[error("sample {place}: size {size} is above {max}, which no sweep reaches")]
    Absurd {
        /// Which sample.
        place: usize,
        /// Its size.
        size: f64,
        /// The largest size.
        max: f64,
    },
    /// A size that is not above the one before it.
    #[error("sample {place}: size {size} is not above the one before it, {before}")]
    NotAscending {
        /// Which sample.
        place: usize,
        /// Its size.
        size: f64,
        /// The size of the sample before it.
        before: f64,
    },
    /// A value that is not a finite number.
    #[error("sample {place}: the value {value} at size {size} is not a finite number")]
    NotFinite {
        /// Which sample.
        place: usize,
        /// Its size.
        size: f64,
        /// Its value.
        value: f64,
    },
    /// Too few samples for a fit.
    #[error("{given} samples; a fit needs at least {least}")]
    TooFew {
        /// Number of samples.
        given: usize,
        /// The smallest number for a fit.
        least: usize,
    },
}

/// Larger sizes are taken for a mistake: this is over 600 times the backlog of all senders.
const MAX_SIZE: f64 = 1e12;

/// Samples in ascending order of size, each finite.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Samples(Vec<Sample>);

impl Samples {
    /// Checks the samples.
    ///
    /// # Errors
    /// The first sample that is wrong.
    pub fn new(samples: Vec<Sample>) -> Result<Samples, SampleError> {
        let mut before = 0.0;
        for (index, &Sample { size, value }) in samples.iter().enumerate() {
            let place = index + 1;
            if size.is_nan() || size <= 0.0 {
                return Err(SampleError::NotPositive { place, size });
            }
            if size > MAX_SIZE {
                return Err(SampleError::Absurd {
                    place,
                    size,
                    max: MAX_SIZE,
                });
            }
            if size <= before {
                return Err(SampleError::NotAscending {
                    place,
                    size,
                    before,
                });
            }
            if !value.is_finite() {
                return Err(SampleError::NotFinite { place, size, value });
            }
            before = size;
        }
        Ok(Samples(samples))
    }

    /// The samples in ascending order of size.
    pub fn as_slice(&self) -> &[Sample] {
        &self.0
    }

    /// The largest absolute value.
    pub fn largest_value(&self) -> f64 {
        self.0.iter().map(|s| s.value.abs()).fold(0.0, f64::max)
    }

    /// The largest size; 0 without samples.
    pub fn largest_size(&self) -> f64 {
        self.0.last().map_or(0.0, |s| s.size)
    }
}
