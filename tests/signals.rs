//! Signals to entry-host processes: SIGHUP reloads the settings, and a host that was suspended catches up.

#[path = "../platform/tests/standin/mod.rs"]
mod standin;

#[path = "soak/hosts.rs"]
mod hosts;

use std::net::SocketAddr;
use std::time::Duration;

use reqwest::Client;
use rustix::process::Signal;

use hosts::Hosts;
use standin::configuration;
use standin::configuration_with_lookups_at;
use standin::engine::CrashTrigger;
use standin::engine::Engine;
use standin::eventually;
use standin::fresh_id;
use standin::is_ready;
use standin::on_one_thread;
use standin::registration;
use standin::request_to;
use standin::store::Store;
use standin::store::StoreFaults;
use standin::streamed;

/// Long enough for a host to detect that it was suspended.
const SUSPENSION: Duration = Duration::from_secs(3);

struct Harness {
    store: Store,
    engine: Engine,
    hosts: Hosts,
    client: Client,
}

impl Harness {
    /// Starts one host and one engine; `name` separates the files of the tests.
    async fn start(name: &str, service: &str) -> Harness {
        let store = Store::start().await;
        store.put("config", "main", configuration(1));
        let engine = Engine::start("i-1").await;
        store.put("servers", "i-1", registration(&engine, service, "ready"));
        let hosts = Hosts::start(1, store.address, name);
        let client = Client::builder().no_proxy().build().expect("a client");
        let harness = Harness { store, engine, hosts, client };
        let readiness = harness.hosts.readiness()[0];
        eventually(async || is_ready(&harness.client, readiness).await).await;
        harness
    }

    fn callers(&self) -> SocketAddr {
        self.hosts.addresses()[0]
    }

    /// Status of a GET, 0 if there is no response.
    async fn get(&self, path: &str) -> u16 {
        let method = reqwest::Method::GET;
        let request = request_to(&self.client, self.callers(), method, path, &fresh_id());
        request.send().await.map_or(0, |answer| answer.status().as_u16())
    }

    /// Sends a stream request and returns the model of the last attempt that reached the engine.
    async fn last_model(&self) -> Option<String> {
        let method = reqwest::Method::POST;
        let request = request_to(&self.client, self.callers(), method, "/chat/1", &fresh_id());
        let answer = streamed(request).body("prompt").send().await.ok()?;
        answer.text().await.ok()?;
        let received = self.engine.received().pop()?;
        Some(received.headers.get("x-model")?.to_str().ok()?.to_owned())
    }
}

#[tokio::test]
async fn a_reload_takes_effect_without_a_restart() {
    on_one_thread(async || {
        let harness = Harness::start("reload", "llm").await;
        eventually(async || harness.last_model().await.as_deref() == Some("small")).await;
        harness.hosts.edit_settings(0, "confidence_floors: [50]", "confidence_floors: [100]");
        harness.hosts.signal(0, Signal::HUP);
        eventually(async || harness.last_model().await.as_deref() == Some("large")).await;
        eventually(async || harness.hosts.log(0).contains("event=reloaded")).await;
        harness.hosts.close();
    })
    .await;
}

#[tokio::test]
async fn a_reload_of_invalid_settings_keeps_the_old_ones_in_force() {
    on_one_thread(async || {
        let harness = Harness::start("invalid-reload", "llm").await;
        eventually(async || harness.last_model().await.as_deref() == Some("small")).await;
        harness.hosts.edit_settings(0, "confidence_floors: [50]", "confidence_floors: [500]");
        harness.hosts.signal(0, Signal::HUP);
        eventually(async || harness.hosts.log(0).contains("event=reload_refused")).await;
        assert_eq!(harness.last_model().await.as_deref(), Some("small"));
        harness.hosts.close();
    })
    .await;
}

#[tokio::test]
async fn a_reload_logs_which_settings_need_a_restart() {
    on_one_thread(async || {
        let harness = Harness::start("reload-data-centre", "llm").await;
        harness.hosts.edit_settings(0, "data_centre: a", "data_centre: b");
        harness.hosts.signal(0, Signal::HUP);
        eventually(async || harness.hosts.log(0).contains("needs_restart=\"data_centre\"")).await;
        harness.hosts.close();
    })
    .await;
}

#[tokio::test]
async fn a_host_resumed_after_a_suspension_applies_the_updates_it_missed() {
    on_one_thread(async || {
        let harness = Harness::start("suspension", "desk").await;
        eventually(async || harness.get("/look/1").await == 200).await;
        harness.hosts.signal(0, Signal::STOP);
        harness.store.put("config", "main", configuration_with_lookups_at(2, "/find/"));
        tokio::time::sleep(SUSPENSION).await;
        harness.hosts.signal(0, Signal::CONT);
        eventually(async || {
            harness.get("/find/1").await == 200 && harness.get("/look/1").await == 404
        })
        .await;
        eventually(async || harness.hosts.log(0).contains("event=woke")).await;
        harness.hosts.close();
    })
    .await;
}

/// Guards against a host that was suspended while the others learned what crashes servers sending it on. The store is away,
/// so the host learns it from the others only.
#[tokio::test]
async fn a_suspended_host_learns_what_the_others_refuse() {
    const CRASHING: &str = "crashing content";
    /// Time in which a host that is in touch again must know, and requests that may still reach servers after it.
    const CONTACT: Duration = Duration::from_secs(3);
    const MAX_LATE: usize = 3;
    on_one_thread(async || {
        let store = Store::start().await;
        store.put("config", "main", configuration(1));
        let mut engines = Vec::new();
        for number in 0..6 {
            let id = format!("i-{number}");
            let engine = Engine::start(&id).await;
            engine.crash_on(CrashTrigger::Body(CRASHING));
            store.put("servers", &id, registration(&engine, "llm", "ready"));
            engines.push(engine);
        }
        let hosts = Hosts::start(3, store.address, "suspended-crashes");
        let client = Client::builder().no_proxy().build().expect("a client");
        for readiness in hosts.readiness() {
            eventually(async || is_ready(&client, readiness).await).await;
        }
        let send = async |host: usize| {
            let (method, address) = (reqwest::Method::POST, hosts.addresses()[host]);
            let request = request_to(&client, address, method, "/chat/1", &fresh_id());
            if let Ok(answer) = streamed(request).body(CRASHING).send().await {
                // Whether the answer is complete does not matter.
                let _ = answer.bytes().await;
            }
        };
        // The hosts know each other by then.
        tokio::time::sleep(Duration::from_secs(1)).await;
        store.set_faults(StoreFaults { down: true, ..StoreFaults::default() });
        hosts.signal(2, Signal::STOP);
        for host in [0, 1, 0, 1] {
            send(host).await;
        }
        tokio::time::sleep(SUSPENSION).await;
        hosts.signal(2, Signal::CONT);
        tokio::time::sleep(CONTACT).await;
        let arrivals = || {
            let received = engines.iter().flat_map(Engine::received);
            received.filter(|request| request.body == CRASHING).count()
        };
        let before = arrivals();
        for _ in 0..10 {
            send(2).await;
        }
        let late = arrivals() - before;
        assert!(before >= 3, "{before} requests reached servers at first");
        assert!(late <= MAX_LATE, "{late} requests reached servers");
        hosts.close();
    })
    .await;
}
