//! Admission limits of a destination on the calls of all senders together: a token bucket, a fixed window, or none.

use std::time::Duration;

use crate::time::seconds;

/// An admission limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Limit {
    /// No limit; only the capacity of the destination bounds the calls.
    None,
    /// A token bucket.
    Rate {
        /// Tokens added per second; each call takes one.
        per_second: f64,
        /// Capacity of the bucket, in calls.
        burst: f64,
    },
    /// A count of calls in fixed windows, the first of which begins at the start of the scenario.
    Count {
        /// Calls admitted in each window.
        calls: u32,
        /// Length of a window.
        span: Duration,
    },
}

/// A limit with its current use. All times are since the start of the scenario.
#[derive(Clone, Debug)]
pub struct CallLimiter {
    /// The limit while no fault reduces it.
    nominal: Limit,
    /// The limit in force, possibly reduced by a fault.
    limit: Limit,
    /// For a rate: tokens in the bucket. For a count: calls counted in the current window.
    level: f64,
    /// When `level` was last updated.
    updated_at: Duration,
}

/// The limit rejected a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitReached {
    /// When the next call is admitted, unless other calls use the limit up before.
    pub retry_at: Duration,
}

impl CallLimiter {
    /// Creates a limiter with the whole limit available.
    pub fn new(limit: Limit) -> CallLimiter {
        let level = if let Limit::Rate { burst, .. } = limit {
            burst
        } else {
            0.0
        };
        CallLimiter {
            nominal: limit,
            limit,
            level,
            updated_at: Duration::ZERO,
        }
    }

    /// Scales the nominal limit by `factor` (0 to 1) from `now` on. A count stays at one call or more.
    pub fn scale(&mut self, now: Duration, factor: f64) {
        self.advance(now);
        self.limit = match self.nominal {
            Limit::None => Limit::None,
            Limit::Rate { per_second, burst } => Limit::Rate {
                per_second: per_second * factor,
                burst,
            },
            Limit::Count { calls, span } => Limit::Count {
                calls: ((f64::from(calls) * factor) as u32).max(1),
                span,
            },
        };
    }

    /// Admits or rejects a call at `now`. With `charge_refused`, rejected calls count towards the limit too.
    ///
    /// # Errors
    /// [`LimitReached`] if the limit is used up.
    pub fn admit(&mut self, now: Duration, charge_refused: bool) -> Result<(), LimitReached> {
        self.advance(now);
        match self.limit {
            Limit::None => Ok(()),
            Limit::Rate { per_second, burst } => {
                if self.level >= 1.0 {
                    self.level -= 1.0;
                    return Ok(());
                }
                if charge_refused {
                    // The level never falls below minus one burst, so that the limit recovers in bounded time.
                    self.level = (self.level - 1.0).max(-burst);
                }
                let missing = (1.0 - self.level) / per_second.max(f64::MIN_POSITIVE);
                Err(LimitReached {
                    retry_at: now + seconds(missing),
                })
            }
            Limit::Count { calls, span } => {
                let fits = self.level < f64::from(calls);
                if fits || charge_refused {
                    self.level += 1.0;
                }
                if fits {
                    Ok(())
                } else {
                    Err(LimitReached {
                        retry_at: window_start(now, span) + span,
                    })
                }
            }
        }
    }

    /// The load report: the unused share of the limit (0 to 1), and the limit in calls per second; zeros without a limit.
    pub fn load_report(&mut self, now: Duration) -> (f64, f64) {
        self.advance(now);
        match self.limit {
            Limit::None => (0.0, 0.0),
            Limit::Rate { per_second, burst } => {
                ((self.level / burst.max(1.0)).clamp(0.0, 1.0), per_second)
            }
            Limit::Count { calls, span } => {
                let all = f64::from(calls);
                (
                    (1.0 - self.level / all.max(1.0)).clamp(0.0, 1.0),
                    all / span.as_secs_f64().max(1e-9),
                )
            }
        }
    }

    /// Refills the bucket, or begins a new window, for the time since the last update.
    fn advance(&mut self, now: Duration) {
        match self.limit {
            Limit::None => {}
            Limit::Rate { per_second, burst } => {
                let passed = now.saturating_sub(self.updated_at).as_secs_f64();
                self.level = (self.level + passed * per_second).min(burst);
            }
            Limit::Count { span, .. } => {
                if window_start(now, span) > window_start(self.updated_at, span) {
                    self.level = 0.0;
                }
            }
        }
        self.updated_at = self.updated_at.max(now);
    }
}

/// The start of the window of length `span` that contains `at`.
fn window_start(at: Duration, span: Duration) -> Duration {
    let span = span.as_nanos().max(1);
    Duration::from_nanos((at.as_nanos() / span * span) as u64)
}
