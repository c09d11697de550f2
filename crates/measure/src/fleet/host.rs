//! An entry host of the simulated fleet: its decisions, and when it sends news to others.

use std::time::Duration;
use std::time::Instant;

use foxtailhoist_route::blame::MIN_NEWS_INTERVAL;
use foxtailhoist_route::blame::NEWS_DELAY;
use foxtailhoist_route::blame::NewsRound;
use foxtailhoist_route::dispatch::Dispatcher;
use foxtailhoist_route::dispatch::Notification;

use super::Index;
use super::deployment::dispatch_config;
use super::deployment::routing_table;
use super::server::Server;

/// Unix time at the start of a run.
const START: Duration = Duration::from_secs(1_800_000_000);

pub(super) struct Host {
    pub(super) dispatcher: Dispatcher,
    /// When the next round is, if one is scheduled.
    round_at: Option<Instant>,
    last_round: Option<Instant>,
    /// When what was sent before has left.
    link_free_at: Instant,
}

/// Index of the host with this name.
pub(super) fn index(name: &str) -> Index {
    let number = name.rsplit('-').next().and_then(|number| number.parse().ok());
    number.unwrap_or_default()
}

impl Host {
    pub(super) fn new(own: &String, all: &[String], servers: &mut [Server], now: Instant) -> Host {
        let mut dispatcher = Dispatcher::new(dispatch_config());
        dispatcher.configure(routing_table());
        dispatcher.set_host_counts(all.len(), all.len());
        dispatcher.set_hosts(own, &all.iter().collect::<Vec<_>>());
        dispatcher.set_unix_time(now, START);
        let mut host = Host { dispatcher, round_at: None, last_round: None, link_free_at: now };
        for server in servers {
            host.register(server, now);
        }
        host
    }

    pub(super) fn register(&mut self, server: &Server, now: Instant) {
        self.dispatcher.backends_mut().register(server.registration(), now);
        self.dispatcher.server_died(&server.id, now);
    }

    /// Time until the next round, if one is due and not scheduled yet.
    pub(super) fn next_round(&mut self, now: Instant) -> Option<Duration> {
        if self.round_at.is_some() || !self.dispatcher.has_crash_news(now) {
            return None;
        }
        let earliest = self.last_round.map_or(now, |last| last + MIN_NEWS_INTERVAL);
        let at = earliest.max(now + NEWS_DELAY);
        self.round_at = Some(at);
        Some(at.saturating_duration_since(now))
    }

    /// What to send in a round.
    pub(super) fn take_news(&mut self, now: Instant) -> NewsRound {
        self.round_at = None;
        self.last_round = Some(now);
        self.dispatcher.take_crash_news(now)
    }

    /// Sends bytes; returns when they have left.
    pub(super) fn send(&mut self, bytes: usize, bytes_per_second: f64, now: Instant) -> Duration {
        let time = Duration::from_secs_f64(bytes as f64 / bytes_per_second);
        self.link_free_at = self.link_free_at.max(now) + time;
        self.link_free_at.saturating_duration_since(now)
    }

    /// Number of quarantines and releases since that was last asked.
    pub(super) fn take_verdict_changes(&mut self) -> usize {
        let notifications = self.dispatcher.take_notifications();
        let is_change = |notification: &&Notification| {
            matches!(notification, Notification::Quarantined { .. } | Notification::Released { .. })
        };
        notifications.iter().filter(is_change).count()
    }
}
