//! Listeners: callers' connections with their timeouts, and the pages for the load balancer and for metrics.

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
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use tokio::io::ReadBuf;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

use crate::caller_conn::CLOSING_IDLE;
use crate::caller_conn::CallerConn;
use crate::caller_conn::CloseReason;
use crate::conn::CALLER_USER_TIMEOUT;
use crate::conn::set_socket_options;
use crate::core::Core;
use crate::request_guard::RequestSource;
use crate::serve::serve;

/// Maximum number of connections waiting to be accepted.
const BACKLOG: u32 = 1024;
/// Size of a connection's receive buffer in the kernel, which without a limit grows to megabytes. It lets a body of 4 MB
/// through in seven seconds over a round trip of 100 ms, and counts to the machine's memory.
pub(crate) const RECEIVE_BUFFER_BYTES: u32 = 64 * 1024;
/// Minimum of the limit on a connection's read buffer.
const MIN_READ_BUFFER_BYTES: usize = 32 * 1024;
/// Room in a read buffer beyond the largest permitted head.
const READ_AHEAD_BYTES: usize = 8 * 1024;
/// Time for which a connection is drained after a refusal. Closing it with unread bytes would reset it, and the caller
/// would lose the refusal.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);
/// Size of the buffer for draining.
const DRAIN_BUFFER_BYTES: usize = 8 * 1024;
/// Interval between checks of a connection's timeouts.
const TIMEOUT_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Delay after a failed accept, such as when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A socket that records reads and writes in its connection's state.
struct TrackedStream {
    stream: TcpStream,
    state: Rc<CallerConn>,
}

/// Binds a listener to an address.
///
/// # Errors
///
/// Fails if the address cannot be listened on.
pub(crate) fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    // Accepted connections inherit it.
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// The largest read buffer of a connection with this limit on heads.
pub(crate) fn read_buffer_bytes(header_bytes: usize) -> usize {
    header_bytes.saturating_add(READ_AHEAD_BYTES).max(MIN_READ_BUFFER_BYTES)
}

/// Accepts callers' connections until the process ends. Where there are as many as the machine carries, a new one takes the
/// place of the one that has been idle for longest, or is closed at once.
pub(crate) async fn accept_callers(core: Rc<Core>, listener: TcpListener) {
    let max_connections = core.cfg.machine.caller_connections();
    loop {
        match listener.accept().await {
            Ok((stream, address)) => {
                if core.callers.len() >= max_connections {
                    core.metrics.caller_closed(CloseReason::TooMany.name());
                    if !core.callers.close_idle() {
                        continue;
                    }
                    // Lets the runtime close the socket.
                    tokio::task::yield_now().await;
                }
                let state = Rc::new(CallerConn::new(Some(address.ip()), Instant::now()));
                let open = OpenConnection::new(core.clone(), state.clone());
                let key = open.key;
                let task = tokio::task::spawn_local(serve_caller(open, stream, state));
                core.callers.set_task(key, task.abort_handle());
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
            let mut builder = http1::Builder::new();
            builder.max_buf_size(MIN_READ_BUFFER_BYTES);
            let conn = builder.serve_connection(TokioIo::new(stream), service);
            // The client may disconnect at any time.
            let _ = conn.await;
        });
    }
}

async fn serve_caller(open: OpenConnection, stream: TcpStream, state: Rc<CallerConn>) {
    let core = open.core.clone();
    if let Err(e) = set_socket_options(&stream, CALLER_USER_TIMEOUT) {
        log::warn!("event=socket_options_refused reason={:?}", e.to_string());
    }
    let io = TokioIo::new(TrackedStream { stream, state: state.clone() });
    let service = {
        let core = core.clone();
        let state = state.clone();
        service_fn(move |request| {
            let core = core.clone();
            let state = state.clone();
            state.request_began();
            async move { Ok::<_, Infallible>(serve(core, state, request, RequestSource::Caller).await) }
        })
    };
    let mut builder = http1::Builder::new();
    // Changed limits apply to new connections.
    let header_bytes = core.limits().header_bytes;
    builder
        .header_read_timeout(None)
        .half_close(false)
        .max_header_size(header_bytes)
        .max_buf_size(read_buffer_bytes(header_bytes));
    let mut conn = builder.serve_connection(io, service);
    let mut closing = core.closing.subscribe();
    let mut is_closed = false;
    loop {
        let is_closing = *closing.borrow_and_update();
        let interval = if is_closing { CLOSING_IDLE } else { TIMEOUT_POLL_INTERVAL };
        tokio::select! {
            // Errors here are the caller's: it disconnected, or sent an invalid request and was answered 400 or 431.
            ended = &mut conn => {
                if state.is_refused() || ended.is_err_and(|e| e.is_parse()) {
                    let limit = core.limits().body_bytes;
                    drain(conn.into_parts().io.into_inner().stream, limit).await;
                }
                return;
            }
            _ = closing.wait_for(|now| *now), if !is_closing => {}
            () = tokio::time::sleep(interval) => {}
        }
        let is_closing = *closing.borrow();
        if state.overdue(&core.limits(), is_closing).is_none() {
            continue;
        }
        // A request may have arrived that is not read yet. Yielding lets the runtime poll the sockets first.
        tokio::select! {
            biased;
            _ = &mut conn => return,
            () = tokio::task::yield_now() => {}
        }
        match state.overdue(&core.limits(), is_closing) {
            Some(CloseReason::HeaderTimeout) => {
                core.log_caller_closed(&state, CloseReason::HeaderTimeout);
                return;
            }
            Some(reason) if !is_closed => {
                core.metrics.caller_closed(reason.name());
                is_closed = true;
                Pin::new(&mut conn).graceful_shutdown();
            }
            _ => {}
        }
    }
}

/// Ends a connection behind its last answer: reads what the caller still sends, up to `limit` bytes, and drops it.
async fn drain(mut stream: TcpStream, limit: usize) {
    let read_rest = async {
        stream.shutdown().await?;
        let mut buf = vec![0; DRAIN_BUFFER_BYTES];
        let mut left = limit;
        loop {
            match stream.read(&mut buf).await? {
                0 => return io::Result::Ok(()),
                read if read > left => return Ok(()),
                read => left -= read,
            }
        }
    };
    // The caller may disconnect at any time.
    let _ = tokio::time::timeout(DRAIN_TIMEOUT, read_rest).await;
}

/// Registers a connection while it is open.
pub(crate) struct OpenConnection {
    core: Rc<Core>,
    key: u64,
}

impl OpenConnection {
    pub(crate) fn new(core: Rc<Core>, state: Rc<CallerConn>) -> OpenConnection {
        let key = core.callers.add(state);
        OpenConnection { core, key }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.core.callers.remove(self.key);
        if self.core.callers.is_empty() {
            self.core.all_closed.notify_waiters();
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
            self.state.on_read();
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
        self.state.on_write();
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Called only once all bytes of the write buffer are written.
        self.state.on_flush();
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
        self.state.on_write();
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }
}
