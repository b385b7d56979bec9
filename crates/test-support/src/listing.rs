//! Endpoint lists in the format of the discovery service.

/// An entry of a list: an endpoint on this port of the loopback address.
pub fn endpoint_line(name: &str, port: u16, status: &str) -> String {
    format!(
        r#"{{"name":"{name}","address":"127.0.0.1:{port}","zone":"z","type":"k","status":"{status}"}}"#
    )
}

/// A list with these entries, either a snapshot or a delta.
pub fn listing(version: u64, is_snapshot: bool, lines: &[String]) -> String {
    format!(
        r#"{{"index":{version},"snapshot":{is_snapshot},"endpoints":[{}]}}"#,
        lines.join(",")
    )
}
