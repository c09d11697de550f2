//! Callers that check every answer, and the comparison with what the servers ran.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::proxy::Proxy;
use crate::standin::engine::EVENTS;
use crate::standin::engine::Engine;
use crate::standin::is_signed;
use crate::standin::request_to;
use crate::standin::streamed;

/// Time that a caller gives a host, above every deadline.
const TIMEOUT: Duration = Duration::from_secs(12);

/// All callers of a run and what they were answered.
pub struct Callers {
    addresses: Vec<SocketAddr>,
    client: reqwest::Client,
    seed: u64,
    next: Cell<u64>,
    is_over: Cell<bool>,
    /// Status of each request that may run once; absent where the connection broke.
    once: RefCell<BTreeMap<String, Option<u16>>>,
    counts: RefCell<BTreeMap<String, u64>>,
}

#[derive(Clone, Copy, Debug)]
enum Kind {
    Stream,
    Idempotent,
    Once,
}

impl Callers {
    pub fn new(addresses: Vec<SocketAddr>, seed: u64) -> Callers {
        let client =
            reqwest::Client::builder().no_proxy().timeout(TIMEOUT).build().expect("a client");
        Callers {
            addresses,
            client,
            seed,
            next: Cell::new(0),
            is_over: Cell::new(false),
            once: RefCell::default(),
            counts: RefCell::default(),
        }
    }

    pub fn stop(&self) {
        self.is_over.set(true);
    }

    /// Sends one request after the other until told to stop.
    pub async fn run(self: Rc<Callers>, number: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed ^ (number + 1) << 32);
        while !self.is_over.get() {
            let address = self.addresses[rng.random_range(0..self.addresses.len())];
            let kind = match rng.random_range(0..3) {
                0 => Kind::Stream,
                1 => Kind::Idempotent,
                _ => Kind::Once,
            };
            let leaves = rng.random_bool(0.05);
            let request = self.request(address, kind);
            let patience = if leaves { Duration::from_millis(60) } else { TIMEOUT };
            if tokio::time::timeout(patience, request).await.is_err() {
                self.count("left");
            }
            tokio::time::sleep(Duration::from_millis(rng.random_range(1..20))).await;
        }
    }

    /// Whether a host answers a request of each kind well.
    pub async fn is_served(&self, address: SocketAddr) -> bool {
        for kind in [Kind::Stream, Kind::Idempotent, Kind::Once] {
            if self.request(address, kind).await != Some(200) {
                return false;
            }
        }
        true
    }

    /// Compares what servers ran with what callers were told.
    pub fn check_runs(&self, engines: &[(Engine, Proxy)]) {
        let mut runs: BTreeMap<String, u64> = BTreeMap::new();
        for (engine, _) in engines {
            for seen in engine.received() {
                if let Some(id) = seen.target.strip_prefix("/renew/") {
                    *runs.entry(id.to_owned()).or_default() += u64::from(seen.ran);
                }
            }
        }
        for (id, status) in &*self.once.borrow() {
            let ran = runs.get(id).copied().unwrap_or(0);
            assert!(ran <= 1, "request {id} ran {ran} times");
            if matches!(status, Some(408 | 421 | 429 | 503)) {
                assert_eq!(ran, 0, "request {id} was refused as not run and ran");
            }
        }
    }

    /// Answers by kind and status.
    pub fn summary(&self) -> String {
        let counts = self.counts.borrow();
        let words: Vec<String> =
            counts.iter().map(|(name, count)| format!("{name}={count}")).collect();
        words.join(" ")
    }

    /// Sends a request and checks the answer; the status, if there was a whole answer.
    async fn request(&self, address: SocketAddr, kind: Kind) -> Option<u16> {
        self.next.set(self.next.get() + 1);
        let id = format!("{:x}-{}", self.seed, self.next.get());
        let (method, path) = match kind {
            Kind::Stream => (reqwest::Method::POST, format!("/chat/{id}")),
            Kind::Idempotent => (reqwest::Method::GET, format!("/look/{id}")),
            Kind::Once => (reqwest::Method::POST, format!("/renew/{id}")),
        };
        if matches!(kind, Kind::Once) {
            self.once.borrow_mut().insert(id.clone(), None);
        }
        let mut request = request_to(&self.client, address, method, &path, &id);
        if matches!(kind, Kind::Stream) {
            request = streamed(request);
        }
        let Ok(answer) = request.body("content").send().await else {
            self.count("broken");
            return None;
        };
        let status = answer.status().as_u16();
        let is_signed = is_signed(&answer);
        let Ok(text) = answer.text().await else {
            self.count(&format!("{kind:?}_cut"));
            return None;
        };
        self.count(&format!("{kind:?}_{status}"));
        if matches!(kind, Kind::Once) {
            self.once.borrow_mut().insert(id.clone(), Some(status));
        }
        assert!(!matches!(status, 400..=407 | 409..=420), "{kind:?} {id} got {status}: {text}");
        if status == 200 {
            assert!(is_signed, "{kind:?} {id} has no signature");
            match kind {
                Kind::Stream => assert_eq!(text, whole_stream(), "stream {id}"),
                Kind::Idempotent | Kind::Once => {
                    assert_eq!(text, format!("answer to {id}"));
                }
            }
        }
        Some(status)
    }

    fn count(&self, name: &str) {
        *self.counts.borrow_mut().entry(name.to_owned()).or_default() += 1;
    }
}

fn whole_stream() -> String {
    (1..=EVENTS).map(|event| format!("id: {event}\ndata: piece {event}\n\n")).collect()
}
