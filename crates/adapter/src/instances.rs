//! The dispatcher instances of a simulation. Each has a balancer, which handles its events and
//! returns its actions.

use crate::error::{BatchError, EventError};
use crate::name_table::NameTable;
use crate::wire;
use pumiceway_decisions::Balancer;
use pumiceway_decisions::api::{
    Action, AttemptProgress, AttemptResult, ClassId, Event, HealthCheckResult, IncomingRequest,
    ListKind, Outcome, Progress, Timestamp,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// The running instances, by their number on the wire.
#[derive(Default)]
pub struct Instances {
    by_number: BTreeMap<u64, Instance>,
}

struct Instance {
    number: u64,
    balancer: Balancer,
    names: NameTable,
    /// The number of the timer that was set last, which replaced all earlier ones.
    latest_timer: u64,
    actions: Vec<Action>,
}

impl Instances {
    /// Handles a batch and appends the reply to `reply`.
    pub fn handle_batch(&mut self, line: &str, reply: &mut Vec<u8>) -> Result<(), BatchError> {
        let batch: wire::Batch = serde_json::from_str(line).map_err(BatchError::Malformed)?;
        let now = Timestamp::from_micros(batch.now_us);
        let mut actions = Vec::new();
        for event in &batch.events {
            self.handle_event(now, event, &mut actions)?;
        }
        serde_json::to_writer(reply, &wire::Reply { actions }).map_err(BatchError::Reply)
    }

    fn handle_event(
        &mut self,
        now: Timestamp,
        event: &wire::Event,
        actions: &mut Vec<wire::Action>,
    ) -> Result<(), BatchError> {
        let number = event.instance();
        let event_error = |source| BatchError::Event {
            instance: number,
            source,
        };
        match event {
            wire::Event::Start(start) => {
                self.by_number
                    .insert(number, Instance::start(start).map_err(event_error)?);
            }
            wire::Event::Shutdown(_) => {
                self.by_number
                    .remove(&number)
                    .ok_or(BatchError::ShutdownOfUnknownInstance(number))?;
            }
            _ => {
                let instance = self
                    .by_number
                    .get_mut(&number)
                    .ok_or(BatchError::UnknownInstance(number))?;
                instance
                    .handle_event(now, event, actions)
                    .map_err(event_error)?;
            }
        }
        Ok(())
    }
}

impl Instance {
    fn start(start: &wire::Start) -> Result<Instance, EventError> {
        let balancer = Balancer::new(start.settings.to_settings()?, start.seed)?;
        let names = NameTable::new(start.settings.clone());
        Ok(Instance {
            number: start.instance,
            balancer,
            names,
            latest_timer: 0,
            actions: Vec::new(),
        })
    }

    fn handle_event(
        &mut self,
        now: Timestamp,
        event: &wire::Event,
        actions: &mut Vec<wire::Action>,
    ) -> Result<(), EventError> {
        match event {
            wire::Event::EndpointList(list) => self.on_list(now, list)?,
            wire::Event::RequestArrived(request) => self.on_request(now, request)?,
            wire::Event::AttemptProgressed(progress) => self.on_progress(now, progress)?,
            wire::Event::AttemptEnded(result) => self.on_attempt_ended(now, result)?,
            wire::Event::ClientDisconnected(disconnected) => {
                self.on_client_disconnected(now, &disconnected.request);
            }
            wire::Event::TimerFired(fired) => self.on_timer(now, fired.timer),
            wire::Event::HealthChecked(result) => self.on_health_checked(now, result)?,
            wire::Event::StreamOpened(_)
            | wire::Event::Gossip(_)
            | wire::Event::Start(_)
            | wire::Event::Shutdown(_) => {}
        }
        for action in std::mem::take(&mut self.actions) {
            actions.push(self.convert_action(action)?);
        }
        self.names.remove_ended_requests();
        Ok(())
    }

    fn notify(&mut self, now: Timestamp, event: Event) {
        self.balancer.handle(now, event, &mut self.actions);
    }

    fn on_list(&mut self, now: Timestamp, list: &wire::EndpointList) -> Result<(), EventError> {
        let mut entries = Vec::with_capacity(list.entries.len());
        for entry in &list.entries {
            entries.push(self.names.endpoint_entry(entry)?);
        }
        let kind = match list.kind {
            wire::ListKind::Delta => ListKind::Delta,
            wire::ListKind::Snapshot => ListKind::Snapshot,
            wire::ListKind::Bootstrap => ListKind::Bootstrap,
            wire::ListKind::SourceLost => ListKind::SourceLost,
        };
        self.notify(
            now,
            Event::EndpointList {
                kind,
                entries: &entries,
            },
        );
        Ok(())
    }

    fn on_request(
        &mut self,
        now: Timestamp,
        request: &wire::RequestArrived,
    ) -> Result<(), EventError> {
        let settings = self.names.settings();
        let class = settings.class_index(&request.class);
        let class = class.ok_or_else(|| EventError::UnknownClass(request.class.to_string()))?;
        let tenant = request
            .tenant
            .as_ref()
            .and_then(|name| settings.tenant_id(name.as_str()?));
        let incoming = IncomingRequest {
            request: self.names.add_request(&request.request)?,
            class: ClassId(class),
            function: None,
            remaining: Duration::from_micros(request.remaining_us),
            slots: request.slots.unwrap_or(1.0),
            memory: request.memory.unwrap_or(0.0),
            work_hint: request.work_hint_us.map(Duration::from_micros),
            tenant,
            affinity_key: request.affinity_key,
        };
        self.notify(now, Event::RequestArrived(incoming));
        Ok(())
    }

    fn on_progress(
        &mut self,
        now: Timestamp,
        update: &wire::AttemptProgressed,
    ) -> Result<(), EventError> {
        let endpoint = self.names.endpoint_id(&update.endpoint)?;
        let progress = match update.update {
            wire::UPDATE_STARTED => Progress::Started,
            wire::UPDATE_FRACTION => Progress::Fraction(update.fraction),
            _ => return Ok(()),
        };
        if let Some(request) = self.names.request_id(&update.request) {
            let attempt_index = update.attempt_index;
            let progress = AttemptProgress {
                request,
                attempt_index,
                endpoint,
                progress,
            };
            self.notify(now, Event::AttemptProgressed(progress));
        }
        Ok(())
    }

    fn on_attempt_ended(
        &mut self,
        now: Timestamp,
        result: &wire::AttemptEnded,
    ) -> Result<(), EventError> {
        let endpoint = self.names.endpoint_id(&result.endpoint)?;
        let Some(request) = self.names.request_id(&result.request) else {
            return Ok(());
        };
        let report = self.names.load_report(result.report.as_deref());
        self.names.attempt_finished(request);
        if result.request_done {
            self.names.request_done(request);
        }
        let result = AttemptResult {
            request,
            attempt_index: result.attempt_index,
            endpoint,
            outcome: convert_outcome(result.outcome),
            latency: Duration::from_micros(result.latency_us),
            request_done: result.request_done,
            report,
        };
        self.notify(now, Event::AttemptEnded(result));
        Ok(())
    }

    fn on_client_disconnected(&mut self, now: Timestamp, name: &str) {
        if let Some(request) = self.names.request_id(name) {
            self.names.request_done(request);
            self.notify(now, Event::ClientDisconnected { request });
        }
    }

    fn on_timer(&mut self, now: Timestamp, timer: u64) {
        if timer == self.latest_timer {
            self.notify(now, Event::TimerFired);
        }
    }

    fn on_health_checked(
        &mut self,
        now: Timestamp,
        result: &wire::HealthChecked,
    ) -> Result<(), EventError> {
        let result = HealthCheckResult {
            endpoint: self.names.endpoint_id(&result.endpoint)?,
            outcome: convert_outcome(result.outcome),
            latency: Duration::from_micros(result.latency_us),
            report: self.names.load_report(result.report.as_deref()),
        };
        self.notify(now, Event::HealthChecked(result));
        Ok(())
    }

    fn convert_action(&mut self, action: Action) -> Result<wire::Action, EventError> {
        let instance = self.number;
        Ok(match action {
            Action::Send {
                request,
                endpoint,
                timeout,
            } => {
                self.names.attempt_started(request);
                wire::Action::Send {
                    instance,
                    request: self.names.request_name(request)?,
                    timeout_us: timeout.map(micros),
                    endpoint: self.names.endpoint_name(endpoint),
                }
            }
            Action::Cancel {
                request,
                attempt_index,
            } => wire::Action::Cancel {
                instance,
                request: self.names.request_name(request)?,
                attempt_index,
            },
            Action::Shed {
                request,
                retry_after,
            } => {
                self.names.request_done(request);
                wire::Action::Shed {
                    instance,
                    request: self.names.request_name(request)?,
                    retry_after_us: retry_after.map(micros),
                }
            }
            Action::Fail { request } => {
                self.names.request_done(request);
                wire::Action::Fail {
                    instance,
                    request: self.names.request_name(request)?,
                }
            }
            Action::CheckHealth { endpoint } => wire::Action::CheckHealth {
                instance,
                endpoint: self.names.endpoint_name(endpoint),
            },
            Action::CloseIdleConnections { endpoint } => wire::Action::CloseIdleConnections {
                instance,
                endpoint: self.names.endpoint_name(endpoint),
            },
            Action::Subscribe => wire::Action::Subscribe {
                instance,
                active: true,
            },
            Action::SetTimer { after } => {
                self.latest_timer += 1;
                wire::Action::SetTimer {
                    instance,
                    after_us: micros(after),
                    timer: self.latest_timer,
                }
            }
            Action::Log(message) => wire::Action::Log { instance, message },
        })
    }
}

fn micros(duration: Duration) -> u64 {
    duration.as_micros() as u64
}

fn convert_outcome(outcome: wire::Outcome) -> Outcome {
    match outcome {
        wire::Outcome::Success => Outcome::Success,
        wire::Outcome::Error => Outcome::Error,
        wire::Outcome::Rejected => Outcome::Rejected,
        wire::Outcome::Timeout => Outcome::Timeout,
        wire::Outcome::ConnectFailed => Outcome::ConnectFailed,
        wire::Outcome::Reset => Outcome::Reset,
        wire::Outcome::Cancelled => Outcome::Cancelled,
        wire::Outcome::NotSent => Outcome::NotSent,
    }
}
