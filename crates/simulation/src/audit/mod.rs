//! The auditor: holds what passed on the simulated servers' sockets against the operators' rules. It shares no code with the
//! sender, and knows nothing of it but what it said on the wire.
//!
//! Start at [`Auditor`]: it hears [`Line`]s in the order of time and gives a [`Verdict`] for each [`Rule`]. A rule with a
//! bound is broken only if it is broken by more than the rig itself was late; what lies between is not judged.

mod copies;
mod destinations;
mod ends;
mod order;
mod returns;

use std::fmt;
use std::time::Duration;

/// Figures of the rules, from the operators' pages.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Figures {
    /// Attempts that a message may have.
    pub attempts: u32,
    /// New work to an endpoint may go on for so long after the sender was told that it drains or is gone.
    pub drain: Duration,
    /// What reaches a destination so soon after a wait was told had been on its way.
    pub wait_grace: Duration,
    /// A connection idle for longer is not written to.
    pub idle: Duration,
    /// A message that was accepted has its end so soon after its time at the latest.
    pub overdue: Duration,
    /// After a restart no report is overdue until so long after the sender is ready.
    pub restart: Duration,
    /// A client waits so long for its answer.
    pub patience: Duration,
    /// Time-outs of the rules are extended by this on sockets.
    pub slack: Duration,
    /// Most of what pushed a destination over: beyond this share it is the senders' doing that saw it fail.
    pub share: f64,
    pub multiple: f64,
    pub fall: Duration,
    /// After an attempt that may still run, a key rests for so long.
    pub key_rest: Duration,
    /// Beyond the expected count N in such a span, `chance` times the root of N and `chance` more are put down to chance.
    pub chance: f64,
}

impl Default for Figures {
    fn default() -> Figures {
        let ms = Duration::from_millis;
        Figures {
            attempts: 6,
            drain: ms(500),
            wait_grace: ms(100),
            idle: ms(15_000),
            overdue: ms(300),
            restart: ms(1500),
            patience: ms(400),
            slack: ms(50),
            share: 2.0 / 3.0,
            multiple: 1.5,
            fall: ms(3000),
            key_rest: ms(100),
            chance: 2.0,
        }
    }
}

/// Whether a repeat does harm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    Safe,
    /// Repeats are dropped for so long from the first that may have been executed.
    Keyed {
        window: Duration,
    },
    Unsafe,
}

/// The answer to who handed a message in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    Accepted,
    /// Web Push: the one answer says that the service has it.
    Delivered,
    Rejected {
        after: Option<Duration>,
    },
    /// Web Push: given up, and it may have been executed.
    Failed,
    Error,
}

/// How a final report ends a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalReport {
    Returned { after: Option<Duration> },
    Failed,
}

/// What one message of a call came to, as the destination knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliveryOutcome {
    Done,
    Failed,
    Busy,
}

/// What the directory says of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listed {
    Up,
    Draining,
    Removed,
}

/// One thing that passed, or that the rig did.
#[derive(Clone, Debug, PartialEq)]
pub enum What {
    /// The last byte of a message was written to the sender.
    Submitted {
        id: String,
        class: usize,
        destination: u64,
        duration: Duration,
        /// Within which it keeps its order, where its class keeps one.
        ordering_key: Option<String>,
    },
    /// The last byte of a Web Push post was written: its one answer is its end.
    Posted {
        id: String,
        class: usize,
        destination: u64,
        duration: Duration,
    },
    Answered {
        id: String,
        answer: Answer,
    },
    /// The sender ended the client's connection with a request unanswered.
    Dropped {
        id: String,
    },
    /// The client ended it, out of patience.
    Abandoned {
        id: String,
    },
    Opened {
        connection: u64,
        endpoint: usize,
        destination: u64,
    },
    Closed {
        connection: u64,
    },
    /// The first byte of a call came.
    Begun {
        connection: u64,
        endpoint: usize,
        destination: u64,
    },
    /// Its last byte came.
    Called {
        connection: u64,
        endpoint: usize,
        destination: u64,
        ids: Vec<String>,
    },
    /// The last byte of the answer was written, with more behind it if it was `spoilt`.
    Replied {
        connection: u64,
        endpoint: usize,
        destination: u64,
        outcomes: Vec<(String, DeliveryOutcome)>,
        wait: Option<Duration>,
        spoilt: bool,
    },
    /// The simulated server ended the connection without a proper answer: refused, reset or spoilt. It may have been executed if `executed`.
    Broke {
        connection: u64,
        endpoint: usize,
        destination: u64,
        ids: Vec<String>,
        executed: bool,
    },
    Notified {
        endpoint: usize,
        destination: u64,
        listed: Listed,
    },
    Reported {
        id: String,
        final_report: FinalReport,
    },
    /// The sender was asked to end, or was killed.
    Signalled,
    /// Its process is gone.
    ProcessExited,
    /// Its lasting folder is lost, or nobody starts it again: it owes nothing any more. With `only`, its journal was cut,
    /// and these alone are gone.
    Lost {
        only: Option<Vec<String>>,
    },
    /// It answers again.
    Ready,
    /// A destination that is back cold took more than it could, and has fallen.
    Fell {
        destination: u64,
    },
    /// An outage of a destination is over since `since`; from `since` on it can do so many calls a second when warm. A further
    /// message in a call weighs `item` of one.
    Back {
        destination: u64,
        since: Duration,
        down: Duration,
        capacity: f64,
        cold: f64,
        warm: Duration,
        item: f64,
    },
}

/// One event, of one sender or of none.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Since the day began, when the rig noticed it.
    pub at: Duration,
    /// So much earlier it may have been.
    pub late: Duration,
    pub sender: Option<usize>,
    pub what: What,
    /// The bytes or words that prove it.
    pub wire: String,
}

/// The rules that are judged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    OneEnd,
    InTime,
    SecondCopy,
    Repeats,
    Attempts,
    Drains,
    Waits,
    Return,
    Idle,
    Answers,
    Order,
}

impl Rule {
    pub const ALL: [Rule; 11] = [
        Rule::OneEnd,
        Rule::InTime,
        Rule::SecondCopy,
        Rule::Repeats,
        Rule::Attempts,
        Rule::Drains,
        Rule::Waits,
        Rule::Return,
        Rule::Idle,
        Rule::Answers,
        Rule::Order,
    ];

    /// The rule in a few words, as operators say it.
    pub fn description(self) -> &'static str {
        match self {
            Rule::OneEnd => "every accepted message has one end",
            Rule::InTime => "every end comes in time",
            Rule::SecondCopy => "never two attempts of a message at once",
            Rule::Repeats => "no repeat that its class forbids",
            Rule::Attempts => "six attempts at most",
            Rule::Drains => "nothing new to a draining endpoint after 500 ms",
            Rule::Waits => "Retry-After waits are respected",
            Rule::Return => "no returning destination is overloaded",
            Rule::Idle => "no connection is used that was idle too long, or spoilt",
            Rule::Answers => "every request is answered, in time",
            Rule::Order => "messages of one ordering key go one at a time, in submission order",
        }
    }
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.description())
    }
}

/// One violation, with what proves it.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    pub rule: Rule,
    pub id: Option<String>,
    pub destination: Option<u64>,
    pub at: Duration,
    pub why: String,
    pub wire: Vec<String>,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:.3} s: {}: {}",
            self.at.as_secs_f64(),
            self.rule,
            self.why
        )?;
        if let Some(id) = &self.id {
            write!(f, " (message {id})")?;
        }
        if let Some(destination) = self.destination {
            write!(f, " (destination {destination})")?;
        }
        self.wire.iter().try_for_each(|w| write!(f, "\n    {w}"))
    }
}

/// What became of one rule.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// Held in so many cases in which it could have been broken.
    Kept {
        cases: u64,
    },
    Broken(Vec<Violation>),
    /// In so many cases the rig was too late itself to tell.
    NotJudged {
        cases: u64,
    },
}

/// What judges collect.
#[derive(Debug, Default)]
pub(crate) struct Findings {
    pub violations: Vec<Violation>,
    cases: std::collections::BTreeMap<Rule, (u64, u64)>,
}

/// Breaches of one rule that are kept with their proof.
const PROVEN_MOST: usize = 100;

impl Findings {
    /// The rule could have been broken here, and was not.
    pub(crate) fn kept(&mut self, rule: Rule) {
        self.cases.entry(rule).or_default().0 += 1;
    }

    fn unclear(&mut self, rule: Rule) {
        self.cases.entry(rule).or_default().1 += 1;
    }

    /// `over` is by how much a bound was passed (`None` for not at all), `late` how late the rig was in all.
    pub(crate) fn judge(
        &mut self,
        over: Option<Duration>,
        late: Duration,
        violation: impl FnOnce() -> Violation,
        rule: Rule,
    ) {
        match over {
            None => self.kept(rule),
            Some(over) if over <= late => self.unclear(rule),
            Some(_) => self.broken(violation()),
        }
    }

    pub(crate) fn broken(&mut self, violation: Violation) {
        self.violations.push(violation);
    }

    fn verdict(&self, rule: Rule) -> Verdict {
        let broken: Vec<Violation> = self
            .violations
            .iter()
            .filter(|b| b.rule == rule)
            .take(PROVEN_MOST)
            .cloned()
            .collect();
        let (kept, unclear) = self.cases.get(&rule).copied().unwrap_or_default();
        match (broken.is_empty(), unclear) {
            (false, _) => Verdict::Broken(broken),
            (true, 0) => Verdict::Kept { cases: kept },
            (true, cases) => Verdict::NotJudged { cases },
        }
    }
}

/// Hears a day and judges it.
#[derive(Debug)]
pub struct Auditor {
    figures: Figures,
    findings: Findings,
    ends: ends::Ends,
    copies: copies::Copies,
    destinations: destinations::DestinationRules,
    returns: returns::Returns,
    order: order::Order,
    now: Duration,
}

impl Auditor {
    /// `classes` as the messages' positions name them.
    pub fn new(figures: Figures, classes: Vec<Class>) -> Auditor {
        Auditor {
            figures,
            findings: Findings::default(),
            ends: ends::Ends::default(),
            copies: copies::Copies::new(classes),
            destinations: destinations::DestinationRules::default(),
            returns: returns::Returns::default(),
            order: order::Order::default(),
            now: Duration::ZERO,
        }
    }

    /// Lines come in the order of their instants.
    pub fn hear(&mut self, line: &Line) {
        self.now = self.now.max(line.at);
        self.ends.hear(line, &self.figures, &mut self.findings);
        self.copies.hear(line, &self.figures, &mut self.findings);
        self.destinations
            .hear(line, &self.figures, &mut self.findings);
        self.returns.hear(line, &self.figures, &mut self.findings);
        self.order.hear(line, &self.figures, &mut self.findings);
    }

    /// The day is over at `end`, when every message must have had its end; `late` is the rig's lateness then.
    pub fn verdicts(mut self, end: Duration, late: Duration) -> Vec<(Rule, Verdict)> {
        self.ends
            .close(end, late, &self.figures, &mut self.findings);
        self.returns.close(&self.figures, &mut self.findings);
        Rule::ALL
            .into_iter()
            .map(|rule| (rule, self.findings.verdict(rule)))
            .collect()
    }
}
