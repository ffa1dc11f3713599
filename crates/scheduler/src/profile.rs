//! The settings object as the simulator and the platform write it, and its translation to [`Settings`].

use std::time::Duration;

use serde::Deserialize;

use crate::api::{Class, Decay, DedupScope, Effect, Kind, Rules, Settings, Tenant};

/// More senders than this are taken for a mistake: of a limit of a thousand calls a second, each would have less than one
/// in 100 s, far beyond the life of any message.
const SENDERS_MOST: u32 = 100_000;

fn ns(n: u64) -> Duration {
    Duration::from_nanos(n)
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
/// The settings object, of which only what is used is read; unknown keys are skipped.
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
            classes: self.classes.iter().map(|c| c.name.clone()).collect(),
            tenants: self.tenants.iter().map(|t| t.name.clone()).collect(),
            kinds: self.models.clone(),
            zones: self.zones.clone(),
        }
    }

    /// The settings as the decisions use them.
    pub fn into_settings(self) -> Result<Settings, String> {
        if !(1..=SENDERS_MOST).contains(&self.n_instances) {
            let n = self.n_instances;
            return Err(format!(
                "settings.nInstances: {n} senders; it must be 1 to {SENDERS_MOST}"
            ));
        }
        let classes = self.classes.into_iter().enumerate().map(|(place, class)| {
            class
                .into_class()
                .map_err(|why| format!("settings.classes[{place}].{why}"))
        });
        let classes = classes.collect::<Result<Vec<_>, _>>()?;
        let family = self.family_info;
        let count = family.per_call.len().max(family.kind_apart.len());
        let kinds = (0..count)
            .map(|i| Kind {
                per_call: family.per_call.get(i).copied().unwrap_or(1),
                apart: family.kind_apart.get(i).copied().unwrap_or(false),
            })
            .collect();
        let (limits, rules) = (self.policy_limits, self.rules);
        Ok(Settings {
            classes,
            kinds,
            tenants: self
                .tenants
                .iter()
                .map(|t| Tenant {
                    quota_rps: t.quota_rps,
                })
                .collect(),
            over_share_worth: self.over_share_worth,
            decay: if family.loses_worth == "halving" {
                Decay::Halving
            } else {
                Decay::Linear
            },
            slots: family.calls_out,
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
            rules: Rules {
                cold_from: rules.cold_from,
                cold: ns(rules.cold),
                fall_multiple: rules.fall_multiple,
                fall: ns(rules.fall),
                key_quiet: ns(rules.key_quiet),
                must_ask_in: ns(rules.must_ask_in),
                grace_to_answer: ns(rules.grace_to_answer),
            },
        })
    }
}

impl WireClass {
    fn into_class(self) -> Result<Class, String> {
        Ok(Class {
            latency_objective: ns(self.latency_objective),
            deadline: ns(self.deadline),
            effect: match self.effect.as_str() {
                "safe" => Effect::Safe,
                "keyed" => Effect::Idempotent,
                "unsafe" => Effect::Unsafe,
                e => return Err(format!("effect: '{e}' is not safe, keyed or unsafe")),
            },
            dedup: match self.dedup_scope.as_str() {
                "all" | "" => DedupScope::All,
                "zone" => DedupScope::Zone,
                // A scope that is not known is taken for the narrowest, which breaks no other.
                _ => DedupScope::Endpoint,
            },
            window: ns(self.window),
            in_order: self.by_arrival,
            priority_weight: self.priority_weight,
            late_share: self.late_share,
        })
    }
}
