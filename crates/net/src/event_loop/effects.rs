//! Execution of the effects of the core.

use super::watch::WatchTask;
use super::{EventLoop, PendingClient, RunningAttempt};
use crate::frontend::gearman::workers::OfferedJob;
use crate::frontend::{EventSender, FrontendState};
use crate::upstream::{AttemptObserver, AttemptOptions};
use pumiceway_core::{
    AttemptId, AttemptOutcome, AttemptUpdate, ClientResponse, Effect, EndpointAddress,
    EndpointSource, Event, HealthCheckId, Job, JobFunction,
};
use pumiceway_decisions::api::{ClassId, EndpointId, LoadReport, Outcome, Timestamp};
use pumiceway_decisions::rules::LeaseSignal;
use std::collections::HashSet;
use std::sync::atomic::Ordering;
use tokio::time::Instant;
use tracing::{debug, error, info, warn};

/// Forwards the progress and the outcome of an attempt to the event loop.
struct AttemptReporter {
    events: EventSender,
    attempt: AttemptId,
}

impl AttemptObserver for AttemptReporter {
    fn updated(&self, update: AttemptUpdate) {
        if matches!(update, AttemptUpdate::Started) {
            debug!(attempt = self.attempt.0, "attempt started");
        }
        self.events.send(Event::AttemptUpdated {
            attempt: self.attempt,
            update,
        });
    }

    fn ended(&mut self, outcome: AttemptOutcome, report: Option<LoadReport>) {
        self.events.send(Event::AttemptEnded {
            attempt: self.attempt,
            outcome,
            report,
        });
    }
}

impl EventLoop {
    fn close_frontends(&self, respond_by: Timestamp) {
        let respond_by = Instant::from_std(self.clock.instant(respond_by));
        // Sending fails if all frontends have ended.
        let _ = self
            .close_frontends
            .send(FrontendState::Closing { respond_by });
    }

    pub(super) fn execute(&mut self, effect: Effect) {
        match effect {
            Effect::StartAttempt {
                attempt,
                attempt_index,
                endpoint,
                address,
                function,
                job,
                remaining,
                dedicated_connection,
                write_by,
            } => {
                let class_name = self.class_name(function.class);
                // Correlates the attempt with its request and its endpoint in the log.
                debug!(
                    request_id = job.id,
                    attempt = attempt.0,
                    attempt_index,
                    endpoint = %address,
                    class = class_name,
                    function = self.function_name(function),
                    "attempt starts"
                );
                let write_by = write_by.map(|at| Instant::from_std(self.clock.instant(at)));
                let options = AttemptOptions {
                    remaining,
                    dedicated_connection,
                    write_by,
                };
                match (address, &self.workers) {
                    (EndpointAddress::Network(address), _) => {
                        self.start_attempt(attempt, endpoint, &address, &job, options);
                    }
                    (EndpointAddress::Session(session), Some(workers)) => {
                        let offered = OfferedJob {
                            attempt,
                            function,
                            job,
                            ends_by: std::time::Instant::now() + remaining,
                        };
                        workers.start(session, offered);
                    }
                    (EndpointAddress::Session(_), None) => self.report_connect_failure(attempt),
                }
            }
            Effect::AbortAttempt { attempt } => self.abort_attempt(attempt),
            Effect::Respond { handle, response } => {
                if let Some(client) = self.clients.remove(&handle) {
                    self.log_response(&client, &response);
                    // The client may have disconnected in the meantime.
                    let _ = client.response.send(response);
                }
            }
            Effect::ForwardUpdate { handle, update } => {
                if let Some(PendingClient {
                    updates: Some(updates),
                    ..
                }) = self.clients.get(&handle)
                {
                    let _ = updates.send(update);
                }
            }
            Effect::CheckHealth {
                endpoint,
                check,
                address,
            } => self.check_health(endpoint, check, address),
            Effect::CloseIdleConnections { endpoint } => self.upstreams.close_idle(endpoint),
            Effect::WatchDiscovery {
                address,
                list_version,
            } => self.watch_discovery(address, list_version),
            Effect::SetTimer { at } => self.timer = Some(at),
            Effect::ReportReady => self.ready.store(true, Ordering::Relaxed),
            Effect::CloseFrontends { respond_by } => self.close_frontends(respond_by),
            Effect::Exit => self.exit = true,
            Effect::LogLease {
                source,
                signal,
                expires_at,
            } => self.log_lease(source, signal, expires_at),
            Effect::Warn(warning) => warn!("{warning}"),
        }
    }

    pub(super) fn start_attempt(
        &mut self,
        attempt: AttemptId,
        endpoint: EndpointId,
        address: &str,
        job: &Job,
        options: AttemptOptions,
    ) {
        // Reported as `NotSent`: a lack of local descriptors must not count against the endpoint.
        if self.attempts.len() >= self.upstreams.max_sockets() || !self.ensure_free_socket() {
            let limit = self.upstreams.max_sockets();
            warn!(
                request_id = job.id,
                attempt = attempt.0,
                endpoint = address,
                limit,
                "attempt was not sent: no socket is left"
            );
            let outcome = AttemptOutcome::NotSent;
            return self.events.send(Event::AttemptEnded {
                attempt,
                outcome,
                report: None,
            });
        }
        let observer = AttemptReporter {
            events: self.events.clone(),
            attempt,
        };
        let client = self.upstreams.client(self.clock.now(), endpoint, address);
        match client.attempt(job, options, observer) {
            Ok((connection, driver)) => {
                let task = tokio::spawn(driver).abort_handle();
                self.attempts.insert(
                    attempt,
                    RunningAttempt {
                        endpoint,
                        connection,
                        task,
                    },
                );
            }
            Err(error) => {
                error!(
                    request_id = job.id,
                    attempt = attempt.0,
                    endpoint = address,
                    reason = %error,
                    "attempt was not sent: its request cannot be built"
                );
                self.report_connect_failure(attempt);
            }
        }
    }

    fn report_connect_failure(&self, attempt: AttemptId) {
        let outcome = AttemptOutcome::ConnectFailed;
        self.events.send(Event::AttemptEnded {
            attempt,
            outcome,
            report: None,
        });
    }

    fn abort_attempt(&mut self, attempt: AttemptId) {
        debug!(attempt = attempt.0, "attempt aborted");
        if let Some(RunningAttempt {
            connection, task, ..
        }) = self.attempts.remove(&attempt)
        {
            connection.abort();
            task.abort();
        } else if let Some(workers) = &self.workers {
            workers.abort(attempt);
        }
    }

    fn check_health(
        &mut self,
        endpoint: EndpointId,
        check: HealthCheckId,
        address: EndpointAddress,
    ) {
        let health_checked = move |outcome, report| Event::HealthChecked {
            endpoint,
            check,
            outcome,
            report,
        };
        let address = match address {
            EndpointAddress::Network(address) => address,
            EndpointAddress::Session(session) => {
                let workers = self.workers.as_ref();
                let (outcome, report) = workers.map_or((Outcome::ConnectFailed, None), |workers| {
                    workers.check_health(session)
                });
                return self.events.send(health_checked(outcome, report));
            }
        };
        if !self.ensure_free_socket() {
            return self.events.send(health_checked(Outcome::NotSent, None));
        }
        let client = self.upstreams.client(self.clock.now(), endpoint, &address);
        let events = self.events.clone();
        tokio::spawn(async move {
            let (outcome, report) = client.check_health().await;
            debug!(
                endpoint = client.address(),
                ?outcome,
                ?report,
                "health check ended"
            );
            events.send(health_checked(outcome, report));
        });
    }

    /// Ensures that a socket is free, without evicting endpoints that have an attempt in flight.
    fn ensure_free_socket(&mut self) -> bool {
        let busy: HashSet<EndpointId> = self
            .attempts
            .values()
            .map(|attempt| attempt.endpoint)
            .collect();
        self.upstreams.ensure_free_socket(&busy)
    }

    fn watch_discovery(&mut self, address: String, list_version: Option<u64>) {
        let address_changed = self.watch.is_some();
        let watch = WatchTask::start(
            address,
            self.settings.clone(),
            list_version,
            address_changed,
            self.lists.clone(),
        );
        if address_changed {
            self.next_watch = Some(watch);
        } else {
            self.watch = Some(watch);
        }
    }

    fn class_name(&self, class: ClassId) -> &str {
        self.settings
            .classes
            .get(class.0)
            .map_or("?", |class| &class.name)
    }

    /// The name of a function for workers; `None` without the Gearman frontend.
    fn function_name(&self, function: JobFunction) -> Option<&str> {
        self.workers.as_ref()?.catalog().name(function)
    }

    /// Logs failed requests at `warn` and rejected ones at `info`; the others only at `debug`,
    /// because there are too many of them.
    fn log_response(&self, client: &PendingClient, response: &ClientResponse) {
        let request_id = &client.job.id;
        let class = self.class_name(client.function.class);
        let function = self.function_name(client.function);
        let elapsed_ms = self
            .clock
            .now()
            .saturating_duration_since(client.submitted_at)
            .as_millis() as u64;
        let outcome = response.as_str();
        match response {
            ClientResponse::Failed(reason) => {
                warn!(request_id, class, function, outcome, %reason, elapsed_ms, "request ended");
            }
            ClientResponse::Rejected(reason) => {
                info!(request_id, class, function, outcome, %reason, elapsed_ms, "request ended");
            }
            ClientResponse::Served(_) | ClientResponse::Overloaded { .. } => {
                debug!(
                    request_id,
                    class, function, outcome, elapsed_ms, "request ended"
                );
            }
        }
    }

    fn log_lease(
        &self,
        source: EndpointSource,
        signal: LeaseSignal,
        expires_at: Option<Timestamp>,
    ) {
        let remaining = expires_at.map(|at| at.saturating_duration_since(self.clock.now()));
        let expires_in_ms = remaining.map(|remaining| remaining.as_millis() as u64);
        debug!(
            ?source,
            lease_signal = ?signal,
            expires_in_ms,
            "lease on the endpoint list updated"
        );
    }
}
