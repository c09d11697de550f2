//! `dev`: entry hosts and stand-ins in one process, on loopback.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use foxtailhoist_host::operator::OperatorCommand;
use foxtailhoist_model::Configuration;
use foxtailhoist_model::ListedHost;
use foxtailhoist_model::Presence;
use foxtailhoist_platform::ClientSettings;
use foxtailhoist_route::session::SessionKeys;
use foxtailhoist_server::Identity;
use foxtailhoist_server::KeyRing;
use foxtailhoist_server::Limits;
use foxtailhoist_server::Listen;
use foxtailhoist_server::Server;
use foxtailhoist_server::ServerConfig;
use foxtailhoist_settings::PlatformAddresses;
use foxtailhoist_standin::Deployment;
use foxtailhoist_standin::DeploymentAddresses;
use foxtailhoist_standin::DeploymentSpec;

use crate::client;
use crate::commands::edges;
use crate::commands::operate;
use crate::commands::signal;
use crate::failure::Failure;
use crate::flags::OperatorFlags;

/// Data centres of the stand-ins.
const DATA_CENTRES: [&str; 3] = ["nashua", "lowell", "concord"];
/// Keys that `dev` uses; they protect nothing.
const OPERATOR_KEYS: [(&str, &str); 2] = [("ada", "key-ada"), ("bo", "key-bo")];
const PEER_KEY: &str = "key-peers";
const SEALING_KEY: &[u8] = b"key-sessions";
/// Ports between the first ports of two entry hosts.
const PORTS_PER_HOST: u16 = 10;
/// Longest wait for the entry hosts to put the configuration in force.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which `dev` looks whether they have.
const START_POLL: Duration = Duration::from_millis(50);

const CONFIGURATION: &str = include_str!("../../../examples/merrimack/configuration.yaml");

/// What `dev` is asked for.
pub struct DevOptions {
    pub configuration: Option<PathBuf>,
    pub hosts: u64,
    /// First port; 0 takes free ones.
    pub port: u16,
    pub seed: u64,
}

/// Stand-ins and entry hosts that run.
pub struct Running {
    pub deployment: Deployment,
    pub servers: Vec<Server>,
}

/// Runs until interrupted.
pub async fn dev(options: DevOptions) -> Result<(), Failure> {
    let running = start(&options).await?;
    print_lines(&running);
    signal::stop_requested().await;
    running.close().await;
    Ok(())
}

/// Starts stand-ins and entry hosts and puts the configuration in force.
///
/// # Errors
///
/// Fails when an address cannot be bound or the configuration is refused.
pub async fn start(options: &DevOptions) -> Result<Running, Failure> {
    let configuration = configuration(options)?;
    let failed =
        |e: std::io::Error| Failure::Unreachable(format!("stand-ins cannot be started: {e}"));
    let deployment = Deployment::start(DeploymentSpec::merrimack()).await.map_err(failed)?;
    let addresses = deployment.addresses();
    let mut servers = Vec::new();
    let mut listed = Vec::new();
    for index in 0..options.hosts {
        let server = start_host(options, index, &addresses).await?;
        listed.push(listed_host(index, server.addresses().peers));
        servers.push(server);
    }
    deployment.set_entry_hosts(listed);
    let running = Running { deployment, servers };
    running.configure(configuration).await?;
    Ok(running)
}

impl Running {
    /// Operator access to an entry host.
    #[must_use]
    pub fn operator(&self, host: usize) -> OperatorFlags {
        let (_, key) = OPERATOR_KEYS[0];
        let address = self.servers[host].addresses().operators;
        OperatorFlags { address, key: key.to_owned(), json: false }
    }

    /// Stops the entry hosts in order, then the stand-ins.
    pub async fn close(self) {
        for server in self.servers {
            server.close().await;
        }
        self.deployment.close().await;
    }

    async fn configure(&self, configuration: Configuration) -> Result<(), Failure> {
        let order = OperatorCommand::ConfigPropose {
            operator: String::new(),
            why: "first configuration".to_owned(),
            configuration: Box::new(configuration),
        };
        client::send(&self.operator(0), &order).await?;
        let ready = async {
            while !self.servers.iter().all(Server::is_ready) {
                tokio::time::sleep(START_POLL).await;
            }
        };
        let late = |_| {
            Failure::Failed(
                "the entry hosts did not put the configuration in force in time".to_owned(),
            )
        };
        tokio::time::timeout(START_TIMEOUT, ready).await.map_err(late)
    }
}

fn configuration(options: &DevOptions) -> Result<Configuration, Failure> {
    match &options.configuration {
        Some(file) => operate::read_configuration(file),
        None => foxtailhoist_settings::parse_configuration(
            "examples/merrimack/configuration.yaml",
            CONFIGURATION,
        )
        .map_err(|faults| Failure::Settings(faults.to_string())),
    }
}

async fn start_host(
    options: &DevOptions,
    index: u64,
    addresses: &DeploymentAddresses,
) -> Result<Server, Failure> {
    let host = host_name(index);
    let cfg = ServerConfig {
        identity: Identity {
            host: host.clone(),
            data_centre: data_centre(index).to_owned(),
            incarnation: 1,
        },
        listen: listen(options.port, index),
        advertise: None,
        keys: keys(),
        limits: Limits::default(),
        seeds: Vec::new(),
        seed: options.seed.wrapping_add(index),
    };
    let failed = |e: foxtailhoist_server::StartError| Failure::Unreachable(e.to_string());
    Server::start(
        cfg,
        edges::http(&host, PEER_KEY, &platform(addresses), ClientSettings::default())?,
    )
    .await
    .map_err(failed)
}

fn platform(addresses: &DeploymentAddresses) -> PlatformAddresses {
    PlatformAddresses {
        object_api: addresses.object_api,
        host_list: addresses.host_list,
        rating: addresses.rating,
    }
}

fn keys() -> KeyRing {
    let operators: BTreeMap<String, String> =
        OPERATOR_KEYS.iter().map(|(name, key)| ((*name).to_owned(), (*key).to_owned())).collect();
    let sessions = SessionKeys { present: SEALING_KEY.to_vec(), previous: None };
    KeyRing::new(&operators, PEER_KEY, sessions)
}

fn listen(first: u16, index: u64) -> Listen {
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

fn print_lines(running: &Running) {
    let callers = running.servers[0].addresses().callers;
    let operators = running.servers[0].addresses().operators;
    let host_list = running.deployment.addresses().host_list;
    println!(
        "{} entry hosts run; callers reach the first at http://{callers}",
        running.servers.len()
    );
    println!();
    println!("# a chat completion");
    println!(
        "curl -s -i http://{callers}/v1/chat/completions -H 'authorization: Bearer key-baker-help' \\"
    );
    println!(
        "  -H 'x-task-class: tagging' -d '{{\"messages\":[{{\"role\":\"user\",\"content\":\"Tag: starter smells\"}}]}}'"
    );
    println!();
    println!("# a streamed one, in a session");
    println!(
        "curl -s -N -i http://{callers}/v1/chat/completions -H 'authorization: Bearer key-baker-help' \\"
    );
    println!(
        "  -H 'x-session: s1' -d '{{\"stream\":true,\"messages\":[{{\"role\":\"user\",\"content\":\"Why is it sluggish?\"}}]}}'"
    );
    println!();
    println!("# a call of a plain service");
    println!(
        "curl -s -i http://{callers}/v1/services/crock-app/orders -H 'authorization: Bearer key-baker-help'"
    );
    println!();
    println!("# a renewal, twice with one key: it runs once");
    println!("for i in 1 2; do curl -s -i -X POST http://{callers}/v1/services/crock-app/renew \\");
    println!(
        "  -H 'authorization: Bearer key-renewals' -H 'idempotency-key: renewal-1' -d '{{\"household\":7}}'; done"
    );
    println!();
    println!("# a preset switch, and what every host has in force");
    println!("export FOXTAILHOIST_ADDRESS={operators} FOXTAILHOIST_KEY={}", OPERATOR_KEYS[0].1);
    println!("cargo run --release -q -- preset switch peak --why 'Saturday rush'");
    println!(
        "curl -s -X POST http://{operators}/v1/operator -H 'authorization: Bearer {}' \\",
        OPERATOR_KEYS[0].1
    );
    println!("  -d '{{\"command\":\"status\"}}'");
    println!();
    println!("# faults of the stand-ins: POST /faults on each");
    println!("host list http://{host_list}/faults");
    for server in &running.deployment.addresses().backend_servers {
        println!("{} http://{}/faults", server.id, server.address);
    }
    println!();
    println!("Stop with Ctrl-C: running answers finish first.");
}
