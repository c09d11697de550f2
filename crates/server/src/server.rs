//! Starts and stops the process around an entry host.

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

use crate::Edges;
use crate::ServerConfig;
use crate::http;
use crate::listener::Bound;
use crate::listener::Listening;
use crate::metrics::Metrics;
use crate::poll;
use crate::shell::Shell;

/// A running entry host.
pub struct Server {
    shell: Arc<Shell>,
    listeners: Vec<Listening>,
    tasks: Vec<JoinHandle<()>>,
    addresses: Addresses,
}

/// Addresses that the listeners got.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    pub callers: SocketAddr,
    pub operators: SocketAddr,
    pub peers: SocketAddr,
}

/// Why a server did not start.
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
    /// Fails when an address cannot be listened on, and when TLS files cannot be used.
    pub async fn start(cfg: ServerConfig, edges: Edges) -> Result<Server, StartError> {
        let callers = Bound::bind(cfg.listen.callers, cfg.tls.as_ref()).await?;
        let operators = Bound::bind(cfg.listen.operators, cfg.tls.as_ref()).await?;
        let peers = Bound::bind(cfg.listen.peers, None).await?;
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
        let shell =
            Arc::new(Shell::new(host, edges, cfg.limits, cfg.keys, Metrics::new()?, &cfg.identity));
        let listeners = vec![
            callers.serve(http::caller_routes(&shell)),
            operators.serve(http::operator_routes(&shell)),
            peers.serve(http::peer_routes(&shell)),
        ];
        let tasks = vec![
            tokio::spawn(Arc::clone(&shell).run_clock()),
            tokio::spawn(poll::host_list(Arc::clone(&shell))),
        ];
        Ok(Server { shell, listeners, tasks, addresses })
    }

    /// Addresses that the listeners got.
    #[must_use]
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Whether the balancer may send requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.shell.is_ready()
    }

    /// Carries out an operator's command on this host.
    ///
    /// # Errors
    ///
    /// Returns the refusal.
    pub async fn operator(&self, order: OperatorCommand) -> Result<OperatorReply, Refusal> {
        self.shell.operator(order).await
    }

    /// Stops in order: not ready, no new requests, running answers finished, journal and peers closed.
    /// Returns whether everything ended within the time allowed.
    pub async fn close(self) -> bool {
        let mut stopped = self.shell.stopped();
        self.shell.handle(Event::Stop);
        let timeout = self.shell.limits().stop_timeout;
        let in_time =
            tokio::time::timeout(timeout, stopped.wait_for(|stopped| *stopped)).await.is_ok();
        for listening in self.listeners {
            listening.close().await;
        }
        for task in self.tasks {
            task.abort();
        }
        in_time
    }
}
