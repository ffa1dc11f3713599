//! Each audit rule on handwritten records: a run that violates the rule, and one that barely keeps it.

use std::time::Duration;

use cranehill_simulation::audit::{
    Answer, AuditEvent, AuditRecord, Auditor, Class, DeliveryOutcome, FinalReport, Listed, Rule,
    RuleLimits, Verdict,
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A builder of the records of a run.
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

    /// Attributes the latest record to another sender.
    fn by_sender(mut self, sender: usize) -> Log {
        if let Some(record) = self.0.last_mut() {
            record.sender = Some(sender);
        }
        self
    }

    /// Sets the recording delay of the latest record.
    fn recorded_late(mut self, delay: u64) -> Log {
        if let Some(record) = self.0.last_mut() {
            record.recording_delay = ms(delay);
        }
        self
    }

    /// Adds a message that is submitted at `at` and accepted 5 ms later.
    fn accepted(self, at: u64, id: &str, class: usize) -> Log {
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
        let mut auditor = Auditor::new(RuleLimits::default(), classes);
        self.0.iter().for_each(|record| auditor.observe(record));
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
        .accepted(0, "a", 0)
        .call(10, 1, &["a"])
        .reply(300, 1, "a", DeliveryOutcome::Done, None)
        .keeps(Rule::OneEnd);
    log()
        .accepted(0, "a", 0)
        .report(20_200, "a", FinalReport::Failed)
        .keeps(Rule::OneEnd);
    // A final report is resent until it is acknowledged.
    log()
        .accepted(0, "a", 0)
        .report(900, "a", RETURNED)
        .report(1200, "a", RETURNED)
        .keeps(Rule::OneEnd);
    log().accepted(0, "a", 0).violates(Rule::OneEnd);
    log()
        .accepted(0, "a", 0)
        .report(900, "a", RETURNED)
        .report(1200, "a", FinalReport::Failed)
        .violates(Rule::OneEnd);
    log().report(900, "nobody", RETURNED).violates(Rule::OneEnd);
    // The sender may not have received the 200, so it may also report the message.
    let delivered = log().accepted(0, "a", 2).call(10, 1, &["a"]).reply(
        300,
        1,
        "a",
        DeliveryOutcome::Done,
        None,
    );
    delivered
        .report(900, "a", FinalReport::Failed)
        .keeps(Rule::OneEnd);
    // A run that ends before the message is due leaves it unjudged.
    let verdict = log().accepted(0, "a", 0).verdict(Rule::OneEnd, 20_000);
    assert_eq!(verdict, Verdict::Kept { cases: 0 });
}

#[test]
fn every_message_ends_in_time() {
    log()
        .accepted(0, "a", 0)
        .report(20_300, "a", FinalReport::Failed)
        .keeps(Rule::InTime);
    log()
        .accepted(0, "a", 0)
        .report(20_301, "a", FinalReport::Failed)
        .violates(Rule::InTime);
    log()
        .accepted(0, "a", 0)
        .report(20_310, "a", FinalReport::Failed)
        .recorded_late(30)
        .is_not_judged(Rule::InTime);
    // Nothing of a killed sender is overdue until 1.5 s after it is ready again.
    let killed = |at| {
        log()
            .accepted(0, "a", 0)
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
    let first = || log().accepted(0, "a", 0).call(10, 1, &["a"]);
    first().call(20, 2, &["a"]).violates(Rule::SecondCopy);
    first()
        .reply(19, 1, "a", DeliveryOutcome::Busy, None)
        .call(20, 2, &["a"])
        .keeps(Rule::SecondCopy);
    // A call on a closed connection is no longer in flight.
    first()
        .add(19, AuditEvent::Closed { connection: 1 })
        .call(20, 2, &["a"])
        .keeps(Rule::SecondCopy);
}

#[test]
fn possibly_executed_messages_are_repeated_only_if_their_class_allows() {
    let failed = |class| {
        log().accepted(0, "a", class).call(10, 1, &["a"]).reply(
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
        .recorded_late(20)
        .is_not_judged(Rule::Repeats);
    failed(2).call(60, 1, &["a"]).violates(Rule::Repeats);
    // A rejected message was not executed.
    let busy = log().accepted(0, "a", 2).call(10, 1, &["a"]).reply(
        50,
        1,
        "a",
        DeliveryOutcome::Busy,
        None,
    );
    assert!(matches!(
        busy.call(60, 1, &["a"]).verdict(Rule::Repeats, 60_000),
        Verdict::Kept { .. }
    ));
    // A call on a connection that the sender closed before the reply was possibly executed.
    let abandoned = log()
        .accepted(0, "a", 2)
        .call(10, 1, &["a"])
        .add(3000, AuditEvent::Closed { connection: 1 });
    abandoned.call(3100, 2, &["a"]).violates(Rule::Repeats);
}

/// A client resubmits a message that is reported as `returned`, so returning a possibly executed message repeats it.
#[test]
fn possibly_executed_messages_are_returned_only_if_their_class_allows_repeats() {
    let executed = |class, outcome| {
        log()
            .accepted(0, "a", class)
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
            .recorded_late(20)
            .is_not_judged(Rule::Repeats);
        executed(2, outcome)
            .report(900, "a", RETURNED)
            .violates(Rule::Repeats);
        // The second report is a resent copy, which is not judged again.
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
fn a_message_has_at_most_six_attempts() {
    let attempted = |count: u64| {
        (0..count).fold(log().accepted(0, "a", 0), |log, n| {
            log.call(n * 100 + 10, 1, &["a"]).reply(
                n * 100 + 50,
                1,
                "a",
                DeliveryOutcome::Busy,
                None,
            )
        })
    };
    attempted(6).keeps(Rule::Attempts);
    attempted(7).violates(Rule::Attempts);
}

#[test]
fn a_draining_endpoint_receives_no_new_calls() {
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
    // The grace period begins with the first of several notifications.
    let notified_twice = notified().add(
        1400,
        AuditEvent::Notified {
            endpoint: 0,
            destination: 7,
            listed: Listed::Removed,
        },
    );
    notified_twice.call(1600, 1, &["a"]).violates(Rule::Drains);
    // The rule binds only the senders that were notified.
    let other = notified()
        .add(
            1600,
            AuditEvent::Begun {
                connection: 1,
                endpoint: 0,
                destination: 7,
            },
        )
        .by_sender(1);
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
    let rejected = || {
        log().accepted(0, "a", 0).call(10, 1, &["a"]).reply(
            1000,
            1,
            "a",
            DeliveryOutcome::Busy,
            Some(700),
        )
    };
    rejected().call(1700, 1, &["a"]).keeps(Rule::Waits);
    rejected().call(1500, 1, &["b"]).violates(Rule::Waits);
    // A call on another connection within 100 ms counts as sent before the Retry-After arrived.
    assert_eq!(
        rejected()
            .call(1100, 2, &["b"])
            .verdict(Rule::Waits, 60_000),
        Verdict::Kept { cases: 0 }
    );
    rejected().call(1101, 2, &["b"]).violates(Rule::Waits);
    rejected()
        .call(1110, 2, &["b"])
        .recorded_late(20)
        .is_not_judged(Rule::Waits);
    // A shorter Retry-After received later does not shorten a longer one.
    let shorter =
        rejected()
            .call(1050, 2, &["b"])
            .reply(1060, 2, "b", DeliveryOutcome::Busy, Some(50));
    shorter.call(1400, 1, &["a"]).violates(Rule::Waits);
    // A restarted sender does not know of the wait.
    let restarted = rejected()
        .add(1200, AuditEvent::ProcessExited)
        .add(1300, AuditEvent::Ready)
        .call(1400, 3, &["a"]);
    assert_eq!(
        restarted.verdict(Rule::Waits, 60_000),
        Verdict::Kept { cases: 0 }
    );
}

/// Calls 60 ms apart to a destination whose outage ends at the first of them. N is 1.5 times its capacity over 3 s: 16.2 at
/// the 26th call, so that 26.3 calls are allowed. The first `others` calls are from sender 1, the rest from sender 0, which saw
/// the outage if `saw_outage` is set.
fn calls_after_outage(calls: u64, saw_outage: bool, others: u64) -> Log {
    let mut log = log();
    if saw_outage {
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
            .by_sender(usize::from(n < others));
    }
    log
}

/// The bound over all senders is N + 2 * sqrt(N) + 2 calls. Exceeding it is a violation if more than two thirds of the calls
/// are from senders that saw the outage.
#[test]
fn senders_that_saw_an_outage_do_not_overload_the_returning_destination() {
    calls_after_outage(26, true, 0).keeps(Rule::Return);
    calls_after_outage(27, true, 0).violates(Rule::Return);
    // 19 of 27 calls are more than two thirds, 18 are not.
    calls_after_outage(27, true, 8).violates(Rule::Return);
    assert!(matches!(
        calls_after_outage(27, true, 9).verdict(Rule::Return, 60_000),
        Verdict::Kept { .. }
    ));
    assert!(matches!(
        calls_after_outage(27, false, 0).verdict(Rule::Return, 60_000),
        Verdict::Kept { .. }
    ));
    // A recorded failure of the destination counts as an overload even if the recorded calls are within the bound.
    let failed = |saw_outage, others| {
        calls_after_outage(26, saw_outage, others).add(6600, AuditEvent::Fell { destination: 7 })
    };
    failed(true, 0).violates(Rule::Return);
    assert!(matches!(
        failed(false, 0).verdict(Rule::Return, 60_000),
        Verdict::Kept { .. }
    ));
    assert!(matches!(
        failed(true, 9).verdict(Rule::Return, 60_000),
        Verdict::Kept { .. }
    ));
    // Rejections after the outage do not excuse the calls: an overloaded destination rejects them in the end.
    let rejected = |log: Log| {
        (0..200).fold(log, |log, n| {
            log.reply(6570 + n / 10, 1, "y", DeliveryOutcome::Busy, None)
        })
    };
    rejected(calls_after_outage(26, true, 0))
        .add(6600, AuditEvent::Fell { destination: 7 })
        .violates(Rule::Return);
    // A sender that sees failures only after the outage is not informed of it.
    let later =
        rejected(calls_after_outage(26, false, 0)).add(6600, AuditEvent::Fell { destination: 7 });
    assert!(matches!(
        later.verdict(Rule::Return, 60_000),
        Verdict::Kept { .. }
    ));
    // A sender that closes a connection before the reply saw the destination fail, unless the sender itself was ending.
    let silent = |closed: Log| {
        let mut all = closed
            .add(3100, AuditEvent::Closed { connection: 1 })
            .add(3200, AuditEvent::Ready)
            .0;
        all.extend(calls_after_outage(27, false, 0).0);
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

/// Each message of a call after the first has a weight of 0.1: twelve calls of five messages weigh 16.8, not 60.
#[test]
fn further_messages_of_a_call_weigh_less_than_calls() {
    let batched = |calls: u64| {
        let outage = calls_after_outage(0, true, 0).0;
        (0..calls).fold(Log(outage), |log, n| {
            log.call(5000 + n * 60, 1, &["a", "b", "c", "d", "e"])
        })
    };
    assert!(
        batched(1)
            .0
            .iter()
            .any(|record| matches!(record.event, AuditEvent::Back { .. }))
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
    // Bytes after a reply could be taken for the reply to the next call on the connection.
    let replied = |spoilt| {
        let outcomes = vec![("a".to_owned(), DeliveryOutcome::Done)];
        let reply = AuditEvent::Replied {
            connection: 1,
            endpoint: 0,
            destination: 7,
            outcomes,
            wait: None,
            spoilt,
        };
        log()
            .accepted(0, "a", 0)
            .call(10, 1, &["a"])
            .add(300, reply)
    };
    replied(true).call(400, 1, &["b"]).violates(Rule::Idle);
    replied(false).call(400, 1, &["b"]).keeps(Rule::Idle);
    replied(true)
        .add(310, AuditEvent::Closed { connection: 1 })
        .call(400, 2, &["b"])
        .keeps(Rule::SecondCopy);
}

/// The messages that a sender lost with its state are not judged; all others are.
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
            .accepted(0, "a", 0)
            .add(50, AuditEvent::Lost { only: None })
    };
    assert_eq!(
        lost().verdict(Rule::OneEnd, 60_000),
        Verdict::Kept { cases: 0 }
    );
    let accepted = AuditEvent::Answered {
        id: "b".into(),
        answer: Answer::Accepted,
    };
    lost()
        .add(100, other)
        .add(110, accepted)
        .violates(Rule::OneEnd);
    // After a truncation of the journal, only the lost messages are exempt.
    let truncated = |id: &str| {
        log().accepted(0, "a", 0).add(
            50,
            AuditEvent::Lost {
                only: Some(vec![id.into()]),
            },
        )
    };
    assert_eq!(
        truncated("a").verdict(Rule::OneEnd, 60_000),
        Verdict::Kept { cases: 0 }
    );
    truncated("b").violates(Rule::OneEnd);
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
    let rejected = |at| {
        submitted().add(
            at,
            AuditEvent::Answered {
                id: "a".into(),
                answer: Answer::Rejected { after: None },
            },
        )
    };
    rejected(400).keeps(Rule::Answers);
    rejected(401).violates(Rule::Answers);
    rejected(410).recorded_late(20).is_not_judged(Rule::Answers);
    submitted()
        .add(10, AuditEvent::Dropped { id: "a".into() })
        .violates(Rule::Answers);
    // A sender that was killed cannot answer.
    let killed = submitted()
        .add(5, AuditEvent::ProcessExited)
        .add(6, AuditEvent::Dropped { id: "a".into() });
    assert_eq!(
        killed.verdict(Rule::Answers, 60_000),
        Verdict::Kept { cases: 0 }
    );
}

#[test]
fn the_answer_to_a_post_states_its_outcome_in_time() {
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
    let delivered = || {
        posted()
            .call(10, 1, &["a"])
            .reply(100, 1, "a", DeliveryOutcome::Done, None)
    };
    answered(delivered(), 101, Answer::Delivered).keeps(Rule::OneEnd);
    // Answered as delivered without a delivery, or as rejected after one.
    answered(posted(), 101, Answer::Delivered).violates(Rule::OneEnd);
    answered(delivered(), 101, Answer::Rejected { after: None }).violates(Rule::OneEnd);
    // The sender may not have received the 201 of the push service.
    answered(delivered(), 4200, Answer::Failed).keeps(Rule::OneEnd);
    answered(posted(), 4300, Answer::Failed).keeps(Rule::InTime);
    answered(posted(), 4301, Answer::Failed).violates(Rule::InTime);
    posted().violates(Rule::OneEnd);
    // A closed connection is not an answer, but after it no answer is expected.
    let dropped = |log: Log| log.add(50, AuditEvent::Dropped { id: "a".into() });
    dropped(posted()).violates(Rule::Answers);
    dropped(posted().add(40, AuditEvent::ProcessExited)).keeps(Rule::OneEnd);
    // A repeated post without a topic would be shown twice.
    let failed = posted()
        .call(10, 1, &["a"])
        .reply(100, 1, "a", DeliveryOutcome::Failed, None);
    failed.call(300, 1, &["a"]).violates(Rule::Repeats);
}

/// Adds a message with an ordering key that is submitted at `at` and accepted 5 ms later.
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
fn two_messages_of_one_key() -> Log {
    ordered(ordered(log(), 0, "a", "k"), 10, "b", "k")
}

#[test]
fn messages_of_one_ordering_key_are_delivered_in_order() {
    let first_done = || {
        two_messages_of_one_key().call(20, 1, &["a"]).reply(
            300,
            1,
            "a",
            DeliveryOutcome::Done,
            None,
        )
    };
    first_done().call(301, 1, &["b"]).keeps(Rule::Order);
    two_messages_of_one_key()
        .call(20, 1, &["a"])
        .call(200, 2, &["b"])
        .violates(Rule::Order);
    two_messages_of_one_key()
        .call(20, 1, &["b"])
        .violates(Rule::Order);
    // A rejected attempt does not complete the message; a final report does.
    let rejected = || {
        two_messages_of_one_key()
            .call(20, 1, &["a"])
            .reply(30, 1, "a", DeliveryOutcome::Busy, None)
    };
    rejected().call(40, 1, &["b"]).violates(Rule::Order);
    rejected()
        .report(900, "a", RETURNED)
        .call(901, 1, &["b"])
        .keeps(Rule::Order);
    // After an attempt that is possibly still being executed, other messages of the key wait for 100 ms, less 50 ms of
    // tolerance.
    let broken = || {
        two_messages_of_one_key()
            .call(20, 1, &["a"])
            .add(500, AuditEvent::Closed { connection: 1 })
    };
    let reported = || broken().report(510, "a", FinalReport::Failed);
    reported().call(549, 2, &["b"]).violates(Rule::Order);
    reported().call(550, 2, &["b"]).keeps(Rule::Order);
    reported()
        .call(540, 2, &["b"])
        .recorded_late(20)
        .is_not_judged(Rule::Order);
    broken().call(501, 2, &["a"]).keeps(Rule::Order);
}

/// The order applies to the messages of one key at one sender.
#[test]
fn ordering_keys_are_independent_of_other_keys_and_senders() {
    ordered(two_messages_of_one_key(), 20, "c", "other")
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
    let elsewhere = two_messages_of_one_key()
        .add(20, elsewhere)
        .by_sender(1)
        .call(30, 1, &["a"])
        .call(40, 2, &["d"])
        .by_sender(1);
    elsewhere.keeps(Rule::Order);
    // Whether the sender has a message is unknown after its client closed the connection without an answer.
    let abandoned = two_messages_of_one_key().add(15, AuditEvent::Abandoned { id: "a".into() });
    abandoned.call(20, 1, &["b"]).keeps(Rule::Order);
    // Messages without a key have no order.
    let plain = log()
        .accepted(0, "a", 0)
        .accepted(10, "b", 0)
        .call(20, 1, &["b"])
        .call(30, 2, &["a"]);
    assert_eq!(
        plain.verdict(Rule::Order, 60_000),
        Verdict::Kept { cases: 0 }
    );
}
