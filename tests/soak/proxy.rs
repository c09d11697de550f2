//! TCP proxy on loopback that injects connection faults.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::task::spawn_local;

/// Fault that the proxy applies to its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ConnectionFault {
    #[default]
    None,
    /// Each read is delayed by this many milliseconds.
    Delay(u64),
    /// New connections are closed immediately.
    Refuse,
    /// Data from the server is held back.
    StallResponses,
    /// Data in both directions is held back; connections stay open.
    StallAll,
}

/// A running proxy.
#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    target: SocketAddr,
    fault: Rc<Cell<ConnectionFault>>,
    /// Number of resets; a change closes all connections.
    resets: Rc<watch::Sender<u64>>,
    /// The task that accepts connections.
    listening: Rc<RefCell<Option<AbortHandle>>>,
}

impl Proxy {
    pub async fn start(target: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        let proxy = Proxy {
            address,
            target,
            fault: Rc::default(),
            resets: Rc::new(watch::Sender::new(0)),
            listening: Rc::default(),
        };
        proxy.accept(listener);
        proxy
    }

    /// Closes all connections and refuses new ones, as the operating system does for a process that has ended.
    pub fn close_listener(&self) {
        if let Some(listening) = self.listening.take() {
            listening.abort();
        }
        self.reset();
    }

    /// Accepts connections again.
    pub async fn reopen(self) {
        let listener = TcpListener::bind(self.address).await.expect("the port is still free");
        self.accept(listener);
    }

    fn accept(&self, listener: TcpListener) {
        let proxy = self.clone();
        let listening = spawn_local(async move {
            while let Ok((client, _)) = listener.accept().await {
                if proxy.fault.get() != ConnectionFault::Refuse {
                    spawn_local(proxy.clone().forward(client));
                }
            }
        });
        *self.listening.borrow_mut() = Some(listening.abort_handle());
    }

    pub fn set(&self, fault: ConnectionFault) {
        self.fault.set(fault);
    }

    /// Closes all open connections; new ones are accepted.
    pub fn reset(&self) {
        self.resets.send_modify(|resets| *resets += 1);
    }

    async fn forward(self, client: TcpStream) {
        let mut resets = self.resets.subscribe();
        let Ok(server) = TcpStream::connect(self.target).await else {
            return;
        };
        let (client_read, client_write) = client.into_split();
        let (server_read, server_write) = server.into_split();
        let to_server = self.copy(client_read, server_write, ConnectionFault::StallAll);
        let to_client = self.copy(server_read, client_write, ConnectionFault::StallResponses);
        tokio::select! {
            () = to_server => {}
            () = to_client => {}
            _ = resets.changed() => {}
        }
    }

    /// Copies one direction until either end closes; holds data back during the fault `stall` and during
    /// [`ConnectionFault::StallAll`].
    async fn copy(&self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf, stall: ConnectionFault) {
        let mut buf = vec![0; 16 * 1024];
        while let Ok(length) = from.read(&mut buf).await {
            if length == 0 {
                return;
            }
            if let ConnectionFault::Delay(millis) = self.fault.get() {
                tokio::time::sleep(Duration::from_millis(millis)).await;
            }
            while self.fault.get() == stall || self.fault.get() == ConnectionFault::StallAll {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            if to.write_all(&buf[..length]).await.is_err() {
                return;
            }
        }
    }
}
