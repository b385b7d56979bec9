//! Names on the wire and the handles that stand for them.

use crate::error::EventError;
use crate::wire;
use pumiceway_decisions::api::{
    EndpointEntry, EndpointId, EndpointState, LoadReport, RequestId, Timestamp,
};
use pumiceway_decisions::settings::DeploymentSettings;
use std::collections::HashMap;

/// What the wire's names mean to one instance.
pub struct Names {
    settings: DeploymentSettings,
    endpoint_ids: HashMap<Box<str>, EndpointId>,
    /// Name of each endpoint, by handle.
    endpoints: Vec<Box<str>>,
    request_ids: HashMap<Box<str>, RequestId>,
    requests: HashMap<RequestId, OpenRequest>,
    next_request: u64,
    /// Requests that may be over.
    touched: Vec<RequestId>,
}

/// A request that the balancer may still name.
struct OpenRequest {
    name: Box<str>,
    attempts_in_flight: usize,
    is_done: bool,
}

impl Names {
    pub fn new(settings: DeploymentSettings) -> Names {
        Names {
            settings,
            endpoint_ids: HashMap::new(),
            endpoints: Vec::new(),
            request_ids: HashMap::new(),
            requests: HashMap::new(),
            next_request: 0,
            touched: Vec::new(),
        }
    }

    pub fn settings(&self) -> &DeploymentSettings {
        &self.settings
    }

    /// An entry of the endpoint list, with a new handle for a new name.
    pub fn entry<'a>(
        &mut self,
        entry: &'a wire::EndpointEntry,
    ) -> Result<EndpointEntry<'a>, EventError> {
        let zone = self.settings.zone_id(entry.zone.as_deref());
        let kind = self.settings.kind_id(entry.kind.as_deref());
        Ok(EndpointEntry {
            endpoint: self.endpoint_id_or_new(&entry.name),
            name: &entry.name,
            zone: zone.ok_or_else(|| EventError::UnknownZone(owned(entry.zone.as_deref())))?,
            kind: kind.ok_or_else(|| EventError::UnknownKind(owned(entry.kind.as_deref())))?,
            cell: entry.cell,
            state: match entry.state {
                wire::EndpointState::Ready => EndpointState::Ready,
                wire::EndpointState::Draining => EndpointState::Draining,
                wire::EndpointState::Gone => EndpointState::Gone,
            },
            started_at: Timestamp::from_micros(entry.started_at_us),
            relative_size: self.settings.relative_size(entry.weight),
            skips_slow_start: false,
            max_concurrent: None,
        })
    }

    fn endpoint_id_or_new(&mut self, name: &str) -> EndpointId {
        if let Some(&id) = self.endpoint_ids.get(name) {
            return id;
        }
        let id = EndpointId(self.endpoints.len() as u32);
        self.endpoints.push(name.into());
        self.endpoint_ids.insert(name.into(), id);
        id
    }

    pub fn endpoint_id(&self, name: &str) -> Result<EndpointId, EventError> {
        let id = self.endpoint_ids.get(name).copied();
        id.ok_or_else(|| EventError::UnknownEndpoint(name.to_owned()))
    }

    pub fn endpoint_name(&self, id: EndpointId) -> String {
        self.endpoints[id.index()].to_string()
    }

    /// The handle of an open request.
    pub fn request_id(&self, name: &str) -> Option<RequestId> {
        self.request_ids.get(name).copied()
    }

    /// A handle for a new request.
    pub fn open_request(&mut self, name: &str) -> Result<RequestId, EventError> {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        if self.request_ids.insert(name.into(), id).is_some() {
            return Err(EventError::RequestTwice(name.to_owned()));
        }
        self.requests.insert(
            id,
            OpenRequest {
                name: name.into(),
                attempts_in_flight: 0,
                is_done: false,
            },
        );
        Ok(id)
    }

    /// The name of an open request that an action names.
    pub fn request_name(&self, id: RequestId) -> Result<String, EventError> {
        let request = self.requests.get(&id).ok_or(EventError::EndedRequest)?;
        Ok(request.name.to_string())
    }

    pub fn attempt_started(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.attempts_in_flight += 1;
        }
    }

    pub fn attempt_finished(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.attempts_in_flight = request.attempts_in_flight.saturating_sub(1);
        }
        self.touched.push(id);
    }

    /// The request has its final response, or its client has gone.
    pub fn request_done(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.is_done = true;
        }
        self.touched.push(id);
    }

    /// Forgets the requests that are done and have no attempt in flight.
    pub fn forget_ended_requests(&mut self) {
        for id in self.touched.drain(..) {
            let is_over =
                |request: &OpenRequest| request.is_done && request.attempts_in_flight == 0;
            if self.requests.get(&id).is_some_and(is_over)
                && let Some(request) = self.requests.remove(&id)
            {
                self.request_ids.remove(&request.name);
            }
        }
    }

    /// A load report, whose values come in the order of the settings.
    pub fn load_report(&self, values: Option<&[f64]>) -> Option<LoadReport> {
        let names = self.settings.load_reports.fields.iter().map(String::as_str);
        Some(DeploymentSettings::build_load_report(
            names.zip(values?.iter().copied()),
        ))
    }
}

fn owned(name: Option<&str>) -> String {
    name.unwrap_or_default().to_owned()
}
