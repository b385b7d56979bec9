//! Names of the HTTP headers in requests to endpoints and in their responses.

/// The client's id of the request.
pub(super) const REQUEST_ID: &str = "x-txn";
/// Remaining time of the request, in milliseconds.
pub(super) const REMAINING_MS: &str = "x-remaining-ms";
/// Lets an endpoint recognise repeats of a job.
pub(super) const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Set by an endpoint that rejected the request without running its job.
pub(super) const REJECTED: &str = "x-turned-away";
/// The endpoint's load report.
pub(super) const LOAD_REPORT: &str = "x-pressure";
