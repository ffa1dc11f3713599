//! What a sweep has measured.

use serde::Serialize;

/// One measurement: a size and what was measured there.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Sample {
    pub size: f64,
    pub value: f64,
}

/// Why samples can't be used.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SampleError {
    #[error("sample {place}: size {size} is not above zero")]
    NotPositive { place: usize, size: f64 },
    #[error("sample {place}: size {size} is above {most}, which no sweep reaches")]
    Absurd { place: usize, size: f64, most: f64 },
    #[error("sample {place}: size {size} is not above the one before it, {before}")]
    NotAscending {
        place: usize,
        size: f64,
        before: f64,
    },
    #[error("sample {place}: the value {value} at size {size} is not a finite number")]
    NotFinite { place: usize, size: f64, value: f64 },
    #[error("{given} samples; a fit needs at least {least}")]
    TooFew { given: usize, least: usize },
}

/// Sizes beyond this are taken for a mistake: a thousand times the planned backlog.
pub const SIZE_MOST: f64 = 1e12;

/// Samples in ascending order of size, each finite.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Samples(Vec<Sample>);

impl Samples {
    /// Checks the samples; the place in an error counts from 1.
    pub fn new(samples: Vec<Sample>) -> Result<Samples, SampleError> {
        let mut before = 0.0;
        for (index, &Sample { size, value }) in samples.iter().enumerate() {
            let place = index + 1;
            if size.is_nan() || size <= 0.0 {
                return Err(SampleError::NotPositive { place, size });
            }
            if size > SIZE_MOST {
                return Err(SampleError::Absurd {
                    place,
                    size,
                    most: SIZE_MOST,
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

    pub fn as_slice(&self) -> &[Sample] {
        &self.0
    }

    /// The largest absolute value.
    pub fn largest_value(&self) -> f64 {
        self.0.iter().map(|s| s.value.abs()).fold(0.0, f64::max)
    }

    /// The largest size.
    pub fn largest_size(&self) -> f64 {
        self.0.last().map_or(0.0, |s| s.size)
    }
}
