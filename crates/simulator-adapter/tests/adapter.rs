//! The adapter on batches of our own.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const PROFILE: &str = r#"{"classes":[{"aim":800000000,"deadline":8000000000,"dedupScope":"all","effect":"safe","lateShare":0.1,"name":"status","streaming":false,"window":5000000000,"worth":1.0,"newThing":3}],"familyInfo":{"callsOut":4,"kindApart":[false],"losesWorth":"linear","perCall":[1]},"index":0,"membershipMode":"push","models":["any"],"nInstances":3,"policyLimits":{"attemptsCap":6,"connIdle":10000000000,"connectTimeout":1500000000,"maxRetryAfter":2000000000,"mostHeld":40,"probes":true,"retryAfter":true},"rules":{"cold":13000000000,"coldFrom":0.19,"fall":1500000000,"fallMultiple":2.0,"graceToAnswer":20000000},"tenants":[],"tick":5000000,"zone":0,"unknownSetting":{"a":1}}"#;

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_cranehill-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("adapter starts");
    child
        .stdin
        .take()
        .expect("stdin")
        .write_all(input.as_bytes())
        .expect("write");
    child.wait_with_output().expect("adapter ends")
}

const ROSTERS: &str = r#"{"msg":"Inventory","rosterId":0,"rows":[{"belongsTo":1,"endpoint":"h:1","condition":1,"regionPart":0,"generationHw":0,"extra":true}]}"#;

fn sender_events(n: usize, batch: usize) -> String {
    let accepts: Vec<String> = (0..6)
        .map(|i| format!(r#"{{"msg":"Accept","sender":"sender/{n}","msgId":"t/{n}x{batch}x{i}","class":0,"timeLeft":8000000000,"calledNode":1}}"#))
        .collect();
    match batch {
        0 => format!(
            r#"{{"msg":"Configure","sender":"sender/{n}","rngSeed":{n},"profileData":{PROFILE}}},{ROSTERS},{{"msg":"Sync","sender":"sender/{n}","seqNo":1,"mode":2,"rosterId":0}}"#
        ),
        1 => accepts.join(","),
        _ => format!(
            r#"{{"msg":"Returned","sender":"sender/{n}","msgId":"t/{n}x1x{}","status":"{}","seqNo":0,"endpoint":"h:1","costTime":20000000}},{}"#,
            batch % 2,
            if n == 1 {
                "turned_away"
            } else {
                "server_error"
            },
            accepts.join(",")
        ),
    }
}

fn batches(senders: &[usize]) -> String {
    (0..4)
        .map(|b| {
            let events: Vec<String> = senders.iter().map(|&n| sender_events(n, b)).collect();
            format!(
                "{{\"atTime\":{},\"msgs\":[{}]}}\n",
                1_000_000_000 + b as u64 * 50_000_000,
                events.join(",")
            )
        })
        .collect()
}

fn actions(input: &str) -> Vec<String> {
    let out = run(input);
    assert!(
        out.status.success(),
        "{}",
        String::from_utf8_lossy(&out.stderr)
    );
    let text = String::from_utf8(out.stdout).expect("utf-8");
    text.lines()
        .flat_map(|l| {
            let reply: serde_json::Value = serde_json::from_str(l).expect("a reply");
            reply["output"]
                .as_array()
                .expect("output")
                .iter()
                .map(ToString::to_string)
                .collect::<Vec<_>>()
        })
        .collect()
}

#[test]
fn the_same_actions_in_one_process_and_in_three() {
    let mut together = actions(&batches(&[0, 1, 2]));
    let mut apart: Vec<String> = (0..3).flat_map(|n| actions(&batches(&[n]))).collect();
    together.sort();
    apart.sort();
    assert!(together.iter().any(|a| a.contains("\"Send\"")));
    assert_eq!(together, apart);
}

#[test]
fn the_same_events_give_the_same_actions() {
    assert_eq!(actions(&batches(&[0, 1])), actions(&batches(&[0, 1])));
}

#[test]
fn an_empty_batch_gets_an_empty_reply_and_end_of_input_is_no_failure() {
    let out = run("{\"atTime\":1,\"msgs\":[]}\n");
    assert!(out.status.success());
    assert_eq!(out.stdout, b"{\"output\":[]}\n");
    assert!(run("").status.success());
}

#[test]
fn two_lists_may_reuse_one_number_in_a_batch() {
    let second = ROSTERS.replace("h:1", "h:2");
    let input = format!(
        "{{\"atTime\":1,\"msgs\":[{},{second},{{\"msg\":\"Sync\",\"sender\":\"sender/0\",\"seqNo\":2,\"mode\":1,\"rosterId\":0}},{}]}}\n",
        sender_events(0, 0),
        sender_events(0, 1)
    );
    let sent: Vec<String> = actions(&input)
        .into_iter()
        .filter(|a| a.contains("\"Send\""))
        .collect();
    assert!(
        !sent.is_empty() && sent.iter().all(|a| a.contains("h:2")),
        "{sent:?}"
    );
}

#[test]
fn bad_input_ends_it_with_one_plain_line() {
    for bad in [
        "not json\n",
        "{\"msgs\":[]}\n",
        "{\"atTime\":\"x\",\"msgs\":[]}\n",
        "{\"atTime\":1,\"msgs\":[{\"msg\":\"Wake\",\"sender\":\"sender/9\",\"name\":\"a\"}]}\n",
        "{\"atTime\":1,\"msgs\":[{\"msg\":\"Nonsense\",\"sender\":\"sender/9\"}]}\n",
        "{\"atTime\":1,\"msgs\":[{\"msg\":\"Configure\",\"sender\":\"sender/9\",\"rngSeed\":1,\"profileData\":{}}]}\n",
    ] {
        let out = run(bad);
        assert_eq!(out.status.code(), Some(1), "{bad}");
        assert!(out.stdout.is_empty(), "{bad}");
        let err = String::from_utf8(out.stderr).expect("utf-8");
        assert_eq!(err.lines().count(), 1, "{err}");
        assert!(!err.contains("panicked"), "{err}");
    }
}

#[test]
fn a_restart_knows_only_the_cached_list() {
    let input = format!(
        "{{\"atTime\":1,\"msgs\":[{},{}]}}\n{{\"atTime\":5000001,\"msgs\":[{{\"msg\":\"Destroy\",\"sender\":\"sender/0\"}},{},{}]}}\n",
        sender_events(0, 0),
        sender_events(0, 1),
        sender_events(0, 0),
        sender_events(0, 1).replace("x1x", "x7x")
    );
    let sent: Vec<String> = actions(&input)
        .into_iter()
        .filter(|a| a.contains("\"Send\""))
        .collect();
    let new: Vec<&String> = sent.iter().filter(|a| a.contains("x7x")).collect();
    assert_eq!(
        (sent.len() - new.len(), new.len()),
        (2, 2),
        "half of four slots, each life anew: {sent:?}"
    );
}
