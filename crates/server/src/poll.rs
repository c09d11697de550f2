//! Polls the host list and the feeds of the backend servers.

use std::collections::BTreeMap;
use std::sync::Arc;

use foxtailhoist_host::event::Event;
use foxtailhoist_model::BackendServer;
use foxtailhoist_model::BackendServerId;
use foxtailhoist_model::Serves;

use crate::driver::Driver;

/// Polls the host list until its task is aborted at a stop, and runs one feed task for each engine on the list.
pub async fn poll_host_list(driver: Arc<Driver>) {
    let mut feed_tasks = BTreeMap::new();
    loop {
        match driver.clients().host_list.hosts().await {
            Ok(list) => {
                update_feed_tasks(&driver, &mut feed_tasks, &list.backend_servers);
                driver.apply_host_list(list);
            }
            Err(error) => log::warn!("event=host_list_failed error=\"{error}\""),
        }
        tokio::time::sleep(driver.limits().poll_interval).await;
    }
}

type FeedTasks = BTreeMap<BackendServerId, tokio::task::AbortHandle>;

fn update_feed_tasks(driver: &Arc<Driver>, feed_tasks: &mut FeedTasks, servers: &[BackendServer]) {
    feed_tasks.retain(|id, task| {
        let listed = servers.iter().any(|server| server.id == *id);
        if !listed {
            task.abort();
        }
        listed
    });
    for server in servers {
        let is_engine = matches!(server.serves, Serves::Engine { .. });
        if is_engine && !feed_tasks.contains_key(&server.id) {
            let task = tokio::spawn(poll_feed(Arc::clone(driver), server.clone()));
            feed_tasks.insert(server.id.clone(), task.abort_handle());
        }
    }
}

async fn poll_feed(driver: Arc<Driver>, server: BackendServer) {
    let mut sequence = 0;
    let mut stopped = driver.stopped();
    while !*stopped.borrow_and_update() {
        match driver.clients().backends.feed(server.address, sequence).await {
            Ok(feed) => {
                sequence = feed.sequence;
                let event = Event::Feed {
                    server: server.id.clone(),
                    load: feed.load,
                    cache: feed.cache,
                    leaving: feed.leaving,
                };
                driver.handle(event);
            }
            Err(error) => log::debug!("event=feed_failed server={} error=\"{error}\"", server.id),
        }
        tokio::time::sleep(driver.limits().poll_interval).await;
    }
}
