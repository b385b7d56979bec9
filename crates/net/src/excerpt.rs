//! Excerpts of remote texts, which may be megabytes long, for the log.

/// Maximum length of a remote text in a log line, in characters.
const EXCERPT_CHARS: usize = 200;

/// The beginning of a text.
pub(crate) fn excerpt(text: &str) -> String {
    text.chars().take(EXCERPT_CHARS).collect()
}
