//! Entry hosts and a store that is restored from copies at random moments.
//!
//! The operator and the servers write again, after random delays, what the copy lacks; a server that died in the meantime
//! never does. Whatever the moments are, a host never goes back to an earlier configuration, sends nothing to a server
//! after it learned that the server leaves, and keeps a withdrawn version withdrawn; the store gets a bounded number of
//! lists.
//!
//! `RESTORE_SEEDS=7,8,9 cargo test --test restores` runs the given seeds.

#[path = "../platform/tests/standin/mod.rs"]
mod standin;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use serde_json::json;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::sleep;

use standin::Harness;
use standin::configuration_with_more_lookups;
use standin::engine::Behaviour;
use standin::engine::Engine;
use standin::on_one_thread;
use standin::registration;
use standin::store::Copy;
use standin::store::Store;
use standin::store::StoreFaults;

/// Seeds that CI runs.
const SEEDS: [u64; 2] = [1, 2];
const HOSTS: usize = 3;
/// Kinds of objects that hosts list.
const KINDS: u64 = 5;
const DURATION: Duration = Duration::from_secs(9);
/// Maximum age of a copy.
const MAX_COPY_AGE: Duration = Duration::from_millis(2_500);
/// Time in which hosts learn of a change while the store serves them.
const NEWS_LIMIT: Duration = Duration::from_millis(2_000);
/// Maximum delay until the operator or a server writes again what a restored store lacks.
const MAX_REWRITE_DELAY_MS: u64 = 1_800;
const DOWN: StoreFaults =
    StoreFaults { down: true, slow: Duration::ZERO, silent: false, bytes_per_second: None };

/// Objects that the operator and the servers want in the store; `None` for those that they deleted.
type Wanted = Rc<RefCell<BTreeMap<(&'static str, String), Option<Value>>>>;

/// A server that said that it leaves.
struct Left {
    engine: Engine,
    at: Instant,
    /// Requests received by the time from which no more may arrive.
    received: Option<usize>,
}

struct World {
    harness: Harness,
    wanted: Wanted,
    rng: ChaCha8Rng,
    copies: Vec<(Instant, Copy)>,
    restored_at: Instant,
    restores: u64,
    version: u64,
    /// Highest version seen in force on each host.
    seen: Vec<u64>,
    live: Vec<(String, Engine)>,
    left: Vec<Left>,
    started: usize,
}

#[tokio::test]
async fn nothing_goes_back_when_the_store_is_restored_at_random_moments() {
    for seed in seeds() {
        on_one_thread(async || run(seed).await).await;
    }
}

async fn run(seed: u64) {
    println!("restores seed={seed}");
    let mut world = World::start(seed).await;
    let bad = world.order_bad_version().await;
    let lists = world.harness.store.lists();
    // Takes the order and its outcome away.
    world.restore().await;
    let end = Instant::now() + DURATION;
    while Instant::now() < end {
        match world.rng.random_range(0..8) {
            0 | 1 => world.restore().await,
            2 | 3 => world.configure(),
            4 => world.server_leaves(),
            5 => world.server_starts().await,
            _ => {}
        }
        world.copies.push((Instant::now(), world.harness.store.copy()));
        world.check().await;
    }
    // Everything is written again by then.
    sleep(Duration::from_millis(MAX_REWRITE_DELAY_MS) + NEWS_LIMIT).await;
    world.check().await;
    for host in 0..HOSTS {
        assert_eq!(world.seen[host], world.version, "configuration in force on host {host}");
        assert_eq!(world.harness.get(host, "/v1/1").await.0, 200);
    }
    let order = world.harness.store.object("rollouts", "desk").expect("written again");
    assert_eq!(order["Status"]["Phase"], "rolled_back");
    let allowed = world.restores * HOSTS as u64 * KINDS;
    let lists = world.harness.store.lists() - lists;
    println!(
        "restores seed={seed} restores={} lists={lists} left={}",
        world.restores,
        world.left.len()
    );
    assert!(lists <= allowed, "{lists} lists after {} restores", world.restores);
    assert_eq!(bad.received(), bad.at_withdrawal, "requests to the withdrawn version");
}

/// Servers of a version that was rolled back.
struct BadVersion {
    engines: Vec<Engine>,
    at_withdrawal: usize,
}

impl BadVersion {
    fn received(&self) -> usize {
        self.engines.iter().map(|engine| engine.received().len()).sum()
    }
}

impl World {
    async fn start(seed: u64) -> World {
        let harness = Harness::start(HOSTS).await;
        let mut world = World {
            harness,
            wanted: Wanted::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            copies: Vec::new(),
            restored_at: Instant::now(),
            restores: 0,
            version: 1,
            seen: vec![1; HOSTS],
            live: Vec::new(),
            left: Vec::new(),
            started: 0,
        };
        world.configure();
        for _ in 0..3 {
            world.server_starts().await;
        }
        world.harness.until_served("/v1/1").await;
        world
    }

    /// Lets a bad version be rolled back; the first copy is from before its order.
    async fn order_bad_version(&mut self) -> BadVersion {
        let mut engines = Vec::new();
        for number in 1..=2 {
            let id = format!("bad-{number}");
            let engine = Engine::start(&id).await;
            engine.set_version("v2");
            engine.always(Behaviour::Fail);
            self.put("servers", &id, registration(&engine, "desk", "ready"));
            engines.push(engine);
        }
        self.copies.push((Instant::now(), self.harness.store.copy()));
        let order = json!({ "Service": "desk", "Target": "v2", "DurationS": 4 });
        self.put("rollouts", "desk", order);
        let store = self.harness.store.clone();
        standin::eventually(async || {
            for host in 0..HOSTS {
                self.harness.get(host, "/v1/1").await;
            }
            let order = store.object("rollouts", "desk").unwrap_or_default();
            order["Status"]["Phase"] == "rolled_back"
        })
        .await;
        sleep(NEWS_LIMIT).await;
        let mut bad = BadVersion { engines, at_withdrawal: 0 };
        bad.at_withdrawal = bad.received();
        bad
    }

    fn put(&self, kind: &'static str, name: &str, spec: Value) {
        self.wanted.borrow_mut().insert((kind, name.to_owned()), Some(spec.clone()));
        self.harness.store.put(kind, name, spec);
    }

    /// Stores a configuration whose version shows in the routes that it has.
    fn configure(&mut self) {
        self.version += 1;
        let prefixes: Vec<String> =
            (1..=self.version).map(|version| format!("/v{version}/")).collect();
        self.put("config", "main", configuration_with_more_lookups(self.version, &prefixes));
    }

    async fn server_starts(&mut self) {
        self.started += 1;
        let id = format!("i-{}", self.started);
        let engine = Engine::start(&id).await;
        self.put("servers", &id, registration(&engine, "desk", "ready"));
        self.live.push((id, engine));
    }

    /// Lets a server leave, with or without saying so before its registration is removed.
    fn server_leaves(&mut self) {
        if self.live.len() < 3 {
            return;
        }
        let (id, engine) = self.live.remove(0);
        if self.rng.random_bool(0.5) {
            self.put("servers", &id, registration(&engine, "desk", "draining"));
        } else {
            self.wanted.borrow_mut().insert(("servers", id.clone()), None);
            self.harness.store.delete("servers", &id);
        }
        self.left.push(Left { engine, at: Instant::now(), received: None });
    }

    async fn restore(&mut self) {
        self.copies.retain(|(at, _)| at.elapsed() <= MAX_COPY_AGE || self.restores == 0);
        if self.copies.is_empty() {
            return;
        }
        let (_, copy) = self.copies.remove(self.rng.random_range(0..self.copies.len()));
        let away = Duration::from_millis(self.rng.random_range(0..900));
        let store = self.harness.store.clone();
        store.set_faults(DOWN);
        sleep(away).await;
        store.restore(copy);
        store.set_faults(StoreFaults::default());
        // Copies of the time before belong to a history that is gone.
        self.copies.clear();
        self.restores += 1;
        self.restored_at = Instant::now();
        for (kind, name) in self.wanted.borrow().keys().cloned() {
            let delay = Duration::from_millis(self.rng.random_range(0..MAX_REWRITE_DELAY_MS));
            spawn_local(write_again(store.clone(), self.wanted.clone(), kind, name, delay));
        }
    }

    /// Checks what must hold at any time, over some rounds of requests.
    async fn check(&mut self) {
        for _ in 0..self.rng.random_range(1..6) {
            for host in 0..HOSTS {
                let seen = self.seen[host];
                let status = self.harness.get(host, &format!("/v{seen}/1")).await.0;
                assert_ne!(status, 404, "host {host} went back from version {seen}");
                for next in seen + 1..=self.version {
                    let status = self.harness.get(host, &format!("/v{next}/1")).await.0;
                    if status == 404 {
                        break;
                    }
                    self.seen[host] = next;
                }
            }
            for left in &mut self.left {
                let received = left.engine.received().len();
                // Hosts may not have learned of a leave that a restore undid.
                let rewritten_at = self.restored_at + Duration::from_millis(MAX_REWRITE_DELAY_MS);
                match left.received {
                    Some(before) => {
                        assert_eq!(received, before, "requests to a server that left");
                    }
                    None if left.at.max(rewritten_at).elapsed() >= NEWS_LIMIT => {
                        left.received = Some(received);
                    }
                    None => {}
                }
            }
            sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Writes an object again if the store lacks it or holds another content.
async fn write_again(
    store: Store,
    wanted: Wanted,
    kind: &'static str,
    name: String,
    delay: Duration,
) {
    sleep(delay).await;
    let spec = wanted.borrow().get(&(kind, name.clone())).cloned().flatten();
    let present = store.object(kind, &name).map(|object| object["Spec"].clone());
    match spec {
        Some(spec) if present.as_ref() != Some(&spec) => store.put(kind, &name, spec),
        None if present.is_some() => store.delete(kind, &name),
        _ => {}
    }
}

fn seeds() -> Vec<u64> {
    let text = std::env::var("RESTORE_SEEDS").ok();
    text.map_or(SEEDS.to_vec(), |text| {
        text.split(',').map(|seed| seed.parse().expect("a seed")).collect()
    })
}
