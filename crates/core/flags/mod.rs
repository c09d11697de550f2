//! Command-line parsing, in two steps.
//!
//! [`Flags`] holds the arguments as text; [`Command`] is built from it and holds validated values, so that no command
//! has to handle a missing or malformed flag.

mod command;
mod defs;
mod help;

pub use command::Command;
pub use command::ConfigCommand;
pub use command::MeasureFlags;
pub use command::Measurement;
pub use command::OperatorFlags;
pub use command::PresetCommand;
pub use command::ReportFormat;
pub use command::VersionCommand;

use std::collections::BTreeMap;

use crate::failure::Failure;

/// Command-line arguments as text.
#[derive(Clone, Debug, Default)]
pub struct Flags {
    /// Positional arguments, the command first.
    pub positional: Vec<String>,
    /// Values of the flags that were given; an empty string for a switch.
    values: BTreeMap<&'static str, String>,
}

impl Flags {
    /// Parses the arguments.
    ///
    /// # Errors
    ///
    /// Fails on an unknown flag, a flag without its value or a flag that is given twice.
    pub fn parse(args: impl Iterator<Item = String>) -> Result<Flags, Failure> {
        let mut options = getopts::Options::new();
        for def in defs::FLAGS {
            def.register(&mut options);
        }
        let args: Vec<String> = args.collect();
        let matches = options.parse(&args).map_err(|e| Failure::Usage(e.to_string()))?;
        let mut values = BTreeMap::new();
        for def in defs::FLAGS {
            if matches.opt_present(def.long) {
                values.insert(def.long, matches.opt_str(def.long).unwrap_or_default());
            }
        }
        Ok(Flags { positional: matches.free, values })
    }

    /// Value of a flag.
    #[must_use]
    pub fn value(&self, long: &str) -> Option<&str> {
        self.values.get(long).map(String::as_str)
    }

    /// Whether a switch was given.
    #[must_use]
    pub fn is_set(&self, long: &str) -> bool {
        self.values.contains_key(long)
    }

    /// Value of a numeric flag, or `default` if it was not given.
    ///
    /// # Errors
    ///
    /// Fails on a value that is not a whole number.
    pub fn number(&self, long: &str, default: u64) -> Result<u64, Failure> {
        let Some(text) = self.value(long) else {
            return Ok(default);
        };
        text.parse()
            .map_err(|_| Failure::Usage(format!("--{long} takes a whole number, not '{text}'")))
    }
}
