//! Endpoint lists in the format of the discovery service.

/// A line of a list: an endpoint at this port of loopback.
pub fn endpoint_line(name: &str, port: u16, status: &str) -> String {
    format!(
        r#"{{"name":"{name}","address":"127.0.0.1:{port}","zone":"z","type":"k","status":"{status}"}}"#
    )
}

/// A list of these lines, which is whole (a snapshot) or the changes to one (a delta).
pub fn listing(version: u64, is_snapshot: bool, lines: &[String]) -> String {
    format!(
        r#"{{"index":{version},"snapshot":{is_snapshot},"endpoints":[{}]}}"#,
        lines.join(",")
    )
}
