//! Feeds from engines and the rating service to the hosts, and gossip between hosts.

use std::time::Duration;

use foxtailhoist_model::CacheEvent;
use foxtailhoist_model::LoadReport;
use foxtailhoist_model::PrefixHash;
use foxtailhoist_model::Rating;
use foxtailhoist_model::RequestId;
use foxtailhoist_route::event::Event;
use rand::RngExt;

use super::SimEvent;
use super::World;
use super::request_index;
use crate::policy::clock::Time;
use crate::policy::fault::Fault;

/// Time until gossip reaches the other entry hosts.
pub(super) const GOSSIP_DELAY: Duration = Duration::from_millis(300);

/// Queue of the rating service, which rates a fixed number of answers per second and drops the excess.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RatingQueue {
    available_at: Time,
}

/// Maximum wait in the rating service's queue; answers that would wait longer are dropped.
const MAX_RATING_WAIT: Duration = Duration::from_secs(5);

impl World {
    pub(super) fn publish_load(&mut self, engine: usize) {
        let feed = self.spec.workloads.load_report;
        let every = Duration::from_secs_f64(feed.every_s);
        self.queue.push_after(every, SimEvent::PublishLoad(engine));
        if self.down[engine] {
            return;
        }
        let report = LoadReport {
            server: self.spec.site.engines[engine].id.clone(),
            running: self.engines[engine].running(),
            waiting: self.engines[engine].waiting(),
            lag_ms: (feed.lag_s * 1_000.0) as u64,
        };
        let lag = Duration::from_secs_f64(feed.lag_s);
        self.publish(engine, lag, &Event::Load(report));
    }

    pub(super) fn publish_cache(
        &mut self,
        engine: usize,
        prefix: PrefixHash,
        tokens: u32,
        present: bool,
    ) {
        self.cache_sequence[engine] += 1;
        let feed = self.spec.workloads.cache_events;
        if self.rng.random::<f64>() < feed.lost_share {
            return;
        }
        let event = CacheEvent {
            server: self.spec.site.engines[engine].id.clone(),
            sequence: self.cache_sequence[engine],
            prefix,
            tokens,
            present,
        };
        self.publish(engine, Duration::from_secs_f64(feed.lag_s), &Event::Cache(event));
    }

    fn publish(&mut self, engine: usize, lag: Duration, event: &Event) {
        let from = self.spec.site.engines[engine].data_centre;
        for host in 0..self.hosts.len() {
            if self.hosts[host].policy.reads_feeds() {
                let event = Box::new(event.clone());
                self.queue.push_after(lag, SimEvent::HostMessage { from, host, event });
            }
        }
    }

    /// Sends an event to all other hosts.
    pub(super) fn gossip(&mut self, host: usize, event: &Event) {
        let from = self.spec.site.hosts[host].data_centre;
        for other in (0..self.hosts.len()).filter(|other| *other != host) {
            let event = Box::new(event.clone());
            let message = SimEvent::HostMessage { from, host: other, event };
            self.queue.push_after(GOSSIP_DELAY, message);
        }
    }

    pub(super) fn receive_message(&mut self, from: usize, host: usize, event: Event) {
        if !self.is_disconnected(from, host) {
            self.handle_event(host, event);
        }
    }

    /// Whether a host is disconnected from a data centre.
    pub(super) fn is_disconnected(&self, data_centre: usize, host: usize) -> bool {
        let here = self.spec.site.hosts[host].data_centre;
        self.spec.fault.cuts(data_centre, here, self.queue.now())
    }

    /// Submits an answer to the rating service.
    pub(super) fn submit_for_rating(&mut self, host: usize, request: RequestId) {
        let index = request_index(request);
        let Some(answer) = self.records[index].answer else {
            return;
        };
        let service = self.spec.workloads.rating;
        let extra = match self.spec.fault {
            Fault::NoRatings => return,
            Fault::LateRatings { delay } => delay,
            _ => Duration::ZERO,
        };
        let now = self.queue.now();
        let start = self.ratings.available_at.max(now);
        if start - now > MAX_RATING_WAIT {
            return;
        }
        self.ratings.available_at = start + Duration::from_secs_f64(1.0 / service.per_second);
        let arrival = &self.spec.arrivals[index];
        let acceptable = arrival.rating(answer.acceptable, service.wrong_share);
        let rating = Rating { request, acceptable };
        let at = start + Duration::from_secs_f64(service.delay_s) + extra;
        self.queue.push(at, SimEvent::Rated { host, rating });
    }

    pub(super) fn receive_rating(&mut self, host: usize, rating: Rating) {
        let delivered = self.records[request_index(rating.request)].delivered;
        let attempt = delivered.and_then(|attempt| self.attempts.get(&attempt));
        self.faulty.rated += u64::from(attempt.is_some_and(|attempt| attempt.faulty));
        self.handle_event(host, Event::Rated(rating));
    }
}
