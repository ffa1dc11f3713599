//! Breakages for rehearsals: a build with the feature `breakages` can be told to break one rule, so that the auditor can be
//! seen to catch it. Without the feature there is none, and nothing can switch one on.

/// One way to break a rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Breakage {
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

impl Breakage {
    pub const ALL: [(&'static str, Breakage); 15] = [
        ("ignores-waits", Breakage::IgnoresWaits),
        ("sends-to-drained", Breakage::SendsToDrained),
        ("two-copies", Breakage::TwoCopies),
        ("forgets-journal", Breakage::ForgetsJournal),
        ("answers-first", Breakage::AnswersFirst),
        ("drops-reports", Breakage::DropsReports),
        ("floods-cold", Breakage::FloodsCold),
        ("holds-answers", Breakage::HoldsAnswers),
        ("reuses-spoilt", Breakage::ReusesSpoilt),
        ("repeats-unsafe", Breakage::RepeatsUnsafe),
        ("seventh-attempt", Breakage::SeventhAttempt),
        ("leaks-at-stop", Breakage::LeaksAtStop),
        ("closes-clients", Breakage::ClosesClients),
        ("ignores-order", Breakage::IgnoresOrder),
        ("forgets-order", Breakage::ForgetsOrder),
    ];

    pub fn named(name: &str) -> Option<Breakage> {
        Breakage::ALL
            .iter()
            .find(|(n, _)| *n == name)
            .map(|(_, b)| *b)
    }
}

#[cfg(feature = "breakages")]
static CHOSEN: std::sync::OnceLock<Breakage> = std::sync::OnceLock::new();

/// Switches one on for the rest of the process; false if this build has none.
pub fn choose(breakage: Breakage) -> bool {
    #[cfg(feature = "breakages")]
    return CHOSEN.set(breakage).is_ok();
    #[cfg(not(feature = "breakages"))]
    {
        let _ = breakage;
        false
    }
}

/// Whether this one is on.
pub fn is(breakage: Breakage) -> bool {
    #[cfg(feature = "breakages")]
    return CHOSEN.get() == Some(&breakage);
    #[cfg(not(feature = "breakages"))]
    {
        let _ = breakage;
        false
    }
}

/// True for one call in so many, for breakages that show now and then.
pub fn one_in(calls: u64) -> bool {
    static CALLS: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(0);
    CALLS
        .fetch_add(1, std::sync::atomic::Ordering::Relaxed)
        .is_multiple_of(calls)
}
