//! `serve`: runs an entry host until SIGTERM or SIGINT.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;
use std::time::SystemTime;

use foxtailhoist_edge::ClientSettings;
use foxtailhoist_edge::ClientSettingsBuilder;
use foxtailhoist_host::operator::OperatorCommand;
use foxtailhoist_model::ErrorKind;
use foxtailhoist_route::session::SessionKeys;
use foxtailhoist_server::Clients;
use foxtailhoist_server::Identity;
use foxtailhoist_server::KeyRing;
use foxtailhoist_server::Limits;
use foxtailhoist_server::Listen;
use foxtailhoist_server::PlatformAddresses;
use foxtailhoist_server::Server;
use foxtailhoist_server::ServerConfig;
use foxtailhoist_server::TlsFiles;
use foxtailhoist_settings::Settings;
use foxtailhoist_settings::load_settings;

use crate::commands::operate;
use crate::commands::signal;
use crate::failure::Failure;
use crate::logging;

/// Time that a host waits to receive a configuration before it proposes the one from its settings.
const CONFIGURATION_WAIT: Duration = Duration::from_secs(3);

/// Runs an entry host with the settings from a file.
///
/// # Errors
///
/// Fails when the settings or the configuration that they name are not valid, the entry host cannot be started or its
/// shutdown times out.
pub async fn serve(file: &Path) -> Result<(), Failure> {
    let settings = load_settings(file).map_err(|e| Failure::Settings(e.to_string()))?;
    let _logger = logging::start(&settings.log)?;
    let platform = PlatformAddresses {
        object_api: settings.platform.object_api,
        host_list: settings.platform.host_list,
        rating: settings.platform.rating,
    };
    let peer_key = settings.keys.peer.expose();
    let invalid_peer_key = || {
        Failure::Settings("the peer key has characters that are not allowed in a header".to_owned())
    };
    let clients = Clients::http(&settings.host, peer_key, platform, client(&settings));
    let clients = clients.ok_or_else(invalid_peer_key)?;
    let start_failed = |e: foxtailhoist_server::StartError| Failure::Unreachable(e.to_string());
    let server = Server::start(server_config(&settings), clients).await.map_err(start_failed)?;
    log::info!("event=started host={} callers={}", settings.host, server.addresses().callers);
    offer_configuration(&server, &settings).await?;
    signal::stop_requested().await;
    log::info!("event=stopping host={}", settings.host);
    let in_time = server.close().await;
    log::info!("event=stopped host={} in_time={in_time}", settings.host);
    if in_time {
        Ok(())
    } else {
        Err(Failure::Failed("shutdown did not complete within the stop timeout".to_owned()))
    }
}

/// Proposes the configuration from the settings if the object API has none yet.
async fn offer_configuration(server: &Server, settings: &Settings) -> Result<(), Failure> {
    let Some(file) = &settings.configuration else {
        return Ok(());
    };
    let configuration = Box::new(operate::read_configuration(file)?);
    tokio::time::sleep(CONFIGURATION_WAIT).await;
    if server.is_ready() {
        return Ok(());
    }
    let operator = settings.host.clone();
    let why = format!("first configuration, from {}", file.display());
    let command = OperatorCommand::ConfigPropose { operator, why, configuration };
    match server.execute_command(command).await {
        Ok(_) => log::info!("event=configuration_offered"),
        // Another host proposed its configuration first.
        Err(refusal) if refusal.kind == ErrorKind::Conflict => {}
        Err(refusal) => {
            log::warn!("event=configuration_not_offered reason=\"{}\"", refusal.message)
        }
    }
    Ok(())
}

fn server_config(settings: &Settings) -> ServerConfig {
    ServerConfig {
        identity: Identity {
            host: settings.host.clone(),
            data_centre: settings.data_centre.clone(),
            incarnation: incarnation(),
        },
        listen: Listen {
            callers: settings.listen.callers,
            operators: settings.listen.operators,
            peers: settings.listen.peers,
        },
        tls: settings
            .tls
            .as_ref()
            .map(|tls| TlsFiles { certificate: tls.certificate.clone(), key: tls.key.clone() }),
        advertise: Some(settings.advertise),
        keys: keys(settings),
        limits: limits(settings),
        seeds: settings.seeds.clone(),
        seed: rand::random(),
    }
}

/// Incarnation number of this start: its time in milliseconds since the Unix epoch, because a host stores nothing
/// between starts.
fn incarnation() -> u64 {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}

fn keys(settings: &Settings) -> KeyRing {
    let keys = &settings.keys;
    let operators: BTreeMap<String, String> =
        keys.operators.iter().map(|(name, key)| (name.clone(), key.expose().to_owned())).collect();
    let sessions = SessionKeys {
        current: keys.session.expose().as_bytes().to_vec(),
        previous: keys.previous_session.as_ref().map(|key| key.expose().as_bytes().to_vec()),
    };
    KeyRing::new(&operators, keys.peer.expose(), sessions)
}

fn limits(settings: &Settings) -> Limits {
    let to_usize = |number: u64| usize::try_from(number).unwrap_or(usize::MAX);
    Limits {
        body_bytes: to_usize(settings.limits.body_bytes),
        header_bytes: to_usize(settings.limits.header_bytes),
        requests: to_usize(settings.limits.concurrent_requests),
        streams: to_usize(settings.limits.concurrent_streams),
        body_timeout: settings.timeouts.request_read,
        stop_timeout: settings.timeouts.stop,
        ..Limits::default()
    }
}

fn client(settings: &Settings) -> ClientSettings {
    let timeouts = &settings.timeouts;
    ClientSettingsBuilder::new()
        .connect_timeout(timeouts.connect)
        .head_timeout(timeouts.head)
        .idle_timeout(timeouts.idle)
        .probe_timeout(timeouts.probe)
        .build()
}
