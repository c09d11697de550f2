//! Settings of one entry host's process.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use foxtailhoist_model::DataCentreId;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::ListedHost;
use foxtailhoist_model::OperatorId;

use crate::fault::Faults;
use crate::process_checks::check_settings;
use crate::raw::RawKeys;
use crate::raw::RawListen;
use crate::raw::RawPlatform;
use crate::raw::RawSeed;
use crate::raw::RawTimeouts;
use crate::secret::Secret;
use crate::source::Source;
use crate::source::read_file;

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait for the status and headers of an answer.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest gap between two chunks of an answer.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest wait for the response to a probe of a silent server, sent on a new connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Longest wait for a caller's complete request.
const REQUEST_READ_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest wait for running requests during a graceful shutdown.
const STOP_TIMEOUT: Duration = Duration::from_secs(120);

const SECTIONS: [&str; 12] = [
    "host",
    "data_centre",
    "listen",
    "advertise",
    "seeds",
    "platform",
    "keys",
    "timeouts",
    "limits",
    "tls",
    "log",
    "configuration",
];

/// Settings that a process reads at start-up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    pub host: EntryHostId,
    pub data_centre: DataCentreId,
    pub listen: Listen,
    /// Address at which peers reach this host.
    pub advertise: SocketAddr,
    /// Initial peers, in addition to those in the host list.
    pub seeds: Vec<ListedHost>,
    pub platform: PlatformAddresses,
    pub keys: Keys,
    pub timeouts: Timeouts,
    pub limits: RequestLimits,
    pub tls: Option<Tls>,
    /// Log level directives, such as `info, foxtailhoist_route=debug`.
    pub log: String,
    /// File of the configuration to propose when the object API has none; relative to the settings file.
    pub configuration: Option<PathBuf>,
}

/// Listening addresses, one for each kind of client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listen {
    pub callers: SocketAddr,
    pub operators: SocketAddr,
    pub peers: SocketAddr,
}

/// Addresses of the platform's services.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlatformAddresses {
    pub object_api: SocketAddr,
    pub host_list: SocketAddr,
    pub rating: SocketAddr,
}

/// Secret keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Keys {
    /// Authenticates entry hosts to each other; all of them have the same key.
    pub peer: Secret,
    /// Seals session tokens.
    pub session: Secret,
    /// Opens tokens that were sealed before the last rotation.
    pub previous_session: Option<Secret>,
    pub operators: BTreeMap<OperatorId, Secret>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// Longest wait for a connection.
    pub connect: Duration,
    /// Longest wait for the status and headers of an answer.
    pub head: Duration,
    /// Longest gap between two chunks of an answer.
    pub idle: Duration,
    /// Longest wait for the response to a probe of a silent server, sent on a new connection.
    pub probe: Duration,
    /// Longest wait for a caller's complete request.
    pub request_read: Duration,
    /// Longest wait for running requests during a graceful shutdown.
    pub stop: Duration,
}

/// Limits on requests from callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RequestLimits {
    /// Largest request body, in bytes.
    pub body_bytes: u64,
    /// Largest request head, in bytes.
    pub header_bytes: u64,
    /// Largest number of concurrent requests.
    pub concurrent_requests: u64,
    /// Largest number of streamed answers among the concurrent requests.
    pub concurrent_streams: u64,
}

/// Certificate and key of the callers' and operators' listeners, as PEM files. Relative paths start at the working
/// directory.
#[derive(Clone, Debug, PartialEq, Eq, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tls {
    pub certificate: PathBuf,
    pub key: PathBuf,
}

impl Default for Timeouts {
    fn default() -> Timeouts {
        Timeouts {
            connect: CONNECT_TIMEOUT,
            head: HEAD_TIMEOUT,
            idle: IDLE_TIMEOUT,
            probe: PROBE_TIMEOUT,
            request_read: REQUEST_READ_TIMEOUT,
            stop: STOP_TIMEOUT,
        }
    }
}

impl Default for RequestLimits {
    fn default() -> RequestLimits {
        RequestLimits {
            body_bytes: 16 * 1024 * 1024,
            header_bytes: 32 * 1024,
            concurrent_requests: 8_192,
            concurrent_streams: 4_096,
        }
    }
}

/// Reads and checks a settings file, and fetches its keys.
///
/// # Errors
///
/// Returns every fault found, with its line.
pub fn load_settings(path: &Path) -> Result<Settings, Faults> {
    let mut settings = parse_settings(&path.display().to_string(), &read_file(path)?)?;
    if let (Some(configuration), Some(directory)) = (&settings.configuration, path.parent()) {
        settings.configuration = Some(directory.join(configuration));
    }
    Ok(settings)
}

/// Reads and checks settings, and fetches their keys; `file` names them in faults.
///
/// # Errors
///
/// Returns every fault found, with its line.
pub fn parse_settings(file: &str, text: &str) -> Result<Settings, Faults> {
    let mut source = Source::parse(file, text)?;
    source.report_unknown_sections(&SECTIONS);
    let host = source.section("host");
    let data_centre = source.section("data_centre");
    let listen = source.section::<RawListen>("listen");
    let advertise: Option<String> = source.section("advertise");
    let seeds: Option<Vec<RawSeed>> = source.optional_section("seeds");
    let platform = source.section::<RawPlatform>("platform");
    let keys = source.section::<RawKeys>("keys");
    let timeouts = source.optional_section::<RawTimeouts>("timeouts").unwrap_or_default();
    let limits = source.optional_section("limits").unwrap_or_default();
    let tls = source.optional_section("tls");
    let log: Option<String> = source.optional_section("log");
    let configuration = source.optional_section("configuration");

    // Every section that could be read is parsed further, even when others could not be read.
    let listen = listen.and_then(|raw| raw.parse(&mut source));
    let advertise = advertise.and_then(|text| crate::raw::parse_advertise(&text, &mut source));
    let seeds = crate::raw::parse_seeds(seeds.unwrap_or_default(), &mut source);
    let platform = platform.and_then(|raw| raw.parse(&mut source));
    let keys = keys.and_then(|raw| raw.parse(&mut source));
    let timeouts = timeouts.parse(&mut source);

    let settings = required_settings(host, data_centre, listen, advertise, platform, keys);
    let Some(settings) = settings else { return Err(source.into_faults()) };
    let settings = Settings {
        seeds,
        timeouts,
        limits,
        tls,
        log: log.unwrap_or(settings.log),
        configuration,
        ..settings
    };
    source.report_all(check_settings(&settings));
    if source.has_faults() { Err(source.into_faults()) } else { Ok(settings) }
}

/// Log level when the settings name none.
const DEFAULT_LOG_LEVEL: &str = "info";

/// Settings from the required sections, if all of them could be read; the other fields get defaults.
fn required_settings(
    host: Option<EntryHostId>,
    data_centre: Option<DataCentreId>,
    listen: Option<Listen>,
    advertise: Option<SocketAddr>,
    platform: Option<PlatformAddresses>,
    keys: Option<Keys>,
) -> Option<Settings> {
    Some(Settings {
        host: host?,
        data_centre: data_centre?,
        listen: listen?,
        advertise: advertise?,
        seeds: Vec::new(),
        platform: platform?,
        keys: keys?,
        timeouts: Timeouts::default(),
        limits: RequestLimits::default(),
        tls: None,
        log: DEFAULT_LOG_LEVEL.to_owned(),
        configuration: None,
    })
}
