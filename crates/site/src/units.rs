//! Values in plain units. Each says what would be right when it is not.

use serde::de::{Deserialize, Deserializer, Error};
use std::net::SocketAddr;
use std::time::Duration;

/// A span of time, such as `"500 ms"`, `"20 s"` or `"10 min"`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd)]
pub struct Time(pub Duration);

impl Time {
    /// In microseconds, the unit of the decisions.
    pub fn micros(self) -> u64 {
        u64::try_from(self.0.as_micros()).unwrap_or(u64::MAX)
    }
}

impl<'de> Deserialize<'de> for Time {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Time, D::Error> {
        read(
            from,
            r#"a time has a number and a unit, such as "500 ms", "20 s" or "10 min""#,
            |text| humantime::parse_duration(text).ok().map(Time),
        )
    }
}

/// A number of bytes, such as `"64 KiB"` or `"16 MiB"`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd)]
pub struct Bytes(pub u64);

impl<'de> Deserialize<'de> for Bytes {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Bytes, D::Error> {
        read(
            from,
            r#"a size has a number and a unit, such as "64 KiB" or "16 MiB""#,
            |text| {
                // Prevents: a size without a unit passes as one of that many bytes.
                let unit = text.ends_with(|c: char| c.is_ascii_alphabetic());
                text.parse::<bytesize::ByteSize>()
                    .ok()
                    .filter(|_| unit)
                    .map(|size| Bytes(size.as_u64()))
            },
        )
    }
}

/// An address to listen at or to connect to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Address(pub SocketAddr);

impl<'de> Deserialize<'de> for Address {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Address, D::Error> {
        read(
            from,
            r#"an address has numbers and a port, such as "127.0.0.1:3000""#,
            |text| text.parse().ok().map(Address),
        )
    }
}

/// Reads a value that is written as text; `right` says what it looks like.
fn read<'de, D: Deserializer<'de>, T>(
    from: D,
    right: &str,
    parse: impl Fn(&str) -> Option<T>,
) -> Result<T, D::Error> {
    let value = toml::Value::deserialize(from)?;
    let read = value.as_str().and_then(parse);
    read.ok_or_else(|| D::Error::custom(format_args!("{value}: {right}")))
}
