//! What a destination takes from all senders together: a plain rate, a count in each span, or no limit of its own.

use std::time::Duration;

/// A limit as a destination's operator would state it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Limit {
    /// Only its capacity.
    None,
    /// So many calls a second, evenly: the next is allowed a period after the last, with this many saved up at most.
    Rate { per_second: f64, burst: f64 },
    /// So many calls in each span; spans follow one another from the day's beginning.
    Count { calls: u32, span: Duration },
}

/// A limit in use.
#[derive(Clone, Debug)]
pub struct Allowance {
    /// As stated, and as it is now.
    stated: Limit,
    limit: Limit,
    /// Calls saved up, for a rate; calls used in the present span, for a count.
    level: f64,
    /// When `level` was true.
    at: Duration,
}

/// A refusal by the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full {
    /// When there is room again, if nobody else takes it.
    pub again: Duration,
}

impl Allowance {
    pub fn new(limit: Limit) -> Allowance {
        let level = if let Limit::Rate { burst, .. } = limit {
            burst
        } else {
            0.0
        };
        Allowance {
            stated: limit,
            limit,
            level,
            at: Duration::ZERO,
        }
    }

    /// From `now` on it is so much of what was stated; a count is one call at least.
    pub fn lower(&mut self, now: Duration, factor: f64) {
        self.advance(now);
        self.limit = match self.stated {
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

    /// Uses one call at `now` if there is room. With `charge_refused`, a refused call uses the limit up all the same.
    pub fn take(&mut self, now: Duration, charge_refused: bool) -> Result<(), Full> {
        self.advance(now);
        match self.limit {
            Limit::None => Ok(()),
            Limit::Rate { per_second, burst } => {
                if self.level >= 1.0 {
                    self.level -= 1.0;
                    return Ok(());
                }
                if charge_refused {
                    // It can't sink without end: a whole burst below nothing at most.
                    self.level = (self.level - 1.0).max(-burst);
                }
                let missing = (1.0 - self.level) / per_second.max(f64::MIN_POSITIVE);
                Err(Full {
                    again: now + seconds(missing),
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
                    Err(Full {
                        again: span_start(now, span) + span,
                    })
                }
            }
        }
    }

    /// Share of the limit that is left (0 to 1) and the limit in calls a second, as a report tells them; zeros if
    /// there is none.
    pub fn reading(&mut self, now: Duration) -> (f64, f64) {
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
                let passed = now.saturating_sub(self.at).as_secs_f64();
                self.level = (self.level + passed * per_second).min(burst);
            }
            Limit::Count { span, .. } => {
                if span_start(now, span) > span_start(self.at, span) {
                    self.level = 0.0;
                }
            }
        }
        self.at = self.at.max(now);
    }
}

fn span_start(at: Duration, span: Duration) -> Duration {
    let span = span.as_nanos().max(1);
    Duration::from_nanos((at.as_nanos() / span * span) as u64)
}

pub(crate) fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(Duration::MAX / 4)
}
