//! The reducer, step by step: which records and effects follow from each input. Time is an input, so no test waits.

use std::sync::Arc;
use std::time::Duration;

use cranehill_core::{
    Answer, AttemptOutcome, Core, Effect, FinalReport, Input, Listing, Message, Origin, Persisted,
    Record,
};
use cranehill_scheduler::Time;
use cranehill_scheduler::api::{Condition, DestinationId, EndpointId, Entry, Status};
use cranehill_scheduler::profile::Profile;

const SETTINGS: &str = r#"{"classes":[{"aim":4000000000,"deadline":20000000000,"dedupScope":"all","effect":"keyed","lateShare":0.4,"name":"episode-notice","window":20000000000,"worth":1.0}],
"familyInfo":{"callsOut":8,"kindApart":[false,false],"losesWorth":"halving","perCall":[5,1]},"membershipMode":"push","models":["bulk-directory","station"],"nInstances":1,
"policyLimits":{"attemptsCap":6,"connIdle":15000000000,"connectTimeout":1500000000,"maxRetryAfter":2000000000,"mostHeld":64,"probes":true,"retryAfter":true},
"rules":{"cold":9100000000,"coldFrom":0.23,"fall":3000000000,"fallMultiple":1.5,"graceToAnswer":20000000},
"tenants":[{"name":"onda-central","quotaRps":10.0}],"tick":5000000,"weightKind":"rough","zone":0,"zones":["sanjose-1"]}"#;

/// A reducer and its time in milliseconds since [`START`].
struct TestCore {
    core: Core,
    ms: u64,
}

const START: u64 = 1_000_000_000_000;

fn listing(endpoint: &str, condition: Condition, kind: usize) -> Listing {
    let endpoint = EndpointId(endpoint.into());
    let entry = Entry {
        endpoint,
        destination: DestinationId(7),
        condition,
        zone: 0,
        kind,
        rate: 0.0,
    };
    Listing {
        entry,
        address: "127.0.0.1:1".into(),
    }
}

fn message(id: &str, deadline_ms: u64) -> Message {
    Message {
        id: id.into(),
        class: 0,
        tenant: 0,
        destination: 7,
        idempotency_key: None,
        ordering_key: None,
        body: Arc::from(&b"body"[..]),
        time_left: Duration::from_millis(deadline_ms),
        attempts_used: 0,
        envelope: None,
        origin: Origin::Client(1),
    }
}

fn outcome(id: &str, attempt: u32, status: Status) -> AttemptOutcome {
    let over = status == Status::Served;
    let took = Duration::from_millis(20);
    AttemptOutcome {
        id: id.into(),
        attempt,
        status,
        is_final: over,
        duration: took,
        retry_after: None,
        load_report: None,
    }
}

impl TestCore {
    /// A sender with one endpoint `a`. Kind 0 allows five messages in a call, kind 1 one.
    fn new(kind: usize) -> TestCore {
        let profile: Profile = serde_json::from_str(SETTINGS).expect("settings");
        let settings = profile.into_settings().expect("settings");
        let core = Core::new(settings, 1, Time(START)).expect("settings");
        let mut test_core = TestCore { core, ms: 0 };
        let list = vec![listing("a", Condition::Ready, kind)];
        test_core.step(Input::EndpointsChanged { whole: true, list });
        test_core.end_tick(0);
        test_core
    }

    fn step(&mut self, input: Input) -> Vec<Effect> {
        self.core.step(Time(START + self.ms * 1_000_000), input)
    }

    /// Ends a tick at `ms` with a working journal. Returns the persisted records and the effects.
    fn end_tick(&mut self, ms: u64) -> (Vec<Record>, Vec<Effect>) {
        self.ms = ms;
        self.end_tick_with(Persisted::All)
    }

    /// Ends a tick in which the journal writes only some records. Returns the records to be persisted and the effects.
    fn end_tick_with(&mut self, persisted: Persisted) -> (Vec<Record>, Vec<Effect>) {
        let mut effects = self.step(Input::TickEnded);
        match effects.pop() {
            Some(Effect::Persist(records)) => {
                assert!(
                    effects.is_empty(),
                    "no effect may precede the journal's write"
                );
                (records, self.step(Input::Persisted(persisted)))
            }
            last => (Vec::new(), effects.into_iter().chain(last).collect()),
        }
    }
}

fn calls(effects: &[Effect]) -> Vec<Vec<String>> {
    let call = |e: &Effect| match e {
        Effect::Call { attempts, .. } => Some(attempts.iter().map(|a| a.id.clone()).collect()),
        _ => None,
    };
    effects.iter().filter_map(call).collect()
}

fn answers(effects: &[Effect]) -> Vec<(String, Answer)> {
    let answer = |e: &Effect| match e {
        Effect::Answer { id, answer, .. } => Some((id.clone(), *answer)),
        _ => None,
    };
    effects.iter().filter_map(answer).collect()
}

fn reports(effects: &[Effect]) -> Vec<(String, FinalReport)> {
    let report = |e: &Effect| match e {
        Effect::SendFinalReport { id, final_report } => Some((id.clone(), *final_report)),
        _ => None,
    };
    effects.iter().filter_map(report).collect()
}

#[test]
fn message_and_attempt_are_persisted_before_answer_and_call() {
    let mut sender = TestCore::new(1);
    sender.step(Input::Submitted(message("m", 8000)));
    let (records, effects) = sender.end_tick(5);
    assert!(
        matches!(
            &records[..],
            [
                Record::Accepted { .. },
                Record::AttemptStarted { attempt: 0, .. }
            ]
        ),
        "{records:?}"
    );
    // The answer precedes the call: a client must not see a delivery before the acceptance of its message.
    assert!(
        matches!(
            effects[0],
            Effect::Answer {
                answer: Answer::Accepted,
                ..
            }
        ),
        "{effects:?}"
    );
    assert_eq!(calls(&effects), [["m"]]);
    sender.ms = 50;
    sender.step(Input::AttemptsFinished(vec![outcome(
        "m",
        0,
        Status::Served,
    )]));
    let (records, effects) = sender.end_tick(50);
    assert!(
        matches!(&records[..], [Record::Completed { id, .. }] if id == "m"),
        "{records:?}"
    );
    assert!(answers(&effects).is_empty() && reports(&effects).is_empty());
    assert_eq!(sender.core.pending_and_report_counts(), (0, 0));
}

#[test]
fn messages_are_rejected_and_not_sent_while_the_journal_is_full() {
    let mut sender = TestCore::new(1);
    sender.step(Input::Submitted(message("m", 8000)));
    sender.ms = 5;
    let (_, effects) = sender.end_tick_with(Persisted::EndsOnly);
    assert!(
        matches!(&answers(&effects)[..], [(id, Answer::Rejected { retry_after: Some(_) })] if id == "m")
    );
    assert!(calls(&effects).is_empty());
    let (records, effects) = sender.end_tick(500);
    assert!(
        records.is_empty()
            && calls(&effects).is_empty()
            && sender.core.pending_and_report_counts() == (0, 0)
    );
}

#[test]
fn unpersisted_end_records_are_written_with_a_later_tick() {
    let mut sender = TestCore::new(1);
    sender.step(Input::Submitted(message("m", 8000)));
    sender.end_tick(5);
    sender.ms = 50;
    sender.step(Input::AttemptsFinished(vec![outcome(
        "m",
        0,
        Status::Served,
    )]));
    // Without the record, the next process would send the message again although it was delivered.
    for ms in [50, 55] {
        sender.ms = ms;
        let (records, _) = sender.end_tick_with(Persisted::Nothing);
        assert!(
            matches!(&records[..], [Record::Completed { .. }]),
            "{records:?}"
        );
        sender.step(Input::TimerFired);
    }
    assert!(matches!(
        &sender.end_tick(60).0[..],
        [Record::Completed { .. }]
    ));
    sender.step(Input::TimerFired);
    assert!(sender.end_tick(65).0.is_empty());
}

#[test]
fn a_full_journal_sends_no_attempt_it_cannot_record() {
    let mut sender = TestCore::new(1);
    sender.step(Input::EndpointsChanged {
        whole: false,
        list: vec![listing("a", Condition::Draining, 1)],
    });
    sender.step(Input::Submitted(message("m", 8000)));
    sender.end_tick(5);
    sender.step(Input::EndpointsChanged {
        whole: false,
        list: vec![listing("a", Condition::Ready, 1)],
    });
    sender.ms = 10;
    let (records, effects) = sender.end_tick_with(Persisted::EndsOnly);
    assert!(matches!(&records[..], [Record::AttemptStarted { .. }]));
    assert!(calls(&effects).is_empty());
    sender.end_tick(15);
    let (_, effects) = sender.end_tick(1000);
    assert_eq!(
        calls(&effects),
        [["m"]],
        "the message is sent again once the journal has space"
    );
}

#[test]
fn messages_beyond_the_pending_bound_are_rejected() {
    let mut sender = TestCore::new(1);
    sender.step(Input::EndpointsChanged {
        whole: true,
        list: vec![],
    });
    for n in 0..80 {
        sender.step(Input::Submitted(message(&format!("m{n:02}"), 8000)));
    }
    let (records, effects) = sender.end_tick(5);
    let rejected = answers(&effects)
        .iter()
        .filter(|a| {
            matches!(
                a.1,
                Answer::Rejected {
                    retry_after: Some(_)
                }
            )
        })
        .count();
    let accepted_count = answers(&effects)
        .iter()
        .filter(|a| a.1 == Answer::Accepted)
        .count();
    assert_eq!(
        (rejected + accepted_count, records.len()),
        (80, accepted_count)
    );
    assert!(accepted_count <= 64 && reports(&effects).is_empty());
}

#[test]
fn messages_of_one_tick_share_a_call_up_to_the_limit_of_their_kind() {
    for (kind, expected) in [(0, vec![5, 2]), (1, vec![1; 4])] {
        let mut sender = TestCore::new(kind);
        for n in 0..7 {
            sender.step(Input::Submitted(message(&format!("m{n}"), 8000)));
        }
        let (_, effects) = sender.end_tick(5);
        assert_eq!(
            calls(&effects).iter().map(Vec::len).collect::<Vec<_>>(),
            expected
        );
    }
}

#[test]
fn large_messages_do_not_share_an_oversized_call() {
    let mut sender = TestCore::new(0);
    for n in 0..3 {
        let body = Arc::from(vec![7u8; 20_000]);
        sender.step(Input::Submitted(Message {
            body,
            ..message(&format!("m{n}"), 8000)
        }));
    }
    let (_, effects) = sender.end_tick(5);
    assert_eq!(
        calls(&effects).iter().map(Vec::len).collect::<Vec<_>>(),
        [2, 1]
    );
}

#[test]
fn retry_after_cancels_unwritten_calls_and_blocks_new_ones() {
    let mut sender = TestCore::new(1);
    sender.step(Input::Submitted(message("m", 8000)));
    sender.end_tick(5);
    sender.ms = 30;
    let overloaded = AttemptOutcome {
        retry_after: Some(Duration::from_millis(700)),
        ..outcome("m", 0, Status::Overloaded)
    };
    let effects = sender.step(Input::AttemptsFinished(vec![overloaded]));
    assert!(
        matches!(&effects[..], [Effect::CancelUnwritten { endpoints }] if endpoints == &[EndpointId("a".into())])
    );
    sender.end_tick(30);
    sender.step(Input::Submitted(message("n", 8000)));
    for ms in (35..730).step_by(5) {
        sender.ms = ms;
        sender.step(Input::TimerFired);
        assert!(calls(&sender.end_tick(ms).1).is_empty(), "at {ms} ms");
    }
    let sent = (730..5000).step_by(5).any(|ms| {
        sender.ms = ms;
        sender.step(Input::TimerFired);
        !calls(&sender.end_tick(ms).1).is_empty()
    });
    assert!(sent);
}

#[test]
fn draining_and_removed_endpoints_cancel_unwritten_calls() {
    let mut sender = TestCore::new(1);
    let list = vec![listing("a", Condition::Draining, 1)];
    let effects = sender.step(Input::EndpointsChanged { whole: false, list });
    assert!(
        matches!(&effects[..], [Effect::CloseIdle(_), Effect::CancelUnwritten { endpoints }] if endpoints.len() == 1)
    );
    let effects = sender.step(Input::EndpointsChanged {
        whole: true,
        list: vec![listing("b", Condition::Ready, 1)],
    });
    assert!(
        matches!(&effects[..], [Effect::CloseIdle(_), Effect::CancelUnwritten { endpoints }] if endpoints == &[EndpointId("a".into())])
    );
}

#[test]
fn an_expired_message_is_reported_with_retry_after_until_acknowledged() {
    let mut sender = TestCore::new(1);
    sender.step(Input::EndpointsChanged {
        whole: true,
        list: vec![],
    });
    sender.step(Input::Submitted(message("m", 1000)));
    sender.end_tick(5);
    let mut reported = Vec::new();
    for ms in (10..1000).step_by(5) {
        sender.ms = ms;
        sender.step(Input::TimerFired);
        let (records, effects) = sender.end_tick(ms);
        if let [(_, FinalReport::Returned { after_ms })] = reports(&effects)[..] {
            assert!(after_ms > 0 && matches!(records[..], [Record::FinalReportDue { .. }]));
            reported.push(ms);
        }
    }
    assert_eq!(
        reported.len(),
        1,
        "expected one report before the deadline, got {reported:?}"
    );
    assert_eq!(sender.core.pending_and_report_counts(), (0, 1));
    sender.step(Input::FinalReportsAcknowledged(vec!["m".into()]));
    assert!(matches!(&sender.end_tick(1100).0[..], [Record::Completed { id, .. }] if id == "m"));
    assert_eq!(sender.core.pending_and_report_counts(), (0, 0));
}

fn accepted(id: &str, deadline_ms: u64) -> Record {
    Record::Accepted {
        id: id.into(),
        class: 0,
        tenant: 0,
        destination: 7,
        idempotency_key: Some("k".into()),
        ordering_key: None,
        deadline: START + deadline_ms * 1_000_000,
        accepted_at: START,
        body: Arc::from(&b"body"[..]),
    }
}

fn started(id: &str, attempt: u32) -> Record {
    Record::AttemptStarted {
        id: id.into(),
        attempt,
        endpoint: "a".into(),
        started_at: START,
    }
}

fn not_executed(id: &str, attempt: u32) -> Record {
    Record::AttemptFinished {
        id: id.into(),
        attempt,
        not_executed: true,
    }
}

#[test]
fn attempts_deadlines_and_reports_survive_a_restart() {
    let mut sender = TestCore::new(1);
    let mut records = vec![
        accepted("fresh", 9000),
        accepted("late", 0),
        accepted("over", 9000),
        accepted("used", 9000),
    ];
    records.extend((0..6).flat_map(|n| [started("used", n), not_executed("used", n)]));
    records.extend([
        started("fresh", 0),
        not_executed("fresh", 0),
        Record::Completed {
            id: "over".into(),
            remembered_until: START + 9_000_000_000,
        },
    ]);
    records.push(Record::FinalReportDue {
        id: "due".into(),
        final_report: FinalReport::Failed,
        ordering_key: None,
    });
    let effects = sender.step(Input::Recovered(records));
    assert_eq!(reports(&effects), [("due".into(), FinalReport::Failed)]);
    let (records, effects) = sender.end_tick(5);
    assert_eq!(calls(&effects), [["fresh"]]);
    let numbers: Vec<u32> = effects
        .iter()
        .filter_map(|e| {
            if let Effect::Call { attempts, .. } = e {
                Some(attempts[0].number)
            } else {
                None
            }
        })
        .collect();
    assert_eq!(
        numbers,
        [1],
        "the number continues after the earlier process's attempts"
    );
    assert!(
        records
            .iter()
            .any(|r| matches!(r, Record::AttemptStarted { attempt: 1, .. }))
    );
    let mut ended: Vec<String> = reports(&effects).into_iter().map(|r| r.0).collect();
    ended.sort();
    assert_eq!(
        ended,
        ["late", "used"],
        "the expired message and the one without attempts left"
    );
    // The id of a message that ended in the earlier process is known: a repeat is answered and not sent.
    let effects = sender.step(Input::Submitted(message("over", 8000)));
    assert_eq!(answers(&effects), [("over".to_owned(), Answer::Accepted)]);
}

#[test]
fn the_age_of_a_possible_execution_survives_a_restart() {
    // The idempotency window is 20 s: a repeat is allowed 19.9 s after the first attempt, and not after 20.1 s.
    for (ago_ms, may_send) in [(19_900u64, true), (20_100, false)] {
        let mut sender = TestCore::new(1);
        sender.ms = 30_000;
        let records = vec![
            Record::Accepted {
                id: "m".into(),
                class: 0,
                tenant: 0,
                destination: 7,
                idempotency_key: Some("k".into()),
                ordering_key: None,
                deadline: START + 35_000 * 1_000_000,
                accepted_at: START,
                body: Arc::from(&b"body"[..]),
            },
            Record::AttemptStarted {
                id: "m".into(),
                attempt: 0,
                endpoint: "a".into(),
                started_at: START + (30_000 - ago_ms) * 1_000_000,
            },
        ];
        sender.step(Input::Recovered(records));
        let (_, effects) = sender.end_tick(30_000);
        assert_eq!(!calls(&effects).is_empty(), may_send, "{ago_ms} ms ago");
        assert_eq!(
            reports(&effects).is_empty(),
            may_send,
            "a message that may not be sent is reported at once"
        );
    }
}

#[test]
fn a_stopping_process_starts_no_attempt_and_still_accepts_outcomes() {
    let mut sender = TestCore::new(1);
    sender.step(Input::Submitted(message("m", 8000)));
    sender.end_tick(5);
    sender.step(Input::Stopping);
    sender.step(Input::Submitted(message("n", 8000)));
    let (_, effects) = sender.end_tick(10);
    assert_eq!((calls(&effects).len(), answers(&effects).len()), (0, 1));
    sender.ms = 20;
    sender.step(Input::AttemptsFinished(vec![outcome(
        "m",
        0,
        Status::Served,
    )]));
    assert!(matches!(&sender.end_tick(20).0[..], [Record::Completed { id, .. }] if id == "m"));
}

#[test]
fn a_message_cancelled_while_in_flight_is_not_sent_again() {
    let mut sender = TestCore::new(1);
    sender.step(Input::Submitted(Message {
        origin: Origin::Waiting(3),
        ..message("m", 8000)
    }));
    let (records, effects) = sender.end_tick(5);
    assert!(
        records.is_empty(),
        "a message is not accepted while its client waits for its end: {records:?}"
    );
    assert_eq!((calls(&effects).len(), answers(&effects).len()), (1, 0));
    sender.step(Input::Cancelled("m".into()));
    sender.end_tick(10);
    sender.ms = 60;
    sender.step(Input::AttemptsFinished(vec![outcome(
        "m",
        0,
        Status::Error,
    )]));
    let (records, effects) = sender.end_tick(60);
    assert!(records.is_empty() && calls(&effects).is_empty() && answers(&effects).is_empty());
}

#[test]
fn a_completed_id_is_not_accepted_again_until_it_is_forgotten() {
    let mut sender = TestCore::new(1);
    sender.step(Input::Submitted(message("m", 8000)));
    sender.end_tick(5);
    sender.step(Input::AttemptsFinished(vec![outcome(
        "m",
        0,
        Status::Served,
    )]));
    sender.end_tick(10);
    // A message of another client with the same id and another destination.
    let other = Message {
        destination: 8,
        origin: Origin::Client(2),
        ..message("m", 8000)
    };
    let effects = sender.step(Input::Submitted(other));
    assert_eq!(answers(&effects), [("m".to_owned(), Answer::Accepted)]);
    assert!(calls(&sender.end_tick(15).1).is_empty());
    assert_eq!(sender.core.pending_and_report_counts(), (0, 0));
    sender.ms = 40_000;
    sender.step(Input::Submitted(message("n", 8000)));
    sender.end_tick(40_005);
    sender.step(Input::AttemptsFinished(vec![outcome(
        "n",
        0,
        Status::Served,
    )]));
    sender.end_tick(40_010);
    sender.step(Input::Submitted(message("m", 8000)));
    assert_eq!(calls(&sender.end_tick(40_015).1), [["m"]]);
}

#[test]
fn a_destination_stays_known_while_its_endpoints_are_replaced() {
    let mut sender = TestCore::new(1);
    assert!(sender.core.is_known_destination(7) && !sender.core.is_known_destination(8));
    let effects = sender.step(Input::EndpointsChanged {
        whole: false,
        list: vec![listing("a", Condition::Removed, 1)],
    });
    let closed = |e: &Effect| matches!(e, Effect::CloseIdle(e) if e.0 == "a");
    assert!(effects.iter().any(closed), "{effects:?}");
    sender.end_tick(5);
    assert!(sender.core.is_known_destination(7));
    sender.step(Input::Submitted(message("m", 8000)));
    assert!(calls(&sender.end_tick(10).1).is_empty());
    sender.step(Input::EndpointsChanged {
        whole: false,
        list: vec![listing("b", Condition::Ready, 1)],
    });
    assert_eq!(calls(&sender.end_tick(15).1), [["m"]]);
    // Removed endpoints must not use memory.
    for n in 0..1000 {
        let name = format!("e{n}");
        sender.step(Input::EndpointsChanged {
            whole: false,
            list: vec![listing(&name, Condition::Ready, 1)],
        });
        sender.end_tick(20 + 2 * n);
        sender.step(Input::EndpointsChanged {
            whole: false,
            list: vec![listing(&name, Condition::Removed, 1)],
        });
        sender.end_tick(21 + 2 * n);
    }
    assert!(
        sender.core.endpoint_count() < 10,
        "{}",
        sender.core.endpoint_count()
    );
}

/// Guards against a call that continues after one of its messages has timed out: see shared_calls.rs of the scheduler's
/// tests. `short` has time for a call but less than the other messages, so it shares their call and shortens it.
#[test]
fn attempts_of_a_call_share_the_earliest_time_out() {
    let mut sender = TestCore::new(0);
    for (id, deadline_ms) in [("m1", 20_000), ("short", 1500), ("m2", 20_000)] {
        sender.step(Input::Submitted(message(id, deadline_ms)));
    }
    let (_, effects) = sender.end_tick(5);
    let mut shared = 0;
    for effect in &effects {
        if let Effect::Call { attempts, .. } = effect
            && attempts.iter().any(|a| a.id == "short")
        {
            shared = attempts.len();
            let until = Time(START + 1500 * 1_000_000);
            assert!(
                attempts.iter().all(|a| a.times_out_at == until),
                "{attempts:?}"
            );
        }
    }
    assert!(shared > 1, "{effects:?}");
}
