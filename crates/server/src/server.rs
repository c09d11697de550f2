//! Starts and stops an entry host with its listeners and background tasks.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Instant;
use std::time::SystemTime;

use foxtailhoist_host::EntryHost;
use foxtailhoist_host::HostConfig;
use foxtailhoist_host::event::Event;
use foxtailhoist_host::operator::OperatorCommand;
use foxtailhoist_host::operator::OperatorReply;
use foxtailhoist_model::Refusal;
use foxtailhoist_report::scrape::MetricsExporterError;
use thiserror::Error;
use tokio::task::JoinHandle;

use crate::Clients;
use crate::ServerConfig;
use crate::driver::Driver;
use crate::http;
use crate::listener::BoundListener;
use crate::listener::RunningListener;
use crate::metrics::Metrics;
use crate::poll;

/// A running entry host.
pub struct Server {
    driver: Arc<Driver>,
    listeners: Vec<RunningListener>,
    tasks: Vec<JoinHandle<()>>,
    addresses: Addresses,
}

/// Addresses that the listeners are bound to.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    pub callers: SocketAddr,
    pub operators: SocketAddr,
    pub peers: SocketAddr,
}

/// Reason why a server did not start.
#[derive(Debug, Error)]
pub enum StartError {
    #[error("cannot listen on {address}: {reason}; choose another address or port in the settings")]
    Listen { address: SocketAddr, reason: String },
    #[error(
        "TLS: {file} cannot be used: {reason}; it must be a PEM file that this process may read"
    )]
    TlsFile { file: PathBuf, reason: String },
    #[error(transparent)]
    Metrics(#[from] MetricsExporterError),
}

impl Server {
    /// Binds the listeners and starts the entry host.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be listened on, a TLS file cannot be used, or the metrics exporter cannot be
    /// registered.
    pub async fn start(cfg: ServerConfig, clients: Clients) -> Result<Server, StartError> {
        let callers = BoundListener::bind(cfg.listen.callers, cfg.tls.as_ref()).await?;
        let operators = BoundListener::bind(cfg.listen.operators, cfg.tls.as_ref()).await?;
        let peers = BoundListener::bind(cfg.listen.peers, None).await?;
        let addresses = Addresses {
            callers: callers.address(),
            operators: operators.address(),
            peers: peers.address(),
        };
        let host_config = HostConfig {
            host: cfg.identity.host.clone(),
            data_centre: cfg.identity.data_centre.clone(),
            incarnation: cfg.identity.incarnation,
            peer_address: cfg.advertise.unwrap_or(addresses.peers),
            seeds: cfg.seeds.clone(),
            enforcement: foxtailhoist_model::Enforcement::Count,
        };
        let host = EntryHost::new(host_config, cfg.seed, Instant::now(), SystemTime::now());
        let driver = Arc::new(Driver::new(
            host,
            clients,
            cfg.limits,
            cfg.keys,
            Metrics::new()?,
            &cfg.identity,
        ));
        let listeners = vec![
            callers.serve(http::caller_routes(&driver)),
            operators.serve(http::operator_routes(&driver)),
            peers.serve(http::peer_routes(&driver)),
        ];
        let tasks = vec![
            tokio::spawn(Arc::clone(&driver).run_timer()),
            tokio::spawn(poll::poll_host_list(Arc::clone(&driver))),
        ];
        Ok(Server { driver, listeners, tasks, addresses })
    }

    /// Addresses that the listeners are bound to.
    #[must_use]
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Whether the load balancer may send requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.driver.is_ready()
    }

    /// Executes an operator's command on this host.
    ///
    /// # Errors
    ///
    /// Returns the refusal.
    pub async fn execute_command(&self, order: OperatorCommand) -> Result<OperatorReply, Refusal> {
        self.driver.execute_command(order).await
    }

    /// Shuts down gracefully: reports not ready, refuses new requests, tells the peers that it leaves, finishes answers
    /// in progress and closes the journal. Returns whether all of this completed within the stop timeout.
    pub async fn close(self) -> bool {
        let mut stopped = self.driver.stopped();
        self.driver.handle(Event::Stop);
        let timeout = self.driver.limits().stop_timeout;
        let in_time =
            tokio::time::timeout(timeout, stopped.wait_for(|stopped| *stopped)).await.is_ok();
        for listener in self.listeners {
            listener.close().await;
        }
        for task in self.tasks {
            task.abort();
        }
        in_time
    }
}
