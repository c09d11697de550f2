//! Requests that crash each server that begins to answer them, by their content or by a part of their prompts, sent to
//! random hosts beside the other faults.

use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinHandle;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::World;
use crate::standin::engine::CrashTrigger;
use crate::standin::engine::ReceivedRequest;
use crate::standin::fresh_id;
use crate::standin::request_to;
use crate::standin::streamed;
use crate::standin::streamed_with_parts;

/// Probability that a seed has such requests.
const PROBABILITY: f64 = 0.6;
const CONTENT: &str = "crashing content";
const PART: &str = "bad0bad0";
/// Time after which a change must have reached all hosts that are in touch.
const CONTACT: Duration = Duration::from_secs(3);
/// Requests that may still reach servers after that.
const MAX_LATE: usize = 3;
/// Number of requests sent to each host once that time has passed.
const LATE_ROUNDS: usize = 5;
/// Upper bound of the pause between two requests, in milliseconds.
const MAX_PAUSE_MS: u64 = 250;
/// Requests sent to each host before the check: enough crashes to learn anew what hosts may have lost together with the
/// store's record.
const ROUNDS_TO_LEARN: usize = 5;

/// Requests of one run that crash servers.
#[derive(Clone, Copy, Debug)]
pub struct CrashingRequests {
    seed: u64,
    start_after: Duration,
    kind: Kind,
}

/// What the requests have in common.
#[derive(Clone, Copy, Debug)]
enum Kind {
    Content,
    /// A part of their prompts; otherwise they are all different.
    Part,
}

impl CrashingRequests {
    /// Draws whether and when a seed has them, separately, so that the other faults of the seed stay the same.
    pub fn draw(seed: u64, seconds: u64) -> Option<CrashingRequests> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x6372_6173);
        let start_after = Duration::from_millis(rng.random_range(0..seconds * 800));
        let is_drawn = rng.random_bool(PROBABILITY);
        let kind = if rng.random_bool(0.5) { Kind::Part } else { Kind::Content };
        is_drawn.then_some(CrashingRequests { seed, start_after, kind })
    }

    /// Starts sending.
    pub fn start(self, world: &World) -> JoinHandle<()> {
        println!("soak seed={} crashing_requests={:?}", self.seed, self);
        let engines: Vec<_> = world.engines.iter().map(|(engine, _)| engine.clone()).collect();
        let addresses = world.hosts.addresses();
        spawn_local(async move {
            sleep(self.start_after).await;
            engines.iter().for_each(|engine| engine.crash_on(self.kind.trigger()));
            let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
            loop {
                let address = addresses[rng.random_range(0..addresses.len())];
                spawn_local(self.kind.send(address));
                sleep(Duration::from_millis(rng.random_range(20..MAX_PAUSE_MS))).await;
            }
        })
    }

    /// Checks, once all other faults are repaired, that the requests reach hardly any server any more.
    pub async fn check(self, world: &World) {
        let addresses = world.hosts.addresses();
        let crashes =
            || world.engines.iter().map(|(engine, _)| engine.crashes().len()).sum::<usize>();
        for address in addresses.iter().cycle().take(ROUNDS_TO_LEARN * addresses.len()) {
            self.kind.send(*address).await;
        }
        sleep(CONTACT).await;
        let arrivals = || {
            let received = world.engines.iter().flat_map(|(engine, _)| engine.received());
            received.filter(|request| self.kind.matches(request)).count()
        };
        let before = arrivals();
        for address in addresses.iter().cycle().take(LATE_ROUNDS * addresses.len()) {
            self.kind.send(*address).await;
        }
        let late = arrivals() - before;
        println!("soak seed={} crashes={} late={late}", self.seed, crashes());
        assert!(late <= MAX_LATE, "{late} requests that crash servers reached some");
        world.engines.iter().for_each(|(engine, _)| engine.clear_crash_triggers());
    }
}

impl Kind {
    fn trigger(self) -> CrashTrigger {
        match self {
            Kind::Content => CrashTrigger::Body(CONTENT),
            Kind::Part => CrashTrigger::Part(PART),
        }
    }

    fn matches(self, request: &ReceivedRequest) -> bool {
        match self {
            Kind::Content => request.body == CONTENT,
            Kind::Part => request.has_part(PART),
        }
    }

    async fn send(self, address: SocketAddr) {
        let client = reqwest::Client::builder().no_proxy().build().expect("a client");
        let id = fresh_id();
        let request = request_to(&client, address, reqwest::Method::POST, "/chat/1", &id);
        let request = match self {
            Kind::Content => streamed(request).body(CONTENT),
            // Sound requests have the same first part.
            Kind::Part => {
                streamed_with_parts(request, &format!("5c1e07a2:800,{PART}:400")).body(id)
            }
        };
        if let Ok(answer) = request.send().await {
            // Whether the answer is complete does not matter.
            let _ = answer.bytes().await;
        }
    }
}
