//! Client connections to backend servers and to the store, and the pool of idle ones.
//!
//! A connection carries one request at a time. Dropping a connection closes it at once, which cancels its request. An
//! idle connection is reused only while the remote end has neither closed it nor sent anything.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::LocalBoxFuture;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::header::CONNECTION;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// Connect timeout for backend servers: many times the network delay between data centres. A lost SYN is retransmitted
/// only after a second, so a longer timeout would gain nothing.
pub(crate) const SERVER_CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Idle time before the first TCP keepalive probe, and the interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keepalive probes after which a connection is considered dead.
const KEEPALIVE_RETRIES: u32 = 2;
/// Maximum time for a server, the store or an entry host to acknowledge sent data.
pub(crate) const PEER_USER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Maximum time for a caller to take sent data. It covers the pauses of a caller that does not read, too.
pub(crate) const CALLER_USER_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum idle time of a pooled connection, also where the server states a longer one.
const MAX_IDLE: Duration = Duration::from_millis(3_000);
/// Fraction of the server's stated keep-alive timeout for which a connection stays in the pool.
const KEEP_ALIVE_FRACTION: f64 = 0.7;
/// Maximum number of idle connections per address.
const MAX_IDLE_PER_ADDRESS: usize = 16;
/// Maximum wait for a connection to become ready again after an answer.
const READY_TIMEOUT: Duration = Duration::from_millis(100);

/// Maximum size of a connection's read buffer, which also limits an answer's head.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// Opens connections to backend servers. Tests replace it to cut one host off from them.
pub trait Connect {
    fn connect(&self, address: SocketAddr) -> LocalBoxFuture<'static, io::Result<TcpStream>>;
}

/// Opens TCP connections directly.
pub struct TcpConnect;

/// An HTTP/1 client connection.
pub struct Conn {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    max_idle: Duration,
}

/// Why a request got no answer.
#[derive(Debug)]
pub enum SendError {
    /// Nothing was sent.
    NotSent(String),
    /// The request may have arrived.
    Broken(String),
}

/// Idle connections by address.
#[derive(Default)]
pub struct ConnPool {
    idle: std::cell::RefCell<BTreeMap<SocketAddr, Vec<IdleConn>>>,
}

struct IdleConn {
    conn: Conn,
    idle_since: Instant,
}

impl Connect for TcpConnect {
    fn connect(&self, address: SocketAddr) -> LocalBoxFuture<'static, io::Result<TcpStream>> {
        Box::pin(TcpStream::connect(address))
    }
}

impl Conn {
    /// Connects to an address.
    ///
    /// # Errors
    ///
    /// Fails if the connection is refused or times out; no part of a request has been sent then.
    pub async fn open(address: SocketAddr, timeout: Duration) -> io::Result<Conn> {
        Conn::open_by(&TcpConnect, address, timeout).await
    }

    /// Connects to an address by a connector.
    ///
    /// # Errors
    ///
    /// As [`Conn::open`].
    pub async fn open_by(
        connect: &dyn Connect,
        address: SocketAddr,
        timeout: Duration,
    ) -> io::Result<Conn> {
        let timed_out = |_| io::Error::new(io::ErrorKind::TimedOut, "connect timed out");
        let stream =
            tokio::time::timeout(timeout, connect.connect(address)).await.map_err(timed_out)??;
        set_socket_options(&stream, PEER_USER_TIMEOUT)?;
        let (sender, conn) = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        // The sender reports connection errors, too.
        let task = tokio::task::spawn_local(async move {
            let _ = conn.await;
        });
        Ok(Conn { address, sender, task: task.abort_handle(), max_idle: MAX_IDLE })
    }

    /// Sends a request and waits for the response head.
    ///
    /// # Errors
    ///
    /// The error states whether any part of the request may have been sent.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        match self.sender.try_send_request(request).await {
            Ok(response) => {
                self.max_idle = max_idle(response.headers());
                Ok(response)
            }
            Err(mut e) => {
                let was_sent = e.take_message().is_none();
                let reason = e.into_error().to_string();
                Err(if was_sent { SendError::Broken(reason) } else { SendError::NotSent(reason) })
            }
        }
    }

    /// Whether the connection can take a request, as far as is known locally.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Closes the connection at once.
    pub fn close(self) {
        drop(self);
    }
}

impl Drop for Conn {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl ConnPool {
    /// Takes an idle connection that is usable as far as is known locally.
    pub fn take(&self, address: SocketAddr) -> Option<Conn> {
        let mut idle = self.idle.borrow_mut();
        let conns = idle.get_mut(&address)?;
        while let Some(IdleConn { conn, idle_since }) = conns.pop() {
            if is_usable(&conn, idle_since) {
                return Some(conn);
            }
        }
        None
    }

    /// Adds a connection without an unread answer to the pool once it is ready for the next request.
    pub fn put(self: &Rc<ConnPool>, mut conn: Conn) {
        if conn.max_idle.is_zero() {
            return;
        }
        let pool = self.clone();
        tokio::task::spawn_local(async move {
            let ready = tokio::time::timeout(READY_TIMEOUT, conn.sender.ready()).await;
            if !matches!(ready, Ok(Ok(()))) {
                return;
            }
            let mut idle = pool.idle.borrow_mut();
            let conns = idle.entry(conn.address).or_default();
            if conns.len() < MAX_IDLE_PER_ADDRESS {
                conns.push(IdleConn { conn, idle_since: Instant::now() });
            }
        });
    }

    /// Closes all idle connections to an address.
    pub fn evict(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes connections that have exceeded their idle time.
    pub fn sweep(&self) {
        let mut idle = self.idle.borrow_mut();
        for conns in idle.values_mut() {
            conns.retain(|idle| is_usable(&idle.conn, idle.idle_since));
        }
        idle.retain(|_, conns| !conns.is_empty());
    }
}

/// Whether a connection idle since `idle_since` can take a request, as far as is known locally.
fn is_usable(conn: &Conn, idle_since: Instant) -> bool {
    conn.is_ready() && idle_since.elapsed() < conn.max_idle
}

/// Sets socket options that detect a dead peer and disable Nagle's algorithm. `user_timeout` is the maximum time for
/// the peer to take sent data.
///
/// # Errors
///
/// Fails if the operating system rejects an option.
pub fn set_socket_options(stream: &TcpStream, user_timeout: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(user_timeout))
}

/// How long a connection may stay idle by the response headers; zero if the server closes it.
fn max_idle(headers: &HeaderMap) -> Duration {
    let closes = headers.get_all(CONNECTION).iter().any(|value| {
        value.to_str().is_ok_and(|value| {
            value.split(',').any(|token| token.trim().eq_ignore_ascii_case("close"))
        })
    });
    if closes {
        return Duration::ZERO;
    }
    let stated =
        headers.get("keep-alive").and_then(|value| value.to_str().ok()).and_then(|value| {
            let (_, seconds) = value.split_once("timeout=")?;
            seconds.split([',', ';', ' ']).next()?.parse::<u64>().ok()
        });
    match stated {
        Some(seconds) => Duration::from_secs(seconds).mul_f64(KEEP_ALIVE_FRACTION).min(MAX_IDLE),
        None => MAX_IDLE,
    }
}
