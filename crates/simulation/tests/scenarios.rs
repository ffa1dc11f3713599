//! Scenario files: errors, random choices and Web Push classes; and simulated discovery.

use std::time::Duration;

use cranehill_simulation::directory::{Directory, List, Listed, Row, Spec, Watch};
use cranehill_simulation::scenario::{self, Effect, ListChange, To};

const SCENARIO: &str = r#"name = "a day"
senders = 2
lasts = "4 s"
[load]
rate = "20/s"
[[station]]
name = "onda"
share = 1.0
[[partner]]
name = "grande"
endpoints = 2
limit = "4/s burst 2"
[[partner]]
name = "chica"
count = 3
station = "onda"
[[partner]]
name = "servicio"
push = true
[[fault]]
kind = "fail"
at = "1 s"
lasts = "500 ms"
share = 0.5
partners = ["chica"]
[[change]]
at = "2 s"
endpoint = "grande/1"
to = "replaced"
[[signal]]
at = "3 s"
sender = 1
send = "TERM"
[fleet]
period = "500 ms"
[[break]]
kind = "drop"
share = 0.25
from = [0, 1]
to = "others"
at = "1 s"
lasts = "1 s"
[[break]]
kind = "kill"
senders = 0.5
at = "1 s"
back = "never"
"#;

/// A part of [`SCENARIO`], an invalid replacement for it, and a part of the expected error message.
const MISTAKES: [(&str, &str, &str); 25] = [
    (r#"lasts = "4 s""#, r#"lasts = "4""#, "no unit"),
    (r#"lasts = "4 s""#, r#"lasts = "2000 min""#, "60 min"),
    ("senders = 2", "senders = 0", "1 to 250 senders"),
    ("senders = 2", "senders = 2\nsender = 2", "unknown field"),
    (r#"rate = "20/s""#, r#"rate = "20""#, "not a rate"),
    (
        r#"rate = "20/s""#,
        r#"rate = "0/s""#,
        "rate: expected a rate above 0",
    ),
    ("endpoints = 2", "endpoints = 65", "64 endpoints"),
    (
        r#"limit = "4/s burst 2""#,
        r#"limit = "0 in 1 s""#,
        "admits no calls",
    ),
    (
        r#"limit = "4/s burst 2""#,
        r#"limit = "4 a day""#,
        "not a rate",
    ),
    (
        r#"station = "onda""#,
        r#"station = "otra""#,
        "no station 'otra'",
    ),
    ("push = true", "push = true\nbatch = 4", "no batches"),
    (
        r#"kind = "fail""#,
        r#"kind = "explode""#,
        "'explode' is not",
    ),
    ("share = 0.5", "share = 1.5", "0 to 1"),
    (
        r#"partners = ["chica"]"#,
        r#"partners = ["nadie"]"#,
        "no partner 'nadie'",
    ),
    (
        r#"endpoint = "grande/1""#,
        r#"endpoint = "grande/2""#,
        "not an endpoint",
    ),
    (
        r#"endpoint = "grande/1""#,
        r#"endpoint = "servicio/0""#,
        "not in the directory",
    ),
    (r#"to = "replaced""#, r#"to = "gone""#, "'gone' is not"),
    ("sender = 1", "sender = 2", "sender 2"),
    (r#"send = "TERM""#, r#"send = "STOP""#, "'STOP' is not"),
    (r#"kind = "drop""#, r#"kind = "drip""#, "'drip' is not cut"),
    (r#"kind = "drop""#, r#"kind = "delay""#, "by: missing"),
    ("share = 0.25", "share = 2.5", "0 to 1"),
    ("from = [0, 1]", "from = [0, 2]", "below 2"),
    (r#"to = "others""#, r#"to = "some""#, "'some' is not"),
    (r#"back = "never""#, r#"back = "ever""#, "'ever' is neither"),
];

/// An invalid file is rejected with the line of the error, so that the author finds it.
#[test]
fn an_error_in_a_file_names_its_line() {
    assert!(scenario::parse(SCENARIO, 1).is_ok());
    for (valid, invalid, message) in MISTAKES {
        assert!(SCENARIO.contains(valid), "{valid}");
        let text = SCENARIO.replacen(valid, invalid, 1);
        let error = scenario::parse(&text, 1).expect_err(invalid);
        assert!(
            error.problem.to_string().contains(message),
            "{invalid}: {error}"
        );
        // The error is on one of the lines of the replacement.
        let first_line = SCENARIO[..SCENARIO.find(valid).expect("contained")]
            .matches('\n')
            .count()
            + 1;
        assert!(
            (first_line..=first_line + invalid.matches('\n').count()).contains(&error.line),
            "{invalid}: {error}"
        );
    }
}

/// Names refer to destinations in faults and reports, so a duplicate would be ambiguous.
#[test]
fn destination_names_are_unique() {
    let duplicate = SCENARIO.replacen(r#"name = "servicio""#, r#"name = "grande""#, 1);
    assert!(
        scenario::parse(&duplicate, 1)
            .expect_err("duplicate name")
            .problem
            .to_string()
            .contains("two partners 'grande'")
    );
    assert!(scenario::parse("name = \"x\"\npartner = []\n[load]\nrate = \"1/s\"\n", 1).is_err());
    for text in ["", "\0", "name = 3", "[load]\nrate = \"1/s\"\n"] {
        assert!(scenario::parse(text, 1).is_err(), "{text:?}");
    }
}

#[test]
fn the_seed_determines_which_endpoints_are_affected() {
    assert_eq!(scenario::parse(SCENARIO, 7), scenario::parse(SCENARIO, 7));
    let half = SCENARIO
        .replace("share = 0.5\n", "part = 0.5\n")
        .replace("count = 3", "count = 30");
    let affected = |seed| {
        let scenario = scenario::parse(&half, seed).expect("good");
        scenario
            .destinations
            .iter()
            .map(|m| m.faults.concat().len())
            .collect::<Vec<_>>()
    };
    assert_eq!(affected(3), affected(3));
    assert_ne!(
        affected(3),
        affected(4),
        "another seed affects other endpoints"
    );
}

/// A push service adds two classes for its posts, and its kind is not among those that discovery lists.
#[test]
fn push_classes_are_added_for_posts() {
    let scenario = scenario::parse(SCENARIO, 1).expect("good");
    let first = scenario.load.push.expect("a push service");
    assert_eq!(
        (first, scenario.classes.len(), scenario.load.classes.len()),
        (1, 3, 3)
    );
    assert_eq!(
        (scenario.classes[1].effect, scenario.classes[2].effect),
        (Effect::Unsafe, Effect::Safe)
    );
    assert!(!scenario.kinds.contains(&"push".to_owned()));
    let replaced = ListChange {
        at: Duration::from_secs(2),
        destination: 0,
        endpoint: 1,
        to: To::Replaced,
    };
    assert_eq!(scenario.changes, vec![replaced]);
    let without = SCENARIO.replace("push = true\n", "");
    assert_eq!(scenario::parse(&without, 1).expect("good").load.push, None);
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn row(id: &str, endpoint: usize, listed: Listed, started: Option<u64>) -> Row {
    Row {
        id: id.into(),
        endpoint,
        destination: 0,
        listed,
        started: started.map(ms),
    }
}

fn ids(list: &List) -> Vec<(&str, Listed)> {
    list.rows
        .iter()
        .map(|r| (r.id.as_str(), r.listed))
        .collect()
}

/// A change is visible to each sender after the sender's delay, both in whole lists and in watches.
#[test]
fn senders_learn_of_changes_after_their_delay() {
    let spec = Spec {
        delays: vec![ms(0), ms(500)],
        outages: vec![(ms(5000), ms(6000))],
        history: 2,
    };
    let first = vec![row("a", 0, Listed::Up, None), row("b", 1, Listed::Up, None)];
    let mut directory = Directory::new(spec, first);
    directory.change(ms(1000), row("a", 0, Listed::Draining, None));
    // Endpoint c replaces endpoint b at the same address.
    directory.change(ms(1100), row("b", 1, Listed::Removed, None));
    directory.change(ms(1100), row("c", 1, Listed::Up, Some(1100)));
    let whole = |at, sender| directory.whole(ms(at), sender).expect("it is up");
    assert_eq!(
        ids(&whole(1200, 0)),
        vec![("a", Listed::Draining), ("c", Listed::Up)]
    );
    assert_eq!(
        ids(&whole(1200, 1)),
        vec![("a", Listed::Up), ("b", Listed::Up)]
    );
    assert_eq!(
        ids(&whole(1550, 1)),
        vec![("a", Listed::Draining), ("b", Listed::Up)]
    );
    // Before the delay has passed, the endpoint is listed in its initial state, not in its latest one.
    directory.change(ms(1300), row("a", 0, Listed::Up, Some(1300)));
    assert_eq!(
        ids(&directory.whole(ms(1400), 1).expect("up")),
        vec![("a", Listed::Up), ("b", Listed::Up)]
    );
    // A watch is answered as soon as a change is visible to the sender, not before.
    let watch = |at, sender, from| directory.watch(ms(at), sender, from, ms(1000), ms(9000));
    assert_eq!(watch(1350, 1, 1), Watch::Hold { until: ms(1500) });
    let Watch::Now(list) = watch(1810, 1, 3) else {
        panic!("a change is known")
    };
    assert_eq!(
        (list.full, list.version, ids(&list)),
        (false, 5, vec![("c", Listed::Up), ("a", Listed::Up)])
    );
    // A watch from a version older than the kept changes receives the whole list.
    let Watch::Now(list) = watch(1810, 1, 1) else {
        panic!("a change is known")
    };
    assert!(list.full);
    // Discovery does not answer during an outage, and a held watch is evaluated again when the outage begins.
    assert_eq!(watch(5500, 0, 5), Watch::Silent { until: ms(6000) });
    assert_eq!(directory.whole(ms(5500), 0), None);
    assert_eq!(watch(4000, 0, 5), Watch::Hold { until: ms(5000) });
    // A watch without changes is answered with an empty list once its hold time has passed.
    assert_eq!(
        watch(10_000, 0, 5),
        Watch::Now(List {
            version: 5,
            full: false,
            rows: vec![]
        })
    );
}
