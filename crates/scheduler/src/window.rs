//! The window of one route: how many calls may be in flight at once.
//!
//! Follows the window control of Noel and Johnson, "Novel Overload Controls for SIP Networks", section III.E, with the
//! parameters of table IV.

/// Growth by one step (W+, table IV). It is small beside [`CUT_STEP`], so that overload is left quickly.
const GROWTH_STEP: f64 = 0.1;
/// Reduction by one rejected or failed call (W-, table IV).
const CUT_STEP: f64 = 0.5;
/// Answers for one step of growth (C_max).
const ANSWERS_PER_STEP: u32 = 2;
/// The smallest window (W_min): a probabilistic call stays possible.
pub(crate) const MIN_WINDOW: f64 = 0.5;
/// Share of a sender's slots that one route may use at most, so that none takes them all.
const MAX_SLOT_SHARE: f64 = 0.75;
/// Share of a sender's slots that a new route starts with.
const INITIAL_SLOT_SHARE: f64 = 0.5;

/// The window of one route, in calls. It knows nothing of time or messages.
#[derive(Clone, Debug, PartialEq)]
pub struct Window {
    size: f64,
    cap: f64,
    answers: u32,
}

impl Window {
    /// The window of a new route, for a sender with this number of slots.
    pub fn new(slots: u32) -> Window {
        let cap = (MAX_SLOT_SHARE * f64::from(slots)).max(1.0);
        Window {
            size: (INITIAL_SLOT_SHARE * f64::from(slots)).clamp(MIN_WINDOW, cap),
            cap,
            answers: 0,
        }
    }

    /// The window's size in calls.
    pub fn size(&self) -> f64 {
        self.size
    }

    /// Records a call that was answered, served or with an error.
    pub fn answered(&mut self) {
        self.answers += 1;
        if self.answers >= ANSWERS_PER_STEP {
            self.answers = 0;
            self.size = (self.size + GROWTH_STEP).min(self.cap);
        }
    }

    /// Records a call that was rejected for overload, timed out, failed to connect or was reset.
    pub fn cut(&mut self) {
        self.answers = 0;
        self.size = (self.size - CUT_STEP).max(MIN_WINDOW);
    }

    /// Whether a further call may be sent: the calls in flight are strictly below the window, and the cap holds
    /// with the further one.
    pub fn has_room(&self, outstanding: u32) -> bool {
        let after = f64::from(outstanding) + 1.0;
        f64::from(outstanding) < self.size && (outstanding == 0 || after <= self.cap)
    }

    /// The probability of a call while none is in flight, where the window is smaller than one.
    pub fn chance(&self) -> Option<f64> {
        (self.size < 1.0).then_some(self.size)
    }

    /// Reduces the window to `size`, where it is larger.
    pub(crate) fn lower_to(&mut self, size: f64) {
        self.size = self.size.min(size).max(MIN_WINDOW);
    }

    /// Sets the window to `size`, within its bounds.
    pub(crate) fn resume_at(&mut self, size: f64) {
        self.size = size.clamp(MIN_WINDOW, self.cap);
    }
}
