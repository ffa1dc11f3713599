//! The reducer, with the clock as an input.

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

struct Bench {
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

fn message(id: &str, left_ms: u64) -> Message {
    Message {
        id: id.into(),
        class: 0,
        tenant: 0,
        destination: 7,
        key: None,
        ordering_key: None,
        body: Arc::from(&b"body"[..]),
        left: Duration::from_millis(left_ms),
        spent: 0,
        envelope: None,
        from: Origin::Client(1),
    }
}

fn end(id: &str, attempt: u32, status: Status) -> AttemptOutcome {
    let over = status == Status::Served;
    let took = Duration::from_millis(20);
    AttemptOutcome {
        id: id.into(),
        attempt,
        status,
        over,
        took,
        retry_after: None,
        report: None,
    }
}

impl Bench {
    /// Endpoint `a` of kind 0 takes five in a call, of kind 1 one.
    fn new(kind: usize) -> Bench {
        let profile: Profile = serde_json::from_str(SETTINGS).expect("settings");
        let settings = profile.into_settings().expect("settings");
        let core = Core::new(settings, 1, Time(START)).expect("settings");
        let mut bench = Bench { core, ms: 0 };
        let list = vec![listing("a", Condition::Ready, kind)];
        bench.step(Input::EndpointsChanged { whole: true, list });
        bench.turn(0);
        bench
    }

    fn step(&mut self, input: Input) -> Vec<Effect> {
        self.core.step(Time(START + self.ms * 1_000_000), input)
    }

    /// A whole turn with a journal that works: what was kept, and what followed.
    fn turn(&mut self, ms: u64) -> (Vec<Record>, Vec<Effect>) {
        self.ms = ms;
        self.turn_with(Persisted::All)
    }

    fn turn_with(&mut self, kept: Persisted) -> (Vec<Record>, Vec<Effect>) {
        let mut effects = self.step(Input::TickEnded);
        match effects.pop() {
            Some(Effect::Persist(records)) => {
                assert!(effects.is_empty(), "nothing goes before the journal has it");
                (records, self.step(Input::Persisted(kept)))
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
    let mut b = Bench::new(1);
    b.step(Input::Submitted(message("m", 8000)));
    let (records, effects) = b.turn(5);
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
    // The client is told before the call goes: a delivery that it does not know of counts for nothing.
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
    b.ms = 50;
    b.step(Input::AttemptsFinished(vec![end("m", 0, Status::Served)]));
    let (records, effects) = b.turn(50);
    assert!(
        matches!(&records[..], [Record::Completed { id, .. }] if id == "m"),
        "{records:?}"
    );
    assert!(answers(&effects).is_empty() && reports(&effects).is_empty());
    assert_eq!(b.core.outstanding(), (0, 0));
}

#[test]
fn messages_are_rejected_and_not_sent_while_the_journal_is_full() {
    let mut b = Bench::new(1);
    b.step(Input::Submitted(message("m", 8000)));
    b.ms = 5;
    let (_, effects) = b.turn_with(Persisted::EndsOnly);
    assert!(
        matches!(&answers(&effects)[..], [(id, Answer::Rejected { after: Some(_) })] if id == "m")
    );
    assert!(calls(&effects).is_empty());
    let (records, effects) = b.turn(500);
    assert!(records.is_empty() && calls(&effects).is_empty() && b.core.outstanding() == (0, 0));
}

#[test]
fn unpersisted_end_records_are_written_with_a_later_tick() {
    let mut b = Bench::new(1);
    b.step(Input::Submitted(message("m", 8000)));
    b.turn(5);
    b.ms = 50;
    b.step(Input::AttemptsFinished(vec![end("m", 0, Status::Served)]));
    // Forgotten, it would be sent again by the next process though it was delivered.
    for ms in [50, 55] {
        b.ms = ms;
        let (records, _) = b.turn_with(Persisted::Nothing);
        assert!(
            matches!(&records[..], [Record::Completed { .. }]),
            "{records:?}"
        );
        b.step(Input::TimerFired);
    }
    assert!(matches!(&b.turn(60).0[..], [Record::Completed { .. }]));
    b.step(Input::TimerFired);
    assert!(b.turn(65).0.is_empty());
}

#[test]
fn a_full_journal_sends_no_attempt_it_cannot_record() {
    let mut b = Bench::new(1);
    b.step(Input::EndpointsChanged {
        whole: false,
        list: vec![listing("a", Condition::Draining, 1)],
    });
    b.step(Input::Submitted(message("m", 8000)));
    b.turn(5);
    b.step(Input::EndpointsChanged {
        whole: false,
        list: vec![listing("a", Condition::Ready, 1)],
    });
    b.ms = 10;
    let (records, effects) = b.turn_with(Persisted::EndsOnly);
    assert!(matches!(&records[..], [Record::AttemptStarted { .. }]));
    assert!(calls(&effects).is_empty());
    b.turn(15);
    let (_, effects) = b.turn(1000);
    assert_eq!(
        calls(&effects),
        [["m"]],
        "it is tried again once there is room"
    );
}

#[test]
fn messages_beyond_the_pending_bound_are_rejected() {
    let mut b = Bench::new(1);
    b.step(Input::EndpointsChanged {
        whole: true,
        list: vec![],
    });
    for n in 0..80 {
        b.step(Input::Submitted(message(&format!("m{n:02}"), 8000)));
    }
    let (records, effects) = b.turn(5);
    let refused = answers(&effects)
        .iter()
        .filter(|a| matches!(a.1, Answer::Rejected { after: Some(_) }))
        .count();
    let taken = answers(&effects)
        .iter()
        .filter(|a| a.1 == Answer::Accepted)
        .count();
    assert_eq!((refused + taken, records.len()), (80, taken));
    assert!(taken <= 64 && reports(&effects).is_empty());
}

#[test]
fn messages_of_one_tick_share_a_call_up_to_the_limit_of_their_kind() {
    for (kind, expected) in [(0, vec![5, 2]), (1, vec![1; 4])] {
        let mut b = Bench::new(kind);
        for n in 0..7 {
            b.step(Input::Submitted(message(&format!("m{n}"), 8000)));
        }
        let (_, effects) = b.turn(5);
        assert_eq!(
            calls(&effects).iter().map(Vec::len).collect::<Vec<_>>(),
            expected
        );
    }
}

#[test]
fn large_messages_do_not_share_an_oversized_call() {
    let mut b = Bench::new(0);
    for n in 0..3 {
        let body = Arc::from(vec![7u8; 20_000]);
        b.step(Input::Submitted(Message {
            body,
            ..message(&format!("m{n}"), 8000)
        }));
    }
    let (_, effects) = b.turn(5);
    assert_eq!(
        calls(&effects).iter().map(Vec::len).collect::<Vec<_>>(),
        [2, 1]
    );
}

#[test]
fn retry_after_cancels_unwritten_calls_and_blocks_new_ones() {
    let mut b = Bench::new(1);
    b.step(Input::Submitted(message("m", 8000)));
    b.turn(5);
    b.ms = 30;
    let overloaded = AttemptOutcome {
        retry_after: Some(Duration::from_millis(700)),
        ..end("m", 0, Status::Overloaded)
    };
    let effects = b.step(Input::AttemptsFinished(vec![overloaded]));
    assert!(
        matches!(&effects[..], [Effect::CancelUnwritten { endpoints }] if endpoints == &[EndpointId("a".into())])
    );
    b.turn(30);
    b.step(Input::Submitted(message("n", 8000)));
    for ms in (35..730).step_by(5) {
        b.ms = ms;
        b.step(Input::TimerFired);
        assert!(calls(&b.turn(ms).1).is_empty(), "at {ms} ms");
    }
    let sent = (730..5000).step_by(5).any(|ms| {
        b.ms = ms;
        b.step(Input::TimerFired);
        !calls(&b.turn(ms).1).is_empty()
    });
    assert!(sent);
}

#[test]
fn draining_and_removed_endpoints_cancel_unwritten_calls() {
    let mut b = Bench::new(1);
    let list = vec![listing("a", Condition::Draining, 1)];
    let effects = b.step(Input::EndpointsChanged { whole: false, list });
    assert!(
        matches!(&effects[..], [Effect::CloseIdle(_), Effect::CancelUnwritten { endpoints }] if endpoints.len() == 1)
    );
    let effects = b.step(Input::EndpointsChanged {
        whole: true,
        list: vec![listing("b", Condition::Ready, 1)],
    });
    assert!(
        matches!(&effects[..], [Effect::CloseIdle(_), Effect::CancelUnwritten { endpoints }] if endpoints == &[EndpointId("a".into())])
    );
}

#[test]
fn an_expired_message_is_reported_with_retry_after_until_acknowledged() {
    let mut b = Bench::new(1);
    b.step(Input::EndpointsChanged {
        whole: true,
        list: vec![],
    });
    b.step(Input::Submitted(message("m", 1000)));
    b.turn(5);
    let mut reported = Vec::new();
    for ms in (10..1000).step_by(5) {
        b.ms = ms;
        b.step(Input::TimerFired);
        let (records, effects) = b.turn(ms);
        if let [(_, FinalReport::Returned { after_ms })] = reports(&effects)[..] {
            assert!(after_ms > 0 && matches!(records[..], [Record::FinalReportDue { .. }]));
            reported.push(ms);
        }
    }
    assert_eq!(
        reported.len(),
        1,
        "one report, before its time is out: {reported:?}"
    );
    assert_eq!(b.core.outstanding(), (0, 1));
    b.step(Input::FinalReportsAcknowledged(vec!["m".into()]));
    assert!(matches!(&b.turn(1100).0[..], [Record::Completed { id, .. }] if id == "m"));
    assert_eq!(b.core.outstanding(), (0, 0));
}

fn accepted(id: &str, left_ms: u64) -> Record {
    Record::Accepted {
        id: id.into(),
        class: 0,
        tenant: 0,
        destination: 7,
        key: Some("k".into()),
        ordering_key: None,
        deadline: START + left_ms * 1_000_000,
        at: START,
        body: Arc::from(&b"body"[..]),
    }
}

fn started(id: &str, attempt: u32) -> Record {
    Record::AttemptStarted {
        id: id.into(),
        attempt,
        endpoint: "a".into(),
        at: START,
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
    let mut b = Bench::new(1);
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
            until: START + 9_000_000_000,
        },
    ]);
    records.push(Record::FinalReportDue {
        id: "due".into(),
        final_report: FinalReport::Failed,
        ordering_key: None,
    });
    let effects = b.step(Input::Recovered(records));
    assert_eq!(reports(&effects), [("due".into(), FinalReport::Failed)]);
    let (kept, effects) = b.turn(5);
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
    assert_eq!(numbers, [1], "attempts used before count");
    assert!(
        kept.iter()
            .any(|r| matches!(r, Record::AttemptStarted { attempt: 1, .. }))
    );
    let mut ended: Vec<String> = reports(&effects).into_iter().map(|r| r.0).collect();
    ended.sort();
    assert_eq!(ended, ["late", "used"], "out of time, and out of attempts");
    // An id that ended in the earlier process is remembered: a repeat is answered and goes nowhere.
    let effects = b.step(Input::Submitted(message("over", 8000)));
    assert_eq!(answers(&effects), [("over".to_owned(), Answer::Accepted)]);
}

#[test]
fn the_age_of_a_possible_execution_survives_a_restart() {
    // Keyed repeats are dropped for 20 s: a first send 19.9 s ago leaves no time for another.
    for (ago_ms, may_go) in [(19_900u64, true), (20_100, false)] {
        let mut b = Bench::new(1);
        b.ms = 30_000;
        let records = vec![
            Record::Accepted {
                id: "m".into(),
                class: 0,
                tenant: 0,
                destination: 7,
                key: Some("k".into()),
                ordering_key: None,
                deadline: START + 35_000 * 1_000_000,
                at: START,
                body: Arc::from(&b"body"[..]),
            },
            Record::AttemptStarted {
                id: "m".into(),
                attempt: 0,
                endpoint: "a".into(),
                at: START + (30_000 - ago_ms) * 1_000_000,
            },
        ];
        b.step(Input::Recovered(records));
        let (_, effects) = b.turn(30_000);
        assert_eq!(!calls(&effects).is_empty(), may_go, "{ago_ms} ms ago");
        assert_eq!(
            reports(&effects).is_empty(),
            may_go,
            "one that may not go is closed at once"
        );
    }
}

#[test]
fn a_stopping_process_starts_no_attempt_and_still_accepts_outcomes() {
    let mut b = Bench::new(1);
    b.step(Input::Submitted(message("m", 8000)));
    b.turn(5);
    b.step(Input::Stopping);
    b.step(Input::Submitted(message("n", 8000)));
    let (_, effects) = b.turn(10);
    assert_eq!((calls(&effects).len(), answers(&effects).len()), (0, 1));
    b.ms = 20;
    b.step(Input::AttemptsFinished(vec![end("m", 0, Status::Served)]));
    assert!(matches!(&b.turn(20).0[..], [Record::Completed { id, .. }] if id == "m"));
}

#[test]
fn a_message_cancelled_while_in_flight_is_not_sent_again() {
    let mut b = Bench::new(1);
    b.step(Input::Submitted(Message {
        from: Origin::Waiting(3),
        ..message("m", 8000)
    }));
    let (records, effects) = b.turn(5);
    assert!(
        records.is_empty(),
        "whoever waits was promised nothing: {records:?}"
    );
    assert_eq!((calls(&effects).len(), answers(&effects).len()), (1, 0));
    b.step(Input::Cancelled("m".into()));
    b.turn(10);
    b.ms = 60;
    b.step(Input::AttemptsFinished(vec![end("m", 0, Status::Error)]));
    let (records, effects) = b.turn(60);
    assert!(records.is_empty() && calls(&effects).is_empty() && answers(&effects).is_empty());
}

#[test]
fn a_completed_id_is_not_accepted_again_until_it_is_forgotten() {
    let mut b = Bench::new(1);
    b.step(Input::Submitted(message("m", 8000)));
    b.turn(5);
    b.step(Input::AttemptsFinished(vec![end("m", 0, Status::Served)]));
    b.turn(10);
    // Another client's, under the same id and for elsewhere.
    let other = Message {
        destination: 8,
        from: Origin::Client(2),
        ..message("m", 8000)
    };
    let effects = b.step(Input::Submitted(other));
    assert_eq!(answers(&effects), [("m".to_owned(), Answer::Accepted)]);
    assert!(calls(&b.turn(15).1).is_empty());
    assert_eq!(b.core.outstanding(), (0, 0));
    b.ms = 40_000;
    b.step(Input::Submitted(message("n", 8000)));
    b.turn(40_005);
    b.step(Input::AttemptsFinished(vec![end("n", 0, Status::Served)]));
    b.turn(40_010);
    b.step(Input::Submitted(message("m", 8000)));
    assert_eq!(calls(&b.turn(40_015).1), [["m"]]);
}

#[test]
fn a_destination_stays_known_while_its_endpoints_are_replaced() {
    let mut b = Bench::new(1);
    assert!(b.core.knows(7) && !b.core.knows(8));
    let effects = b.step(Input::EndpointsChanged {
        whole: false,
        list: vec![listing("a", Condition::Removed, 1)],
    });
    let closed = |e: &Effect| matches!(e, Effect::CloseIdle(e) if e.0 == "a");
    assert!(effects.iter().any(closed), "{effects:?}");
    b.turn(5);
    assert!(b.core.knows(7));
    b.step(Input::Submitted(message("m", 8000)));
    assert!(calls(&b.turn(10).1).is_empty());
    b.step(Input::EndpointsChanged {
        whole: false,
        list: vec![listing("b", Condition::Ready, 1)],
    });
    assert_eq!(calls(&b.turn(15).1), [["m"]]);
    // Names that came and went leave nothing behind.
    for n in 0..1000 {
        let name = format!("e{n}");
        b.step(Input::EndpointsChanged {
            whole: false,
            list: vec![listing(&name, Condition::Ready, 1)],
        });
        b.turn(20 + 2 * n);
        b.step(Input::EndpointsChanged {
            whole: false,
            list: vec![listing(&name, Condition::Removed, 1)],
        });
        b.turn(21 + 2 * n);
    }
    assert!(b.core.endpoints() < 10, "{}", b.core.endpoints());
}

/// Guards against a call that goes on after one of its messages has been executed out of time: see tests/shared_calls.rs. `short` has
/// more time left than a call usually takes and less than the others wait, so it shares their call, and ends its wait.
#[test]
fn attempts_of_a_call_share_the_earliest_time_out() {
    let mut b = Bench::new(0);
    for (id, left) in [("m1", 20_000), ("short", 1500), ("m2", 20_000)] {
        b.step(Input::Submitted(message(id, left)));
    }
    let (_, effects) = b.turn(5);
    let mut shared = 0;
    for effect in &effects {
        if let Effect::Call { attempts, .. } = effect
            && attempts.iter().any(|a| a.id == "short")
        {
            shared = attempts.len();
            let until = Time(START + 1500 * 1_000_000);
            assert!(attempts.iter().all(|a| a.until == until), "{attempts:?}");
        }
    }
    assert!(shared > 1, "{effects:?}");
}
