//! The watch of a discovery service and the calls that open it.

mod calls;
mod drains;
mod endpoints;
mod messages;
mod moves;
mod support;
mod versions;
