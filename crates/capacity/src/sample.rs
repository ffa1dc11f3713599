//! Measured values of a quantity at several sizes.

use serde::Serialize;

/// One measurement of a quantity at one size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Sample {
    /// The size, on the quantity's axis.
    pub size: f64,
    /// The measured value, in the quantity's unit.
    pub value: f64,
}

/// Why samples are not valid. Positions of samples count from 1.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SampleError {
    /// A size that is not above 0.
    #[error("sample {position}: size {size} is not a positive number")]
    NotPositive {
        /// Position of the sample.
        position: usize,
        /// Size of the sample.
        size: f64,
    },
    /// A size that is larger than that of any sweep.
    #[error("sample {position}: size {size} is too large; expected at most {max}")]
    TooLarge {
        /// Position of the sample.
        position: usize,
        /// Size of the sample.
        size: f64,
        /// Largest valid size.
        max: f64,
    },
    /// A size that is not larger than the previous one.
    #[error("sample {position}: size {size} is not larger than the previous size, {before}")]
    NotAscending {
        /// Position of the sample.
        position: usize,
        /// Size of the sample.
        size: f64,
        /// Size of the previous sample.
        before: f64,
    },
    /// A value that is not a finite number.
    #[error("sample {position}: the value {value} at size {size} is not a finite number")]
    NotFinite {
        /// Position of the sample.
        position: usize,
        /// Size of the sample.
        size: f64,
        /// Value of the sample.
        value: f64,
    },
    /// Too few samples for a fit.
    #[error("{given} samples; a fit needs at least {required}")]
    TooFew {
        /// Number of samples given.
        given: usize,
        /// Smallest number of samples for a fit.
        required: usize,
    },
}

/// Larger sizes are rejected as mistakes: this is over 600 times the backlog of all senders.
const MAX_SIZE: f64 = 1e12;

/// Samples in ascending order of size, each finite.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Samples(Vec<Sample>);

impl Samples {
    /// Checks that sizes are positive and ascending, and values finite.
    ///
    /// # Errors
    /// The first sample that is not valid.
    pub fn new(samples: Vec<Sample>) -> Result<Samples, SampleError> {
        let mut before = 0.0;
        for (index, &Sample { size, value }) in samples.iter().enumerate() {
            let position = index + 1;
            if size.is_nan() || size <= 0.0 {
                return Err(SampleError::NotPositive { position, size });
            }
            if size > MAX_SIZE {
                return Err(SampleError::TooLarge {
                    position,
                    size,
                    max: MAX_SIZE,
                });
            }
            if size <= before {
                return Err(SampleError::NotAscending {
                    position,
                    size,
                    before,
                });
            }
            if !value.is_finite() {
                return Err(SampleError::NotFinite {
                    position,
                    size,
                    value,
                });
            }
            before = size;
        }
        Ok(Samples(samples))
    }

    /// The samples in ascending order of size.
    pub fn as_slice(&self) -> &[Sample] {
        &self.0
    }

    /// Largest absolute value; 0 without samples.
    pub fn largest_value(&self) -> f64 {
        self.0
            .iter()
            .map(|sample| sample.value.abs())
            .fold(0.0, f64::max)
    }

    /// Largest size; 0 without samples.
    pub fn largest_size(&self) -> f64 {
        self.0.last().map_or(0.0, |sample| sample.size)
    }
}
