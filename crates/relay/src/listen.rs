//! Listeners: callers' connections with their time-outs, and the pages for the balancer and for metrics.

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

use crate::conn::set_options;
use crate::core::Core;
use crate::serve::serve;

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1024;
/// Pause between two looks at a connection's time-outs.
const TIMEOUT_CHECK: Duration = Duration::from_secs(1);
/// Pause after a connection could not be accepted, such as for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What a caller's connection is doing.
#[derive(Debug)]
struct Activity {
    /// Requests being served: 0 or 1.
    busy: Cell<u32>,
    /// Since when it has been unused, or since when a head is arriving.
    since: Cell<Instant>,
    head_begun: Cell<bool>,
}

/// A socket that notes when a request's head begins.
struct Watched {
    stream: TcpStream,
    activity: Rc<Activity>,
}

/// Binds an address.
///
/// # Errors
///
/// Fails when the address cannot be listened on.
pub(crate) fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts callers' connections for as long as the process runs.
pub(crate) async fn accept_callers(core: Rc<Core>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve_caller(core.clone(), stream));
            }
            Err(e) => {
                log::warn!("event=accept_failed reason={:?}", e.to_string());
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Answers requests for a page until the process ends. `page` gives a status and a text by path.
pub(crate) async fn serve_pages(
    listener: TcpListener,
    page: impl Fn(&str) -> (StatusCode, Vec<u8>) + Clone + 'static,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
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
            // The balancer may leave whenever it likes.
            let _ = conn.await;
        });
    }
}

async fn serve_caller(core: Rc<Core>, stream: TcpStream) {
    if let Err(e) = set_options(&stream) {
        log::warn!("event=socket_options_refused reason={:?}", e.to_string());
    }
    let _open = OpenConnection::new(core.clone());
    let activity = Rc::new(Activity {
        busy: Cell::new(0),
        since: Cell::new(Instant::now()),
        head_begun: Cell::new(false),
    });
    let io = TokioIo::new(Watched { stream, activity: activity.clone() });
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
            // Errors here are the caller's: it left, or sent what is no request and was answered 400.
            _ = conn.as_mut() => return,
            () = closing => {
                is_closing = true;
                conn.as_mut().graceful_shutdown();
            }
            () = tokio::time::sleep(TIMEOUT_CHECK) => {
                if activity.is_overdue(&core.limits()) {
                    if activity.head_begun.get() {
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

/// Marks a connection as busy until the head of the answer goes out.
struct BusyGuard {
    activity: Rc<Activity>,
}

impl BusyGuard {
    fn new(activity: Rc<Activity>) -> BusyGuard {
        activity.busy.set(activity.busy.get() + 1);
        activity.head_begun.set(false);
        BusyGuard { activity }
    }
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.activity.busy.set(self.activity.busy.get() - 1);
        self.activity.since.set(Instant::now());
        self.activity.head_begun.set(false);
    }
}

impl Activity {
    fn is_overdue(&self, limits: &CallerLimits) -> bool {
        if self.busy.get() > 0 {
            return false;
        }
        let limit = if self.head_begun.get() { limits.header_timeout } else { limits.idle_timeout };
        self.since.get().elapsed() > limit
    }

    fn has_read(&self) {
        if self.busy.get() == 0 && !self.head_begun.replace(true) {
            self.since.set(Instant::now());
        }
    }

    /// A stream that is written to is not idle.
    fn has_written(&self) {
        if self.busy.get() == 0 {
            self.since.set(Instant::now());
        }
    }
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.activity.has_read();
        }
        result
    }
}

impl AsyncWrite for Watched {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.activity.has_written();
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
        self.activity.has_written();
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }
}
