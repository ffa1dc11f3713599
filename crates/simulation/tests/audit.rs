//! Each rule on recorded logs: one that breaks it, and one that just keeps it.

use std::time::Duration;

use cranehill_simulation::audit::{
    Answer, AuditEvent, AuditRecord, Auditor, Class, DeliveryOutcome, Figures, FinalReport, Listed,
    Rule, Verdict,
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A log in the making.
struct Log(Vec<AuditRecord>);

impl Log {
    fn add(mut self, at: u64, event: AuditEvent) -> Log {
        let wire = format!("{at} {event:?}");
        self.0.push(AuditRecord {
            at: ms(at),
            recording_delay: Duration::ZERO,
            sender: Some(0),
            event,
            wire,
        });
        self
    }

    fn from(mut self, sender: usize) -> Log {
        if let Some(line) = self.0.last_mut() {
            line.sender = Some(sender);
        }
        self
    }

    fn late(mut self, late: u64) -> Log {
        if let Some(line) = self.0.last_mut() {
            line.recording_delay = ms(late);
        }
        self
    }

    /// Submitted at `at` and accepted 5 ms later.
    fn taken(self, at: u64, id: &str, class: usize) -> Log {
        let submitted = AuditEvent::Submitted {
            id: id.into(),
            class,
            destination: 7,
            time_to_live: ms(20_000),
            ordering_key: None,
        };
        self.add(at, submitted).add(
            at + 5,
            AuditEvent::Answered {
                id: id.into(),
                answer: Answer::Accepted,
            },
        )
    }

    fn call(self, at: u64, connection: u64, ids: &[&str]) -> Log {
        let ids = ids.iter().map(|i| (*i).to_owned()).collect();
        self.add(
            at,
            AuditEvent::Begun {
                connection,
                endpoint: 0,
                destination: 7,
            },
        )
        .add(
            at,
            AuditEvent::Called {
                connection,
                endpoint: 0,
                destination: 7,
                ids,
            },
        )
    }

    fn reply(
        self,
        at: u64,
        connection: u64,
        id: &str,
        outcome: DeliveryOutcome,
        wait: Option<u64>,
    ) -> Log {
        let outcomes = vec![(id.to_owned(), outcome)];
        let spoilt = false;
        self.add(
            at,
            AuditEvent::Replied {
                connection,
                endpoint: 0,
                destination: 7,
                outcomes,
                wait: wait.map(ms),
                spoilt,
            },
        )
    }

    fn report(self, at: u64, id: &str, final_report: FinalReport) -> Log {
        self.add(
            at,
            AuditEvent::Reported {
                id: id.into(),
                final_report,
            },
        )
    }

    fn verdict(&self, rule: Rule, end: u64) -> Verdict {
        let classes = vec![
            Class::Safe,
            Class::Keyed { window: ms(20_000) },
            Class::Unsafe,
        ];
        let mut auditor = Auditor::new(Figures::default(), classes);
        self.0.iter().for_each(|l| auditor.hear(l));
        let verdicts = auditor.verdicts(ms(end), Duration::ZERO);
        verdicts
            .into_iter()
            .find(|(r, _)| *r == rule)
            .expect("each rule has a verdict")
            .1
    }

    fn keeps(&self, rule: Rule) {
        let verdict = self.verdict(rule, 60_000);
        assert!(
            matches!(verdict, Verdict::Kept { cases } if cases > 0),
            "{rule}: {verdict:?}"
        );
    }

    fn violates(&self, rule: Rule) {
        let verdict = self.verdict(rule, 60_000);
        let Verdict::Broken(violations) = &verdict else {
            panic!("{rule}: {verdict:?}")
        };
        assert!(
            violations
                .iter()
                .all(|b| b.rule == rule && !b.wire.is_empty()),
            "{violations:?}"
        );
    }

    fn is_not_judged(&self, rule: Rule) {
        let verdict = self.verdict(rule, 60_000);
        assert!(
            matches!(verdict, Verdict::NotJudged { .. }),
            "{rule}: {verdict:?}"
        );
    }
}

fn log() -> Log {
    Log(Vec::new())
}

const RETURNED: FinalReport = FinalReport::Returned { after: None };

#[test]
fn each_message_has_one_end() {
    log()
        .taken(0, "a", 0)
        .call(10, 1, &["a"])
        .reply(300, 1, "a", DeliveryOutcome::Done, None)
        .keeps(Rule::OneEnd);
    log()
        .taken(0, "a", 0)
        .report(20_200, "a", FinalReport::Failed)
        .keeps(Rule::OneEnd);
    // Resent until it is answered.
    log()
        .taken(0, "a", 0)
        .report(900, "a", RETURNED)
        .report(1200, "a", RETURNED)
        .keeps(Rule::OneEnd);
    log().taken(0, "a", 0).violates(Rule::OneEnd);
    log()
        .taken(0, "a", 0)
        .report(900, "a", RETURNED)
        .report(1200, "a", FinalReport::Failed)
        .violates(Rule::OneEnd);
    log().report(900, "nobody", RETURNED).violates(Rule::OneEnd);
    // The 200 may never have reached the sender.
    let delivered =
        log()
            .taken(0, "a", 2)
            .call(10, 1, &["a"])
            .reply(300, 1, "a", DeliveryOutcome::Done, None);
    delivered
        .report(900, "a", FinalReport::Failed)
        .keeps(Rule::OneEnd);
    // A day that ends before a message's time says nothing.
    let verdict = log().taken(0, "a", 0).verdict(Rule::OneEnd, 20_000);
    assert_eq!(verdict, Verdict::Kept { cases: 0 });
}

#[test]
fn every_message_ends_in_time() {
    log()
        .taken(0, "a", 0)
        .report(20_300, "a", FinalReport::Failed)
        .keeps(Rule::InTime);
    log()
        .taken(0, "a", 0)
        .report(20_301, "a", FinalReport::Failed)
        .violates(Rule::InTime);
    log()
        .taken(0, "a", 0)
        .report(20_310, "a", FinalReport::Failed)
        .late(30)
        .is_not_judged(Rule::InTime);
    // Killed, and back: nothing is overdue until 1.5 s after it is ready.
    let killed = |at| {
        log()
            .taken(0, "a", 0)
            .add(19_000, AuditEvent::ProcessExited)
            .add(21_000, AuditEvent::Ready)
            .report(at, "a", RETURNED)
    };
    assert_eq!(
        killed(22_400).verdict(Rule::InTime, 60_000),
        Verdict::Kept { cases: 0 }
    );
    killed(22_600).violates(Rule::InTime);
}

#[test]
fn at_most_one_attempt_is_in_flight() {
    let first = || log().taken(0, "a", 0).call(10, 1, &["a"]);
    first().call(20, 2, &["a"]).violates(Rule::SecondCopy);
    first()
        .reply(19, 1, "a", DeliveryOutcome::Busy, None)
        .call(20, 2, &["a"])
        .keeps(Rule::SecondCopy);
    // A call that is broken off is no longer out.
    first()
        .add(19, AuditEvent::Closed { connection: 1 })
        .call(20, 2, &["a"])
        .keeps(Rule::SecondCopy);
}

#[test]
fn no_repeat_that_the_class_forbids() {
    let failed = |class| {
        log().taken(0, "a", class).call(10, 1, &["a"]).reply(
            50,
            1,
            "a",
            DeliveryOutcome::Failed,
            None,
        )
    };
    failed(0).call(60, 1, &["a"]).keeps(Rule::Repeats);
    failed(1).call(60, 1, &["a"]).keeps(Rule::Repeats);
    failed(1).call(20_090, 1, &["a"]).keeps(Rule::Repeats);
    failed(1).call(20_110, 1, &["a"]).violates(Rule::Repeats);
    failed(1)
        .call(20_110, 1, &["a"])
        .late(20)
        .is_not_judged(Rule::Repeats);
    failed(2).call(60, 1, &["a"]).violates(Rule::Repeats);
    // What was turned away was not executed.
    let busy =
        log()
            .taken(0, "a", 2)
            .call(10, 1, &["a"])
            .reply(50, 1, "a", DeliveryOutcome::Busy, None);
    assert!(matches!(
        busy.call(60, 1, &["a"]).verdict(Rule::Repeats, 60_000),
        Verdict::Kept { .. }
    ));
    // A call that the sender gave up may be executed all the same, also when the answer comes later.
    let given_up = log()
        .taken(0, "a", 2)
        .call(10, 1, &["a"])
        .add(3000, AuditEvent::Closed { connection: 1 });
    given_up.call(3100, 2, &["a"]).violates(Rule::Repeats);
}

/// Who is told `returned` hands the message in again: that is a repeat that the sender asked for.
#[test]
fn no_message_is_returned_that_must_not_be_repeated() {
    let executed = |class, outcome| {
        log()
            .taken(0, "a", class)
            .call(10, 1, &["a"])
            .reply(50, 1, "a", outcome, None)
    };
    let after = |ms: u64| FinalReport::Returned {
        after: Some(Duration::from_millis(ms)),
    };
    for outcome in [DeliveryOutcome::Done, DeliveryOutcome::Failed] {
        executed(0, outcome)
            .report(900, "a", RETURNED)
            .keeps(Rule::Repeats);
        executed(1, outcome)
            .report(19_000, "a", after(1090))
            .keeps(Rule::Repeats);
        executed(1, outcome)
            .report(19_000, "a", after(1110))
            .violates(Rule::Repeats);
        executed(1, outcome)
            .report(19_000, "a", after(1110))
            .late(20)
            .is_not_judged(Rule::Repeats);
        executed(2, outcome)
            .report(900, "a", RETURNED)
            .violates(Rule::Repeats);
        // Resent until it is answered: the same report.
        executed(1, outcome)
            .report(19_000, "a", after(500))
            .report(25_000, "a", after(500))
            .keeps(Rule::Repeats);
    }
    let busy = executed(2, DeliveryOutcome::Busy).report(900, "a", RETURNED);
    assert_eq!(
        busy.verdict(Rule::Repeats, 60_000),
        Verdict::Kept { cases: 0 }
    );
}

#[test]
fn six_attempts_at_most() {
    let tried = |count: u64| {
        (0..count).fold(log().taken(0, "a", 0), |log, n| {
            log.call(n * 100 + 10, 1, &["a"]).reply(
                n * 100 + 50,
                1,
                "a",
                DeliveryOutcome::Busy,
                None,
            )
        })
    };
    tried(6).keeps(Rule::Attempts);
    tried(7).violates(Rule::Attempts);
}

#[test]
fn nothing_new_to_a_draining_endpoint() {
    let notified = || {
        log().add(
            1000,
            AuditEvent::Notified {
                endpoint: 0,
                destination: 7,
                listed: Listed::Draining,
            },
        )
    };
    notified().call(1500, 1, &["a"]).keeps(Rule::Drains);
    notified().call(1501, 1, &["a"]).violates(Rule::Drains);
    // The first of several tellings counts.
    let again = notified().add(
        1400,
        AuditEvent::Notified {
            endpoint: 0,
            destination: 7,
            listed: Listed::Removed,
        },
    );
    again.call(1600, 1, &["a"]).violates(Rule::Drains);
    // Only who was told.
    let other = notified()
        .add(
            1600,
            AuditEvent::Begun {
                connection: 1,
                endpoint: 0,
                destination: 7,
            },
        )
        .from(1);
    assert_eq!(
        other.verdict(Rule::Drains, 60_000),
        Verdict::Kept { cases: 1 }
    );
    let up = notified().add(
        1200,
        AuditEvent::Notified {
            endpoint: 0,
            destination: 7,
            listed: Listed::Up,
        },
    );
    assert_eq!(
        up.call(1600, 1, &["a"]).verdict(Rule::Drains, 60_000),
        Verdict::Kept { cases: 1 }
    );
}

#[test]
fn retry_after_waits_are_respected() {
    let notified = || {
        log().taken(0, "a", 0).call(10, 1, &["a"]).reply(
            1000,
            1,
            "a",
            DeliveryOutcome::Busy,
            Some(700),
        )
    };
    notified().call(1700, 1, &["a"]).keeps(Rule::Waits);
    notified().call(1500, 1, &["b"]).violates(Rule::Waits);
    // On its way as the wait was told, on another connection.
    assert_eq!(
        notified()
            .call(1100, 2, &["b"])
            .verdict(Rule::Waits, 60_000),
        Verdict::Kept { cases: 0 }
    );
    notified().call(1101, 2, &["b"]).violates(Rule::Waits);
    notified()
        .call(1110, 2, &["b"])
        .late(20)
        .is_not_judged(Rule::Waits);
    // A shorter wait told later does not end a longer one.
    let shorter =
        notified()
            .call(1050, 2, &["b"])
            .reply(1060, 2, "b", DeliveryOutcome::Busy, Some(50));
    shorter.call(1400, 1, &["a"]).violates(Rule::Waits);
    // A restart ends it.
    let restarted = notified()
        .add(1200, AuditEvent::ProcessExited)
        .add(1300, AuditEvent::Ready)
        .call(1400, 3, &["a"]);
    assert_eq!(
        restarted.verdict(Rule::Waits, 60_000),
        Verdict::Kept { cases: 0 }
    );
}

/// So many calls, 60 ms apart, to a destination that is back since the first of them and could take three a second then. N is
/// 1.5 times what it can do in 3 s: 16.2 at the 26th call, so that 26.3 calls are let through.
fn pushed(calls: u64, saw: bool, others: u64) -> Log {
    let mut log = log();
    // Sender 0 sees it fail, if it is to.
    if saw {
        log = log
            .call(3000, 1, &["x"])
            .reply(3005, 1, "x", DeliveryOutcome::Busy, None);
    }
    let back = AuditEvent::Back {
        destination: 7,
        since: ms(5000),
        down: ms(4000),
        capacity: 10.0,
        cold: 0.23,
        warm: ms(9100),
        item: 0.1,
    };
    log = log.add(5000, back);
    for n in 0..calls {
        log = log
            .call(5000 + n * 60, 1, &["y"])
            .from(usize::from(n < others));
    }
    log
}

/// The bound is N + 2 x root of N + 2, over all senders; it is broken if over two thirds came from those that were told.
#[test]
fn senders_that_saw_an_outage_do_not_overload_the_returning_destination() {
    pushed(26, true, 0).keeps(Rule::Return);
    pushed(27, true, 0).violates(Rule::Return);
    // Of 27 calls 19 are over two thirds, and 18 are not.
    pushed(27, true, 8).violates(Rule::Return);
    assert!(matches!(
        pushed(27, true, 9).verdict(Rule::Return, 60_000),
        Verdict::Kept { .. }
    ));
    assert!(matches!(
        pushed(27, false, 0).verdict(Rule::Return, 60_000),
        Verdict::Kept { .. }
    ));
    // One that falls tells so itself, in the very call that would be one too many.
    let fallen =
        |saw, others| pushed(26, saw, others).add(6600, AuditEvent::Fell { destination: 7 });
    fallen(true, 0).violates(Rule::Return);
    assert!(matches!(
        fallen(false, 0).verdict(Rule::Return, 60_000),
        Verdict::Kept { .. }
    ));
    assert!(matches!(
        fallen(true, 9).verdict(Rule::Return, 60_000),
        Verdict::Kept { .. }
    ));
    // What fails after its return takes nothing back, however often: a flood is refused in the end.
    let refused = |log: Log| {
        (0..200).fold(log, |log, n| {
            log.reply(6570 + n / 10, 1, "y", DeliveryOutcome::Busy, None)
        })
    };
    refused(pushed(26, true, 0))
        .add(6600, AuditEvent::Fell { destination: 7 })
        .violates(Rule::Return);
    // And a sender that sees it fail only after its return was not told of the outage.
    let later = refused(pushed(26, false, 0)).add(6600, AuditEvent::Fell { destination: 7 });
    assert!(matches!(
        later.verdict(Rule::Return, 60_000),
        Verdict::Kept { .. }
    ));
    // A destination that is silent fails by calls that are given up, but not by those that a sender's own end cuts off.
    let silent = |given_up: Log| {
        let mut all = given_up
            .add(3100, AuditEvent::Closed { connection: 1 })
            .add(3200, AuditEvent::Ready)
            .0;
        all.extend(pushed(27, false, 0).0);
        Log(all)
    };
    silent(log().call(3000, 1, &["x"])).violates(Rule::Return);
    let killed = silent(
        log()
            .call(3000, 1, &["x"])
            .add(3050, AuditEvent::ProcessExited),
    );
    assert!(matches!(
        killed.verdict(Rule::Return, 60_000),
        Verdict::Kept { .. }
    ));
}

/// Each message of a call after the first weighs a tenth of a call: twelve calls of five messages weigh 16.8, and not 60.
#[test]
fn messages_of_one_call_weigh_less_than_calls() {
    let batched = |calls: u64| {
        let back = pushed(0, true, 0).0;
        (0..calls).fold(Log(back), |log, n| {
            log.call(5000 + n * 60, 1, &["a", "b", "c", "d", "e"])
        })
    };
    assert!(
        batched(1)
            .0
            .iter()
            .any(|l| matches!(l.event, AuditEvent::Back { .. }))
    );
    batched(9).keeps(Rule::Return);
    batched(20).violates(Rule::Return);
}

#[test]
fn no_call_on_a_connection_idle_too_long() {
    let idle = |at| {
        log()
            .add(
                0,
                AuditEvent::Opened {
                    connection: 1,
                    endpoint: 0,
                    destination: 7,
                },
            )
            .call(at, 1, &["a"])
    };
    idle(15_000).keeps(Rule::Idle);
    idle(15_001).violates(Rule::Idle);
    // More came than an answer: whatever is read there next is anybody's guess.
    let spoilt = |spoilt| {
        let outcomes = vec![("a".to_owned(), DeliveryOutcome::Done)];
        let replied = AuditEvent::Replied {
            connection: 1,
            endpoint: 0,
            destination: 7,
            outcomes,
            wait: None,
            spoilt,
        };
        log().taken(0, "a", 0).call(10, 1, &["a"]).add(300, replied)
    };
    spoilt(true).call(400, 1, &["b"]).violates(Rule::Idle);
    spoilt(false).call(400, 1, &["b"]).keeps(Rule::Idle);
    spoilt(true)
        .add(310, AuditEvent::Closed { connection: 1 })
        .call(400, 2, &["b"])
        .keeps(Rule::SecondCopy);
}

/// A sender that is gone for good owes nothing more; the others owe what they owed.
#[test]
fn messages_of_a_lost_state_folder_are_not_judged() {
    let other = AuditEvent::Submitted {
        id: "b".into(),
        class: 0,
        destination: 7,
        time_to_live: ms(20_000),
        ordering_key: None,
    };
    let lost = || {
        log()
            .taken(0, "a", 0)
            .add(50, AuditEvent::Lost { only: None })
    };
    assert_eq!(
        lost().verdict(Rule::OneEnd, 60_000),
        Verdict::Kept { cases: 0 }
    );
    let taken = AuditEvent::Answered {
        id: "b".into(),
        answer: Answer::Accepted,
    };
    lost()
        .add(100, other)
        .add(110, taken)
        .violates(Rule::OneEnd);
    // A journal that was cut: what it still had is owed.
    let cut = |id: &str| {
        log().taken(0, "a", 0).add(
            50,
            AuditEvent::Lost {
                only: Some(vec![id.into()]),
            },
        )
    };
    assert_eq!(
        cut("a").verdict(Rule::OneEnd, 60_000),
        Verdict::Kept { cases: 0 }
    );
    cut("b").violates(Rule::OneEnd);
}

#[test]
fn every_request_is_answered_in_time() {
    let submitted = || {
        log().add(
            0,
            AuditEvent::Submitted {
                id: "a".into(),
                class: 0,
                destination: 7,
                time_to_live: ms(20_000),
                ordering_key: None,
            },
        )
    };
    let refused = |at| {
        submitted().add(
            at,
            AuditEvent::Answered {
                id: "a".into(),
                answer: Answer::Rejected { after: None },
            },
        )
    };
    refused(400).keeps(Rule::Answers);
    refused(401).violates(Rule::Answers);
    refused(410).late(20).is_not_judged(Rule::Answers);
    submitted()
        .add(10, AuditEvent::Dropped { id: "a".into() })
        .violates(Rule::Answers);
    // A sender that was killed can't answer.
    let killed = submitted()
        .add(5, AuditEvent::ProcessExited)
        .add(6, AuditEvent::Dropped { id: "a".into() });
    assert_eq!(
        killed.verdict(Rule::Answers, 60_000),
        Verdict::Kept { cases: 0 }
    );
}

#[test]
fn the_one_answer_to_a_post_is_true_and_in_time() {
    let posted = || {
        log().add(
            0,
            AuditEvent::Posted {
                id: "a".into(),
                class: 2,
                destination: 7,
                time_to_live: ms(4000),
            },
        )
    };
    let answered = |log: Log, at, answer| {
        log.add(
            at,
            AuditEvent::Answered {
                id: "a".into(),
                answer,
            },
        )
    };
    let taken = || {
        posted()
            .call(10, 1, &["a"])
            .reply(100, 1, "a", DeliveryOutcome::Done, None)
    };
    answered(taken(), 101, Answer::Delivered).keeps(Rule::OneEnd);
    // Answered from thin air, or told to come again although the user has seen it.
    answered(posted(), 101, Answer::Delivered).violates(Rule::OneEnd);
    answered(taken(), 101, Answer::Rejected { after: None }).violates(Rule::OneEnd);
    // A 201 of the service that never reached the sender.
    answered(taken(), 4200, Answer::Failed).keeps(Rule::OneEnd);
    answered(posted(), 4300, Answer::Failed).keeps(Rule::InTime);
    answered(posted(), 4301, Answer::Failed).violates(Rule::InTime);
    posted().violates(Rule::OneEnd);
    // What a connection's end tells the poster is no answer, but after it none is owed.
    let dropped = |log: Log| log.add(50, AuditEvent::Dropped { id: "a".into() });
    dropped(posted()).violates(Rule::Answers);
    dropped(posted().add(40, AuditEvent::ProcessExited)).keeps(Rule::OneEnd);
    // Without a topic the user would see it twice.
    let failed = posted()
        .call(10, 1, &["a"])
        .reply(100, 1, "a", DeliveryOutcome::Failed, None);
    failed.call(300, 1, &["a"]).violates(Rule::Repeats);
}

/// Submitted at `at` with an ordering key and accepted 5 ms later.
fn ordered(log: Log, at: u64, id: &str, key: &str) -> Log {
    let ordering_key = Some(key.to_owned());
    let submitted = AuditEvent::Submitted {
        id: id.into(),
        class: 2,
        destination: 7,
        time_to_live: ms(20_000),
        ordering_key,
    };
    let answered = AuditEvent::Answered {
        id: id.into(),
        answer: Answer::Accepted,
    };
    log.add(at, submitted).add(at + 5, answered)
}

/// Two messages of one ordering key.
fn two() -> Log {
    ordered(ordered(log(), 0, "a", "k"), 10, "b", "k")
}

#[test]
fn messages_of_one_ordering_key_are_delivered_in_order() {
    let first_done = || {
        two()
            .call(20, 1, &["a"])
            .reply(300, 1, "a", DeliveryOutcome::Done, None)
    };
    first_done().call(301, 1, &["b"]).keeps(Rule::Order);
    two()
        .call(20, 1, &["a"])
        .call(200, 2, &["b"])
        .violates(Rule::Order);
    two().call(20, 1, &["b"]).violates(Rule::Order);
    // Refused is not over; reported is.
    let refused = || {
        two()
            .call(20, 1, &["a"])
            .reply(30, 1, "a", DeliveryOutcome::Busy, None)
    };
    refused().call(40, 1, &["b"]).violates(Rule::Order);
    refused()
        .report(900, "a", RETURNED)
        .call(901, 1, &["b"])
        .keeps(Rule::Order);
    // After an attempt that may still run the key rests for 100 ms, and 50 ms of slack, for others alone.
    let cut = || {
        two()
            .call(20, 1, &["a"])
            .add(500, AuditEvent::Closed { connection: 1 })
    };
    let reported = || cut().report(510, "a", FinalReport::Failed);
    reported().call(549, 2, &["b"]).violates(Rule::Order);
    reported().call(550, 2, &["b"]).keeps(Rule::Order);
    reported()
        .call(540, 2, &["b"])
        .late(20)
        .is_not_judged(Rule::Order);
    cut().call(501, 2, &["a"]).keeps(Rule::Order);
}

/// Another key, and the same key at another sender, are lines of their own.
#[test]
fn ordering_keys_are_independent_of_other_keys_and_senders() {
    ordered(two(), 20, "c", "other")
        .call(20, 1, &["a"])
        .call(30, 2, &["c"])
        .keeps(Rule::Order);
    let elsewhere = AuditEvent::Submitted {
        id: "d".into(),
        class: 2,
        destination: 7,
        time_to_live: ms(20_000),
        ordering_key: Some("k".into()),
    };
    let elsewhere = two()
        .add(20, elsewhere)
        .from(1)
        .call(30, 1, &["a"])
        .call(40, 2, &["d"])
        .from(1);
    elsewhere.keeps(Rule::Order);
    // Whether a sender has what its client gave up is not known.
    let abandoned = two().add(15, AuditEvent::Abandoned { id: "a".into() });
    abandoned.call(20, 1, &["b"]).keeps(Rule::Order);
    // Messages without a key have no order.
    let plain = log()
        .taken(0, "a", 0)
        .taken(10, "b", 0)
        .call(20, 1, &["b"])
        .call(30, 2, &["a"]);
    assert_eq!(
        plain.verdict(Rule::Order, 60_000),
        Verdict::Kept { cases: 0 }
    );
}
