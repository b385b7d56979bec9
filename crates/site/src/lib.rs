//! The site file: the whole configuration of an appliance, in one TOML file with human-readable
//! units.
//!
//! An error names the file, the line and the key, and states which values are valid.
//!
//! ```
//! let text = r#"
//! [listen]
//! http = "127.0.0.1:3000"
//! gearman = "127.0.0.1:4730"
//!
//! [classes.booking-import]
//! repeat = "never"
//! wanted = "1500 ms"
//! deadline = "20 s"
//! "#;
//! let config = pumiceway_site::read(text, "site.toml")?;
//! assert_eq!(config.deployment.classes[0].deadline_us, 20_000_000);
//!
//! let invalid = text.replace("20 s", "20 sacks");
//! let error = pumiceway_site::read(&invalid, "site.toml").unwrap_err().to_string();
//! assert!(error.starts_with("site.toml, line 9: classes.booking-import.deadline: "), "{error}");
//! # Ok::<(), pumiceway_site::SiteError>(())
//! ```

mod convert;
mod error;
mod schema;
mod template;
mod units;

pub use error::SiteError;
pub use template::{Answers, ClassAnswer, template};

use error::Source;
use pumiceway_net::config::{self, Config};
use std::path::Path;

/// Reads a site file.
///
/// # Errors
///
/// The file cannot be read, or is not a valid site file.
pub fn read_file(file: &Path) -> Result<Config, SiteError> {
    let name = file.display().to_string();
    match std::fs::read_to_string(file) {
        Ok(text) => read(&text, &name),
        Err(error) => Err(SiteError {
            file: name,
            line: None,
            key: String::new(),
            reason: format!("{error}; `pumiceway init` creates a site file"),
        }),
    }
}

/// Reads the text of a site file; errors name `file`.
///
/// # Errors
///
/// The text is not a valid site file.
pub fn read(text: &str, file: &str) -> Result<Config, SiteError> {
    let source = Source { text, file };
    let site = config::parse_toml(text).map_err(|error| source.toml_error(error))?;
    convert::config(&source, site)
}
