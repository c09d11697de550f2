//! Commands with validated arguments, built from the flags.

use std::net::SocketAddr;
use std::path::PathBuf;

use foxtailhoist_model::ModelVersion;

use crate::failure::Failure;
use crate::flags::Flags;
use crate::flags::help;

/// Default operator address of an entry host.
const DEFAULT_ADDRESS: &str = "127.0.0.1:7081";
const ADDRESS_VARIABLE: &str = "FOXTAILHOIST_ADDRESS";
const KEY_VARIABLE: &str = "FOXTAILHOIST_KEY";
const SETTINGS_VARIABLE: &str = "FOXTAILHOIST_CONFIG";

/// A command with its arguments.
#[derive(Clone, Debug)]
pub enum Command {
    Help(String),
    Version,
    Serve {
        settings: PathBuf,
    },
    /// Runs an entry host on the users' platform.
    Relay {
        settings: PathBuf,
    },
    /// Prints the timeline of one request from log files.
    Explain {
        request: String,
        logs: Vec<PathBuf>,
    },
    Dev {
        configuration: Option<PathBuf>,
        hosts: u64,
        port: u16,
        seed: u64,
    },
    Check {
        settings: Option<PathBuf>,
        relay: Option<PathBuf>,
        configuration: Option<PathBuf>,
    },
    Status(OperatorFlags),
    Preset(OperatorFlags, PresetCommand),
    Config(OperatorFlags, ConfigCommand),
    Versions(OperatorFlags, VersionCommand),
    Usage(OperatorFlags),
    ReportBurn(OperatorFlags, ReportFormat),
    Scenario {
        file: PathBuf,
    },
    Measure(Measurement, MeasureFlags),
}

/// Address and credentials for an entry host, and the output format.
#[derive(Clone, Debug)]
pub struct OperatorFlags {
    pub address: SocketAddr,
    /// CA certificate that the entry host's certificate is verified against, as PEM; without it, plain HTTP is used.
    pub ca_certificate: Option<Vec<u8>>,
    pub key: String,
    pub json: bool,
}

#[derive(Clone, Debug)]
pub enum PresetCommand {
    List,
    Show { preset: String },
    Switch { preset: String, why: String },
}

#[derive(Clone, Debug)]
pub enum ConfigCommand {
    Propose { file: PathBuf, why: String },
    Diff { proposal: String },
    Approve { proposal: String },
    Apply { proposal: String },
    Log { limit: usize },
}

#[derive(Clone, Debug)]
pub enum VersionCommand {
    List,
    Rollout { model_version: ModelVersion, why: String },
    Withdraw { model_version: ModelVersion, why: String },
    Veto { model_version: ModelVersion, why: String },
    Clear { model_version: ModelVersion, why: String },
}

/// Output format of the burn report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportFormat {
    Text,
    Json,
    Html,
}

/// Kind of measurement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Measurement {
    Path,
    Policy,
    Choice,
    Journal,
    Control,
    Soak,
}

/// Parameters of a measurement.
#[derive(Clone, Debug)]
pub struct MeasureFlags {
    pub seed: u64,
    /// Number of consecutive seeds, from `seed` on.
    pub seeds: u64,
    /// Steps of the random run.
    pub steps: u64,
    /// Simulated minutes of each run.
    pub minutes: u64,
    pub workload: Option<PathBuf>,
    pub json: bool,
}

impl Command {
    /// Validates the command line.
    ///
    /// # Errors
    ///
    /// Fails on an unknown command, on missing or extra arguments and on values that cannot be parsed.
    pub fn from_flags(flags: Flags) -> Result<Command, Failure> {
        if flags.is_set("help") {
            return Ok(Command::Help(help::page()));
        }
        if flags.is_set("version") {
            return Ok(Command::Version);
        }
        let positional: Vec<&str> = flags.positional.iter().map(String::as_str).collect();
        match positional.as_slice() {
            [] => Err(Failure::Usage("no command given".to_owned())),
            ["serve"] => Ok(Command::Serve { settings: required_path(&flags, "settings")? }),
            ["relay"] => Ok(Command::Relay { settings: relay_settings(&flags)? }),
            ["explain", request, logs @ ..] => Ok(Command::Explain {
                request: (*request).to_owned(),
                logs: logs.iter().map(PathBuf::from).collect(),
            }),
            ["dev"] => dev(&flags),
            ["check"] => check(&flags),
            ["status"] => Ok(Command::Status(operator(&flags)?)),
            ["usage"] => Ok(Command::Usage(operator(&flags)?)),
            ["report", "burn"] => {
                Ok(Command::ReportBurn(operator(&flags)?, report_format(&flags)?))
            }
            ["preset", rest @ ..] => Ok(Command::Preset(operator(&flags)?, preset(&flags, rest)?)),
            ["config", rest @ ..] => Ok(Command::Config(operator(&flags)?, config(&flags, rest)?)),
            ["version", rest @ ..] => {
                Ok(Command::Versions(operator(&flags)?, version(&flags, rest)?))
            }
            ["scenario", file] => Ok(Command::Scenario { file: PathBuf::from(file) }),
            ["measure", name] => Ok(Command::Measure(measurement(name)?, measure_flags(&flags)?)),
            other => Err(Failure::Usage(format!("'{}' is not a command", other.join(" ")))),
        }
    }
}

fn dev(flags: &Flags) -> Result<Command, Failure> {
    let port = flags.number("port", 7080)?;
    Ok(Command::Dev {
        configuration: flags.value("configuration").map(PathBuf::from),
        hosts: flags.number("hosts", 6)?,
        port: u16::try_from(port)
            .map_err(|_| Failure::Usage(format!("--port {port} is above 65535")))?,
        seed: flags.number("seed", 1)?,
    })
}

fn check(flags: &Flags) -> Result<Command, Failure> {
    let settings = flags.value("settings").map(PathBuf::from);
    let configuration = flags.value("configuration").map(PathBuf::from);
    let relay = flags.value("relay").map(PathBuf::from);
    if settings.is_none() && relay.is_none() && configuration.is_none() {
        return Err(Failure::Usage(
            "check needs --settings, --relay or --configuration".to_owned(),
        ));
    }
    Ok(Command::Check { settings, relay, configuration })
}

fn operator(flags: &Flags) -> Result<OperatorFlags, Failure> {
    let from_env = std::env::var(ADDRESS_VARIABLE).ok();
    let text = flags
        .value("address")
        .map(str::to_owned)
        .or(from_env)
        .unwrap_or_else(|| DEFAULT_ADDRESS.to_owned());
    let address = text.parse().map_err(|_| {
        Failure::Usage(format!("--address takes an IP address and a port, not '{text}'"))
    })?;
    let ca_certificate = flags.value("ca").map(read_ca).transpose()?;
    let key = operator_key(flags)?;
    Ok(OperatorFlags { address, ca_certificate, key, json: flags.is_set("json") })
}

fn read_ca(path: &str) -> Result<Vec<u8>, Failure> {
    std::fs::read(path).map_err(|e| Failure::Usage(format!("--ca {path}: {e}")))
}

fn operator_key(flags: &Flags) -> Result<String, Failure> {
    let Some(path) = flags.value("key-file") else {
        let missing = || {
            Failure::Usage(format!(
                "the operator's key is required: use --key-file FILE or set ${KEY_VARIABLE}"
            ))
        };
        return std::env::var(KEY_VARIABLE).map_err(|_| missing());
    };
    let text = std::fs::read_to_string(path)
        .map_err(|e| Failure::Usage(format!("--key-file {path}: {e}")))?;
    Ok(text.trim().to_owned())
}

fn report_format(flags: &Flags) -> Result<ReportFormat, Failure> {
    match (flags.is_set("json"), flags.is_set("html")) {
        (false, false) => Ok(ReportFormat::Text),
        (true, false) => Ok(ReportFormat::Json),
        (false, true) => Ok(ReportFormat::Html),
        (true, true) => Err(Failure::Usage("--json and --html are mutually exclusive".to_owned())),
    }
}

fn preset(flags: &Flags, args: &[&str]) -> Result<PresetCommand, Failure> {
    match args {
        ["list"] => Ok(PresetCommand::List),
        ["show", preset] => Ok(PresetCommand::Show { preset: (*preset).to_owned() }),
        ["switch", preset] => {
            Ok(PresetCommand::Switch { preset: (*preset).to_owned(), why: why(flags)? })
        }
        _ => Err(Failure::Usage("preset takes list, show NAME or switch NAME".to_owned())),
    }
}

fn config(flags: &Flags, args: &[&str]) -> Result<ConfigCommand, Failure> {
    match args {
        ["propose", file] => {
            Ok(ConfigCommand::Propose { file: PathBuf::from(file), why: why(flags)? })
        }
        ["diff", proposal] => Ok(ConfigCommand::Diff { proposal: (*proposal).to_owned() }),
        ["approve", proposal] => Ok(ConfigCommand::Approve { proposal: (*proposal).to_owned() }),
        ["apply", proposal] => Ok(ConfigCommand::Apply { proposal: (*proposal).to_owned() }),
        ["log"] => {
            let limit = flags.number("limit", 20)?;
            Ok(ConfigCommand::Log { limit: usize::try_from(limit).unwrap_or(usize::MAX) })
        }
        _ => Err(Failure::Usage(
            "config takes propose FILE, diff ID, approve ID, apply ID or log".to_owned(),
        )),
    }
}

fn version(flags: &Flags, args: &[&str]) -> Result<VersionCommand, Failure> {
    let [subcommand, rest @ ..] = args else {
        return Err(Failure::Usage(
            "version takes list, rollout, withdraw, veto or clear".to_owned(),
        ));
    };
    if *subcommand == "list" && rest.is_empty() {
        return Ok(VersionCommand::List);
    }
    let [text] = rest else {
        return Err(Failure::Usage(format!("version {subcommand} takes one MODEL@VERSION")));
    };
    let model_version: ModelVersion =
        text.parse().map_err(|e| Failure::Usage(format!("version {subcommand}: {e}")))?;
    let why = why(flags)?;
    match *subcommand {
        "rollout" => Ok(VersionCommand::Rollout { model_version, why }),
        "withdraw" => Ok(VersionCommand::Withdraw { model_version, why }),
        "veto" => Ok(VersionCommand::Veto { model_version, why }),
        "clear" => Ok(VersionCommand::Clear { model_version, why }),
        _ => Err(Failure::Usage(format!(
            "version has no '{subcommand}'; it takes list, rollout, withdraw, veto or clear"
        ))),
    }
}

fn measurement(name: &str) -> Result<Measurement, Failure> {
    match name {
        "path" => Ok(Measurement::Path),
        "policy" => Ok(Measurement::Policy),
        "choice" => Ok(Measurement::Choice),
        "journal" => Ok(Measurement::Journal),
        "control" => Ok(Measurement::Control),
        "soak" => Ok(Measurement::Soak),
        _ => Err(Failure::Usage(format!(
            "'{name}' is not a measurement; measure takes path, policy, choice, journal, control or soak"
        ))),
    }
}

fn measure_flags(flags: &Flags) -> Result<MeasureFlags, Failure> {
    Ok(MeasureFlags {
        seed: flags.number("seed", 1)?,
        seeds: flags.number("seeds", 3)?,
        steps: flags.number("steps", 100_000)?,
        minutes: flags.number("minutes", 30)?,
        workload: flags.value("workload").map(PathBuf::from),
        json: flags.is_set("json"),
    })
}

fn required_path(flags: &Flags, long: &str) -> Result<PathBuf, Failure> {
    let missing = || Failure::Usage(format!("--{long} FILE is required"));
    flags.value(long).map(PathBuf::from).ok_or_else(missing)
}

fn relay_settings(flags: &Flags) -> Result<PathBuf, Failure> {
    let from_env = || std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from);
    let missing = || {
        Failure::Usage(format!(
            "settings are required: use --settings FILE or set ${SETTINGS_VARIABLE}"
        ))
    };
    flags.value("settings").map(PathBuf::from).or_else(from_env).ok_or_else(missing)
}

fn why(flags: &Flags) -> Result<String, Failure> {
    match flags.value("why") {
        Some(why) if !why.trim().is_empty() => Ok(why.to_owned()),
        _ => {
            Err(Failure::Usage("--why TEXT is required: the audit log keeps the reason".to_owned()))
        }
    }
}
