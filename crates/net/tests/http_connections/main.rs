//! Tests of how client connections of the HTTP frontend end, on loopback. Each test takes the place
//! of the core, so that it controls the order of events, and advances the frontend's clock.

mod client_disconnects;
mod final_responses;
mod response_bytes;
mod shutdown;
mod sockets;
mod test_frontend;
