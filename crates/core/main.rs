//! The `foxtailhoist` binary: reads the command line and runs one command.

mod client;
mod commands;
mod failure;
mod flags;
mod logging;

use std::process::ExitCode;

use crate::failure::Failure;
use crate::flags::Command;
use crate::flags::Flags;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("foxtailhoist: {failure}");
            failure.exit_code()
        }
    }
}

fn run() -> Result<(), Failure> {
    let flags = Flags::parse(std::env::args().skip(1))?;
    let command = Command::from_flags(flags)?;
    commands::run(command)
}
