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
        over_quota_factor: 1.0,
        decay: Decay::Halving,
        slots: 16,
        max_pending: 256,
        max_attempts: 6,
        connect_timeout: Duration::from_millis(1500),
        idle_timeout: Duration::from_secs(15),
        instances: 1,
        zone: 0,
        poll_endpoint_list: false,
        rates_listed: true,
        health_checks: false,
        retry_after: true,
        max_retry_after: Duration::from_secs(2),
        tick: Duration::from_millis(5),
        rules: Rules {
            initial_capacity: 0.23,
            warm_up: Duration::from_millis(9100),
            overload_multiple: 1.5,
            overload_duration: Duration::from_secs(3),
            ordering_pause: Duration::ZERO,
            max_poll_interval: Duration::from_secs(10),
            answer_grace: Duration::from_millis(20),
        },
    };
    PlatformSettings::new(settings, Names::default())
}
