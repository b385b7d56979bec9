//! Lists of endpoints as discovery words them.

use pumiceway_core::{NextHop, Reach};
use pumiceway_decisions::api::{Micros, WorkerState};
use pumiceway_decisions::settings::Conf;
use serde::Deserialize;
use tracing::warn;

/// A list, or the changes to one, as discovery words it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
pub struct Listing {
    /// Version.
    pub index: u64,
    /// It holds the whole list.
    #[serde(default)]
    pub snapshot: bool,
    /// The lines.
    pub endpoints: Vec<Endpoint>,
}

/// A line of a list.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[allow(missing_docs)] // the protocol words every key
pub struct Endpoint {
    pub name: String,
    #[serde(default)]
    pub address: String,
    pub zone: Option<String>,
    #[serde(rename = "type")]
    pub kind: Option<String>,
    pub group: Option<u64>,
    pub status: Status,
    pub weight: Option<f64>,
    #[serde(default)]
    pub since_ms: u64,
}

impl Endpoint {
    /// One that has been ready for long.
    pub fn ready(name: String, address: String, zone: String) -> Endpoint {
        let (zone, status) = (Some(zone), Status::Ready);
        Endpoint { name, address, zone, kind: None, group: None, status, weight: None, since_ms: 0 }
    }
}

/// What discovery says of a next hop.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum Status {
    Ready,
    Draining,
    Gone,
}

impl Listing {
    /// The lines in the terms of the core. A line that names what the settings do not know can't be used.
    pub fn hops(self, conf: &Conf) -> Vec<NextHop> {
        let known = |e: &Endpoint| {
            (conf.zone(e.zone.as_deref()), conf.kind(e.kind.as_deref()), e.status == Status::Gone)
        };
        let mut left_out: Vec<String> = Vec::new();
        let hops = (self.endpoints.into_iter())
            .filter_map(|e| {
                let (zone, kind) = match known(&e) {
                    (Some(zone), Some(kind), _) => (zone, kind),
                    // What is gone is gone wherever it was.
                    (zone, kind, true) => (zone.unwrap_or_default(), kind.unwrap_or_default()),
                    _ => {
                        left_out.push(e.name);
                        return None;
                    }
                };
                Some(NextHop {
                    name: e.name,
                    reach: Reach::Address(e.address),
                    zone,
                    kind,
                    cell: e.group,
                    state: match e.status {
                        Status::Ready => WorkerState::Ready,
                        Status::Draining => WorkerState::Draining,
                        Status::Gone => WorkerState::Gone,
                    },
                    ready_at: e.since_ms.saturating_mul(1_000) as Micros,
                    size: conf.size(e.weight),
                    warm: false,
                    jobs: None,
                })
            })
            .collect();
        if let Some(hop) = left_out.first() {
            let (hop, lines) = (super::excerpt(hop), left_out.len());
            warn!(hop, lines, "next hops have a zone or type that the settings lack, and are left out");
        }
        hops
    }
}
