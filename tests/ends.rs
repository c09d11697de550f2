//! Ends of requests and of callers' connections, at entry-host processes.

#[path = "../platform/tests/standin/mod.rs"]
mod standin;

#[path = "soak/hosts.rs"]
mod hosts;

use rustix::process::Signal;

use hosts::Hosts;
use standin::configuration;
use standin::eventually;
use standin::is_ready;
use standin::on_one_thread;
use standin::store::Store;

/// Guards against lines of the last moments that never leave the process, `stopped` among them.
#[tokio::test]
async fn a_stopped_host_has_logged_its_end() {
    on_one_thread(async || {
        let store = Store::start().await;
        store.put("config", "main", configuration(1));
        let mut hosts = Hosts::start(1, store.address, "ends-logged");
        let client = reqwest::Client::new();
        eventually(async || is_ready(&client, hosts.readiness()[0]).await).await;
        hosts.signal(0, Signal::TERM);
        hosts.wait(0).await;
        let log = hosts.log(0);
        assert!(log.contains("event=stopped open_connections=0"), "{log}");
        hosts.close();
    })
    .await;
}
