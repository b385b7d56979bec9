//! Classifies requests that failed before a response was received.
//!
//! The job has not run if there was no connection, if hyper returned the request unwritten, or if
//! no byte of the request was written to the connection. In all other cases it may have run.

use super::attempt::AttemptConnection;
use crate::excerpt::excerpt;
use hyper_util::client::legacy;
use pumiceway_core::AttemptOutcome;
use std::error::Error;
use std::iter;

/// The outcome of an attempt that failed before a response was received.
pub(super) fn outcome(error: &legacy::Error, connection: &AttemptConnection) -> AttemptOutcome {
    let never_ran = error.is_connect()
        || !connection.is_connected()
        || connection.close_if_unwritten()
        || sources(error).any(is_returned_unwritten);
    if connection.missed_write_deadline() {
        // The delay was in this process and says nothing about the endpoint.
        AttemptOutcome::NotSent
    } else if never_ran {
        AttemptOutcome::ConnectFailed
    } else if connection.has_received_response() {
        AttemptOutcome::IdleConnectionReset
    } else {
        AttemptOutcome::Reset
    }
}

/// Formats an error and its sources for the log, which may quote what the endpoint has sent.
pub(super) fn describe(error: &dyn Error) -> String {
    let parts = std::iter::once(error.to_string())
        .chain(sources(error).map(ToString::to_string))
        .map(|part| excerpt(&part));
    parts.collect::<Vec<_>>().join(": ")
}

fn is_returned_unwritten(error: &(dyn Error + 'static)) -> bool {
    error
        .downcast_ref::<hyper::Error>()
        .is_some_and(hyper::Error::is_canceled)
}

fn sources(error: &dyn Error) -> impl Iterator<Item = &(dyn Error + 'static)> {
    iter::successors(error.source(), |&error| error.source())
}
