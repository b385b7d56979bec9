//! Checks of network addresses, which are kept as text until they are resolved.

use super::ConfigError;
use std::net::SocketAddr;

/// Parses the address that is written under a key.
///
/// # Errors
///
/// The text is not an IP address with a port.
pub fn parse_address(key: &str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| {
        ConfigError::key(
            key,
            format!("{text:?} is not an address like 127.0.0.1:3000"),
        )
    })
}

/// Whether the text ends in a colon and a port. The host may be a name.
pub(super) fn is_host_and_port(text: &str) -> bool {
    text.rsplit_once(':')
        .is_some_and(|(_, port)| port.parse::<u16>().is_ok())
}
