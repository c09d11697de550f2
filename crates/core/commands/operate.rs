//! Operators' commands: each is one message to an entry host.

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

/// `status`
pub async fn status(flags: OperatorFlags) -> Result<(), Failure> {
    send(&flags, OperatorCommand::Status).await
}

/// `usage`
pub async fn usage(flags: OperatorFlags) -> Result<(), Failure> {
    send(&flags, OperatorCommand::Usage).await
}

/// `preset list | show | switch`
pub async fn preset(flags: OperatorFlags, command: PresetCommand) -> Result<(), Failure> {
    let order = match command {
        PresetCommand::List => OperatorCommand::PresetList,
        PresetCommand::Show { preset } => OperatorCommand::PresetShow { preset },
        PresetCommand::Switch { preset, why } => {
            OperatorCommand::PresetSwitch { operator: by_key(), preset, why }
        }
    };
    send(&flags, order).await
}

/// `config propose | diff | approve | apply | log`
pub async fn config(flags: OperatorFlags, command: ConfigCommand) -> Result<(), Failure> {
    let order = match command {
        ConfigCommand::Propose { file, why } => {
            let configuration = Box::new(read_configuration(&file)?);
            OperatorCommand::ConfigPropose { operator: by_key(), why, configuration }
        }
        ConfigCommand::Diff { proposal } => OperatorCommand::ConfigDiff { proposal },
        ConfigCommand::Approve { proposal } => {
            OperatorCommand::ConfigApprove { operator: by_key(), proposal }
        }
        ConfigCommand::Apply { proposal } => {
            OperatorCommand::ConfigApply { operator: by_key(), proposal }
        }
        ConfigCommand::Log { limit } => OperatorCommand::ConfigLog { limit },
    };
    send(&flags, order).await
}

/// `version list | rollout | withdraw | veto | clear`
pub async fn version(flags: OperatorFlags, command: VersionCommand) -> Result<(), Failure> {
    let operator = by_key();
    let order = match command {
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
    send(&flags, order).await
}

/// Reads and checks a configuration file.
///
/// # Errors
///
/// Returns every fault with its file, line and field.
pub fn read_configuration(file: &Path) -> Result<Configuration, Failure> {
    foxtailhoist_settings::load_configuration(file)
        .map_err(|faults| Failure::Settings(faults.to_string()))
}

/// The entry host fills in the operator whose key it was given.
fn by_key() -> String {
    String::new()
}

async fn send(flags: &OperatorFlags, order: OperatorCommand) -> Result<(), Failure> {
    let reply = client::send(flags, &order).await?;
    print::reply(&reply, flags.json)
}
