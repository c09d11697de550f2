//! Validated settings of the server.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use foxtailhoist_model::DataCentreId;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::Incarnation;
use foxtailhoist_model::ListedHost;

use crate::KeyRing;

/// Settings that a server needs to start.
#[derive(Clone)]
pub struct ServerConfig {
    pub identity: Identity,
    pub listen: Listen,
    /// TLS for the listeners of callers and operators; plain HTTP if absent.
    pub tls: Option<TlsFiles>,
    /// Address at which peers reach this host; defaults to the address that it listens on.
    pub advertise: Option<SocketAddr>,
    pub keys: KeyRing,
    pub limits: Limits,
    /// Peers to contact before the host list has been read.
    pub seeds: Vec<ListedHost>,
    /// Seed of the host's random generator.
    pub seed: u64,
}

/// Identity of this entry host.
#[derive(Clone, Debug)]
pub struct Identity {
    pub host: EntryHostId,
    pub data_centre: DataCentreId,
    pub incarnation: Incarnation,
}

/// Addresses to listen on; port 0 picks a free port.
#[derive(Clone, Copy, Debug)]
pub struct Listen {
    pub callers: SocketAddr,
    pub operators: SocketAddr,
    pub peers: SocketAddr,
}

/// PEM files of a certificate chain and of its private key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TlsFiles {
    pub certificate: PathBuf,
    pub key: PathBuf,
}

/// Limits on the resources that callers and backend servers can make the process use.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub body_bytes: usize,
    pub header_bytes: usize,
    /// Timeout for receiving a request's complete body.
    pub body_timeout: Duration,
    /// Maximum bytes of an answer that are buffered before any of it may be delivered to the caller.
    pub withheld_bytes: usize,
    /// Maximum chunks of an answer that are buffered for a slow caller.
    pub buffered_chunks: usize,
    /// Maximum number of requests in progress.
    pub requests: usize,
    /// Maximum number of streamed requests in progress.
    pub streams: usize,
    /// Timeout for answers in progress at a planned stop.
    pub stop_timeout: Duration,
    /// Interval between reads of the host list and of each backend server's feed.
    pub poll_interval: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            body_bytes: 8 << 20,
            header_bytes: 16 << 10,
            body_timeout: Duration::from_secs(10),
            withheld_bytes: 8 << 20,
            buffered_chunks: 32,
            requests: 8192,
            streams: 4096,
            stop_timeout: Duration::from_secs(120),
            poll_interval: Duration::from_secs(1),
        }
    }
}
