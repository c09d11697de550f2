//! Binds a stand-in's address, serves it and can crash it.
//!
//! A crash drops the serving future, and with it every connection and handler; the address refuses connections until
//! the listener binds it again.

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
pub const CRASH_TIME: Duration = Duration::from_secs(1);
/// Wait before binding a busy address again.
const REBIND_INTERVAL: Duration = Duration::from_millis(20);

/// A stand-in that serves.
#[derive(Debug)]
pub(crate) struct Listening {
    address: SocketAddr,
    stop: oneshot::Sender<()>,
    task: JoinHandle<()>,
}

impl Listening {
    /// Binds the address, port 0 for any free one, and serves until closed. Each notification of `crash` is a crash.
    pub(crate) async fn start(
        address: SocketAddr,
        handler: ArcHandler,
        crash: Arc<Notify>,
    ) -> io::Result<Listening> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (stop, stopped) = oneshot::channel();
        let task = tokio::spawn(supervise(listener, address, handler, crash, stopped));
        Ok(Listening { address, stop, task })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Drops all connections and frees the address.
    pub(crate) async fn close(self) {
        // The task may have ended by itself: then nobody listens for the stop.
        let _ = self.stop.send(());
        // A panic of the task has been reported where it happened.
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
    sleep(CRASH_TIME).await;
    loop {
        if let Ok(listener) = TcpListener::bind(address).await {
            return listener;
        }
        sleep(REBIND_INTERVAL).await;
    }
}
