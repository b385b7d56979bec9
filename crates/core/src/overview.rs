//! The state of a dispatcher, for its operators.

use crate::Endpoint;

/// The state of a dispatcher at one moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Overview {
    /// For each class.
    pub classes: Vec<ClassOverview>,
    /// The endpoint list, by handle.
    pub endpoints: Vec<Endpoint>,
    /// Unique ids that are known: of requests that run, and of cached responses.
    pub unique_ids: usize,
}

/// The requests of a class at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassOverview {
    /// Requests without a final response.
    pub open: usize,
    /// Those of them with an attempt in flight.
    pub in_flight: usize,
}
