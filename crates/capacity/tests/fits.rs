//! Fits recover the function that generated the samples, and their residual shows the noise.

use cranehill_capacity::{Sample, SampleError, Samples, Shape, fit};
use proptest::prelude::*;

const SIZES: [f64; 6] = [10.0, 100.0, 1_000.0, 5_000.0, 10_000.0, 57_000.0];

fn samples(value: impl Fn(f64) -> f64) -> Samples {
    let samples = SIZES.iter().map(|&size| Sample {
        size,
        value: value(size),
    });
    Samples::new(samples.collect()).expect("finite samples")
}

fn near(found: f64, expected: f64, tolerance: f64) -> bool {
    (found - expected).abs() <= tolerance * expected.abs().max(1e-12)
}

proptest! {
    #[test]
    fn a_straight_line_is_recovered(base in 1.0..1e7f64, slope in 0.01..1e4f64) {
        let fit = fit(&samples(|n| base + slope * n)).expect("a fit");
        let Shape::Straight { base: found, slope: rise } = fit.shape else {
            return Err(TestCaseError::fail(format!("{fit:?}")));
        };
        prop_assert!(near(found, base, 1e-4) && near(rise, slope, 1e-4), "{fit:?}");
        prop_assert!(fit.residual < 1e-6);
    }

    #[test]
    fn a_quadratic_is_not_fitted_as_a_straight_line(
        base in 0.01..10.0f64, slope in 1e-6..1e-4f64, part in 0.5..1.0f64,
    ) {
        // The quadratic term makes up at least half of the largest value.
        let square = part * 2.0 * (base + slope * SIZES[5]) / SIZES[5].powi(2);
        let fit = fit(&samples(|n| base + slope * n + square * n * n)).expect("a fit");
        prop_assert!(!fit.shape.is_straight(), "{fit:?}");
        let Shape::Quadratic { square: found, .. } = fit.shape else {
            return Err(TestCaseError::fail(format!("{fit:?}")));
        };
        prop_assert!(near(found, square, 1e-3), "{fit:?}");
        let planned = base + slope * 1e5 + square * 1e10;
        prop_assert!(near(fit.shape.at(1e5), planned, 1e-3));
    }

    #[test]
    fn a_step_is_found_at_its_size(base in 1.0..10.0f64, slope in 1e-6..1e-5f64, times in 3.0..20.0f64) {
        let step = base * times;
        let fit = fit(&samples(|n| base + slope * n + if n >= 5_000.0 { step } else { 0.0 })).expect("a fit");
        let Shape::Step { step: found, from, .. } = fit.shape else {
            return Err(TestCaseError::fail(format!("{fit:?}")));
        };
        prop_assert!(from == 5_000.0 && near(found, step, 1e-3), "{fit:?}");
    }

    #[test]
    fn the_residual_measures_the_noise(base in 1.0..1e3f64, slope in 0.01..10.0f64, noise in 0.001..0.04f64) {
        let mut sign = -1.0;
        let noisy: Vec<Sample> = SIZES.iter().map(|&size| {
            sign = -sign;
            Sample { size, value: (base + slope * size) * (1.0 + sign * noise) }
        }).collect();
        let fit = fit(&Samples::new(noisy).expect("finite samples")).expect("a fit");
        prop_assert!(fit.residual > noise * 0.3 && fit.residual < noise * 1.1, "{fit:?}");
    }

    #[test]
    fn arbitrary_samples_do_not_cause_a_panic(
        values in prop::collection::vec((0.0..1e13f64, prop::num::f64::ANY), 0..8),
    ) {
        let samples = values.into_iter().map(|(size, value)| Sample { size, value }).collect();
        if let Ok(samples) = Samples::new(samples) {
            let _ = fit(&samples);
        }
    }
}

#[test]
fn invalid_samples_are_rejected_with_their_position() {
    let made = |sizes: &[f64]| {
        let samples = sizes
            .iter()
            .map(|&size| Sample { size, value: 1.0 })
            .collect();
        Samples::new(samples).map(|s| fit(&s))
    };
    assert_eq!(
        made(&[1.0, 0.0]).unwrap_err(),
        SampleError::NotPositive {
            position: 2,
            size: 0.0
        }
    );
    assert!(matches!(
        made(&[f64::NAN]),
        Err(SampleError::NotPositive { position: 1, .. })
    ));
    assert!(matches!(
        made(&[1.0, 2.0, 1e13]),
        Err(SampleError::TooLarge { position: 3, .. })
    ));
    assert!(matches!(
        made(&[5.0, 5.0]),
        Err(SampleError::NotAscending { position: 2, .. })
    ));
    assert_eq!(
        made(&[]).expect("no samples"),
        Err(SampleError::TooFew {
            given: 0,
            required: 3
        })
    );
    let infinite = Samples::new(vec![Sample {
        size: 1.0,
        value: f64::INFINITY,
    }]);
    assert!(matches!(
        infinite,
        Err(SampleError::NotFinite { position: 1, .. })
    ));
}
