//! Callers that check every answer, and the comparison of the answers with what the servers ran.

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

/// Caller timeout, longer than every deadline.
const TIMEOUT: Duration = Duration::from_secs(12);

/// State shared by all callers of a run, with the answers they received.
pub struct Callers {
    addresses: Vec<SocketAddr>,
    client: reqwest::Client,
    seed: u64,
    next: Cell<u64>,
    is_stopped: Cell<bool>,
    /// Status of each request that may run at most once; `None` if there was no complete answer.
    once: RefCell<BTreeMap<String, Option<u16>>>,
    counts: RefCell<BTreeMap<String, u64>>,
}

/// Kind of a request.
#[derive(Clone, Copy, Debug)]
enum Kind {
    Stream,
    Idempotent,
    /// The request may run at most once.
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
            is_stopped: Cell::new(false),
            once: RefCell::default(),
            counts: RefCell::default(),
        }
    }

    pub fn stop(&self) {
        self.is_stopped.set(true);
    }

    /// Sends requests one at a time until [`Callers::stop`].
    pub async fn run(self: Rc<Callers>, number: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed ^ (number + 1) << 32);
        while !self.is_stopped.get() {
            let address = self.addresses[rng.random_range(0..self.addresses.len())];
            let kind = match rng.random_range(0..3) {
                0 => Kind::Stream,
                1 => Kind::Idempotent,
                _ => Kind::Once,
            };
            let disconnects = rng.random_bool(0.05);
            let request = self.request(address, kind);
            let caller_timeout = if disconnects { Duration::from_millis(60) } else { TIMEOUT };
            if tokio::time::timeout(caller_timeout, request).await.is_err() {
                self.count("left");
            }
            tokio::time::sleep(Duration::from_millis(rng.random_range(1..20))).await;
        }
    }

    /// Whether a host answers a request of each kind with 200.
    pub async fn is_served(&self, address: SocketAddr) -> bool {
        for kind in [Kind::Stream, Kind::Idempotent, Kind::Once] {
            if self.request(address, kind).await != Some(200) {
                return false;
            }
        }
        true
    }

    /// Checks that no request ran twice and that none ran that was refused as not run.
    pub fn check_runs(&self, engines: &[(Engine, Proxy)]) {
        let mut runs: BTreeMap<String, u64> = BTreeMap::new();
        for (engine, _) in engines {
            for received in engine.received() {
                if let Some(id) = received.target.strip_prefix("/renew/") {
                    *runs.entry(id.to_owned()).or_default() += u64::from(received.ran);
                }
            }
        }
        for (id, status) in &*self.once.borrow() {
            let ran = runs.get(id).copied().unwrap_or(0);
            assert!(ran <= 1, "request {id} ran {ran} times");
            // An entry host answers with these statuses only if the request was not run.
            if matches!(status, Some(408 | 421 | 429 | 503)) {
                assert_eq!(ran, 0, "request {id} was refused as not run and ran");
            }
        }
    }

    /// Number of answers by kind and status.
    pub fn summary(&self) -> String {
        let counts = self.counts.borrow();
        let entries: Vec<String> =
            counts.iter().map(|(name, count)| format!("{name}={count}")).collect();
        entries.join(" ")
    }

    /// Sends a request, checks the answer and returns the status if the answer was complete.
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
                Kind::Stream => assert_eq!(text, complete_stream(), "stream {id}"),
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

fn complete_stream() -> String {
    (1..=EVENTS).map(|event| format!("id: {event}\ndata: piece {event}\n\n")).collect()
}
