//! A proxy on loopback that harms the connections through it.

use std::cell::Cell;
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
use tokio::task::spawn_local;

/// What happens to bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Harm {
    #[default]
    None,
    /// Every piece is late by milliseconds.
    Delay(u64),
    /// New connections are closed at once.
    Refuse,
    /// Nothing comes back from the server.
    CutBack,
    /// Nothing passes at all, and connections stay open.
    Silence,
}

/// A running proxy.
#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    harm: Rc<Cell<Harm>>,
    /// Counts resets of all connections.
    resets: Rc<watch::Sender<u64>>,
}

impl Proxy {
    pub async fn start(target: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        let proxy = Proxy { address, harm: Rc::default(), resets: Rc::new(watch::Sender::new(0)) };
        let served = proxy.clone();
        spawn_local(async move {
            while let Ok((near, _)) = listener.accept().await {
                if served.harm.get() != Harm::Refuse {
                    spawn_local(served.clone().carry(near, target));
                }
            }
        });
        proxy
    }

    pub fn set(&self, harm: Harm) {
        self.harm.set(harm);
    }

    /// Closes all connections; new ones work.
    pub fn reset(&self) {
        self.resets.send_modify(|resets| *resets += 1);
    }

    async fn carry(self, near: TcpStream, target: SocketAddr) {
        let mut resets = self.resets.subscribe();
        let Ok(far) = TcpStream::connect(target).await else {
            return;
        };
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        let there = self.copy(near_read, far_write, Harm::Silence);
        let back = self.copy(far_read, near_write, Harm::CutBack);
        tokio::select! {
            () = there => {}
            () = back => {}
            _ = resets.changed() => {}
        }
    }

    /// Copies one way until an end closes; holds everything back under the given harm and under silence.
    async fn copy(&self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf, cut: Harm) {
        let mut buf = vec![0; 16 * 1024];
        while let Ok(length) = from.read(&mut buf).await {
            if length == 0 {
                return;
            }
            if let Harm::Delay(millis) = self.harm.get() {
                tokio::time::sleep(Duration::from_millis(millis)).await;
            }
            while self.harm.get() == cut || self.harm.get() == Harm::Silence {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            if to.write_all(&buf[..length]).await.is_err() {
                return;
            }
        }
    }
}
