//! The settings object as the simulator and the platform write it, and its translation to [`Settings`].

use std::time::Duration;

use serde::Deserialize;

use crate::api::{Class, Decay, DedupScope, Effect, Kind, Rules, Settings, Tenant};

/// More senders than this are taken for a mistake: of a limit of a thousand calls a second, each would have less than one
/// in 100 s, far beyond the deadline of any message.
const MAX_SENDERS: u32 = 100_000;

/// A settings object that is well formed and yet names something the scheduler does not know.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProfileError {
    /// The number of senders is out of its range.
    #[error("settings.nInstances: {count} senders; it must be 1 to {max}", max = MAX_SENDERS)]
    SenderCount {
        /// The number given.
        count: u32,
    },
    /// A class has an effect that is not known.
    #[error("settings.classes[{class_index}].effect: '{effect}' is not safe, keyed or unsafe")]
    UnknownEffect {
        /// Position of the class.
        class_index: usize,
        /// The effect given.
        effect: String,
    },
}

/// Reads a span as the settings object has it.
fn ns(nanoseconds: u64) -> Duration {
    Duration::from_nanos(nanoseconds)
}

/// The settings object. Only the keys that are used are read; others are skipped.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Profile {
    classes: Vec<WireClass>,
    family_info: FamilyInfo,
    membership_mode: String,
    n_instances: u32,
    #[serde(default)]
    over_share_worth: f64,
    policy_limits: PolicyLimits,
    rules: WireRules,
    #[serde(default)]
    tenants: Vec<WireTenant>,
    tick: u64,
    #[serde(default)]
    weight_kind: String,
    #[serde(default)]
    zone: u32,
    #[serde(default)]
    models: Vec<String>,
    #[serde(default)]
    zones: Vec<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireClass {
    #[serde(default)]
    name: String,
    #[serde(rename = "aim")]
    latency_objective: u64,
    deadline: u64,
    effect: String,
    #[serde(default)]
    dedup_scope: String,
    #[serde(default)]
    window: u64,
    #[serde(default)]
    by_arrival: bool,
    #[serde(rename = "worth")]
    priority_weight: f64,
    #[serde(default)]
    late_share: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct FamilyInfo {
    calls_out: u32,
    #[serde(default)]
    kind_apart: Vec<bool>,
    #[serde(default)]
    loses_worth: String,
    #[serde(default)]
    per_call: Vec<u32>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct PolicyLimits {
    attempts_cap: u32,
    conn_idle: u64,
    connect_timeout: u64,
    max_retry_after: u64,
    #[serde(rename = "mostHeld")]
    max_pending: usize,
    #[serde(default)]
    probes: bool,
    #[serde(default)]
    retry_after: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireRules {
    #[serde(default)]
    cold: u64,
    #[serde(default)]
    cold_from: f64,
    #[serde(default)]
    fall: u64,
    #[serde(default)]
    fall_multiple: f64,
    #[serde(default)]
    grace_to_answer: u64,
    #[serde(default)]
    key_quiet: u64,
    #[serde(default)]
    must_ask_in: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireTenant {
    #[serde(default)]
    name: String,
    #[serde(default)]
    quota_rps: f64,
}

/// The names behind the positions that [`Settings`] uses.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Of the classes.
    pub classes: Vec<String>,
    /// Of the tenants.
    pub tenants: Vec<String>,
    /// Of the kinds of destination.
    pub kinds: Vec<String>,
    /// Of the zones.
    pub zones: Vec<String>,
}

impl Profile {
    /// The names of classes, tenants, kinds and zones.
    pub fn names(&self) -> Names {
        Names {
            classes: self
                .classes
                .iter()
                .map(|class| class.name.clone())
                .collect(),
            tenants: self
                .tenants
                .iter()
                .map(|tenant| tenant.name.clone())
                .collect(),
            kinds: self.models.clone(),
            zones: self.zones.clone(),
        }
    }

    /// The settings as the scheduler uses them.
    ///
    /// # Errors
    ///
    /// Fails where the number of senders is out of its range or a class has an unknown effect.
    pub fn into_settings(self) -> Result<Settings, ProfileError> {
        if !(1..=MAX_SENDERS).contains(&self.n_instances) {
            let count = self.n_instances;
            return Err(ProfileError::SenderCount { count });
        }
        let classes = self
            .classes
            .into_iter()
            .enumerate()
            .map(|(class_index, class)| class.into_class(class_index))
            .collect::<Result<Vec<_>, _>>()?;
        let tenants = self.tenants.iter().map(WireTenant::to_tenant).collect();
        let limits = self.policy_limits;
        Ok(Settings {
            classes,
            kinds: self.family_info.kinds(),
            tenants,
            over_share_worth: self.over_share_worth,
            decay: self.family_info.decay(),
            slots: self.family_info.calls_out,
            max_pending: limits.max_pending,
            attempts_cap: limits.attempts_cap,
            connect_timeout: ns(limits.connect_timeout),
            conn_idle: ns(limits.conn_idle),
            instances: self.n_instances,
            zone: self.zone,
            ask_for_list: self.membership_mode == "ask",
            rates_listed: matches!(self.weight_kind.as_str(), "nominal" | "rough"),
            probes: limits.probes,
            retry_after: limits.retry_after,
            max_retry_after: ns(limits.max_retry_after),
            tick: ns(self.tick),
            rules: self.rules.into_rules(),
        })
    }
}

impl FamilyInfo {
    /// The kinds of destination: as many as the longer of the two lists has, with defaults for the other.
    fn kinds(&self) -> Vec<Kind> {
        let count = self.per_call.len().max(self.kind_apart.len());
        (0..count)
            .map(|index| Kind {
                per_call: self.per_call.get(index).copied().unwrap_or(1),
                apart: self.kind_apart.get(index).copied().unwrap_or(false),
            })
            .collect()
    }

    fn decay(&self) -> Decay {
        if self.loses_worth == "halving" {
            Decay::Halving
        } else {
            Decay::Linear
        }
    }
}

impl WireTenant {
    fn to_tenant(&self) -> Tenant {
        Tenant {
            quota_rps: self.quota_rps,
        }
    }
}

impl WireRules {
    fn into_rules(self) -> Rules {
        Rules {
            cold_from: self.cold_from,
            cold: ns(self.cold),
            fall_multiple: self.fall_multiple,
            fall: ns(self.fall),
            key_quiet: ns(self.key_quiet),
            must_ask_in: ns(self.must_ask_in),
            grace_to_answer: ns(self.grace_to_answer),
        }
    }
}

impl WireClass {
    /// `class_index` is the position in the settings object, for errors.
    fn into_class(self, class_index: usize) -> Result<Class, ProfileError> {
        let effect = match self.effect.as_str() {
            "safe" => Effect::Safe,
            "keyed" => Effect::Idempotent,
            "unsafe" => Effect::Unsafe,
            _ => {
                return Err(ProfileError::UnknownEffect {
                    class_index,
                    effect: self.effect,
                });
            }
        };
        let dedup = match self.dedup_scope.as_str() {
            "all" | "" => DedupScope::All,
            "zone" => DedupScope::Zone,
            // An unknown scope is read as the narrowest one, which is safe with any of the others.
            _ => DedupScope::Endpoint,
        };
        Ok(Class {
            latency_objective: ns(self.latency_objective),
            deadline: ns(self.deadline),
            effect,
            dedup,
            window: ns(self.window),
            in_order: self.by_arrival,
            priority_weight: self.priority_weight,
            late_share: self.late_share,
        })
    }
}
