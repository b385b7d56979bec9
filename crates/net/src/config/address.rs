//! Validation of network addresses. Host names are kept as text until they are resolved.

use super::ConfigError;
use std::net::SocketAddr;

/// Parses the address in the value of `key`.
///
/// # Errors
///
/// Returns an error that names `key` if the text is not an IP address with a port.
pub fn parse_address(key: &str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| {
        ConfigError::key(
            key,
            format!("{text:?} is not an address like 127.0.0.1:3000"),
        )
    })
}

/// Returns whether the text ends with a colon and a port. The host is not checked.
pub(super) fn is_host_and_port(text: &str) -> bool {
    text.rsplit_once(':')
        .is_some_and(|(_, port)| port.parse::<u16>().is_ok())
}
