//! Parses the load reports of endpoints: from a header, from the final line of a response, or from
//! the response to a health check.
//!
//! A load report is `name=value,name=value` or a JSON object. Values that are not numbers are
//! skipped. A text of the first form without a single number is not a load report.

use super::headers;
use hyper::Response;
use pumiceway_decisions::api::LoadReport;
use pumiceway_decisions::settings::DeploymentSettings;

/// A JSON object.
pub(super) type JsonObject = serde_json::Map<String, serde_json::Value>;

/// Parses the load report in the headers of a response.
pub(super) fn from_headers<B>(response: &Response<B>) -> Option<LoadReport> {
    parse(response.headers().get(headers::LOAD_REPORT)?.as_bytes())
}

/// Parses a load report in either form.
pub(super) fn parse(text: &[u8]) -> Option<LoadReport> {
    let text = std::str::from_utf8(text).ok()?.trim();
    if text.starts_with('{') {
        return Some(from_json(&serde_json::from_str(text).ok()?));
    }
    let values: Vec<(&str, f64)> = text.split(',').filter_map(parse_pair).collect();
    if values.is_empty() {
        return None;
    }
    Some(DeploymentSettings::build_load_report(values.into_iter()))
}

/// Converts a JSON object to a load report.
pub(super) fn from_json(object: &JsonObject) -> LoadReport {
    let numbers = object
        .iter()
        .filter_map(|(name, value)| Some((name.as_str(), value.as_f64()?)));
    DeploymentSettings::build_load_report(numbers)
}

fn parse_pair(pair: &str) -> Option<(&str, f64)> {
    let (name, value) = pair.split_once('=')?;
    Some((name.trim(), value.trim().parse().ok()?))
}
