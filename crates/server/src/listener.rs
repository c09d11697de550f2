//! HTTP listeners with and without TLS.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use salvo::Listener;
use salvo::conn::Acceptor;
use salvo::conn::rustls::Keycert;
use salvo::conn::rustls::RustlsAcceptor;
use salvo::conn::rustls::RustlsConfig;
use salvo::conn::rustls::RustlsListener;
use salvo::conn::rustls::ServerConfig;
use salvo::conn::tcp::TcpAcceptor;
use salvo::prelude::Router;
use salvo::server::ServerHandle;
use tokio::net::TcpSocket;
use tokio::task::JoinHandle;

use crate::StartError;
use crate::TlsFiles;

/// Timeout for connections to close at a planned stop, after the last answer.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Queue length for connections waiting to be accepted.
const BACKLOG: u32 = 1024;

/// A bound listener that does not serve requests yet.
pub struct BoundListener {
    acceptor: BoundAcceptor,
    address: SocketAddr,
}

/// A listener that serves requests.
pub struct RunningListener {
    handle: ServerHandle,
    task: JoinHandle<()>,
}

/// Adapter that passes an already listening socket to the TLS listener, which would otherwise bind its own.
struct PreboundListener(TcpAcceptor);

enum BoundAcceptor {
    Plain(TcpAcceptor),
    Tls(RustlsAcceptor<TcpAcceptor>),
}

impl BoundListener {
    /// Binds an address.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be listened on or a TLS file cannot be used.
    pub async fn bind(
        address: SocketAddr,
        tls: Option<&TlsFiles>,
    ) -> Result<BoundListener, StartError> {
        let config = tls.map(tls_config).transpose()?;
        let acceptor = listen(address).map_err(|e| listen_error(address, &e))?;
        let local = acceptor.local_addr().map_err(|e| listen_error(address, &e))?;
        let acceptor = match config {
            None => BoundAcceptor::Plain(acceptor),
            Some(config) => {
                let listener = RustlsListener::new(config, PreboundListener(acceptor));
                let acceptor = listener.try_bind().await.map_err(|e| listen_error(address, &e))?;
                BoundAcceptor::Tls(acceptor)
            }
        };
        Ok(BoundListener { acceptor, address: local })
    }

    /// Address that was bound, with the actual port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts serving requests.
    pub fn serve(self, routes: Router) -> RunningListener {
        match self.acceptor {
            BoundAcceptor::Plain(acceptor) => RunningListener::start(acceptor, routes),
            BoundAcceptor::Tls(acceptor) => RunningListener::start(acceptor, routes),
        }
    }
}

impl RunningListener {
    fn start<A: Acceptor + Send + 'static>(acceptor: A, routes: Router) -> RunningListener {
        let server = salvo::Server::new(acceptor);
        let handle = server.handle();
        let task = tokio::spawn(server.serve(routes));
        RunningListener { handle, task }
    }

    /// Stops accepting connections and waits for the open ones to close.
    pub async fn close(self) {
        self.handle.stop_graceful(Some(CLOSE_TIMEOUT));
        // The task ends with the last connection or after the timeout.
        let _ = self.task.await;
    }
}

impl Listener for PreboundListener {
    type Acceptor = TcpAcceptor;

    async fn try_bind(self) -> Result<TcpAcceptor, salvo::Error> {
        Ok(self.0)
    }
}

/// Listens with Nagle's algorithm disabled: it would delay each small chunk of a stream until the previous chunk is
/// acknowledged. Accepted connections inherit the option from the listening socket.
fn listen(address: SocketAddr) -> std::io::Result<TcpAcceptor> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)?.try_into()
}

/// Reads and validates the TLS files. The listener itself would only log invalid ones.
fn tls_config(files: &TlsFiles) -> Result<RustlsConfig, StartError> {
    let certificate = read_file(&files.certificate)?;
    let key = read_file(&files.key)?;
    let config = RustlsConfig::new(Keycert::new().cert(certificate).key(key));
    let unusable = |e: std::io::Error| StartError::TlsFile {
        file: files.certificate.clone(),
        reason: format!("with the key {}: {e}", files.key.display()),
    };
    let checked: Result<ServerConfig, std::io::Error> = config.clone().try_into();
    checked.map_err(unusable)?;
    Ok(config)
}

fn read_file(file: &Path) -> Result<Vec<u8>, StartError> {
    std::fs::read(file)
        .map_err(|e| StartError::TlsFile { file: file.to_path_buf(), reason: e.to_string() })
}

fn listen_error(address: SocketAddr, error: &impl std::fmt::Display) -> StartError {
    StartError::Listen { address, reason: error.to_string() }
}
