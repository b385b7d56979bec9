//! A summary of the state of a dispatcher for operators.

use crate::Endpoint;

/// The state of a dispatcher at one moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Overview {
    /// The requests of each class.
    pub classes: Vec<ClassOverview>,
    /// The endpoints of all sources, by endpoint id; endpoints that are gone are included.
    pub endpoints: Vec<Endpoint>,
    /// Number of unique ids in the idempotency cache, of running requests and cached responses.
    pub unique_ids: usize,
}

/// The requests of a class at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassOverview {
    /// Requests without a final response.
    pub open: usize,
    /// Open requests with an attempt in flight.
    pub in_flight: usize,
}
