//! Changes of configuration, servers, versions and peers, and orders to engines.

use std::time::Instant;

use foxtailhoist_model::EngineOrder;
use foxtailhoist_model::EngineRole;
use foxtailhoist_model::Invariant;
use foxtailhoist_model::OrderedState;
use foxtailhoist_model::Rating;

use super::Router;
use crate::event::Effect;
use crate::event::Event;
use crate::event::Evidence;
use crate::event::EvidenceKind;

impl Router {
    /// Applies an event that does not belong to a single request.
    pub(super) fn apply_update(&mut self, event: Event, now: Instant, out: &mut Vec<Effect>) {
        self.queue_check_due = !matches!(event, Event::Load(_) | Event::Cache(_) | Event::Rated(_));
        match event {
            Event::Configured(configuration) => {
                let revision = configuration.revision;
                let applied = self.permissions.configure(configuration);
                let current = self.permissions.revision();
                let holds = !applied || current == revision;
                self.invariants.check(Invariant::RevisionNeverFalls, holds, || {
                    format!("{current} after {revision}")
                });
            }
            Event::Confirmed(confirmed) => self.permissions.confirm(confirmed),
            Event::Servers(listed) => self.servers.update(listed),
            Event::Leaving(server) => {
                self.servers.mark_leaving(&server);
            }
            Event::Load(report) => self.servers.record_load(&report, now),
            Event::Cache(event) => self.servers.record_cache_event(&event, now),
            Event::Vetoed(model_version) => self.permissions.veto(model_version),
            Event::VetoCleared(model_version) => self.permissions.clear_veto(&model_version),
            Event::Quarantined(content) => self.poison.quarantine(content, now),
            Event::Suspected(content) => self.poison.mark_suspect(content, now),
            Event::Rated(rating) => self.record_rating(&rating, out),
            Event::Hosts { alive } => self.sampling.set_host_count(alive + 1),
            Event::OrdersLease { fencing, until } => self.orders.update_lease(fencing, until),
            Event::PeerQuality { from, shared } => self.quality.update_peer(from, shared, now),
            Event::Stopping => self.stopping = true,
            _ => {}
        }
    }

    /// Orders one more engine to load a version in demand.
    pub(super) fn order_version_load(&mut self, now: Instant, out: &mut Vec<Effect>) {
        let Some((wanted, fencing)) = self.orders.next_order(now) else {
            return;
        };
        if !self.permissions.takes_new_work(&wanted) {
            return;
        }
        let Some((server, loaded)) = self.servers.engine_without(&wanted, now) else {
            return;
        };
        let kept =
            loaded.iter().filter(|version| self.permissions.takes_new_work(version)).cloned();
        let loaded = kept.chain([wanted]).collect();
        let state = OrderedState { loaded, role: EngineRole::Mixed };
        let holds = self.orders.holds_lease(fencing, now);
        let order = EngineOrder { server: server.clone(), fencing, state };
        self.invariants.check(Invariant::FencedActsOnly, holds, || format!("{order:?}"));
        out.push(Effect::Order(order));
    }

    fn record_rating(&mut self, rating: &Rating, out: &mut Vec<Effect>) {
        let Some(sample) = self.sampling.take(rating.request) else {
            return;
        };
        self.stats.ratings += 1;
        self.quality.record_rating(&sample.kept, rating.acceptable);
        out.push(Effect::Evidence(Evidence {
            model_version: sample.model_version,
            caller: sample.caller,
            class: sample.class,
            kind: EvidenceKind::Rated { acceptable: rating.acceptable },
        }));
    }
}
