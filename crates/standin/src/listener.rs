//! Listener of a stand-in, with simulated crashes.
//!
//! A crash drops the serving future, and with it every connection and handler. The address refuses connections until
//! it is bound again.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use salvo::Router;
use salvo::Server;
use salvo::conn::tcp::TcpAcceptor;
use salvo::handler::ArcHandler;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Time for which a crashed stand-in refuses connections.
pub const CRASH_DOWNTIME: Duration = Duration::from_secs(1);
/// Delay between attempts to bind a busy address.
const REBIND_INTERVAL: Duration = Duration::from_millis(20);

/// Handle of a listener that serves a stand-in.
#[derive(Debug)]
pub(crate) struct ListenerHandle {
    address: SocketAddr,
    stop: oneshot::Sender<()>,
    task: JoinHandle<()>,
}

impl ListenerHandle {
    /// Binds the address, port 0 for any free one, and serves until closed. Each notification of `crash` is a crash.
    pub(crate) async fn start(
        address: SocketAddr,
        handler: ArcHandler,
        crash: Arc<Notify>,
    ) -> io::Result<ListenerHandle> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (stop, stopped) = oneshot::channel();
        let task = tokio::spawn(supervise(listener, address, handler, crash, stopped));
        Ok(ListenerHandle { address, stop, task })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Drops all connections and frees the address.
    pub(crate) async fn close(self) {
        // Fails if the task has already ended and dropped the receiver.
        let _ = self.stop.send(());
        // A panic in the task has already been reported by the panic hook.
        let _ = self.task.await;
    }
}

async fn supervise(
    mut listener: TcpListener,
    address: SocketAddr,
    handler: ArcHandler,
    crash: Arc<Notify>,
    mut stopped: oneshot::Receiver<()>,
) {
    loop {
        let Ok(acceptor) = TcpAcceptor::try_from(listener) else { return };
        let router = Router::with_path("{**path}").goal(handler.clone());
        tokio::select! {
            _ = &mut stopped => return,
            () = crash.notified() => {}
            _ = Server::new(acceptor).disable_fuse().try_serve(router) => return,
        }
        tokio::select! {
            _ = &mut stopped => return,
            bound = bind_after_crash(address) => listener = bound,
        }
    }
}

async fn bind_after_crash(address: SocketAddr) -> TcpListener {
    sleep(CRASH_DOWNTIME).await;
    loop {
        if let Ok(listener) = TcpListener::bind(address).await {
            return listener;
        }
        sleep(REBIND_INTERVAL).await;
    }
}
