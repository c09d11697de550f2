//! Reports to the delegate of a data centre, and the delegate's duties.
//!
//! Hosts report to the delegate periodically and receive a summary of the fleet. The delegate also increments
//! the beat of its data centre. The deputy, next in rank, maintains its own links and sums and takes over when the
//! delegate is gone; both exchange sums with other data centres.

use std::collections::BTreeMap;
use std::time::Instant;

use super::Peers;
use crate::centre::split_laggards;
use crate::event::Effect;
use crate::message::Laggard;
use crate::message::PeerMessage;
use crate::message::Report;
use crate::message::Summary;
use foxtailhoist_model::EntryHostId;

impl Peers {
    /// Updates whether this host is the delegate, according to the view.
    pub(super) fn update_delegate(&mut self, now: Instant) {
        let delegate = self.view.delegate(&self.own.data_centre) == Some(&self.own.host);
        if delegate == self.delegate {
            return;
        }
        if delegate {
            self.centres.reset_timeouts(now);
        }
        self.delegate = delegate;
    }

    /// On the delegate, increments the beat of this data centre and checks those of the others.
    pub(super) fn update_centres(&mut self, now: Instant) {
        if !self.delegate {
            return;
        }
        let own = &self.own;
        let hosts = self.view.ranked(&own.data_centre).iter();
        let revisions = hosts.map(|host| {
            let revision = if *host == own.host {
                self.replica.revision()
            } else {
                let gossiped = self.members.get(host).map_or(0, |entry| entry.revision);
                self.tallies.reported_revision(host).unwrap_or(0).max(gossiped)
            };
            Laggard { host: host.clone(), revision }
        });
        let (revision, laggards) = split_laggards(revisions.collect());
        self.centres.increment_beat(&own.data_centre, revision, laggards, now);
        self.view_stale |= self.centres.update_unreachable(&own.data_centre, now);
    }

    /// Reports to the delegate; on the delegate, applies its own summary. A report that is not full carries only the
    /// revision.
    pub(super) fn send_report(&mut self, full: bool, effects: &mut Vec<Effect>) {
        let Some(delegate) = self.view.delegate(&self.own.data_centre).cloned() else {
            return;
        };
        if delegate == self.own.host {
            let summary = self.build_summary(&delegate);
            self.apply_summary(&summary, effects);
            return;
        }
        let report = self.tallies.report(self.replica.revision(), full);
        self.send(&delegate, PeerMessage::Report(Box::new(report)), effects);
    }

    pub(super) fn handle_report(
        &mut self,
        from: &EntryHostId,
        report: Report,
        effects: &mut Vec<Effect>,
    ) {
        if !self.delegate {
            return;
        }
        self.tallies.merge_report(from, &report);
        if !report.wants_summary {
            return;
        }
        let summary = self.build_summary(from);
        self.send(from, PeerMessage::Summary(Box::new(summary)), effects);
    }

    pub(super) fn handle_summary(
        &mut self,
        from: &EntryHostId,
        summary: &Summary,
        effects: &mut Vec<Effect>,
    ) {
        if self.view.delegate(&self.own.data_centre) == Some(from) {
            self.apply_summary(summary, effects);
        }
    }

    /// Sends sums by data centre over the links, and a part of the hosts' counters to the other watcher.
    pub(super) fn send_exchange(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if self.delegate {
            self.tallies.sum_centre(&self.own.data_centre);
        }
        let exchange = self.tallies.next_exchange();
        for host in self.link_targets(now) {
            self.send(&host, PeerMessage::Exchange(Box::new(exchange.clone())), effects);
        }
        let handover = self.tallies.next_handover();
        let own = &self.own;
        let other_watcher = self.view.other_watchers(&own.data_centre, &own.host).next().cloned();
        if let Some(host) = other_watcher {
            self.send(&host, PeerMessage::Handover(Box::new(handover)), effects);
        }
    }

    fn build_summary(&mut self, host: &EntryHostId) -> Summary {
        self.tallies.sum_centre(&self.own.data_centre);
        let mut summary = Summary {
            others: self.tallies.sums_without(host),
            revision: 0,
            centres_behind: BTreeMap::new(),
            laggards: Vec::new(),
            unreachable: Vec::new(),
        };
        self.centres.fill_summary(&mut summary);
        summary
    }

    fn apply_summary(&mut self, summary: &Summary, effects: &mut Vec<Effect>) {
        self.view_stale |= self.centres.apply_summary(summary);
        let grown = self.tallies.merge_others(&summary.others);
        if !grown.is_empty() {
            effects.push(Effect::Tallies(grown));
        }
    }
}
