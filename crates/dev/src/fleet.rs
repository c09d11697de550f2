//! A fleet of entry hosts that runs against stand-ins.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use foxtailhoist_edge::BackendApi;
use foxtailhoist_edge::ClientSettings;
use foxtailhoist_host::operator::OperatorCommand;
use foxtailhoist_model::Configuration;
use foxtailhoist_model::ListedHost;
use foxtailhoist_model::Presence;
use foxtailhoist_model::Refusal;
use foxtailhoist_route::session::SessionKeys;
use foxtailhoist_server::Clients;
use foxtailhoist_server::Identity;
use foxtailhoist_server::KeyRing;
use foxtailhoist_server::Limits;
use foxtailhoist_server::Listen;
use foxtailhoist_server::PlatformAddresses;
use foxtailhoist_server::Server;
use foxtailhoist_server::ServerConfig;
use foxtailhoist_server::StartError;
use foxtailhoist_server::TlsFiles;
use foxtailhoist_standin::Deployment;
use foxtailhoist_standin::DeploymentSpec;
use thiserror::Error;

/// Data centres of the stand-ins.
pub const DATA_CENTRES: [&str; 3] = ["nashua", "lowell", "concord"];
/// Names and keys of the operators; not secret, because they protect nothing.
pub const OPERATOR_KEYS: [(&str, &str); 2] = [("ada", "key-ada"), ("bo", "key-bo")];
/// Key that the entry hosts share.
pub const PEER_KEY: &str = "key-peers";
const SEALING_KEY: &[u8] = b"key-sessions";
/// Distance between the first ports of consecutive entry hosts.
const PORTS_PER_HOST: u16 = 10;
/// Maximum time for the entry hosts to put the configuration in force.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which the entry hosts are polled for readiness.
const START_POLL_INTERVAL: Duration = Duration::from_millis(50);

const CONFIGURATION: &str = include_str!("../../../examples/merrimack/configuration.yaml");

/// Options of a fleet.
#[derive(Clone)]
pub struct FleetOptions {
    pub deployment: DeploymentSpec,
    /// First configuration; the Merrimack example's when absent.
    pub configuration: Option<Configuration>,
    pub hosts: u64,
    /// First port; 0 uses any free ports.
    pub port: u16,
    pub seed: u64,
    pub limits: Limits,
    pub client: ClientSettings,
    pub tls: Option<TlsFiles>,
    /// Replaces the HTTP client that calls the backend servers.
    pub backends: Option<Arc<dyn BackendApi>>,
}

/// Running stand-ins and entry hosts.
pub struct Fleet {
    pub deployment: Deployment,
    pub servers: Vec<Server>,
}

/// Why a fleet did not start.
#[derive(Debug, Error)]
pub enum FleetError {
    #[error("stand-ins cannot be started: {0}")]
    StandIns(std::io::Error),
    #[error(transparent)]
    EntryHost(#[from] StartError),
    #[error("{0}")]
    Configuration(String),
    #[error("the configuration was refused: {}", .0.message)]
    Refused(Refusal),
    #[error("the entry hosts did not put the configuration in force in time")]
    StartTimeout,
}

impl Default for FleetOptions {
    fn default() -> FleetOptions {
        FleetOptions {
            deployment: DeploymentSpec::merrimack(),
            configuration: None,
            hosts: 3,
            port: 0,
            seed: 1,
            limits: Limits::default(),
            client: ClientSettings::default(),
            tls: None,
            backends: None,
        }
    }
}

impl Fleet {
    /// Starts stand-ins and entry hosts and puts the first configuration in force.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be bound, an entry host cannot be started, the configuration is invalid or refused,
    /// or the configuration is not in force in time.
    pub async fn start(options: FleetOptions) -> Result<Fleet, FleetError> {
        let configuration = match &options.configuration {
            Some(configuration) => configuration.clone(),
            None => merrimack_configuration()?,
        };
        let started = Deployment::start(options.deployment.clone()).await;
        let deployment = started.map_err(FleetError::StandIns)?;
        let addresses = deployment.addresses();
        let platform = PlatformAddresses {
            object_api: addresses.object_api,
            host_list: addresses.host_list,
            rating: addresses.rating,
        };
        let mut servers = Vec::new();
        let mut listed = Vec::new();
        for index in 0..options.hosts {
            let server = start_host(&options, index, platform).await?;
            listed.push(listed_host(index, server.addresses().peers));
            servers.push(server);
        }
        deployment.set_entry_hosts(listed);
        let fleet = Fleet { deployment, servers };
        fleet.configure(configuration).await?;
        Ok(fleet)
    }

    /// Stops the entry hosts in order, then the stand-ins.
    pub async fn close(self) {
        for server in self.servers {
            server.close().await;
        }
        self.deployment.close().await;
    }

    async fn configure(&self, configuration: Configuration) -> Result<(), FleetError> {
        let proposal = OperatorCommand::ConfigPropose {
            operator: OPERATOR_KEYS[0].0.to_owned(),
            why: "first configuration".to_owned(),
            configuration: Box::new(configuration),
        };
        if let Some(server) = self.servers.first() {
            server.execute_command(proposal).await.map_err(FleetError::Refused)?;
        }
        let ready = async {
            while !self.servers.iter().all(Server::is_ready) {
                tokio::time::sleep(START_POLL_INTERVAL).await;
            }
        };
        tokio::time::timeout(START_TIMEOUT, ready).await.map_err(|_| FleetError::StartTimeout)
    }
}

fn merrimack_configuration() -> Result<Configuration, FleetError> {
    let file = "examples/merrimack/configuration.yaml";
    foxtailhoist_settings::parse_configuration(file, CONFIGURATION)
        .map_err(|faults| FleetError::Configuration(faults.to_string()))
}

async fn start_host(
    options: &FleetOptions,
    index: u64,
    platform: PlatformAddresses,
) -> Result<Server, FleetError> {
    let host = host_name(index);
    let cfg = ServerConfig {
        identity: Identity {
            host: host.clone(),
            data_centre: data_centre(index).to_owned(),
            incarnation: 1,
        },
        listen: listen_addresses(options.port, index),
        tls: options.tls.clone(),
        advertise: None,
        keys: keys(),
        limits: options.limits,
        seeds: Vec::new(),
        seed: options.seed.wrapping_add(index),
    };
    let clients = Clients::http(&host, PEER_KEY, platform, options.client);
    let mut clients = clients.expect("the constant peer key is a valid header value");
    if let Some(backends) = &options.backends {
        clients.backends = Arc::clone(backends);
    }
    Ok(Server::start(cfg, clients).await?)
}

fn keys() -> KeyRing {
    let operators: BTreeMap<String, String> =
        OPERATOR_KEYS.iter().map(|(name, key)| ((*name).to_owned(), (*key).to_owned())).collect();
    let sessions = SessionKeys { current: SEALING_KEY.to_vec(), previous: None };
    KeyRing::new(&operators, PEER_KEY, sessions)
}

fn listen_addresses(first: u16, index: u64) -> Listen {
    let offset = u16::try_from(index).unwrap_or(u16::MAX).saturating_mul(PORTS_PER_HOST);
    let port = |number: u16| {
        if first == 0 { 0 } else { first.saturating_add(offset).saturating_add(number) }
    };
    let address = |number| SocketAddr::from((Ipv4Addr::LOCALHOST, port(number)));
    Listen { callers: address(0), operators: address(1), peers: address(2) }
}

fn listed_host(index: u64, address: SocketAddr) -> ListedHost {
    ListedHost {
        id: host_name(index),
        address,
        data_centre: data_centre(index).to_owned(),
        presence: Presence::Live,
    }
}

fn host_name(index: u64) -> String {
    format!("entry-{index}")
}

fn data_centre(index: u64) -> &'static str {
    DATA_CENTRES[usize::try_from(index).unwrap_or(0) % DATA_CENTRES.len()]
}
