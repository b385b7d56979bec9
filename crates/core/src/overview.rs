//! A summary of the state of a dispatcher for operators.

use crate::{Endpoint, JobFunction};
use std::collections::BTreeMap;

/// The state of a dispatcher at one moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Overview {
    /// The requests of each class.
    pub classes: Vec<RequestCounts>,
    /// The requests of each function that has any.
    pub functions: BTreeMap<JobFunction, RequestCounts>,
    /// The endpoints of all sources, by endpoint id; endpoints that are gone are included.
    pub endpoints: Vec<Endpoint>,
    /// Number of unique ids in the idempotency cache, of running requests and cached responses.
    pub unique_ids: usize,
}

/// The requests of a class or function at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// Requests without a final response.
    pub open: usize,
    /// Open requests with an attempt in flight.
    pub in_flight: usize,
}

impl RequestCounts {
    /// Counts one open request.
    pub(crate) fn add(&mut self, has_attempt_in_flight: bool) {
        self.open += 1;
        self.in_flight += usize::from(has_attempt_in_flight);
    }
}
