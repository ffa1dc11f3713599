//! Mutations: a build with the feature `mutations` can violate one invariant on purpose, to test that the auditor
//! detects the violation. Other builds can't enable a mutation.

use cranehill_scheduler::api::{Condition, Effect, Settings, Status};

use crate::input::AttemptOutcome;
use crate::message::Listing;

/// The limit on attempts with [`Mutation::SeventhAttempt`]. The crash test, for example, allows 6.
const TOO_MANY_ATTEMPTS: u32 = 9;

/// One deliberate fault, which violates an invariant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// Retry-after times of destinations are hidden from the scheduler.
    IgnoresWaits,
    /// Endpoints that discovery lists as draining or removed are still called.
    SendsToDrained,
    /// Every call is sent twice.
    TwoCopies,
    /// No record is written to the journal.
    ForgetsJournal,
    /// `+OK` is sent as soon as a message is received, before the journal has it: a crash of the process then loses the
    /// message.
    AnswersFirst,
    /// Final reports are not sent.
    DropsReports,
    /// Failed attempts are reported to the scheduler as not sent, and listed rates as unknown, so that a destination
    /// receives the full load at once when it recovers.
    FloodsCold,
    /// Answers are withheld until the client has disconnected.
    HoldsAnswers,
    /// A connection is reused even if bytes that belong to no answer were received after an answer.
    ReusesSpoilt,
    /// A connection is reused as soon as it has had a response, when a second copy of that response may still arrive.
    ReusesAtOnce,
    /// Possibly executed messages are sent again even if their class is not safe to repeat.
    RepeatsUnsafe,
    /// Messages get more attempts than the settings allow.
    SeventhAttempt,
    /// Pending messages are recorded as completed at SIGTERM, so that no later process delivers them.
    LeaksAtStop,
    /// Some answers are not sent, and their clients are disconnected instead.
    ClosesClients,
    /// Ordering keys are ignored.
    IgnoresOrder,
    /// Messages are restored after a restart without their ordering keys.
    ForgetsOrder,
}

impl Mutation {
    /// All mutations with their names on the command line.
    pub const ALL: [(&'static str, Mutation); 16] = [
        ("ignores-waits", Mutation::IgnoresWaits),
        ("sends-to-drained", Mutation::SendsToDrained),
        ("two-copies", Mutation::TwoCopies),
        ("forgets-journal", Mutation::ForgetsJournal),
        ("answers-first", Mutation::AnswersFirst),
        ("drops-reports", Mutation::DropsReports),
        ("floods-cold", Mutation::FloodsCold),
        ("holds-answers", Mutation::HoldsAnswers),
        ("reuses-spoilt", Mutation::ReusesSpoilt),
        ("reuses-at-once", Mutation::ReusesAtOnce),
        ("repeats-unsafe", Mutation::RepeatsUnsafe),
        ("seventh-attempt", Mutation::SeventhAttempt),
        ("leaks-at-stop", Mutation::LeaksAtStop),
        ("closes-clients", Mutation::ClosesClients),
        ("ignores-order", Mutation::IgnoresOrder),
        ("forgets-order", Mutation::ForgetsOrder),
    ];

    /// Looks up a mutation by its name in [`Mutation::ALL`].
    pub fn from_name(name: &str) -> Option<Mutation> {
        Mutation::ALL
            .iter()
            .find(|(known, _)| *known == name)
            .map(|(_, mutation)| *mutation)
    }
}

#[cfg(feature = "mutations")]
static ENABLED_MUTATION: std::sync::OnceLock<Mutation> = std::sync::OnceLock::new();

/// Enables a mutation for the rest of the process. Returns false if this build has no mutations, or if one is enabled
/// already.
pub fn enable(mutation: Mutation) -> bool {
    #[cfg(feature = "mutations")]
    return ENABLED_MUTATION.set(mutation).is_ok();
    #[cfg(not(feature = "mutations"))]
    {
        let _ = mutation;
        false
    }
}

/// Whether this mutation is enabled.
pub fn is_enabled(mutation: Mutation) -> bool {
    #[cfg(feature = "mutations")]
    return ENABLED_MUTATION.get() == Some(&mutation);
    #[cfg(not(feature = "mutations"))]
    {
        let _ = mutation;
        false
    }
}

/// Returns true for the first of every `calls` invocations, counted over the whole process. For mutations that act on
/// only some of the occasions.
pub fn is_every_nth_call(calls: u64) -> bool {
    static CALLS: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(0);
    CALLS
        .fetch_add(1, std::sync::atomic::Ordering::Relaxed)
        .is_multiple_of(calls)
}

/// Applies the enabled mutation to the settings.
pub(crate) fn apply_to_settings(settings: &mut Settings) {
    if is_enabled(Mutation::RepeatsUnsafe) {
        for class in &mut settings.classes {
            class.effect = Effect::Safe;
        }
    }
    if is_enabled(Mutation::SeventhAttempt) {
        settings.max_attempts = TOO_MANY_ATTEMPTS;
    }
}

/// Applies the enabled mutation to the outcome of an attempt before the scheduler receives it.
pub(crate) fn apply_to_outcome(outcome: &mut AttemptOutcome) {
    if is_enabled(Mutation::IgnoresWaits) {
        outcome.retry_after = None;
    }
    let failed = matches!(
        outcome.status,
        Status::NoConnection | Status::TimedOut | Status::Overloaded | Status::Reset
    );
    let hides_failure = is_enabled(Mutation::FloodsCold) && failed;
    let hides_error = is_enabled(Mutation::SeventhAttempt) && outcome.status == Status::Error;
    if hides_failure || hides_error {
        outcome.status = Status::NotSent;
    }
}

/// Applies the enabled mutation to an endpoint list before the scheduler receives it. `whole` is whether the list
/// replaces the previous one; returns whether the changed list does. With [`Mutation::SendsToDrained`] it does not,
/// since the scheduler would remove the endpoints that are left out.
pub(crate) fn apply_to_endpoint_list(whole: bool, list: &mut Vec<Listing>) -> bool {
    // A rate of 0 means that it is unknown: the scheduler then derives no limit from it.
    if is_enabled(Mutation::FloodsCold) {
        for listing in list.iter_mut() {
            listing.entry.rate = 0.0;
        }
    }
    if is_enabled(Mutation::SendsToDrained) {
        list.retain(|listing| listing.entry.condition == Condition::Ready);
        return false;
    }
    whole
}
