//! Values with human-readable units. Their errors state the expected form.

use serde::de::{Deserialize, Deserializer, Error};
use std::net::SocketAddr;
use std::time::Duration;

/// A duration, such as `"500 ms"`, `"20 s"` or `"10 min"`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd)]
pub(crate) struct HumanDuration(pub(crate) Duration);

impl HumanDuration {
    /// The duration in microseconds, as in the deployment settings.
    pub(crate) fn as_micros(self) -> u64 {
        u64::try_from(self.0.as_micros()).unwrap_or(u64::MAX)
    }
}

impl<'de> Deserialize<'de> for HumanDuration {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<HumanDuration, D::Error> {
        deserialize_text(
            deserializer,
            r#"a time has a number and a unit, such as "500 ms", "20 s" or "10 min""#,
            |text| humantime::parse_duration(text).ok().map(HumanDuration),
        )
    }
}

/// A number of bytes, such as `"64 KiB"` or `"16 MiB"`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd)]
pub(crate) struct ByteSize(pub(crate) u64);

impl ByteSize {
    fn parse(text: &str) -> Option<ByteSize> {
        // Rejected here, since `bytesize` reads a number without a unit as bytes.
        if !text.ends_with(|last: char| last.is_ascii_alphabetic()) {
            return None;
        }
        let size: bytesize::ByteSize = text.parse().ok()?;
        Some(ByteSize(size.as_u64()))
    }
}

impl<'de> Deserialize<'de> for ByteSize {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<ByteSize, D::Error> {
        deserialize_text(
            deserializer,
            r#"a size has a number and a unit, such as "64 KiB" or "16 MiB""#,
            ByteSize::parse,
        )
    }
}

/// An address to listen on or to connect to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Address(pub(crate) SocketAddr);

impl<'de> Deserialize<'de> for Address {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Address, D::Error> {
        deserialize_text(
            deserializer,
            r#"an address has numbers and a port, such as "127.0.0.1:3000""#,
            |text| text.parse().ok().map(Address),
        )
    }
}

/// Parses a value that is written as a string. The error quotes the value and states the expected
/// form.
fn deserialize_text<'de, D: Deserializer<'de>, T>(
    deserializer: D,
    expected: &str,
    parse: impl Fn(&str) -> Option<T>,
) -> Result<T, D::Error> {
    let value = toml::Value::deserialize(deserializer)?;
    let parsed = value.as_str().and_then(parse);
    parsed.ok_or_else(|| D::Error::custom(format_args!("{value}: {expected}")))
}
