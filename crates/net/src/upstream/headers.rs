//! Names of the headers of requests to endpoints, and of their responses.

/// The id that the client gave its request.
pub(super) const REQUEST_ID: &str = "x-txn";
/// How long the response will be waited for, in milliseconds.
pub(super) const REMAINING_MS: &str = "x-remaining-ms";
/// By this an endpoint recognises a job that is sent again.
pub(super) const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The endpoint rejected the request, and has not run its job.
pub(super) const REJECTED: &str = "x-turned-away";
/// A load report.
pub(super) const LOAD_REPORT: &str = "x-pressure";
