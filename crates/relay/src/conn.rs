//! Connections to backend servers and to the store: opened, kept, retired.
//!
//! One request runs on a connection at a time. A connection that is dropped is closed at once, which cancels what runs
//! there. Kept connections are only used again while the other end has neither closed nor sent anything.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
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

/// Longest wait for a connection to a backend server: many times the delay between data centres. A lost first packet is
/// sent again after a second only, so a longer wait would gain nothing.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// First probe of a silent connection and the pause between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Probes without an answer after which a connection is dead.
const KEEPALIVE_RETRIES: u32 = 2;
/// Longest time for the other end to acknowledge what was sent.
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Longest time that a connection is kept unused, where the server states none.
const IDLE_MAX: Duration = Duration::from_millis(3_000);
/// Part of the server's stated time for which a connection is kept.
const IDLE_SHARE: f64 = 0.7;
/// Kept connections to one address.
const KEPT_MAX: usize = 16;
/// Longest wait for a connection to be ready again after an answer.
const READY_TIMEOUT: Duration = Duration::from_millis(100);

/// One connection.
pub struct Conn {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    idle_max: Duration,
}

/// Why there is no answer.
#[derive(Debug)]
pub enum SendError {
    /// Nothing was sent.
    NotSent(String),
    /// The request may have arrived.
    Broken(String),
}

/// Kept connections by address.
#[derive(Default)]
pub struct ConnPool {
    kept: std::cell::RefCell<BTreeMap<SocketAddr, Vec<Kept>>>,
}

struct Kept {
    conn: Conn,
    since: Instant,
}

impl Conn {
    /// Connects.
    ///
    /// # Errors
    ///
    /// Fails when the address refuses or does not answer in time; nothing was sent then.
    pub async fn open(address: SocketAddr, timeout: Duration) -> io::Result<Conn> {
        let late = |_| io::Error::new(io::ErrorKind::TimedOut, "connecting took too long");
        let stream =
            tokio::time::timeout(timeout, TcpStream::connect(address)).await.map_err(late)??;
        set_options(&stream)?;
        let (sender, conn) =
            http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
        // An error of the connection reaches the sender too, which reports it.
        let task = tokio::task::spawn_local(async move {
            let _ = conn.await;
        });
        Ok(Conn { address, sender, task: task.abort_handle(), idle_max: IDLE_MAX })
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// Tells whether anything may have been sent.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        match self.sender.try_send_request(request).await {
            Ok(response) => {
                self.idle_max = idle_max(response.headers());
                Ok(response)
            }
            Err(mut e) => {
                let was_sent = e.take_message().is_none();
                let reason = e.into_error().to_string();
                Err(if was_sent { SendError::Broken(reason) } else { SendError::NotSent(reason) })
            }
        }
    }

    /// Whether the connection can take a request, as far as this end can tell.
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
    /// A kept connection that is usable as far as this end can tell.
    pub fn take(&self, address: SocketAddr) -> Option<Conn> {
        let mut kept = self.kept.borrow_mut();
        let conns = kept.get_mut(&address)?;
        while let Some(Kept { conn, since }) = conns.pop() {
            if is_usable(&conn, since) {
                return Some(conn);
            }
        }
        None
    }

    /// Keeps a connection whose answer was read whole, once it is ready again.
    pub fn keep(self: &Rc<ConnPool>, mut conn: Conn) {
        if conn.idle_max.is_zero() {
            return;
        }
        let pool = self.clone();
        tokio::task::spawn_local(async move {
            let ready = tokio::time::timeout(READY_TIMEOUT, conn.sender.ready()).await;
            if !matches!(ready, Ok(Ok(()))) {
                return;
            }
            let mut kept = pool.kept.borrow_mut();
            let conns = kept.entry(conn.address).or_default();
            if conns.len() < KEPT_MAX {
                conns.push(Kept { conn, since: Instant::now() });
            }
        });
    }

    /// Closes all kept connections to an address.
    pub fn retire(&self, address: SocketAddr) {
        self.kept.borrow_mut().remove(&address);
    }

    /// Closes connections that have been unused for too long.
    pub fn sweep(&self) {
        let mut kept = self.kept.borrow_mut();
        for conns in kept.values_mut() {
            conns.retain(|kept| is_usable(&kept.conn, kept.since));
        }
        kept.retain(|_, conns| !conns.is_empty());
    }
}

/// Whether a connection that has been unused since then can take a request, as far as this end can tell.
fn is_usable(conn: &Conn, since: Instant) -> bool {
    conn.is_ready() && since.elapsed() < conn.idle_max
}

/// Sets the options that detect a dead peer and send small pieces at once.
///
/// # Errors
///
/// Fails when the system refuses an option.
pub fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}

/// How long the server lets a connection be unused; zero where it closes it.
fn idle_max(headers: &HeaderMap) -> Duration {
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
        Some(seconds) => Duration::from_secs(seconds).mul_f64(IDLE_SHARE).min(IDLE_MAX),
        None => IDLE_MAX,
    }
}
