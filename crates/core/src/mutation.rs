//! Mutations: a build with the feature `mutations` can break one rule on purpose, to show that the auditor detects it.
//! Other builds have no way to switch one on.

use cranehill_scheduler::api::{Condition, Effect, Settings, Status};

use crate::input::AttemptOutcome;
use crate::message::Listing;

/// More attempts than any settings allow.
const TOO_MANY_ATTEMPTS: u32 = 9;

/// One way to break a rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// The scheduler does not learn how long destinations ask not to be called.
    IgnoresWaits,
    /// Endpoints that discovery lists as draining or removed stay in use.
    SendsToDrained,
    /// Every call is sent twice.
    TwoCopies,
    /// Nothing is written to the journal.
    ForgetsJournal,
    /// `+OK` is sent as soon as a message is received, and the message is lost if the process dies then.
    AnswersFirst,
    /// Final reports are not sent.
    DropsReports,
    /// Failures are hidden from the scheduler: a destination that recovers gets the full load at once.
    FloodsCold,
    /// Answers are delayed until the client has disconnected.
    HoldsAnswers,
    /// A connection with bytes after an answer is used again.
    ReusesSpoilt,
    /// Messages that may have been executed are sent again whatever their class.
    RepeatsUnsafe,
    /// Messages get more attempts than allowed.
    SeventhAttempt,
    /// Pending messages are dropped at SIGTERM.
    LeaksAtStop,
    /// Some clients are disconnected without an answer.
    ClosesClients,
    /// Ordering keys are ignored.
    IgnoresOrder,
    /// Messages restored after a restart have lost their ordering keys.
    ForgetsOrder,
}

impl Mutation {
    /// All mutations by their names.
    pub const ALL: [(&'static str, Mutation); 15] = [
        ("ignores-waits", Mutation::IgnoresWaits),
        ("sends-to-drained", Mutation::SendsToDrained),
        ("two-copies", Mutation::TwoCopies),
        ("forgets-journal", Mutation::ForgetsJournal),
        ("answers-first", Mutation::AnswersFirst),
        ("drops-reports", Mutation::DropsReports),
        ("floods-cold", Mutation::FloodsCold),
        ("holds-answers", Mutation::HoldsAnswers),
        ("reuses-spoilt", Mutation::ReusesSpoilt),
        ("repeats-unsafe", Mutation::RepeatsUnsafe),
        ("seventh-attempt", Mutation::SeventhAttempt),
        ("leaks-at-stop", Mutation::LeaksAtStop),
        ("closes-clients", Mutation::ClosesClients),
        ("ignores-order", Mutation::IgnoresOrder),
        ("forgets-order", Mutation::ForgetsOrder),
    ];

    /// The mutation with this name.
    pub fn named(name: &str) -> Option<Mutation> {
        Mutation::ALL
            .iter()
            .find(|(known, _)| *known == name)
            .map(|(_, mutation)| *mutation)
    }
}

#[cfg(feature = "mutations")]
static CHOSEN: std::sync::OnceLock<Mutation> = std::sync::OnceLock::new();

/// Switches a mutation on for the rest of the process. False where this build has none, or another one is on.
pub fn choose(mutation: Mutation) -> bool {
    #[cfg(feature = "mutations")]
    return CHOSEN.set(mutation).is_ok();
    #[cfg(not(feature = "mutations"))]
    {
        let _ = mutation;
        false
    }
}

/// Whether a mutation is on.
pub fn is(mutation: Mutation) -> bool {
    #[cfg(feature = "mutations")]
    return CHOSEN.get() == Some(&mutation);
    #[cfg(not(feature = "mutations"))]
    {
        let _ = mutation;
        false
    }
}

/// True for one of each `calls` calls, for mutations that act now and then.
pub fn one_in(calls: u64) -> bool {
    static CALLS: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(0);
    CALLS
        .fetch_add(1, std::sync::atomic::Ordering::Relaxed)
        .is_multiple_of(calls)
}

/// Changes the settings, for mutations that need other ones.
pub(crate) fn apply_to_settings(settings: &mut Settings) {
    if is(Mutation::RepeatsUnsafe) {
        for class in &mut settings.classes {
            class.effect = Effect::Safe;
        }
    }
    if is(Mutation::SeventhAttempt) {
        settings.attempts_cap = TOO_MANY_ATTEMPTS;
    }
}

/// Changes how an attempt finished, for mutations that hide it from the scheduler.
pub(crate) fn apply_to_outcome(outcome: &mut AttemptOutcome) {
    if is(Mutation::IgnoresWaits) {
        outcome.retry_after = None;
    }
    let failed = matches!(
        outcome.status,
        Status::NoConnection | Status::TimedOut | Status::Overloaded | Status::Reset
    );
    let hides_failure = is(Mutation::FloodsCold) && failed;
    let hides_error = is(Mutation::SeventhAttempt) && outcome.status == Status::Error;
    if hides_failure || hides_error {
        outcome.status = Status::NotSent;
    }
}

/// Changes an endpoint list, for mutations that hide parts of it from the scheduler. Returns whether it is still a whole
/// one, as `whole` says it was.
pub(crate) fn apply_to_endpoint_list(whole: bool, list: &mut Vec<Listing>) -> bool {
    // Without a rate there is no token bucket that follows from it.
    if is(Mutation::FloodsCold) {
        for listing in list.iter_mut() {
            listing.entry.rate = 0.0;
        }
    }
    if is(Mutation::SendsToDrained) {
        list.retain(|listing| listing.entry.condition == Condition::Ready);
        return false;
    }
    whole
}
