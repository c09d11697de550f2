//! Settings of the HTTP clients and a connection pool for each server.
//!
//! Every server has its own `reqwest::Client`, so retiring a server's connections means dropping its client: answers in
//! progress keep the old connections until they end, and the next call opens new ones.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use reqwest::Client;

/// Timeout for establishing a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Timeout for an answer's head, in addition to the wait that a watch requests.
pub const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout between two chunks of an answer.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout of a probe over a new connection, for the head and between chunks.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time after which an idle connection is closed.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of servers with a pool; the least recently used pool is dropped first.
pub const POOLS_LIMIT: usize = 16_384;

/// Timeouts of the clients; built by [`ClientSettingsBuilder`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientSettings {
    connect_timeout: Duration,
    head_timeout: Duration,
    idle_timeout: Duration,
    probe_timeout: Duration,
}

/// Builds [`ClientSettings`]; settings that are not given keep their defaults.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClientSettingsBuilder {
    settings: ClientSettings,
}

/// HTTP clients by server address.
#[derive(Debug)]
pub(crate) struct ClientPools {
    settings: ClientSettings,
    table: Mutex<PoolTable>,
}

#[derive(Debug, Default)]
struct PoolTable {
    pools: BTreeMap<SocketAddr, Pool>,
    uses: u64,
}

#[derive(Debug)]
struct Pool {
    client: Client,
    last_use: u64,
}

impl ClientSettings {
    #[must_use]
    pub fn connect_timeout(&self) -> Duration {
        self.connect_timeout
    }

    #[must_use]
    pub fn head_timeout(&self) -> Duration {
        self.head_timeout
    }

    #[must_use]
    pub fn idle_timeout(&self) -> Duration {
        self.idle_timeout
    }

    #[must_use]
    pub fn probe_timeout(&self) -> Duration {
        self.probe_timeout
    }
}

impl Default for ClientSettings {
    fn default() -> ClientSettings {
        ClientSettings {
            connect_timeout: CONNECT_TIMEOUT,
            head_timeout: HEAD_TIMEOUT,
            idle_timeout: IDLE_TIMEOUT,
            probe_timeout: PROBE_TIMEOUT,
        }
    }
}

impl ClientSettingsBuilder {
    #[must_use]
    pub fn new() -> ClientSettingsBuilder {
        ClientSettingsBuilder::default()
    }

    #[must_use]
    pub fn connect_timeout(mut self, timeout: Duration) -> ClientSettingsBuilder {
        self.settings.connect_timeout = timeout;
        self
    }

    #[must_use]
    pub fn head_timeout(mut self, timeout: Duration) -> ClientSettingsBuilder {
        self.settings.head_timeout = timeout;
        self
    }

    #[must_use]
    pub fn idle_timeout(mut self, timeout: Duration) -> ClientSettingsBuilder {
        self.settings.idle_timeout = timeout;
        self
    }

    #[must_use]
    pub fn probe_timeout(mut self, timeout: Duration) -> ClientSettingsBuilder {
        self.settings.probe_timeout = timeout;
        self
    }

    #[must_use]
    pub fn build(self) -> ClientSettings {
        self.settings
    }
}

impl ClientPools {
    pub(crate) fn new(settings: ClientSettings) -> ClientPools {
        ClientPools { settings, table: Mutex::default() }
    }

    pub(crate) fn settings(&self) -> &ClientSettings {
        &self.settings
    }

    /// Returns a clone of a server's client; all clones share its pooled connections.
    pub(crate) fn client(&self, address: SocketAddr) -> Client {
        let mut table = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        table.uses += 1;
        let last_use = table.uses;
        if let Some(pool) = table.pools.get_mut(&address) {
            pool.last_use = last_use;
            return pool.client.clone();
        }
        table.evict_if_full();
        let client = new_client(&self.settings);
        table.pools.insert(address, Pool { client: client.clone(), last_use });
        client
    }

    /// Drops a server's client, so that the next call opens a new connection.
    pub(crate) fn retire(&self, address: SocketAddr) {
        let mut table = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        table.pools.remove(&address);
    }
}

impl PoolTable {
    /// Drops the least recently used pool if the table is full.
    fn evict_if_full(&mut self) {
        if self.pools.len() < POOLS_LIMIT {
            return;
        }
        let oldest = self.pools.iter().min_by_key(|(_, pool)| pool.last_use);
        if let Some(address) = oldest.map(|(address, _)| *address) {
            self.pools.remove(&address);
        }
    }
}

/// Creates a client without connections. Servers are addressed by IP over plain HTTP, so it uses no proxies, redirects
/// or root certificates.
pub(crate) fn new_client(settings: &ClientSettings) -> Client {
    Client::builder()
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .tls_certs_only([])
        .tcp_nodelay(true)
        .connect_timeout(settings.connect_timeout)
        .pool_idle_timeout(POOL_IDLE_TIMEOUT)
        .build()
        .expect("the options above are constant and valid together")
}
