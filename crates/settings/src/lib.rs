//! Reads and checks settings and the operators' configuration, written in YAML.
//!
//! There are two kinds of file: the settings of a process ([`load_settings`]) and the operators' configuration
//! ([`load_configuration`]). An invalid file is rejected as a whole. Every fault states its file, line and field, what
//! was found and what was expected:
//!
//! ```
//! use foxtailhoist_settings::parse_configuration;
//!
//! let faults = parse_configuration("presets.yaml", "preset: peak\nworkspace: {}\n").unwrap_err();
//! assert_eq!(faults.faults[0].line, 2);
//! assert_eq!(faults.faults[0].field, "workspace");
//! ```

mod configuration;
mod duration;
mod fault;
mod process;
mod process_checks;
mod raw;
mod read;
mod secret;
mod source;
mod tree;

pub use configuration::check_configuration;
pub use configuration::load_configuration;
pub use configuration::parse_configuration;
pub use fault::Fault;
pub use fault::Faults;
pub use fault::FieldFault;
pub use process::Keys;
pub use process::Listen;
pub use process::PlatformAddresses;
pub use process::RequestLimits;
pub use process::Settings;
pub use process::Timeouts;
pub use process::Tls;
pub use process::load_settings;
pub use process::parse_settings;
pub use secret::Secret;
pub use tree::FieldPath;
