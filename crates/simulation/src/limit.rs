//! Limits of a destination on the calls of all senders together: a rate, a count in each span, or none.

use std::time::Duration;

use crate::time::seconds;

/// A limit as a destination's operator would state it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Limit {
    /// No limit but the destination's capacity.
    None,
    /// A token bucket.
    Rate {
        /// Calls a second.
        per_second: f64,
        /// Calls that can be saved up.
        burst: f64,
    },
    /// A count in fixed spans that follow one another from the start of the scenario.
    Count {
        /// Calls in each span.
        calls: u32,
        /// Length of a span.
        span: Duration,
    },
}

/// A limit in use.
#[derive(Clone, Debug)]
pub struct CallLimiter {
    /// The limit without faults.
    nominal: Limit,
    /// The limit as it is now.
    limit: Limit,
    /// Calls saved up, for a rate; calls used in the present span, for a count.
    level: f64,
    /// When `level` was last updated.
    updated_at: Duration,
}

/// A call was rejected by the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitReached {
    /// When a call is admitted again, if there is no other one before.
    pub retry_at: Duration,
}

impl CallLimiter {
    /// A limit that is not used up.
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

    /// Sets the limit to a part of the nominal one from `now` on; a count is at least one call.
    pub fn lower(&mut self, now: Duration, factor: f64) {
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

    /// Admits or rejects a call at `now`. With `charge_refused`, rejected calls use the limit up too.
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
                    // At most one whole burst below 0, so that the limit recovers in bounded time.
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
                        retry_at: span_start(now, span) + span,
                    })
                }
            }
        }
    }

    /// A load report: the part of the limit that is left (0 to 1) and the limit in calls a second; zeros if there is none.
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

    fn advance(&mut self, now: Duration) {
        match self.limit {
            Limit::None => {}
            Limit::Rate { per_second, burst } => {
                let passed = now.saturating_sub(self.updated_at).as_secs_f64();
                self.level = (self.level + passed * per_second).min(burst);
            }
            Limit::Count { span, .. } => {
                if span_start(now, span) > span_start(self.updated_at, span) {
                    self.level = 0.0;
                }
            }
        }
        self.updated_at = self.updated_at.max(now);
    }
}

/// The start of the span that contains `at`.
fn span_start(at: Duration, span: Duration) -> Duration {
    let span = span.as_nanos().max(1);
    Duration::from_nanos((at.as_nanos() / span * span) as u64)
}
