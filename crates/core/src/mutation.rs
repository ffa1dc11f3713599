//! Mutations for rehearsals: a build with the feature `mutations` can be told to break one rule, so that the auditor can be
//! seen to catch it. Without the feature there is none, and nothing can switch one on.

/// One way to break a rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// Told waits are not passed on to the decisions.
    IgnoresWaits,
    /// What the directory says of draining and gone endpoints is not heard.
    SendsToDrained,
    /// Every call goes out twice.
    TwoCopies,
    /// Nothing is written to the journal.
    ForgetsJournal,
    /// `+OK` goes out as soon as a message comes, and the message is lost if the process dies then.
    AnswersFirst,
    /// Final reports are not sent.
    DropsReports,
    /// Failures are hidden from the decisions: a destination that is back gets all that there is.
    FloodsCold,
    /// Answers are held back until the client has left.
    HoldsAnswers,
    /// A connection with bytes behind an answer is used again.
    ReusesSpoilt,
    /// What may have been executed is sent again whatever its class.
    RepeatsUnsafe,
    /// Nine attempts.
    SeventhAttempt,
    /// What is held at SIGTERM is forgotten.
    LeaksAtStop,
    /// Some clients are closed without an answer.
    ClosesClients,
    /// Keys of classes that keep their order are not heard.
    IgnoresOrder,
    /// What is taken up again after a restart has lost its key.
    ForgetsOrder,
}

impl Mutation {
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

    pub fn named(name: &str) -> Option<Mutation> {
        Mutation::ALL
            .iter()
            .find(|(n, _)| *n == name)
            .map(|(_, b)| *b)
    }
}

#[cfg(feature = "mutations")]
static CHOSEN: std::sync::OnceLock<Mutation> = std::sync::OnceLock::new();

/// Switches one on for the rest of the process; false if this build has none.
pub fn choose(mutation: Mutation) -> bool {
    #[cfg(feature = "mutations")]
    return CHOSEN.set(mutation).is_ok();
    #[cfg(not(feature = "mutations"))]
    {
        let _ = mutation;
        false
    }
}

/// Whether this one is on.
pub fn is(mutation: Mutation) -> bool {
    #[cfg(feature = "mutations")]
    return CHOSEN.get() == Some(&mutation);
    #[cfg(not(feature = "mutations"))]
    {
        let _ = mutation;
        false
    }
}

/// True for one call in so many, for mutations that show now and then.
pub fn one_in(calls: u64) -> bool {
    static CALLS: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(0);
    CALLS
        .fetch_add(1, std::sync::atomic::Ordering::Relaxed)
        .is_multiple_of(calls)
}
