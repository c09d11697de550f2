//! Command failures and their exit codes.

use std::process::ExitCode;

use foxtailhoist_model::Refusal;
use thiserror::Error;

/// Exit codes, as listed by `--help`.
pub const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  refused, or the command failed
  2  the command line is not understood
  3  settings or a configuration are not valid
  4  no entry host or address could be reached";

/// Reason for which a command was not carried out.
#[derive(Debug, Error)]
pub enum Failure {
    #[error("{0}\nRun `foxtailhoist --help` for the commands and flags.")]
    Usage(String),
    #[error("{0}")]
    Settings(String),
    #[error("refused ({kind}): {message}", kind = .0.kind, message = .0.message)]
    Refused(Box<Refusal>),
    #[error("{0}")]
    Unreachable(String),
    #[error("{0}")]
    Failed(String),
}

impl Failure {
    /// Exit code of the process.
    #[must_use]
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Failure::Refused(_) | Failure::Failed(_) => ExitCode::from(1),
            Failure::Usage(_) => ExitCode::from(2),
            Failure::Settings(_) => ExitCode::from(3),
            Failure::Unreachable(_) => ExitCode::from(4),
        }
    }
}
