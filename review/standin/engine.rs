//! Stand-in for a backend server of a plain service: sound, with a fixed time of work.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;

use crate::http;
use crate::http::Conn;
use crate::record::Record;
use crate::store::Store;

/// A running server.
#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    born: u128,
    work: Duration,
    record: Record,
    /// Runs by the id of the caller's request.
    runs: Arc<Mutex<BTreeMap<String, u32>>>,
}

impl Engine {
    pub fn start(id: &str, work: Duration, record: &Record) -> Engine {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let born = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let engine = Engine {
            id: id.to_owned(),
            address,
            born: born.expect("a time of day").as_millis(),
            work,
            record: record.clone(),
            runs: Arc::default(),
        };
        let served = engine.clone();
        http::listen(listener, move |conn| served.serve(conn));
        engine
    }

    /// Writes this server's entry; `template` holds an entry with placeholders.
    pub fn register(&self, store: &Store, template: &str, service: &str, zone: &str) {
        let entry = template
            .replace("{service}", service)
            .replace("{address}", &self.address.to_string())
            .replace("{zone}", zone)
            .replace("{born}", &self.born.to_string());
        store.put("servers", &self.id, entry.as_bytes());
    }

    /// How often a request ran here.
    pub fn runs(&self, request: &str) -> u32 {
        self.runs.lock().expect("not poisoned").get(request).copied().unwrap_or(0)
    }

    fn serve(&self, mut conn: Conn) {
        while let Ok(Some(request)) = conn.read() {
            let id = request.header("X-Attempt-Id").unwrap_or_default().to_owned();
            if request.header("X-Target-Instance").is_some_and(|wanted| wanted != self.id) {
                let headers = [("X-Not-Executed", "1".to_owned())];
                let _ = conn.write("HTTP/1.1 421 Misdirected Request", &headers, b"");
                continue;
            }
            *self.runs.lock().expect("not poisoned").entry(id.clone()).or_default() += 1;
            self.record.write(&format!("run request={id} server={}", self.id));
            thread::sleep(self.work);
            let headers = [
                ("X-Attempt-Id", id.clone()),
                ("X-Response-Signature", format!("{}.{id}", self.id)),
            ];
            if conn.write("HTTP/1.1 200 OK", &headers, b"done\n").is_err() {
                return;
            }
        }
    }
}
