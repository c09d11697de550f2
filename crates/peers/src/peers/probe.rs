//! Peers that do not answer, within the data centre and between data centres.
//!
//! Only hosts of the same data centre judge each other. A host of another data centre that does not answer is left
//! out of the choice of link for a while; whether it is gone is for its own data centre to say.

use std::time::Duration;
use std::time::Instant;

use rand::RngExt;

use super::Peers;
use crate::detector::ACK_TIMEOUT;
use crate::detector::HELPERS;
use crate::detector::Missed;
use crate::detector::PROBES;
use crate::event::Effect;
use crate::member::PeerEvent;
use crate::message::PeerMessage;
use foxtailhoist_model::DataCentreId;
use foxtailhoist_model::EntryHostId;

/// Time for which a host that did not answer is left out of the choice of link.
const LINK_RETRY: Duration = Duration::from_secs(3);

impl Peers {
    /// A peer answered a heartbeat.
    pub(super) fn answered(&mut self, host: &EntryHostId, effects: &mut Vec<Effect>) {
        self.links.remove(host);
        if let Some((requester, sequence)) = self.detector.answered(host) {
            let target = host.clone();
            self.send(&requester, PeerMessage::ProbeResult { target, sequence }, effects);
        }
    }

    /// Sends a heartbeat for a peer that got no answer itself.
    pub(super) fn probe_for(
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
        self.detector.relay(target, requester, sequence, now);
        self.send_heartbeat(target, now, effects);
    }

    pub(super) fn send_failed(&mut self, to: &EntryHostId, now: Instant) {
        self.detector.failed(to, now);
        self.spread.pull_failed(to);
        if let Some(until) = self.links.get_mut(to) {
            *until = now;
        }
    }

    /// Takes the answers that did not come in time.
    pub(super) fn expire_probes(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        for missed in self.detector.expire(now) {
            match missed {
                Missed::First(host) => self.probe_again(&host, now, effects),
                Missed::Again(host) => {
                    if self.members.step(&host, PeerEvent::Suspected, now) {
                        self.note_change(&host, now);
                    }
                }
            }
        }
        let silent: Vec<EntryHostId> = self
            .links
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(host, _)| host.clone())
            .collect();
        for host in silent {
            self.links.remove(&host);
            if let Some(entry) = self.members.get_mut(&host) {
                entry.failed_at = Some(now);
            }
            effects.push(Effect::RetireConnections { to: host });
        }
    }

    pub(super) fn link_sent(&mut self, host: &EntryHostId, now: Instant) {
        if self.links.len() < PROBES {
            self.links.entry(host.clone()).or_insert(now + ACK_TIMEOUT);
        }
    }

    /// Hosts of other data centres, and the other watcher of the own one, for one round.
    pub(super) fn link_targets(&mut self, now: Instant) -> Vec<EntryHostId> {
        let linked: Vec<DataCentreId> =
            self.view.linked_centres(self.delegate, &mut self.rng).into_iter().cloned().collect();
        let mut targets: Vec<EntryHostId> =
            linked.iter().filter_map(|name| self.link_target(name, now)).collect();
        let own = &self.own;
        targets.extend(self.view.other_watchers(&own.data_centre, &own.host).cloned());
        targets
    }

    /// One watcher of a data centre, at random; another of its hosts when neither answered lately.
    fn link_target(&mut self, data_centre: &DataCentreId, now: Instant) -> Option<EntryHostId> {
        let ranked = self.view.ranked(data_centre);
        let answers = |host: &&EntryHostId| {
            let failed_at = self.members.get(host).and_then(|entry| entry.failed_at);
            failed_at.is_none_or(|at| now >= at + LINK_RETRY)
        };
        let mut candidates: Vec<&EntryHostId> = ranked.iter().take(2).filter(answers).collect();
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
        for helper in self.view.helpers(host, HELPERS, &mut self.rng) {
            let request =
                PeerMessage::ProbeRequest { target: host.clone(), sequence: self.sequence };
            self.send(&helper, request, effects);
        }
    }
}
