//! What a data centre's delegate does, and what its hosts tell it.
//!
//! Hosts report to the delegate at a fixed interval and get a summary of the fleet back. Delegates count beats and
//! exchange sums. The deputy, next in rank, holds the same links and sums and takes over when the delegate is gone.

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
    /// Starts or ends this host's time as delegate, as the view says.
    pub(super) fn update_delegate(&mut self, now: Instant) {
        let delegate = self.view.delegate(&self.own.data_centre) == Some(&self.own.host);
        if delegate == self.delegate {
            return;
        }
        if delegate {
            self.centres.start_watch(now);
        }
        self.delegate = delegate;
    }

    /// Counts the data centre's beat and judges the others', as delegate.
    pub(super) fn count_beat(&mut self, now: Instant) {
        if !self.delegate {
            return;
        }
        let own = &self.own;
        let hosts = self.view.ranked(&own.data_centre).iter();
        let revisions = hosts.map(|host| {
            let revision = if *host == own.host {
                self.spread.revision()
            } else {
                let heard = self.members.get(host).map_or(0, |entry| entry.revision);
                self.board.reported_revision(host).unwrap_or(0).max(heard)
            };
            Laggard { host: host.clone(), revision }
        });
        let (revision, laggards) = split_laggards(revisions.collect());
        self.centres.beat(&own.data_centre, revision, laggards, now);
        self.view_stale |= self.centres.judge(&own.data_centre, now);
    }

    /// Reports to the delegate, or sums up as delegate; a report that is not whole tells a new revision only.
    pub(super) fn report(&mut self, whole: bool, effects: &mut Vec<Effect>) {
        let Some(delegate) = self.view.delegate(&self.own.data_centre).cloned() else {
            return;
        };
        if delegate == self.own.host {
            let summary = self.summary(&delegate);
            self.use_summary(&summary, effects);
            return;
        }
        let report = self.board.report(self.spread.revision(), whole);
        self.send(&delegate, PeerMessage::Report(Box::new(report)), effects);
    }

    pub(super) fn take_report(
        &mut self,
        from: &EntryHostId,
        report: Report,
        effects: &mut Vec<Effect>,
    ) {
        if !self.delegate {
            return;
        }
        self.board.take_report(from, &report);
        if !report.wants_summary {
            return;
        }
        let summary = self.summary(from);
        self.send(from, PeerMessage::Summary(Box::new(summary)), effects);
    }

    pub(super) fn take_summary(
        &mut self,
        from: &EntryHostId,
        summary: &Summary,
        effects: &mut Vec<Effect>,
    ) {
        if self.view.delegate(&self.own.data_centre) == Some(from) {
            self.use_summary(summary, effects);
        }
    }

    /// Sends sums to the linked data centres, and to the other watcher a part of what the delegate must know.
    pub(super) fn exchange(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if self.delegate {
            self.board.sum_centre(&self.own.data_centre);
        }
        let exchange = self.board.exchange();
        for host in self.link_targets(now) {
            self.send(&host, PeerMessage::Exchange(Box::new(exchange.clone())), effects);
        }
        let handover = self.board.hand_over();
        let own = &self.own;
        let near = self.view.other_watchers(&own.data_centre, &own.host).next().cloned();
        if let Some(host) = near {
            self.send(&host, PeerMessage::Handover(Box::new(handover)), effects);
        }
    }

    fn summary(&mut self, host: &EntryHostId) -> Summary {
        self.board.sum_centre(&self.own.data_centre);
        let mut summary = Summary {
            others: self.board.others_of(host),
            revision: 0,
            centres_behind: BTreeMap::new(),
            laggards: Vec::new(),
            unreachable: Vec::new(),
        };
        self.centres.summarise(&mut summary);
        summary
    }

    fn use_summary(&mut self, summary: &Summary, effects: &mut Vec<Effect>) {
        self.view_stale |= self.centres.take_summary(summary);
        let grew = self.board.grow_others(&summary.others);
        if !grew.is_empty() {
            effects.push(Effect::Tallies(grew));
        }
    }
}
