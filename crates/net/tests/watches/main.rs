//! How a watch of discovery, and the calls for it, go on and end.

mod calls;
mod drains;
mod endpoints;
mod messages;
mod moves;
mod support;
mod versions;
