//! A server that sends raw bytes, for answers that a correct HTTP server would never send.

// Each test file uses only some of these items.
#![allow(dead_code)]

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// A request as it was received.
#[derive(Clone, Debug)]
pub struct Received {
    pub head: String,
    pub body: Vec<u8>,
    /// Number of the connection, starting from 1.
    pub connection: usize,
}

/// Reaction to a request.
#[derive(Clone, Debug)]
pub enum Answer {
    /// Writes the bytes and keeps the connection open.
    Bytes(Vec<u8>),
    /// Writes the bytes and closes the connection.
    BytesThenClose(Vec<u8>),
    /// Never answers.
    Nothing,
    /// Never answers on the first connection; writes the bytes on every other one.
    NothingOnFirstConnection(Vec<u8>),
}

/// Reactions by kind of request.
#[derive(Clone, Debug)]
pub struct Script {
    /// Reaction to `GET /healthz`.
    pub probe: Answer,
    /// Reaction to every other request.
    pub other: Answer,
}

/// The running server.
pub struct RawServer {
    pub address: SocketAddr,
    received: Arc<Mutex<Vec<Received>>>,
    task: JoinHandle<()>,
}

impl RawServer {
    /// Starts a server that passes health probes and reacts to every other request in the same way.
    pub async fn start(other: Answer) -> RawServer {
        let probe = Answer::Bytes(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n".to_vec());
        RawServer::start_with(Script { probe, other }).await
    }

    pub async fn start_with(script: Script) -> RawServer {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let received = Arc::default();
        let task = tokio::spawn(accept(listener, Arc::clone(&received), script));
        RawServer { address, received, task }
    }

    pub fn received(&self) -> Vec<Received> {
        self.received.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    pub async fn close(self) {
        self.task.abort();
        let _ = self.task.await;
    }
}

async fn accept(listener: TcpListener, received: Arc<Mutex<Vec<Received>>>, script: Script) {
    let mut connection = 0;
    while let Ok((stream, _)) = listener.accept().await {
        connection += 1;
        tokio::spawn(serve(stream, connection, Arc::clone(&received), script.clone()));
    }
}

async fn serve(
    mut stream: TcpStream,
    connection: usize,
    received: Arc<Mutex<Vec<Received>>>,
    script: Script,
) {
    while let Some(request) = read_request(&mut stream, connection).await {
        received.lock().unwrap_or_else(PoisonError::into_inner).push(request.clone());
        let is_probe = request.head.starts_with("get /healthz");
        let (bytes, closes) = match if is_probe { &script.probe } else { &script.other } {
            Answer::Bytes(bytes) => (bytes, false),
            Answer::BytesThenClose(bytes) => (bytes, true),
            Answer::Nothing => continue,
            Answer::NothingOnFirstConnection(_) if connection == 1 => continue,
            Answer::NothingOnFirstConnection(bytes) => (bytes, false),
        };
        if stream.write_all(bytes).await.is_err() || closes {
            return;
        }
    }
}

async fn read_request(stream: &mut TcpStream, connection: usize) -> Option<Received> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).ok()?.to_lowercase();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let mut body = vec![0; length.map_or(0, |length| length.parse().unwrap())];
    stream.read_exact(&mut body).await.ok()?;
    Some(Received { head, body, connection })
}
