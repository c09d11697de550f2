//! Checked settings of the server.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use foxtailhoist_model::DataCentreId;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::Incarnation;
use foxtailhoist_model::ListedHost;

use crate::KeyRing;

/// Everything that a server needs to start.
#[derive(Clone)]
pub struct ServerConfig {
    pub identity: Identity,
    pub listen: Listen,
    /// For the listeners of callers and operators; plain HTTP without it.
    pub tls: Option<TlsFiles>,
    /// Where peers reach this host; the address that it listens on when absent.
    pub advertise: Option<SocketAddr>,
    pub keys: KeyRing,
    pub limits: Limits,
    /// Peers to contact before the host list was read.
    pub seeds: Vec<ListedHost>,
    /// Seed of the host's random generator.
    pub seed: u64,
}

/// Who this entry host is.
#[derive(Clone, Debug)]
pub struct Identity {
    pub host: EntryHostId,
    pub data_centre: DataCentreId,
    pub incarnation: Incarnation,
}

/// Addresses to listen on; port 0 takes a free one.
#[derive(Clone, Copy, Debug)]
pub struct Listen {
    pub callers: SocketAddr,
    pub operators: SocketAddr,
    pub peers: SocketAddr,
}

/// PEM files of a certificate, with those that vouch for it, and of its private key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TlsFiles {
    pub certificate: PathBuf,
    pub key: PathBuf,
}

/// Limits on what one caller or backend server may make the process hold.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub body_bytes: usize,
    pub header_bytes: usize,
    /// Longest wait for a request's whole body.
    pub body_timeout: Duration,
    /// Bytes of an answer that are kept before any of it may go to the caller.
    pub withheld_bytes: usize,
    /// Pieces of an answer that wait for a slow reader.
    pub pieces: usize,
    /// Requests in progress, and streamed ones among them.
    pub requests: usize,
    pub streams: usize,
    /// Longest wait for running answers at a planned stop.
    pub stop_timeout: Duration,
    /// Time between reads of the host list and of each backend server's feed.
    pub poll_interval: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            body_bytes: 8 << 20,
            header_bytes: 16 << 10,
            body_timeout: Duration::from_secs(10),
            withheld_bytes: 8 << 20,
            pieces: 32,
            requests: 8192,
            streams: 4096,
            stop_timeout: Duration::from_secs(120),
            poll_interval: Duration::from_secs(1),
        }
    }
}
