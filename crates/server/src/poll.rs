//! Reads the host list and the backend servers' feeds at intervals.

use std::collections::BTreeMap;
use std::sync::Arc;

use foxtailhoist_host::event::Event;
use foxtailhoist_model::BackendServer;
use foxtailhoist_model::BackendServerId;
use foxtailhoist_model::Serves;

use crate::shell::Shell;

/// Reads the host list until the host has stopped, and keeps one feed reader for each engine on it.
pub async fn host_list(shell: Arc<Shell>) {
    let mut feeds = BTreeMap::new();
    loop {
        match shell.edges().host_list.hosts().await {
            Ok(list) => {
                follow(&shell, &mut feeds, &list.backend_servers);
                shell.take_host_list(list);
            }
            Err(error) => log::warn!("event=host_list_failed error=\"{error}\""),
        }
        tokio::time::sleep(shell.limits().poll_interval).await;
    }
}

type Feeds = BTreeMap<BackendServerId, tokio::task::AbortHandle>;

fn follow(shell: &Arc<Shell>, feeds: &mut Feeds, servers: &[BackendServer]) {
    feeds.retain(|id, task| {
        let listed = servers.iter().any(|server| server.id == *id);
        if !listed {
            task.abort();
        }
        listed
    });
    for server in servers {
        let is_engine = matches!(server.serves, Serves::Engine { .. });
        if is_engine && !feeds.contains_key(&server.id) {
            let task = tokio::spawn(feed(Arc::clone(shell), server.clone()));
            feeds.insert(server.id.clone(), task.abort_handle());
        }
    }
}

async fn feed(shell: Arc<Shell>, server: BackendServer) {
    let mut sequence = 0;
    let mut stopped = shell.stopped();
    while !*stopped.borrow_and_update() {
        match shell.edges().backends.feed(server.address, sequence).await {
            Ok(feed) => {
                sequence = feed.sequence;
                let event = Event::Feed {
                    server: server.id.clone(),
                    load: feed.load,
                    cache: feed.cache,
                    leaving: feed.leaving,
                };
                shell.handle(event);
            }
            Err(error) => log::debug!("event=feed_failed server={} error=\"{error}\"", server.id),
        }
        tokio::time::sleep(shell.limits().poll_interval).await;
    }
}
