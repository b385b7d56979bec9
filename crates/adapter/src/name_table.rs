//! Maps the names of endpoints and requests on the wire to the ids that the balancer uses.

use crate::error::EventError;
use crate::wire;
use pumiceway_decisions::api::{
    EndpointEntry, EndpointId, EndpointState, FunctionSet, LoadReport, RequestId, Timestamp,
};
use pumiceway_decisions::settings::DeploymentSettings;
use std::collections::HashMap;

/// The names that one instance knows, and their ids.
pub struct NameTable {
    settings: DeploymentSettings,
    endpoint_ids: HashMap<Box<str>, EndpointId>,
    /// The name of each endpoint; the index is its id.
    endpoint_names: Vec<Box<str>>,
    request_ids: HashMap<Box<str>, RequestId>,
    open_requests: HashMap<RequestId, OpenRequest>,
    next_request: u64,
    /// Requests that may have ended since the last [`NameTable::remove_ended_requests`].
    possibly_ended: Vec<RequestId>,
}

/// A request that events or actions may still refer to.
struct OpenRequest {
    name: Box<str>,
    attempts_in_flight: usize,
    /// Whether the request has its final response, or its client has disconnected.
    is_done: bool,
}

impl NameTable {
    pub fn new(settings: DeploymentSettings) -> NameTable {
        NameTable {
            settings,
            endpoint_ids: HashMap::new(),
            endpoint_names: Vec::new(),
            request_ids: HashMap::new(),
            open_requests: HashMap::new(),
            next_request: 0,
            possibly_ended: Vec::new(),
        }
    }

    pub fn settings(&self) -> &DeploymentSettings {
        &self.settings
    }

    /// Converts an entry of an endpoint list. An endpoint with a new name gets a new id.
    pub fn endpoint_entry<'a>(
        &mut self,
        entry: &'a wire::EndpointEntry,
    ) -> Result<EndpointEntry<'a>, EventError> {
        let zone = self.settings.zone_id(entry.zone.as_deref());
        let kind = self.settings.kind_id(entry.kind.as_deref());
        Ok(EndpointEntry {
            endpoint: self.intern_endpoint(&entry.name),
            name: &entry.name,
            zone: zone
                .ok_or_else(|| EventError::UnknownZone(name_or_empty(entry.zone.as_deref())))?,
            kind: kind
                .ok_or_else(|| EventError::UnknownKind(name_or_empty(entry.kind.as_deref())))?,
            functions: FunctionSet::empty(),
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

    /// The id of the endpoint with this name; assigns one if the name is new.
    fn intern_endpoint(&mut self, name: &str) -> EndpointId {
        if let Some(&id) = self.endpoint_ids.get(name) {
            return id;
        }
        let id = EndpointId(self.endpoint_names.len() as u32);
        self.endpoint_names.push(name.into());
        self.endpoint_ids.insert(name.into(), id);
        id
    }

    pub fn endpoint_id(&self, name: &str) -> Result<EndpointId, EventError> {
        let id = self.endpoint_ids.get(name).copied();
        id.ok_or_else(|| EventError::UnknownEndpoint(name.to_owned()))
    }

    pub fn endpoint_name(&self, id: EndpointId) -> String {
        self.endpoint_names[id.index()].to_string()
    }

    /// The id of an open request.
    pub fn request_id(&self, name: &str) -> Option<RequestId> {
        self.request_ids.get(name).copied()
    }

    /// Adds a new request and assigns its id.
    pub fn add_request(&mut self, name: &str) -> Result<RequestId, EventError> {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        if self.request_ids.insert(name.into(), id).is_some() {
            return Err(EventError::DuplicateRequest(name.to_owned()));
        }
        self.open_requests.insert(
            id,
            OpenRequest {
                name: name.into(),
                attempts_in_flight: 0,
                is_done: false,
            },
        );
        Ok(id)
    }

    /// The name of the open request that an action refers to.
    pub fn request_name(&self, id: RequestId) -> Result<String, EventError> {
        let request = self
            .open_requests
            .get(&id)
            .ok_or(EventError::EndedRequest)?;
        Ok(request.name.to_string())
    }

    pub fn attempt_started(&mut self, id: RequestId) {
        if let Some(request) = self.open_requests.get_mut(&id) {
            request.attempts_in_flight += 1;
        }
    }

    pub fn attempt_finished(&mut self, id: RequestId) {
        if let Some(request) = self.open_requests.get_mut(&id) {
            request.attempts_in_flight = request.attempts_in_flight.saturating_sub(1);
        }
        self.possibly_ended.push(id);
    }

    /// Records that the request has its final response, or that its client has disconnected.
    pub fn request_done(&mut self, id: RequestId) {
        if let Some(request) = self.open_requests.get_mut(&id) {
            request.is_done = true;
        }
        self.possibly_ended.push(id);
    }

    /// Removes the requests that are done and have no attempt in flight.
    pub fn remove_ended_requests(&mut self) {
        for id in self.possibly_ended.drain(..) {
            let has_ended =
                |request: &OpenRequest| request.is_done && request.attempts_in_flight == 0;
            if self.open_requests.get(&id).is_some_and(has_ended)
                && let Some(request) = self.open_requests.remove(&id)
            {
                self.request_ids.remove(&request.name);
            }
        }
    }

    /// Builds a load report from its values, which have the order of the fields in the settings.
    pub fn load_report(&self, values: Option<&[f64]>) -> Option<LoadReport> {
        let names = self.settings.load_reports.fields.iter().map(String::as_str);
        Some(DeploymentSettings::build_load_report(
            names.zip(values?.iter().copied()),
        ))
    }
}

fn name_or_empty(name: Option<&str>) -> String {
    name.unwrap_or_default().to_owned()
}
