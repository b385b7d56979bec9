//! Updates of the endpoint list, its leases, and the readiness of the dispatcher.

use super::timers::Timer;
use crate::endpoints::AppliedUpdate;
use crate::{Core, Effect, EndpointListUpdate, EndpointSource, Warning};
use pumiceway_decisions::api::{ListKind, Timestamp};
use pumiceway_decisions::rules::LeaseTerms;
use std::time::Duration;

/// A dispatcher whose endpoint list is not confirmed within this time reports that it is ready
/// nevertheless. It then sheds every request, but is not treated as one that failed to start.
const READY_WITHOUT_LIST_AFTER: Duration = Duration::from_secs(5);

impl Core {
    pub(super) fn on_endpoint_list_updated(
        &mut self,
        now: Timestamp,
        source: EndpointSource,
        as_of: Timestamp,
        update: EndpointListUpdate,
        effects: &mut Vec<Effect>,
    ) {
        let signal = update.lease_signal();
        let applied = self.apply_update(source, update);
        if let Some(signal) = signal {
            self.endpoints.record_signal(source, as_of, signal);
            let expires_at = self.endpoints.lease_expires_at(source);
            effects.push(Effect::LogLease {
                source,
                signal,
                expires_at,
            });
        }
        self.notify_of_update(now, applied, effects);
    }

    pub(super) fn on_previous_source_updated(
        &mut self,
        now: Timestamp,
        source: EndpointSource,
        update: EndpointListUpdate,
        effects: &mut Vec<Effect>,
    ) {
        let applied = self.apply_update(source, update);
        self.notify_of_update(now, applied, effects);
    }

    pub(super) fn on_lease_required(&mut self, now: Timestamp, source: EndpointSource) {
        self.endpoints
            .set_lease_terms(now, source, LeaseTerms::for_session());
    }

    /// Watches discovery at the configured address, unless that address is already watched.
    pub(super) fn on_discovery_configured(
        &mut self,
        now: Timestamp,
        discovery: Option<String>,
        list_version: Option<u64>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(address) = discovery.filter(|address| self.discovery.as_ref() != Some(address))
        else {
            return;
        };
        if self.discovery.is_none() {
            self.timers
                .set(now + READY_WITHOUT_LIST_AFTER, Timer::ReadyWithoutList);
        }
        let terms = LeaseTerms::for_discovery(&self.settings);
        self.endpoints
            .set_lease_terms(now, EndpointSource::Discovery, terms);
        self.discovery = Some(address.clone());
        effects.push(Effect::WatchDiscovery {
            address,
            list_version,
        });
    }

    fn apply_update(
        &mut self,
        source: EndpointSource,
        update: EndpointListUpdate,
    ) -> AppliedUpdate {
        // All attempts of an open request count, including those that have ended: the balancer
        // keeps them for as long as the core keeps the request.
        let in_use = || {
            let attempts = self.requests.values().flat_map(|request| &request.attempts);
            let checked = self.health_checks.values().map(|check| check.endpoint);
            attempts
                .map(|attempt| attempt.endpoint)
                .chain(checked)
                .collect()
        };
        self.endpoints.apply(source, update, in_use)
    }

    fn notify_of_update(
        &mut self,
        now: Timestamp,
        applied: AppliedUpdate,
        effects: &mut Vec<Effect>,
    ) {
        if applied.left_out > 0 {
            effects.push(Effect::Warn(Warning::TooManyEndpoints {
                left_out: applied.left_out,
            }));
        }
        for endpoint in applied.reassigned {
            effects.push(Effect::CloseIdleConnections { endpoint });
        }
        self.notify_balancer_of_list(applied.kind, applied.endpoints);
        self.refresh_leases(now, effects);
    }

    /// Updates which lists have a valid lease, and notifies the balancer if that has changed.
    pub(super) fn refresh_leases(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        let Some(listed) = self.endpoints.refresh_leases(now) else {
            return;
        };
        let has_valid_lease = self.endpoints.has_valid_lease(now);
        if !has_valid_lease {
            effects.push(Effect::Warn(Warning::NoConfirmedList {
                endpoints: listed.len(),
            }));
        }
        self.notify_balancer_of_list(ListKind::Snapshot, listed);
        if has_valid_lease {
            self.report_ready(effects);
        }
    }

    pub(super) fn set_lease_timer(&mut self, now: Timestamp) {
        self.timers
            .set_lease_if_unset(self.endpoints.next_lease_expiry(now));
    }

    pub(super) fn report_ready(&mut self, effects: &mut Vec<Effect>) {
        if !std::mem::replace(&mut self.is_ready, true) {
            effects.push(Effect::ReportReady);
        }
    }
}
