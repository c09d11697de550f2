//! Implementation of the commands, one module per kind.

mod check;
mod dev;
mod explain;
mod measure;
mod measure_path;
mod operate;
mod print;
mod relay;
mod report;
mod scenario;
mod serve;
mod signal;

use tokio::runtime::Runtime;

use crate::commands::dev::DevOptions;
use crate::failure::Failure;
use crate::flags::Command;
use crate::logging;

/// Log specification of `dev`, which has no settings file to read it from.
const DEV_LOG: &str = "info";
/// Log specification of `measure`, which has no settings file either.
const MEASURE_LOG: &str = "error";

/// Runs a command to completion.
///
/// # Errors
///
/// Returns the reason for which the command was refused or failed.
pub fn run(command: Command) -> Result<(), Failure> {
    match command {
        Command::Help(page) => print!("{page}"),
        Command::Version => println!("foxtailhoist {}", env!("CARGO_PKG_VERSION")),
        Command::Dev { configuration, hosts, port, seed } => {
            let _logger = logging::start(DEV_LOG)?;
            block_on(dev::dev(DevOptions { configuration, hosts, port, seed }))?;
        }
        Command::Status(flags) => block_on(operate::status(flags))?,
        Command::Preset(flags, command) => block_on(operate::preset(flags, command))?,
        Command::Config(flags, command) => block_on(operate::config(flags, command))?,
        Command::Versions(flags, command) => block_on(operate::version(flags, command))?,
        Command::Usage(flags) => block_on(operate::usage(flags))?,
        Command::Measure(measurement, flags) => {
            let _logger = logging::start(MEASURE_LOG)?;
            measure::measure(measurement, flags)?;
        }
        Command::Serve { settings } => block_on(serve::serve(&settings))?,
        Command::Explain { request, logs } => explain::explain(&request, &logs)?,
        Command::Relay { settings } => relay::relay(&settings)?,
        Command::Check { settings, relay, configuration } => {
            check::check(settings.as_deref(), relay.as_deref(), configuration.as_deref())?
        }
        Command::ReportBurn(flags, format) => block_on(report::burn(flags, format))?,
        Command::Scenario { file } => scenario::scenario(&file)?,
    }
    Ok(())
}

fn block_on(work: impl Future<Output = Result<(), Failure>>) -> Result<(), Failure> {
    let runtime = Runtime::new()
        .map_err(|e| Failure::Failed(format!("cannot start the async runtime: {e}")))?;
    runtime.block_on(work)
}
