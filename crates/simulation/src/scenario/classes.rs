//! Reads the classes of messages of a scenario file.

use std::time::Duration;

use super::error::{ScenarioError, ScenarioProblem};
use super::file::{ClassFile, File};
use super::source::Source;
use super::types::{Effect, MessageClass};
use crate::clients;

/// Name of the class of a scenario without `[[class]]` tables.
const DEFAULT_NAME: &str = "episode-notice";
const DEFAULT_LATENCY_OBJECTIVE: Duration = Duration::from_secs(4);
const DEFAULT_TIME_TO_LIVE: Duration = Duration::from_secs(20);
const DEFAULT_LATE_SHARE: f64 = 0.4;

/// The classes of a scenario, for the auditor and for the clients. Both lists have the same order.
#[derive(Default)]
pub(super) struct Classes {
    pub(super) effects: Vec<MessageClass>,
    pub(super) load: Vec<clients::Class>,
}

impl Classes {
    /// Adds the classes of Web Push posts, without and with a topic, and returns the index of the first one. A repeated
    /// post without a topic (RFC 8030, section 5.4) would be shown twice, so its class forbids repeats.
    pub(super) fn add_push_classes(&mut self) -> usize {
        let first = self.effects.len();
        let class = clients::Class {
            keyed: false,
            order_keys: 0,
            share: 0.0,
            ..self.load[0].clone()
        };
        self.add("push", Effect::Unsafe, class.clone());
        self.add("push-topic", Effect::Safe, class);
        first
    }

    fn add(&mut self, name: &str, effect: Effect, class: clients::Class) {
        self.effects.push(MessageClass {
            name: name.to_owned(),
            effect,
        });
        self.load.push(class);
    }
}

/// Reads the classes of a file, or the default one if it has none.
pub(super) fn read(source: &Source<'_>, file: &File) -> Result<Classes, ScenarioError> {
    let mut classes = Classes::default();
    for class in &file.class {
        let effect = effect(source, class)?;
        let load = clients::Class {
            latency_objective: class.aim.0,
            time_to_live: class.duration.get_ref().0,
            keyed: matches!(effect, Effect::Keyed { .. }),
            order_keys: class.order_keys,
            share: class.share,
            late_share: class.late_share.unwrap_or(DEFAULT_LATE_SHARE),
        };
        classes.add(&class.name, effect, load);
    }
    if classes.effects.is_empty() {
        add_default(&mut classes);
    }
    Ok(classes)
}

fn add_default(classes: &mut Classes) {
    let effect = Effect::Keyed {
        window: DEFAULT_TIME_TO_LIVE,
    };
    let load = clients::Class {
        latency_objective: DEFAULT_LATENCY_OBJECTIVE,
        time_to_live: DEFAULT_TIME_TO_LIVE,
        keyed: true,
        order_keys: 0,
        share: 1.0,
        late_share: DEFAULT_LATE_SHARE,
    };
    classes.add(DEFAULT_NAME, effect, load);
}

fn effect(source: &Source<'_>, class: &ClassFile) -> Result<Effect, ScenarioError> {
    let time_to_live = class.duration.get_ref().0;
    if time_to_live.is_zero() {
        return Err(source.error(&class.duration, ScenarioProblem::TimeToLive));
    }
    match class.effect.get_ref().as_str() {
        "safe" => Ok(Effect::Safe),
        "keyed" => Ok(Effect::Keyed {
            window: class.window.map_or(time_to_live, |w| w.0),
        }),
        "unsafe" => Ok(Effect::Unsafe),
        other => {
            let effect = other.to_owned();
            Err(source.error(&class.effect, ScenarioProblem::Effect { effect }))
        }
    }
}
