//! The expected reaction of a member that knows no other to each sample packet: its effects in order, then its views.

/// The reactions by sample name, in the order of [`super::samples::all`].
pub(crate) const REACTIONS: [(&str, &[&str]); 19] = [
    (
        "swim-ping",
        &[
            "sends swim-ack to n1",
            "n1 alive incarnation 2 was unknown",
            "n1 127.0.0.1:7001 1700000000000 alive 2 []",
        ],
    ),
    (
        "swim-ack",
        &[
            "n1 alive incarnation 2 was unknown",
            "n1 127.0.0.1:7001 1700000000000 alive 2 []",
        ],
    ),
    (
        "swim-ping-request",
        &[
            "sends swim-indirect-ping to n2",
            "n1 alive incarnation 2 was unknown",
            "n1 127.0.0.1:7001 1700000000000 alive 2 []",
        ],
    ),
    (
        "swim-indirect-ping",
        &[
            "sends swim-indirect-ack to n1",
            "n1 alive incarnation 2 was unknown",
            "n1 127.0.0.1:7001 1700000000000 alive 2 []",
        ],
    ),
    (
        "swim-indirect-ack",
        &[
            "sends swim-forwarded-ack to n2",
            "n1 alive incarnation 2 was unknown",
            "n1 127.0.0.1:7001 1700000000000 alive 2 []",
        ],
    ),
    (
        "swim-forwarded-ack",
        &[
            "n1 alive incarnation 2 was unknown",
            "n1 127.0.0.1:7001 1700000000000 alive 2 []",
        ],
    ),
    (
        "swim-announce",
        &[
            "sends swim-feed to n1",
            "n1 alive incarnation 2 was unknown",
            "n1 127.0.0.1:7001 1700000000000 alive 2 []",
        ],
    ),
    (
        "swim-feed",
        &[
            "n2 alive incarnation 1 was unknown",
            "n3 suspect incarnation 0 was unknown",
            "sends exchange-entries to n3",
            "Kranichhügel down incarnation 65535 was unknown",
            "n1 alive incarnation 300 was unknown",
            "n1 127.0.0.1:7001 1700000000000 alive 300 []",
            "n2 127.0.0.1:7002 1700000000000 alive 1 []",
            "n3 127.0.0.1:7003 1700000000000 suspect 0 []",
            "Kranichhügel [2001:db8::7]:65535 18446744073709551615 down 65535 []",
        ],
    ),
    (
        "swim-gossip",
        &[
            "n2 alive incarnation 1 was unknown",
            "n3 suspect incarnation 0 was unknown",
            "sends exchange-entries to n3",
            "Kranichhügel down incarnation 65535 was unknown",
            "n1 alive incarnation 300 was unknown",
            "n1 127.0.0.1:7001 1700000000000 alive 300 [payload of n1]",
            "n2 127.0.0.1:7002 1700000000000 alive 1 [payload of n2]",
            "n3 127.0.0.1:7003 1700000000000 suspect 0 []",
            "Kranichhügel [2001:db8::7]:65535 18446744073709551615 down 65535 []",
        ],
    ),
    // The broadcast vote announces the leave, so the state is `left` instead of `down`.
    (
        "swim-gossip of a leave",
        &[
            "n1 left incarnation 0 was unknown",
            "n1 127.0.0.1:7001 1700000000000 left 0 []",
        ],
    ),
    (
        "swim-broadcast",
        &[
            "n1 alive incarnation 300 was unknown",
            "n1 127.0.0.1:7001 1700000000000 alive 300 [payload of n1]",
        ],
    ),
    (
        "swim-turn-undead",
        &[
            "sends swim-gossip to n1",
            "rejoined as 1700000000001",
            "n1 alive incarnation 2 was unknown",
            "n1 127.0.0.1:7001 1700000000000 alive 2 []",
        ],
    ),
    ("learned-request", &["learned state requested by n1"]),
    (
        "learned-reply",
        &["learned state from n1: a piece of learned state"],
    ),
    (
        "exchange-compare",
        &[
            "sends exchange-differs to n1",
            "n1 alive incarnation 0 was unknown",
            "n1 127.0.0.1:7001 1700000000000 alive 0 []",
        ],
    ),
    (
        "exchange-differs",
        &[
            "sends exchange-entries to n1",
            "n1 alive incarnation 0 was unknown",
            "n1 127.0.0.1:7001 1700000000000 alive 0 []",
        ],
    ),
    // The entry of the IPv6 member is ignored: it has been down for longer than members are announced.
    (
        "exchange-entries",
        &[
            "n2 suspect incarnation 0 was unknown",
            "sends exchange-entries to n2",
            "n3 down incarnation 0 was unknown",
            "n1 alive incarnation 300 was unknown",
            "sends exchange-want-set to n1",
            "n1 127.0.0.1:7001 1700000000000 alive 300 [payload of n1]",
            "n2 127.0.0.1:7002 1700000000000 suspect 0 []",
            "n3 127.0.0.1:7003 1700000000000 down 0 []",
        ],
    ),
    // The member doesn't have the requested set, so it doesn't answer.
    (
        "exchange-want-set",
        &[
            "n1 alive incarnation 0 was unknown",
            "n1 127.0.0.1:7001 1700000000000 alive 0 []",
        ],
    ),
    // No stored vote refers to the set, so the page is ignored.
    (
        "exchange-set-page",
        &[
            "n1 alive incarnation 0 was unknown",
            "n1 127.0.0.1:7001 1700000000000 alive 0 []",
        ],
    ),
];
