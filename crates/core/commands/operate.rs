//! Operator commands. Each is sent as one request to an entry host.

use std::path::Path;

use foxtailhoist_host::operator::OperatorCommand;
use foxtailhoist_model::Configuration;

use crate::client;
use crate::commands::print;
use crate::failure::Failure;
use crate::flags::ConfigCommand;
use crate::flags::OperatorFlags;
use crate::flags::PresetCommand;
use crate::flags::VersionCommand;

/// Runs `status`.
pub async fn status(flags: OperatorFlags) -> Result<(), Failure> {
    send(&flags, OperatorCommand::Status).await
}

/// Runs `usage`.
pub async fn usage(flags: OperatorFlags) -> Result<(), Failure> {
    send(&flags, OperatorCommand::Usage).await
}

/// Runs `preset list | show | switch`.
pub async fn preset(flags: OperatorFlags, command: PresetCommand) -> Result<(), Failure> {
    let request = match command {
        PresetCommand::List => OperatorCommand::PresetList,
        PresetCommand::Show { preset } => OperatorCommand::PresetShow { preset },
        PresetCommand::Switch { preset, why } => {
            OperatorCommand::PresetSwitch { operator: unset_operator(), preset, why }
        }
    };
    send(&flags, request).await
}

/// Runs `config propose | diff | approve | apply | log`.
pub async fn config(flags: OperatorFlags, command: ConfigCommand) -> Result<(), Failure> {
    let request = match command {
        ConfigCommand::Propose { file, why } => {
            let configuration = Box::new(read_configuration(&file)?);
            OperatorCommand::ConfigPropose { operator: unset_operator(), why, configuration }
        }
        ConfigCommand::Diff { proposal } => OperatorCommand::ConfigDiff { proposal },
        ConfigCommand::Approve { proposal } => {
            OperatorCommand::ConfigApprove { operator: unset_operator(), proposal }
        }
        ConfigCommand::Apply { proposal } => {
            OperatorCommand::ConfigApply { operator: unset_operator(), proposal }
        }
        ConfigCommand::Log { limit } => OperatorCommand::ConfigLog { limit },
    };
    send(&flags, request).await
}

/// Runs `version list | rollout | withdraw | veto | clear`.
pub async fn version(flags: OperatorFlags, command: VersionCommand) -> Result<(), Failure> {
    let operator = unset_operator();
    let request = match command {
        VersionCommand::List => OperatorCommand::VersionList,
        VersionCommand::Rollout { model_version, why } => {
            OperatorCommand::VersionRollout { operator, model_version, why }
        }
        VersionCommand::Withdraw { model_version, why } => {
            OperatorCommand::VersionWithdraw { operator, model_version, why }
        }
        VersionCommand::Veto { model_version, why } => {
            OperatorCommand::VersionVeto { operator, model_version, why }
        }
        VersionCommand::Clear { model_version, why } => {
            OperatorCommand::VersionClear { operator, model_version, why }
        }
    };
    send(&flags, request).await
}

/// Reads and validates a configuration file.
///
/// # Errors
///
/// Returns all errors with their file, line and field.
pub fn read_configuration(file: &Path) -> Result<Configuration, Failure> {
    foxtailhoist_settings::load_configuration(file).map_err(|e| Failure::Settings(e.to_string()))
}

/// Empty operator name, which the entry host replaces by the owner of the key that authenticates the request.
fn unset_operator() -> String {
    String::new()
}

async fn send(flags: &OperatorFlags, request: OperatorCommand) -> Result<(), Failure> {
    let reply = client::send(flags, &request).await?;
    print::reply(&reply, flags.json)
}
