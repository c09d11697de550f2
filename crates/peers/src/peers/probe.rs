//! Handling of unresponsive peers, within the data centre and between data centres.
//!
//! Only hosts of the same data centre suspect each other. A host of another data centre that does not answer is not
//! selected as a link target for a while; its own data centre decides whether it is gone.

use std::time::Duration;
use std::time::Instant;

use rand::RngExt;

use super::Peers;
use crate::detector::ACK_TIMEOUT;
use crate::detector::MAX_PROBES;
use crate::detector::MissedAck;
use crate::detector::PROBE_HELPERS;
use crate::event::Effect;
use crate::member::PeerEvent;
use crate::message::PeerMessage;
use foxtailhoist_model::DataCentreId;
use foxtailhoist_model::EntryHostId;

/// Time for which an unresponsive host is not selected as a link target.
const LINK_RETRY_DELAY: Duration = Duration::from_secs(3);

impl Peers {
    /// Handles a peer's acknowledgement of a heartbeat.
    pub(super) fn ack_received(&mut self, host: &EntryHostId, effects: &mut Vec<Effect>) {
        self.link_probes.remove(host);
        if let Some((requester, sequence)) = self.detector.ack_received(host) {
            let target = host.clone();
            self.send(&requester, PeerMessage::ProbeResult { target, sequence }, effects);
        }
    }

    /// Probes `target` on behalf of a peer that received no acknowledgement.
    pub(super) fn relay_probe(
        &mut self,
        target: &EntryHostId,
        requester: &EntryHostId,
        sequence: u64,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        if *target == self.own.host {
            return;
        }
        self.detector.add_relayed(target, requester, sequence, now);
        self.send_heartbeat(target, now, effects);
    }

    pub(super) fn send_failed(&mut self, to: &EntryHostId, now: Instant) {
        self.detector.send_failed(to, now);
        self.replica.pull_failed(to);
        if let Some(deadline) = self.link_probes.get_mut(to) {
            *deadline = now;
        }
    }

    /// Handles heartbeats and probes that timed out.
    pub(super) fn expire_probes(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        for missed in self.detector.expire(now) {
            match missed {
                MissedAck::Direct(host) => self.probe_again(&host, now, effects),
                MissedAck::Indirect(host) => {
                    if self.members.step(&host, PeerEvent::Suspected, now) {
                        self.spread_change(&host, now);
                    }
                }
            }
        }
        let unresponsive: Vec<EntryHostId> = self
            .link_probes
            .iter()
            .filter(|(_, deadline)| **deadline <= now)
            .map(|(host, _)| host.clone())
            .collect();
        for host in unresponsive {
            self.link_probes.remove(&host);
            if let Some(entry) = self.members.get_mut(&host) {
                entry.last_failure_at = Some(now);
            }
            effects.push(Effect::RetireConnections { to: host });
        }
    }

    pub(super) fn link_heartbeat_sent(&mut self, host: &EntryHostId, now: Instant) {
        if self.link_probes.len() < MAX_PROBES {
            self.link_probes.entry(host.clone()).or_insert(now + ACK_TIMEOUT);
        }
    }

    /// Hosts of other data centres, and the other watcher of the own one, that receive one round of gossip.
    pub(super) fn link_targets(&mut self, now: Instant) -> Vec<EntryHostId> {
        let linked: Vec<DataCentreId> =
            self.view.linked_centres(self.delegate, &mut self.rng).into_iter().cloned().collect();
        let mut targets: Vec<EntryHostId> =
            linked.iter().filter_map(|name| self.link_target(name, now)).collect();
        let own = &self.own;
        targets.extend(self.view.other_watchers(&own.data_centre, &own.host).cloned());
        targets
    }

    /// A random watcher of a data centre, or any of its hosts if neither watcher answered recently.
    fn link_target(&mut self, data_centre: &DataCentreId, now: Instant) -> Option<EntryHostId> {
        let ranked = self.view.ranked(data_centre);
        let is_responsive = |host: &&EntryHostId| {
            let last_failure_at = self.members.get(host).and_then(|entry| entry.last_failure_at);
            last_failure_at.is_none_or(|at| now >= at + LINK_RETRY_DELAY)
        };
        let mut candidates: Vec<&EntryHostId> =
            ranked.iter().take(2).filter(is_responsive).collect();
        if candidates.is_empty() {
            candidates = ranked.iter().collect();
        }
        if candidates.is_empty() {
            return None;
        }
        let index = self.rng.random_range(0..candidates.len());
        Some(candidates[index].clone())
    }

    fn probe_again(&mut self, host: &EntryHostId, now: Instant, effects: &mut Vec<Effect>) {
        effects.push(Effect::RetireConnections { to: host.clone() });
        self.send_heartbeat(host, now, effects);
        for helper in self.view.probe_helpers(host, PROBE_HELPERS, &mut self.rng) {
            let request =
                PeerMessage::ProbeRequest { target: host.clone(), sequence: self.sequence };
            self.send(&helper, request, effects);
        }
    }
}
