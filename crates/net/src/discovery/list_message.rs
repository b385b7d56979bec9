//! Endpoint lists in the form in which discovery sends them.

use super::excerpt;
use pumiceway_core::{Endpoint, EndpointAddress};
use pumiceway_decisions::api::{EndpointState, Timestamp};
use pumiceway_decisions::settings::DeploymentSettings;
use serde::Deserialize;
use tracing::warn;

/// A list, or the changes to one, as discovery sends it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
pub struct ListMessage {
    /// Version of the list.
    #[serde(rename = "index")]
    pub version: u64,
    /// The message holds the whole list.
    #[serde(default)]
    pub snapshot: bool,
    /// The endpoints.
    pub endpoints: Vec<ListedEndpoint>,
}

/// An endpoint of a list.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct ListedEndpoint {
    /// Its name.
    pub name: String,
    /// Its `host:port`.
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
    /// Its weight; the settings say what that means.
    pub weight: Option<f64>,
    /// When its process started, in milliseconds since the Unix epoch; 0 for long ago.
    #[serde(default, rename = "since_ms")]
    pub started_at_ms: u64,
}

impl ListedEndpoint {
    /// An endpoint that has long been ready.
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

/// State of an endpoint of a list.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// Accepts requests.
    Ready,
    /// Finishes what it has.
    Draining,
    /// Removed.
    Gone,
}

impl ListMessage {
    /// The endpoints in the terms of the core. One whose zone or kind the settings do not know is
    /// left out.
    pub fn endpoints(self, settings: &DeploymentSettings) -> Vec<Endpoint> {
        let mut left_out = Vec::new();
        let mut endpoints = Vec::with_capacity(self.endpoints.len());
        for listed in self.endpoints {
            match listed.endpoint(settings) {
                Ok(endpoint) => endpoints.push(endpoint),
                Err(name) => left_out.push(name),
            }
        }
        if let Some(first) = left_out.first() {
            let (endpoint, count) = (excerpt(first), left_out.len());
            warn!(
                endpoint,
                count, "endpoints were left out: the settings lack their zone or type"
            );
        }
        endpoints
    }
}

impl ListedEndpoint {
    /// The endpoint in the terms of the core; its name where the settings lack its zone or kind.
    fn endpoint(self, settings: &DeploymentSettings) -> Result<Endpoint, String> {
        let zone = settings.zone_id(self.zone.as_deref());
        let kind = settings.kind_id(self.kind.as_deref());
        let (zone, kind) = match (zone, kind) {
            (Some(zone), Some(kind)) => (zone, kind),
            // What is gone is gone wherever it was.
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
