//! Listeners, with TLS or without.

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

/// Time for connections to close after the last answer.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1024;

/// A bound address that does not answer yet.
pub struct Bound {
    acceptor: BoundAcceptor,
    address: SocketAddr,
}

/// A listener that answers.
pub struct Listening {
    handle: ServerHandle,
    task: JoinHandle<()>,
}

/// A listening socket, for a TLS listener that would bind by itself.
struct Listened(TcpAcceptor);

enum BoundAcceptor {
    Plain(TcpAcceptor),
    Tls(RustlsAcceptor<TcpAcceptor>),
}

impl Bound {
    /// Binds an address.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be listened on or a TLS file cannot be used.
    pub async fn bind(address: SocketAddr, tls: Option<&TlsFiles>) -> Result<Bound, StartError> {
        let config = tls.map(tls_config).transpose()?;
        let acceptor = listen(address).map_err(|e| refused(address, &e))?;
        let local = acceptor.local_addr().map_err(|e| refused(address, &e))?;
        let acceptor = match config {
            None => BoundAcceptor::Plain(acceptor),
            Some(config) => {
                let listener = RustlsListener::new(config, Listened(acceptor));
                let acceptor = listener.try_bind().await.map_err(|e| refused(address, &e))?;
                BoundAcceptor::Tls(acceptor)
            }
        };
        Ok(Bound { acceptor, address: local })
    }

    /// The address that was bound.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts to answer.
    pub fn serve(self, routes: Router) -> Listening {
        match self.acceptor {
            BoundAcceptor::Plain(acceptor) => Listening::start(acceptor, routes),
            BoundAcceptor::Tls(acceptor) => Listening::start(acceptor, routes),
        }
    }
}

impl Listening {
    fn start<A: Acceptor + Send + 'static>(acceptor: A, routes: Router) -> Listening {
        let server = salvo::Server::new(acceptor);
        let handle = server.handle();
        let task = tokio::spawn(server.serve(routes));
        Listening { handle, task }
    }

    /// Stops to listen, and waits for the connections to end.
    pub async fn close(self) {
        self.handle.stop_graceful(Some(CLOSE_TIMEOUT));
        // The task ends with the last connection or after the time-out.
        let _ = self.task.await;
    }
}

impl Listener for Listened {
    type Acceptor = TcpAcceptor;

    async fn try_bind(self) -> Result<TcpAcceptor, salvo::Error> {
        Ok(self.0)
    }
}

/// Listens without Nagle's algorithm: it would hold each small piece of a stream back until the piece before is
/// acknowledged. Accepted connections inherit the option from the listening socket.
fn listen(address: SocketAddr) -> std::io::Result<TcpAcceptor> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)?.try_into()
}

/// Reads the files, and checks here that they can be used: the listener itself would only log it.
fn tls_config(files: &TlsFiles) -> Result<RustlsConfig, StartError> {
    let certificate = read(&files.certificate)?;
    let key = read(&files.key)?;
    let config = RustlsConfig::new(Keycert::new().cert(certificate).key(key));
    let unusable = |e: std::io::Error| StartError::TlsFile {
        file: files.certificate.clone(),
        reason: format!("with the key {}: {e}", files.key.display()),
    };
    let checked: Result<ServerConfig, std::io::Error> = config.clone().try_into();
    checked.map_err(unusable)?;
    Ok(config)
}

fn read(file: &Path) -> Result<Vec<u8>, StartError> {
    std::fs::read(file)
        .map_err(|e| StartError::TlsFile { file: file.to_path_buf(), reason: e.to_string() })
}

fn refused(address: SocketAddr, error: &impl std::fmt::Display) -> StartError {
    StartError::Listen { address, reason: error.to_string() }
}
