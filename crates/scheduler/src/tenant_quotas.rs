//! Each tenant's quota of messages, as a token bucket: messages over it have a lower priority weight.

use std::time::Duration;

use crate::api::Settings;

/// Seconds of its quota that a tenant can save up.
const BURST_SECONDS: f64 = 2.0;

/// One token for each message inside a tenant's quota, by position in the settings.
#[derive(Debug)]
pub(crate) struct TenantQuotas {
    tokens: Vec<f64>,
}

impl TenantQuotas {
    /// Full buckets.
    pub(crate) fn new(settings: &Settings) -> TenantQuotas {
        TenantQuotas {
            tokens: settings
                .tenants
                .iter()
                .map(|tenant| tenant.quota_rps)
                .collect(),
        }
    }

    /// Adds this sender's part of the quotas for the time passed.
    pub(crate) fn refill(&mut self, settings: &Settings, passed: Duration) {
        for (tokens, tenant) in self.tokens.iter_mut().zip(&settings.tenants) {
            let rate = tenant.quota_rps / f64::from(settings.instances);
            let depth = (BURST_SECONDS * rate).max(1.0);
            *tokens = (*tokens + rate * passed.as_secs_f64()).min(depth);
        }
    }

    /// Counts a message; true if it is over its tenant's quota. Unknown tenants have no quota.
    pub(crate) fn count_message(&mut self, tenant: usize) -> bool {
        let Some(tokens) = self.tokens.get_mut(tenant) else {
            return false;
        };
        let over_quota = *tokens < 1.0;
        *tokens = (*tokens - 1.0).max(0.0);
        over_quota
    }
}
