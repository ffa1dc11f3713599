//! The settings object in the JSON format of the simulator and the platform, and its conversion to [`Settings`].

use std::time::Duration;

use serde::Deserialize;

use crate::api::{Class, Decay, DedupScope, DestinationKind, Effect, Rules, Settings, Tenant};

/// Maximum number of senders. With this many, each may send one call in 100 s under a shared limit of 1000 calls a second. That
/// is far longer than the deadline of any message, so more senders could not use their quotas.
const MAX_SENDERS: u32 = 100_000;

/// A settings object that was deserialized but has an invalid value.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProfileError {
    /// The number of senders is out of range.
    #[error("settings.nInstances: {count} senders; expected 1 to {max}", max = MAX_SENDERS)]
    SenderCount {
        /// The number of senders in the settings object.
        count: u32,
    },
    /// The effect of a class is unknown.
    #[error("settings.classes[{class_index}].effect: '{effect}' is not safe, keyed or unsafe")]
    UnknownEffect {
        /// Position of the class, from 0.
        class_index: usize,
        /// The effect in the settings object.
        effect: String,
    },
}

/// Converts a duration in nanoseconds, the unit of the settings object.
fn duration(nanoseconds: u64) -> Duration {
    Duration::from_nanos(nanoseconds)
}

/// The settings object. Unknown keys are ignored, and optional keys default to zero, false or empty.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Profile {
    classes: Vec<WireClass>,
    family_info: FamilyInfo,
    /// How changes of the endpoint list arrive: "ask" if the sender must poll, pushed with any other value.
    membership_mode: String,
    n_instances: u32,
    /// See [`Settings::over_quota_factor`].
    #[serde(default)]
    over_share_worth: f64,
    policy_limits: PolicyLimits,
    rules: WireRules,
    #[serde(default)]
    tenants: Vec<WireTenant>,
    tick: u64,
    /// "nominal" or "rough" if the endpoint list has rates.
    #[serde(rename = "weightKind", default)]
    listed_rate_kind: String,
    #[serde(default)]
    zone: u32,
    #[serde(rename = "models", default)]
    kind_names: Vec<String>,
    #[serde(rename = "zones", default)]
    zone_names: Vec<String>,
}

/// A message class: see [`Class`].
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

/// The object `familyInfo`: the sender's number of slots, the destination kinds and the decay of the priority weight.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct FamilyInfo {
    #[serde(rename = "callsOut")]
    slots: u32,
    /// By destination kind: whether each endpoint is a separate route.
    #[serde(rename = "kindApart", default)]
    separate_routes: Vec<bool>,
    /// "halving", or any other value for a linear decay.
    #[serde(rename = "losesWorth", default)]
    priority_weight_decay: String,
    /// By destination kind: maximum number of messages in one call.
    #[serde(default)]
    per_call: Vec<u32>,
}

/// Limits of the sender: see the fields of the same names in [`Settings`].
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

/// What is assumed of destinations, and timing limits: see the fields of the same names in [`Rules`].
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

/// A tenant: see [`Tenant`].
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireTenant {
    #[serde(default)]
    name: String,
    #[serde(default)]
    quota_rps: f64,
}

/// The names of the classes, tenants, kinds and zones that [`Settings`] identifies by position.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Names of the classes; empty strings where the object has none.
    pub classes: Vec<String>,
    /// Names of the tenants; empty strings where the object has none.
    pub tenants: Vec<String>,
    /// Names of the destination kinds; may be fewer than there are kinds.
    pub kinds: Vec<String>,
    /// Names of the zones; may be empty.
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
            kinds: self.kind_names.clone(),
            zones: self.zone_names.clone(),
        }
    }

    /// Converts the object to the scheduler's settings. An unknown effect is an error. Other unknown values are read as the
    /// narrowest deduplication scope, a linear decay, an endpoint list that is pushed, and no listed rates.
    ///
    /// # Errors
    ///
    /// Fails if the number of senders is out of range or a class has an unknown effect.
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
            over_quota_factor: self.over_share_worth,
            decay: self.family_info.decay(),
            slots: self.family_info.slots,
            max_pending: limits.max_pending,
            max_attempts: limits.attempts_cap,
            connect_timeout: duration(limits.connect_timeout),
            idle_timeout: duration(limits.conn_idle),
            instances: self.n_instances,
            zone: self.zone,
            poll_endpoint_list: self.membership_mode == "ask",
            rates_listed: matches!(self.listed_rate_kind.as_str(), "nominal" | "rough"),
            health_checks: limits.probes,
            retry_after: limits.retry_after,
            max_retry_after: duration(limits.max_retry_after),
            tick: duration(self.tick),
            rules: self.rules.into_rules(),
        })
    }
}

impl FamilyInfo {
    /// The destination kinds, as many as the longer of `perCall` and `kindApart` has. Values missing from the shorter one
    /// default to 1 message in a call and to a shared route.
    fn kinds(&self) -> Vec<DestinationKind> {
        let count = self.per_call.len().max(self.separate_routes.len());
        (0..count)
            .map(|index| DestinationKind {
                max_messages_per_call: self.per_call.get(index).copied().unwrap_or(1),
                separate_routes: self.separate_routes.get(index).copied().unwrap_or(false),
            })
            .collect()
    }

    fn decay(&self) -> Decay {
        if self.priority_weight_decay == "halving" {
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
            initial_capacity: self.cold_from,
            warm_up: duration(self.cold),
            overload_multiple: self.fall_multiple,
            overload_duration: duration(self.fall),
            ordering_pause: duration(self.key_quiet),
            max_poll_interval: duration(self.must_ask_in),
            answer_grace: duration(self.grace_to_answer),
        }
    }
}

impl WireClass {
    /// Converts a class. `class_index` is its position in the settings object, for errors.
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
            // An unknown scope is read as the narrowest one, which is safe whichever scope is meant.
            _ => DedupScope::Endpoint,
        };
        Ok(Class {
            latency_objective: duration(self.latency_objective),
            deadline: duration(self.deadline),
            effect,
            dedup,
            dedup_window: duration(self.window),
            in_order: self.by_arrival,
            priority_weight: self.priority_weight,
            min_weight_share: self.late_share,
        })
    }
}
