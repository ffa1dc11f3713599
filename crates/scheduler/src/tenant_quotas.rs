//! Tenant quotas, as token buckets: messages over their tenant's quota have a lower priority weight.

use std::time::Duration;

use crate::api::Settings;

/// Depth of a bucket, in seconds of this sender's share of the quota.
const BURST_SECONDS: f64 = 2.0;

/// A token bucket for each tenant, by position in `Settings::tenants`. A message within the quota takes one token.
#[derive(Debug)]
pub(crate) struct TenantQuotas {
    tokens: Vec<f64>,
}

impl TenantQuotas {
    /// Creates the buckets, each with one second of the tenant's whole quota.
    pub(crate) fn new(settings: &Settings) -> TenantQuotas {
        TenantQuotas {
            tokens: settings
                .tenants
                .iter()
                .map(|tenant| tenant.quota_rps)
                .collect(),
        }
    }

    /// Adds this sender's share of the quotas for the time passed.
    pub(crate) fn refill(&mut self, settings: &Settings, passed: Duration) {
        for (tokens, tenant) in self.tokens.iter_mut().zip(&settings.tenants) {
            let rate = tenant.quota_rps / f64::from(settings.instances);
            let depth = (BURST_SECONDS * rate).max(1.0);
            *tokens = (*tokens + rate * passed.as_secs_f64()).min(depth);
        }
    }

    /// Counts a message; true if it is over its tenant's quota. Never true for a tenant that is not in the settings.
    pub(crate) fn count_message(&mut self, tenant: usize) -> bool {
        let Some(tokens) = self.tokens.get_mut(tenant) else {
            return false;
        };
        let over_quota = *tokens < 1.0;
        *tokens = (*tokens - 1.0).max(0.0);
        over_quota
    }
}
