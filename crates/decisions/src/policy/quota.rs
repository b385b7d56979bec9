//! What a request is worth whose tenant exceeds its quota.
//!
//! Quotas hold for all dispatchers together, and each dispatcher is given an equal part. Which
//! requests are beyond the quota cannot be told, only how many are: at twice its quota, each
//! request of a tenant keeps half of its weight, and the over-quota weight of the other half. A
//! flood of one tenant thus yields its slots to the others.

use super::Balancer;
use crate::api::{TenantId, Timestamp};

/// Time constant of a tenant's request rate.
const RATE_TIME_CONSTANT_US: f64 = 2_000_000.0;

impl Balancer {
    /// The share of its class's priority weight that a request of this tenant keeps, from 0 to 1.
    /// Counts the request.
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
