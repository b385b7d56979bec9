//! Which priority weight a request keeps if its tenant exceeds its quota.
//!
//! Quotas apply to all dispatchers together, and each dispatcher enforces an equal part. It is not
//! known which requests are beyond the quota, only how many: at twice its quota, each request of a
//! tenant keeps half of its weight, plus the over-quota weight for the other half. A burst from one
//! tenant thus yields its slots to the other tenants.

use super::Balancer;
use crate::api::{TenantId, Timestamp};

/// Time constant of a tenant's request rate.
const RATE_TIME_CONSTANT_US: f64 = 2_000_000.0;

impl Balancer {
    /// Counts a request against the quota of its tenant. Returns the share of the priority weight
    /// of its class that the request keeps, from 0 to 1.
    ///
    /// Where there are tenants, a request that belongs to none of them counts as beyond the quota.
    pub(super) fn count_against_quota(&mut self, now: Timestamp, tenant: Option<TenantId>) -> f64 {
        let over_quota = self.settings.over_quota_weight;
        let Some(TenantId(tenant)) = tenant else {
            return if self.settings.tenants.is_empty() {
                1.0
            } else {
                over_quota
            };
        };
        let quota =
            self.settings.tenants[tenant].quota_per_second / self.settings.instance_count as f64;
        let rate = self.state.tenant_rates[tenant].count(now, RATE_TIME_CONSTANT_US);
        let within_quota = (quota / rate).min(1.0);
        within_quota + (1.0 - within_quota) * over_quota
    }
}
