//! Listeners: callers' connections with their timeouts, and the pages for the load balancer and for metrics.

use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use foxtailhoist_route::routes::CallerLimits;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

use crate::conn::CALLER_USER_TIMEOUT;
use crate::conn::set_socket_options;
use crate::core::Core;
use crate::serve::serve;

/// Maximum number of connections waiting to be accepted.
const BACKLOG: u32 = 1024;
/// Interval between checks of a connection's timeouts.
const TIMEOUT_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Delay after a failed accept, such as when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// State of a caller's connection, from which its timeouts are computed.
#[derive(Debug)]
struct Activity {
    /// Requests being served: 0 or 1.
    busy: Cell<u32>,
    /// When the connection became idle, or when the current request head began to arrive.
    since: Cell<Instant>,
    head_started: Cell<bool>,
}

/// A socket that records reads and writes in its connection's activity.
struct TrackedStream {
    stream: TcpStream,
    activity: Rc<Activity>,
}

/// Binds a listener to an address.
///
/// # Errors
///
/// Fails if the address cannot be listened on.
pub(crate) fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts callers' connections until the process ends.
pub(crate) async fn accept_callers(core: Rc<Core>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve_caller(core.clone(), stream));
            }
            Err(e) => {
                log::warn!("event=accept_failed reason={:?}", e.to_string());
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves pages until the process ends; `page` returns status and body for a path.
pub(crate) async fn serve_pages(
    listener: TcpListener,
    page: impl Fn(&str) -> (StatusCode, Vec<u8>) + Clone + 'static,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let page = page.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request: http::Request<hyper::body::Incoming>| {
                let (status, text) = page(request.uri().path());
                let mut response = Response::new(Full::new(Bytes::from(text)));
                *response.status_mut() = status;
                async move { Ok::<_, Infallible>(response) }
            });
            let conn = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            // The client may disconnect at any time.
            let _ = conn.await;
        });
    }
}

async fn serve_caller(core: Rc<Core>, stream: TcpStream) {
    if let Err(e) = set_socket_options(&stream, CALLER_USER_TIMEOUT) {
        log::warn!("event=socket_options_refused reason={:?}", e.to_string());
    }
    let _open = OpenConnection::new(core.clone());
    let activity = Rc::new(Activity {
        busy: Cell::new(0),
        since: Cell::new(Instant::now()),
        head_started: Cell::new(false),
    });
    let io = TokioIo::new(TrackedStream { stream, activity: activity.clone() });
    let service = {
        let core = core.clone();
        let activity = activity.clone();
        service_fn(move |request| {
            let guard = BusyGuard::new(activity.clone());
            let core = core.clone();
            async move {
                let response = serve(core, request).await;
                drop(guard);
                Ok::<_, Infallible>(response)
            }
        })
    };
    let mut builder = http1::Builder::new();
    builder.header_read_timeout(None).half_close(false);
    let mut conn = std::pin::pin!(builder.serve_connection(io, service));
    let mut is_closing = false;
    loop {
        let closing = async {
            if is_closing {
                std::future::pending::<()>().await;
            }
            core.closing.notified().await;
        };
        tokio::select! {
            // Errors here are the caller's: it disconnected, or sent an invalid request and was answered 400.
            _ = conn.as_mut() => return,
            () = closing => {
                is_closing = true;
                conn.as_mut().graceful_shutdown();
            }
            () = tokio::time::sleep(TIMEOUT_POLL_INTERVAL) => {
                if activity.is_overdue(&core.limits()) {
                    if activity.head_started.get() {
                        return;
                    }
                    is_closing = true;
                    conn.as_mut().graceful_shutdown();
                }
            }
        }
    }
}

/// Counts a connection while it is open.
struct OpenConnection {
    core: Rc<Core>,
}

impl OpenConnection {
    fn new(core: Rc<Core>) -> OpenConnection {
        core.connections.set(core.connections.get() + 1);
        OpenConnection { core }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let open = self.core.connections.get() - 1;
        self.core.connections.set(open);
        if open == 0 {
            self.core.all_closed.notify_waiters();
        }
    }
}

/// Marks a connection as busy until the response head is ready to be sent.
struct BusyGuard {
    activity: Rc<Activity>,
}

impl BusyGuard {
    fn new(activity: Rc<Activity>) -> BusyGuard {
        activity.busy.set(activity.busy.get() + 1);
        activity.head_started.set(false);
        BusyGuard { activity }
    }
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.activity.busy.set(self.activity.busy.get() - 1);
        self.activity.since.set(Instant::now());
        self.activity.head_started.set(false);
    }
}

impl Activity {
    fn is_overdue(&self, limits: &CallerLimits) -> bool {
        if self.busy.get() > 0 {
            return false;
        }
        let limit =
            if self.head_started.get() { limits.header_timeout } else { limits.idle_timeout };
        self.since.get().elapsed() > limit
    }

    /// Records that the first bytes of a request head arrived.
    fn on_read(&self) {
        if self.busy.get() == 0 && !self.head_started.replace(true) {
            self.since.set(Instant::now());
        }
    }

    /// Restarts the idle timeout: a stream that is written to is not idle.
    fn on_write(&self) {
        if self.busy.get() == 0 {
            self.since.set(Instant::now());
        }
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.activity.on_read();
        }
        result
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.activity.on_write();
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.activity.on_write();
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }
}
