//! The settings of a sender that serves only Web Push.

use std::time::Duration;

use cranehill_scheduler::api::{Decay, Rules, Settings};
use cranehill_scheduler::profile::Names;

use crate::platform_settings::PlatformSettings;

/// The settings of a sender that serves only Web Push and has no configuration from the platform.
pub fn standalone_settings() -> PlatformSettings {
    let settings = Settings {
        classes: Vec::new(),
        kinds: Vec::new(),
        tenants: Vec::new(),
        over_share_worth: 1.0,
        decay: Decay::Halving,
        slots: 16,
        max_pending: 256,
        attempts_cap: 6,
        connect_timeout: Duration::from_millis(1500),
        conn_idle: Duration::from_secs(15),
        instances: 1,
        zone: 0,
        ask_for_list: false,
        rates_listed: true,
        probes: false,
        retry_after: true,
        max_retry_after: Duration::from_secs(2),
        tick: Duration::from_millis(5),
        rules: Rules {
            cold_from: 0.23,
            cold: Duration::from_millis(9100),
            fall_multiple: 1.5,
            fall: Duration::from_secs(3),
            key_quiet: Duration::ZERO,
            must_ask_in: Duration::from_secs(10),
            grace_to_answer: Duration::from_millis(20),
        },
    };
    PlatformSettings::new(settings, Names::default())
}
