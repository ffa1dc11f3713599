//! The window of one route: the number of calls that may be in flight.
//!
//! Implements the window control of Noel and Johnson, "Novel Overload Controls for SIP Networks", section III.E, with the
//! parameters of table IV.

/// Growth of the window, in calls (W+, table IV). Small compared with [`REDUCTION_STEP`], so that overload ends quickly.
const GROWTH_STEP: f64 = 0.1;
/// Reduction of the window for each rejected or failed call, in calls (W-, table IV).
const REDUCTION_STEP: f64 = 0.5;
/// Answered calls for one step of growth (C_max).
const ANSWERS_PER_STEP: u32 = 2;
/// Minimum window, in calls (W_min). Above zero, so that probabilistic calls continue.
pub(crate) const MIN_WINDOW: f64 = 0.5;
/// Maximum fraction of a sender's slots that one route may occupy, so that none occupies all.
const MAX_SLOT_SHARE: f64 = 0.75;
/// Window of a new route, as a fraction of the sender's slots.
const INITIAL_SLOT_SHARE: f64 = 0.5;

/// The window of one route. Below one call, it is the probability of a call while none is in flight.
#[derive(Clone, Debug, PartialEq)]
pub struct Window {
    size: f64,
    cap: f64,
    answers: u32,
}

impl Window {
    /// The window of a new route, for a sender with `slots` slots: half of them, but at least half a call.
    pub fn new(slots: u32) -> Window {
        let cap = (MAX_SLOT_SHARE * f64::from(slots)).max(1.0);
        Window {
            size: (INITIAL_SLOT_SHARE * f64::from(slots)).clamp(MIN_WINDOW, cap),
            cap,
            answers: 0,
        }
    }

    /// The size of the window, in calls.
    pub fn size(&self) -> f64 {
        self.size
    }

    /// Records a call that was answered with a success or an error other than overload; every second one enlarges the window.
    pub fn record_answer(&mut self) {
        self.answers += 1;
        if self.answers >= ANSWERS_PER_STEP {
            self.answers = 0;
            self.size = (self.size + GROWTH_STEP).min(self.cap);
        }
    }

    /// Records a call that was rejected because of overload, timed out, failed to connect or was reset, and reduces the window.
    pub fn record_overload(&mut self) {
        self.answers = 0;
        self.size = (self.size - REDUCTION_STEP).max(MIN_WINDOW);
    }

    /// Whether a further call may be sent: `in_flight` is strictly below the window, and one more call is within the maximum
    /// share of slots. The first call is always within it.
    pub fn has_room(&self, in_flight: u32) -> bool {
        let with_further_call = f64::from(in_flight) + 1.0;
        f64::from(in_flight) < self.size && (in_flight == 0 || with_further_call <= self.cap)
    }

    /// If the window is below one, the probability of a call while none is in flight; else `None`.
    pub fn call_probability(&self) -> Option<f64> {
        (self.size < 1.0).then_some(self.size)
    }

    /// Reduces the window to `size` if it is larger.
    pub(crate) fn lower_to(&mut self, size: f64) {
        self.size = self.size.min(size).max(MIN_WINDOW);
    }

    /// Sets the window to `size`, limited to its bounds.
    pub(crate) fn set_size(&mut self, size: f64) {
        self.size = size.clamp(MIN_WINDOW, self.cap);
    }
}
