//! Endpoint lists in the wire format of discovery.

use crate::excerpt::excerpt;
use pumiceway_core::{Endpoint, EndpointAddress};
use pumiceway_decisions::api::{EndpointState, FunctionSet, Timestamp};
use pumiceway_decisions::settings::DeploymentSettings;
use serde::Deserialize;
use tracing::warn;

/// Maximum length of the name or the address of an endpoint, in bytes.
const MAX_NAME_BYTES: usize = 256;

/// A message of discovery: a snapshot of the endpoint list, or a delta to it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
pub struct ListMessage {
    /// Version of the list.
    #[serde(rename = "index")]
    pub version: u64,
    /// Whether the message is a snapshot.
    #[serde(default)]
    pub snapshot: bool,
    /// The endpoints of the snapshot or delta.
    pub endpoints: Vec<ListedEndpoint>,
}

/// An endpoint as discovery lists it.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct ListedEndpoint {
    /// Name of the endpoint.
    pub name: String,
    /// Its address, as `host:port`.
    #[serde(default)]
    pub address: String,
    /// Name of its zone.
    pub zone: Option<String>,
    /// Name of its machine kind.
    #[serde(rename = "type")]
    pub kind: Option<String>,
    /// Its cell.
    #[serde(rename = "group")]
    pub cell: Option<u64>,
    /// Its state.
    #[serde(rename = "status")]
    pub state: ListedState,
    /// Its weight; the deployment settings define the meaning.
    pub weight: Option<f64>,
    /// When its process started, in milliseconds since the Unix epoch; 0 if that was long ago.
    #[serde(default, rename = "since_ms")]
    pub started_at_ms: u64,
}

impl ListedEndpoint {
    /// Creates an endpoint that is ready and whose process started long ago.
    pub fn ready(name: String, address: String, zone: String) -> ListedEndpoint {
        ListedEndpoint {
            name,
            address,
            zone: Some(zone),
            kind: None,
            cell: None,
            state: ListedState::Ready,
            weight: None,
            started_at_ms: 0,
        }
    }
}

/// State of an endpoint as discovery lists it.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// The endpoint accepts requests.
    Ready,
    /// The endpoint finishes its requests and must not be sent new ones.
    Draining,
    /// The endpoint has been removed.
    Gone,
}

impl ListMessage {
    /// Converts the endpoints to those of the core. Endpoints whose zone or kind the settings do
    /// not define, or whose name or address is too long, are skipped.
    pub fn endpoints(mut self, settings: &DeploymentSettings) -> Vec<Endpoint> {
        let listed = self.endpoints.len();
        self.endpoints.retain(|endpoint| !endpoint.is_too_long());
        let too_long = listed - self.endpoints.len();
        if too_long > 0 {
            warn!(
                count = too_long,
                "endpoints were left out: their name or address is too long"
            );
        }
        let mut skipped = Vec::new();
        let mut endpoints = Vec::with_capacity(self.endpoints.len());
        for listed in self.endpoints {
            match listed.endpoint(settings) {
                Ok(endpoint) => endpoints.push(endpoint),
                Err(name) => skipped.push(name),
            }
        }
        if let Some(first) = skipped.first() {
            let (endpoint, count) = (excerpt(first), skipped.len());
            warn!(
                endpoint,
                count, "endpoints were left out: the settings lack their zone or type"
            );
        }
        endpoints
    }
}

impl ListedEndpoint {
    fn is_too_long(&self) -> bool {
        self.name.len().max(self.address.len()) > MAX_NAME_BYTES
    }

    /// Converts the endpoint to that of the core; returns its name as the error if the settings do
    /// not define its zone or kind.
    fn endpoint(self, settings: &DeploymentSettings) -> Result<Endpoint, String> {
        let zone = settings.zone_id(self.zone.as_deref());
        let kind = settings.kind_id(self.kind.as_deref());
        let (zone, kind) = match (zone, kind) {
            (Some(zone), Some(kind)) => (zone, kind),
            // The removal of an endpoint applies whatever its zone or kind.
            (zone, kind) if self.state == ListedState::Gone => {
                (zone.unwrap_or_default(), kind.unwrap_or_default())
            }
            _ => return Err(self.name),
        };
        Ok(Endpoint {
            name: self.name,
            address: EndpointAddress::Network(self.address),
            zone,
            kind,
            functions: FunctionSet::default(),
            cell: self.cell,
            state: match self.state {
                ListedState::Ready => EndpointState::Ready,
                ListedState::Draining => EndpointState::Draining,
                ListedState::Gone => EndpointState::Gone,
            },
            started_at: Timestamp::from_micros(self.started_at_ms.saturating_mul(1_000)),
            relative_size: settings.relative_size(self.weight),
            skips_slow_start: false,
            max_concurrent: None,
        })
    }
}
