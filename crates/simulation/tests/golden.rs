//! Golden scenario files: the keys, values and defaults of the file format must keep their meaning when the code changes.

use std::collections::BTreeSet;
use std::time::Duration;

use cranehill_simulation::clients::{Class, Hot, Load, Target};
use cranehill_simulation::directory;
use cranehill_simulation::fleet::{
    Fleet, Folder, MemberAction, NetworkFault, PathFault, ScheduledAction, Side, Which,
};
use cranehill_simulation::scenario::{
    self, Effect, ListChange, Member, MessageClass, Scenario, ScheduledSignal, Signal, To,
};
use cranehill_simulation::{Fault, Kind, Limit, Spec};

const EVERY_KEY: &str = include_str!("golden/every-key.toml");
const SHORT_WINDOW: &str = include_str!("golden/short-window.toml");
const UPGRADE: &str = include_str!("golden/upgrade.toml");
const WEB_PUSH: &str = include_str!("golden/push.toml");
const DIRECTORY_DOWN: &str = include_str!("golden/directory-down.toml");
const ZONE_KILLED: &str = include_str!("golden/zone-killed.toml");

/// The seed determines which endpoints and senders a share selects.
const SEED: u64 = 1;

fn read(text: &str) -> Scenario {
    scenario::parse(text, SEED).expect("a scenario")
}

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn senders<const N: usize>(numbers: [usize; N]) -> BTreeSet<usize> {
    numbers.into()
}

fn fault(kind: Kind, start_s: u64, length_s: u64) -> Fault {
    Fault {
        kind,
        start: secs(start_s),
        length: secs(length_s),
    }
}

fn texts<const N: usize>(names: [&str; N]) -> Vec<String> {
    names.map(str::to_owned).into()
}

#[test]
fn every_key_of_a_scenario_keeps_its_meaning() {
    let Scenario {
        name,
        duration,
        senders,
        simulated,
        tenants,
        classes,
        destinations,
        kinds,
        zones,
        load,
        directory,
        changes,
        signals,
        fleet,
        network_faults,
        scheduled_actions,
    } = read(EVERY_KEY);
    assert_eq!(name, "Every key");
    assert_eq!(duration, secs(60));
    assert_eq!(senders, 4);
    assert_eq!(simulated, 0);
    assert_eq!(tenants, ["north", "south"]);
    assert_eq!(classes, expected_classes());
    assert_eq!(destinations, expected_destinations());
    assert_eq!(kinds, ["bulk-directory", "station"]);
    assert_eq!(zones, ["east", "west"]);
    assert_eq!(load, expected_load());
    assert_eq!(directory, expected_directory());
    assert_eq!(changes, expected_changes());
    assert_eq!(signals, expected_signals());
    assert_eq!(fleet, Some(expected_fleet()));
    assert_eq!(network_faults, expected_network_faults());
    assert_eq!(scheduled_actions, expected_scheduled_actions());
}

fn expected_classes() -> Vec<MessageClass> {
    let class = |name: &str, effect| MessageClass {
        name: name.into(),
        effect,
    };
    vec![
        class("ordered", Effect::Keyed { window: secs(3) }),
        class("repeatable", Effect::Safe),
        class("single", Effect::Unsafe),
        // Classes of Web Push posts without and with a topic, which a push service adds.
        class("push", Effect::Unsafe),
        class("push-topic", Effect::Safe),
    ]
}

fn bulk_spec() -> Spec {
    Spec {
        endpoints: 3,
        shared: false,
        limit: Limit::Count {
            calls: 5,
            span: secs(2),
        },
        charge_refused: true,
        capacity: 30.0,
        queue: 7,
        pace: ms(80),
        spread: 0.5,
        connections: Some(9),
        sends_retry_after: 0.25,
        wait: (ms(700), ms(900)),
        batch: 5,
        item_cost: 0.375,
        reports: Some(ms(400)),
        ..Spec::default()
    }
}

fn web_push_service() -> Member {
    Member {
        name: "web".into(),
        kind: "push".into(),
        tenant: 0,
        // The defaults are written out because files that omit a key rely on them.
        spec: Spec {
            endpoints: 1,
            shared: true,
            limit: Limit::Rate {
                per_second: 4.0,
                burst: 2.0,
            },
            charge_refused: false,
            capacity: 10.0,
            queue: 16,
            pace: ms(300),
            spread: 0.4,
            connections: None,
            sends_retry_after: 0.8,
            wait: (ms(640), ms(1500)),
            batch: 1,
            item_cost: 0.1,
            reports: None,
            ..Spec::default()
        },
        push: true,
        faults: vec![vec![
            fault(Kind::Closed, 4, 5),
            fault(Kind::Fail { share: 0.5 }, 5, 6),
            fault(Kind::Spoil { share: 0.25 }, 6, 7),
            fault(Kind::Slow { factor: 3.0 }, 7, 8),
            fault(Kind::Lower { factor: 0.25 }, 8, 9),
            fault(
                Kind::CloseIdle {
                    least: ms(100),
                    most: ms(900),
                },
                9,
                10,
            ),
        ]],
        zones: vec![0],
    }
}

fn expected_destinations() -> Vec<Member> {
    let bulk = bulk_spec();
    let vanished = fault(Kind::Vanish, 1, 2);
    let refusing = fault(Kind::Refuse, 2, 3);
    let silent = fault(Kind::Silent, 3, 4);
    let member = |name: &str, faults| Member {
        name: name.into(),
        kind: "bulk-directory".into(),
        tenant: 1,
        spec: bulk.clone(),
        push: false,
        faults,
        zones: vec![0, 1, 0],
    };
    let web = web_push_service();
    let plain = Member {
        name: "plain".into(),
        kind: "station".into(),
        spec: Spec {
            limit: Limit::None,
            ..web.spec.clone()
        },
        push: false,
        faults: vec![vec![]],
        ..web.clone()
    };
    vec![
        // With `part = 0.5`, the seed selects the first two of three endpoints for the fault `silent`.
        member(
            "bulk-0",
            vec![vec![silent], vec![vanished, refusing, silent], vec![]],
        ),
        member("bulk-1", vec![vec![silent], vec![refusing, silent], vec![]]),
        web,
        plain,
    ]
}

fn expected_load_classes() -> Vec<Class> {
    let class = |objective_s, time_to_live_s, share| Class {
        latency_objective: secs(objective_s),
        time_to_live: secs(time_to_live_s),
        keyed: false,
        order_keys: 0,
        share,
        late_share: 0.4,
    };
    let ordered = Class {
        keyed: true,
        order_keys: 12,
        late_share: 0.125,
        ..class(2, 8, 0.5)
    };
    let web_push = Class {
        late_share: 0.125,
        ..class(2, 8, 0.0)
    };
    vec![
        ordered,
        class(1, 4, 1.0),
        class(1, 5, 1.0),
        web_push.clone(),
        web_push,
    ]
}

fn expected_load() -> Load {
    let bulk = |destination| Target {
        destination,
        tenant: 1,
        weight: 6.0,
        max_rate: 12.5,
        push: false,
    };
    Load {
        rate: 1.5,
        tenants: vec![0.75, 0.25],
        targets: vec![
            bulk(0),
            bulk(1),
            Target {
                destination: 2,
                tenant: 0,
                weight: 0.8,
                max_rate: 4.0,
                push: true,
            },
            Target {
                destination: 3,
                tenant: 0,
                weight: 0.2,
                max_rate: 10.0,
                push: false,
            },
        ],
        classes: expected_load_classes(),
        push: Some(3),
        clumps: 0.25,
        clump: (1.0, 2.5),
        hot: vec![Hot {
            start: secs(10),
            length: secs(5),
            destinations: vec![0, 1],
            share: 0.2,
        }],
        body: (10, 20),
        retries: 5,
        pause: ms(500),
        patience: ms(400),
        until: secs(60),
    }
}

fn expected_directory() -> directory::Spec {
    directory::Spec {
        delays: vec![ms(200), ms(900)],
        outages: vec![(secs(15), secs(17))],
        history: 64,
    }
}

fn expected_changes() -> Vec<ListChange> {
    let change = |at_s, destination, endpoint, to| ListChange {
        at: secs(at_s),
        destination,
        endpoint,
        to,
    };
    vec![
        change(11, 1, 0, To::Draining),
        change(12, 1, 0, To::Removed),
        change(13, 1, 0, To::Up),
        change(14, 0, 2, To::Replaced),
    ]
}

fn expected_signals() -> Vec<ScheduledSignal> {
    let scheduled = |at_s, sender, signal| ScheduledSignal {
        at: secs(at_s),
        sender,
        signal,
    };
    vec![
        scheduled(16, 1, Signal::Term),
        scheduled(17, 2, Signal::Kill),
        // A signal without a number is sent to the first sender.
        scheduled(18, 0, Signal::Hup),
    ]
}

fn expected_fleet() -> Fleet {
    Fleet {
        period: secs(2),
        round_trip: ms(400),
        suspicion: Some(secs(6)),
        hold: secs(20),
        recovery: true,
        zones: true,
    }
}

fn expected_network_faults() -> Vec<NetworkFault> {
    let all = senders([0, 1, 2, 3]);
    let network_fault = |at_s, from, to, path_fault| NetworkFault {
        at: secs(at_s),
        until: secs(at_s + 2),
        from,
        to,
        one_way: false,
        path_fault,
    };
    vec![
        NetworkFault {
            one_way: true,
            ..network_fault(
                20,
                senders([0]),
                Side::Senders(senders([1, 2, 3])),
                PathFault::Cut,
            )
        },
        network_fault(
            21,
            all.clone(),
            Side::Destinations(Some(1)),
            PathFault::Drop { share: 0.4 },
        ),
        network_fault(
            22,
            senders([0, 1]),
            Side::Senders(senders([2, 3])),
            PathFault::Delay { by: ms(150) },
        ),
        network_fault(23, all.clone(), Side::Destinations(None), PathFault::Stall),
        // A reset lasts 1 ms.
        NetworkFault {
            until: ms(24_001),
            ..network_fault(24, senders([3]), Side::Senders(all), PathFault::Reset)
        },
    ]
}

fn expected_scheduled_actions() -> Vec<ScheduledAction> {
    let scheduled = |at_s, senders, action| ScheduledAction {
        at: secs(at_s),
        senders,
        action,
    };
    vec![
        scheduled(25, senders([2]), MemberAction::Stop { duration: secs(2) }),
        // The seed selects these two of the four senders.
        scheduled(
            26,
            senders([1, 3]),
            MemberAction::Kill {
                back: None,
                folder: Folder::Wiped,
            },
        ),
        scheduled(
            27,
            senders([1]),
            MemberAction::Term {
                back: Some(ms(1500)),
                folder: Folder::Cut,
            },
        ),
        scheduled(
            28,
            senders([0]),
            MemberAction::Upgrade {
                kill: Some((Which::Old, ms(100))),
            },
        ),
        scheduled(
            29,
            senders([0]),
            MemberAction::Upgrade {
                kill: Some((Which::New, Duration::ZERO)),
            },
        ),
    ]
}

/// Variants of the text, each with one key or table name misspelt, and the line of that mistake.
fn misspelt(text: &str) -> Vec<(usize, String)> {
    let lines: Vec<&str> = text.lines().collect();
    let mut variants = Vec::new();
    for (index, line) in lines.iter().enumerate() {
        let wrong = if line.starts_with('[') {
            line.replacen(']', "-misspelt]", 1)
        } else if let Some((key, value)) = line.split_once(" = ") {
            format!("{key}-misspelt = {value}")
        } else {
            continue;
        };
        let mut changed = lines.clone();
        changed[index] = &wrong;
        variants.push((index + 1, changed.join("\n")));
    }
    variants
}

#[test]
fn every_misspelt_key_of_a_scenario_is_an_error_at_its_line() {
    let variants = misspelt(EVERY_KEY);
    assert_eq!(
        variants.len(),
        EVERY_KEY
            .lines()
            .filter(|l| !l.is_empty() && !l.starts_with('#'))
            .count()
    );
    for (line, text) in variants {
        let error = scenario::parse(&text, SEED).expect_err("a key is misspelt");
        let problem = error.problem.to_string();
        assert!(problem.starts_with("unknown field"), "line {line}: {error}");
        assert!(problem.contains("-misspelt"), "line {line}: {error}");
        assert_eq!(error.line, line, "{error}");
    }
}

#[test]
fn omitted_keys_of_a_scenario_keep_their_defaults() {
    let scenario = read("name = \"Least\"\n[load]\nrate = \"2/s\"\n[[partner]]\nname = \"one\"\n");
    assert_eq!((scenario.duration, scenario.senders), (secs(30), 1));
    assert_eq!(scenario.tenants, ["onda-central"]);
    let default_class = MessageClass {
        name: "episode-notice".into(),
        effect: Effect::Keyed { window: secs(20) },
    };
    assert_eq!(scenario.classes, [default_class]);
    let class = Class {
        latency_objective: secs(4),
        time_to_live: secs(20),
        keyed: true,
        order_keys: 0,
        share: 1.0,
        late_share: 0.4,
    };
    assert_eq!(scenario.load.classes, [class]);
    assert_eq!(
        (scenario.load.clumps, scenario.load.clump),
        (0.1, (1.2, 3.5))
    );
    assert_eq!((scenario.load.body, scenario.load.retries), ((80, 400), 3));
    assert_eq!(
        (
            scenario.destinations[0].kind.as_str(),
            scenario.destinations[0].spec.endpoints
        ),
        ("station", 1)
    );
    assert_eq!(
        (scenario.kinds, scenario.zones),
        (texts(["station"]), texts(["z"]))
    );
    assert!(scenario.directory.delays.is_empty() && scenario.directory.outages.is_empty());
    assert_eq!(
        (
            scenario.fleet,
            scenario.network_faults,
            scenario.scheduled_actions
        ),
        (None, vec![], vec![])
    );
}

#[test]
fn the_short_window_scenario_keeps_its_meaning() {
    let scenario = read(SHORT_WINDOW);
    assert_eq!(scenario.name, "Restarts with a window of one second");
    assert_eq!(
        (scenario.senders, scenario.duration, scenario.load.rate),
        (4, secs(11), 40.0)
    );
    let effects: Vec<Effect> = scenario.classes.iter().map(|c| c.effect).collect();
    assert_eq!(
        effects,
        [
            Effect::Keyed { window: secs(1) },
            Effect::Safe,
            Effect::Unsafe
        ]
    );
    let shares: Vec<f64> = scenario.load.classes.iter().map(|c| c.share).collect();
    assert_eq!(shares, [0.6, 0.2, 0.2]);
    let names: Vec<&str> = scenario
        .destinations
        .iter()
        .map(|destination| destination.name.as_str())
        .collect();
    assert_eq!(names, ["slow-0", "slow-1", "slow-2", "limited"]);
    assert_eq!(
        scenario.destinations[0].faults,
        [[fault(Kind::Fail { share: 0.3 }, 1, 8)]; 2]
    );
    assert_eq!(
        scenario.destinations[3].spec.limit,
        Limit::Rate {
            per_second: 10.0,
            burst: 3.0
        }
    );
    let signals: Vec<_> = scenario
        .signals
        .iter()
        .map(|s| (s.at.as_millis(), s.sender, s.signal))
        .collect();
    assert_eq!(
        signals,
        [
            (2000, 0, Signal::Kill),
            (2500, 1, Signal::Term),
            (4200, 2, Signal::Kill),
            (4600, 0, Signal::Kill),
            (6000, 3, Signal::Term),
            (7200, 1, Signal::Kill),
            (8300, 2, Signal::Term),
        ]
    );
}

#[test]
fn the_upgrade_scenario_keeps_its_meaning() {
    let scenario = read(UPGRADE);
    assert_eq!(
        (scenario.senders, scenario.duration, scenario.load.rate),
        (2, secs(24), 120.0)
    );
    let upgrade = |at_s, numbers: &[usize], kill| ScheduledAction {
        at: secs(at_s),
        senders: numbers.iter().copied().collect(),
        action: MemberAction::Upgrade { kill },
    };
    assert_eq!(
        scenario.scheduled_actions,
        [
            upgrade(3, &[0, 1], None),
            upgrade(6, &[0], Some((Which::Old, ms(100)))),
            upgrade(7, &[1], Some((Which::New, ms(100)))),
            upgrade(10, &[0], Some((Which::New, ms(420)))),
            upgrade(11, &[1], Some((Which::Old, ms(415)))),
            upgrade(15, &[0, 1], None),
        ]
    );
}

#[test]
fn the_web_push_scenario_keeps_its_meaning() {
    let scenario = read(WEB_PUSH);
    let services: Vec<(&str, bool)> = scenario
        .destinations
        .iter()
        .map(|destination| (destination.name.as_str(), destination.push))
        .collect();
    assert_eq!(services[4..], [("servicio-0", true), ("servicio-1", true)]);
    assert_eq!(scenario.load.push, Some(1));
    let service = &scenario.destinations[4];
    assert_eq!(
        (service.spec.sends_retry_after, service.spec.wait),
        (1.0, (secs(1), secs(1)))
    );
    let rejecting = fault(Kind::Closed, 4, 3);
    assert_eq!(
        service.faults,
        [vec![rejecting, fault(Kind::Silent, 11, 2)], vec![rejecting]]
    );
    assert_eq!(
        scenario.destinations[5].faults,
        [[fault(Kind::Fail { share: 0.4 }, 8, 3)]; 2]
    );
}

#[test]
fn the_directory_scenario_keeps_its_meaning() {
    let scenario = read(DIRECTORY_DOWN);
    assert_eq!(
        scenario.tenants,
        ["onda-central", "onda-guanacaste", "onda-limon"]
    );
    assert_eq!(scenario.load.tenants, [0.35, 0.34, 0.31]);
    assert_eq!(scenario.directory.delays, [ms(1500), secs(3)]);
    assert_eq!(scenario.directory.outages, [(secs(4), secs(12))]);
    let change = |at_s, destination, endpoint, to| ListChange {
        at: secs(at_s),
        destination,
        endpoint,
        to,
    };
    assert_eq!(
        scenario.changes,
        [change(6, 3, 0, To::Draining), change(13, 1, 1, To::Removed)]
    );
    assert_eq!(
        scenario.destinations[0].spec.limit,
        Limit::Count {
            calls: 6,
            span: secs(1)
        }
    );
}

#[test]
fn the_killed_zone_scenario_keeps_its_meaning() {
    let scenario = read(ZONE_KILLED);
    assert_eq!((scenario.senders, scenario.zones), (10, texts(["a", "b"])));
    assert_eq!(scenario.destinations[4].zones, [0, 1]);
    let fleet = Fleet {
        period: secs(1),
        round_trip: ms(300),
        hold: secs(30),
        ..Fleet::default()
    };
    assert_eq!(scenario.fleet, Some(fleet));
    let [kill] = scenario.scheduled_actions.as_slice() else {
        panic!("expected one action: {:?}", scenario.scheduled_actions)
    };
    assert_eq!((kill.at, kill.senders.len()), (secs(10), 2));
    assert_eq!(
        kill.action,
        MemberAction::Kill {
            back: None,
            folder: Folder::Kept
        }
    );
}
