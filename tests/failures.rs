//! Failures found on the bench, each cut down to what matters. The names are of the days that showed them.

mod common;
use common::*;
use tansycroft::api::*;

/// i4a8067: one lost answer froze an endpoint until a whole deadline had passed.
#[test]
fn an_overdue_endpoint_still_gets_a_repeatable_trial() {
    let mut b = Bench::new(settings(), vec![entry("a", 1, Condition::Ready, 0)]);
    for i in 0..10u64 {
        let id = format!("w{i}");
        b.at(i * 100, vec![accept(&id, 2, None, 9000)]);
        b.at(i * 100 + 50, vec![outcome(&id, 0, Status::Served, 50)]);
    }
    assert_eq!(sends(&b.at(2000, vec![accept("lost", 2, None, 9000)])).len(), 1);
    assert!(sends(&b.at(2300, vec![accept("m", 0, None, 9000)])).is_empty(), "overdue: nothing is added");
    assert!((2300..3200).step_by(5).any(|ms| !sends(&b.at(ms, vec![Event::Wake])).is_empty()));
}

/// i4a8067: an unsafe call whose answer is lost holds its slot for far less than its deadline.
#[test]
fn an_unsafe_call_times_out_far_beyond_usual_but_before_its_deadline() {
    let mut b = Bench::new(settings(), vec![entry("a", 1, Condition::Ready, 0)]);
    for i in 0..10u64 {
        let id = format!("w{i}");
        b.at(i * 100, vec![accept(&id, 2, None, 10000)]);
        b.at(i * 100 + 50, vec![outcome(&id, 0, Status::Served, 50)]);
    }
    let acts = b.at(2000, vec![accept("m", 2, None, 10000)]);
    let Some(Action::Send { timeout, .. }) = acts.iter().find(|a| matches!(a, Action::Send { .. })) else {
        panic!("not sent")
    };
    assert!((2.0..5.0).contains(&timeout.as_secs_f64()), "{timeout:?}");
}

/// i4a8067, id538af: connections died unseen while idle.
#[test]
fn idle_connections_are_closed_once_calls_after_idling_are_lost() {
    let mut b = Bench::new(
        settings(),
        (0..8).map(|i| entry(&format!("e{i}"), 10 + i, Condition::Ready, 0)).collect(),
    );
    let to = |id: &str, dest| match accept(id, 0, None, 9000) {
        Event::Accept(t) => Event::Accept(Taken { dest: DestId(dest), ..t }),
        other => other,
    };
    let mut closed = 0;
    for i in 0..8u64 {
        let (warm, idle) = (format!("w{i}"), format!("i{i}"));
        b.at(i * 6000, vec![to(&warm, 10 + i)]);
        b.at(i * 6000 + 50, vec![outcome(&warm, 0, Status::Served, 50)]);
        let acts = b.at(i * 6000 + 3000, vec![to(&idle, 10 + i)]);
        closed += acts.iter().filter(|a| matches!(a, Action::Close(_))).count();
        b.at(i * 6000 + 4500, vec![outcome(&idle, 0, Status::TimedOut, 1500)]);
        b.at(i * 6000 + 4600, vec![Event::Lapsed(MsgId(idle))]);
    }
    assert!(closed >= 2, "{closed}");
}

/// ib2709c: a destination that had grown slow held most slots.
#[test]
fn a_slow_destination_leaves_slots_to_the_rest() {
    let mut b = Bench::new(settings(), vec![entry("a", 1, Condition::Ready, 0)]);
    for i in 0..20u64 {
        let (id, took) = (format!("w{i}"), if i < 5 { 50 } else { 400 });
        b.at(i * 500, vec![accept(&id, 0, None, 9000)]);
        b.at(i * 500 + took, vec![outcome(&id, 0, Status::Served, took)]);
    }
    let acts = b.at(11_000, (0..20).map(|i| accept(&format!("m{i}"), 0, None, 9000)).collect());
    assert!(sends(&acts).len() < 6, "{}", sends(&acts).len());
    assert!(!sends(&acts).is_empty());
}

/// konya big-1, ib2709c: small calls piled up at a destination that takes many messages in one, while slots were short.
#[test]
fn small_calls_are_filled_instead_while_slots_are_short() {
    let entries = (1..6).map(|i| entry(&format!("e{i}"), i, Condition::Ready, usize::from(i == 1))).collect();
    let mut b = Bench::new(settings(), entries);
    let to = |dest| match accept(&format!("o{dest}"), 0, None, 9000) {
        Event::Accept(t) => Event::Accept(Taken { dest: DestId(dest), ..t }),
        other => other,
    };
    assert_eq!(sends(&b.at(0, vec![accept("m0", 0, None, 9000)])).len(), 1);
    assert_eq!(sends(&b.at(10, vec![accept("m1", 0, None, 9000)])).len(), 1, "slots are free");
    assert_eq!(sends(&b.at(20, (2..5).map(to).collect())).len(), 3);
    for i in 2..6 {
        assert!(sends(&b.at(20 + i * 10, vec![accept(&format!("m{i}"), 0, None, 9000)])).is_empty());
    }
    let acts = b.at(110, vec![accept("m6", 0, None, 9000)]);
    assert_eq!(sends(&acts).len(), 5, "a full call goes beside the first");
}

/// i603e33: clients gave up early, and healthy destinations were taken for out.
#[test]
fn a_time_out_cut_short_by_the_client_is_no_sign_of_an_outage() {
    let mut b = Bench::new(settings(), vec![entry("a", 1, Condition::Ready, 0)]);
    for i in 0..6u64 {
        let id = format!("s{i}");
        assert_eq!(sends(&b.at(i * 100, vec![accept(&id, 0, None, 50)])).len(), 1, "{id}");
        b.at(i * 100 + 50, vec![outcome(&id, 0, Status::TimedOut, 50)]);
    }
}
