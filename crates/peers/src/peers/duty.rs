//! What a data centre's delegate does, and what its hosts tell it.
//!
//! Hosts report to the delegate at a fixed interval and get a summary of the fleet back. Delegates count beats and
//! exchange sums. The deputy, next in rank, holds the same links and sums and takes over when the delegate is gone.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use super::Peers;
use crate::centre::split_laggards;
use crate::event::Effect;
use crate::message::Exchange;
use crate::message::Laggard;
use crate::message::PeerMessage;
use crate::message::Report;
use crate::message::Summary;
use foxtailhoist_model::EntryHostId;

/// Time after taking over in which a delegate accepts its predecessor's retained evidence.
const TAKEOVER: Duration = Duration::from_secs(10);

impl Peers {
    /// Starts or ends this host's time as delegate, as the view says.
    pub(super) fn update_delegate(&mut self, now: Instant) {
        let delegate = self.view.delegate(&self.own.data_centre) == Some(&self.own.host);
        if delegate == self.delegate_since.is_some() {
            return;
        }
        if delegate {
            self.delegate_since = Some(now);
            self.centres.start_watch(now);
        } else {
            self.delegate_since = None;
            self.board.drop_reports();
        }
    }

    /// Counts the data centre's beat and judges the others', as delegate.
    pub(super) fn count_beat(&mut self, now: Instant) {
        if self.delegate_since.is_none() {
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

    /// Reports to the delegate, or sums up as delegate.
    pub(super) fn report(&mut self, effects: &mut Vec<Effect>) {
        let Some(delegate) = self.view.delegate(&self.own.data_centre).cloned() else {
            return;
        };
        if delegate == self.own.host {
            let summary = self.summary(None);
            self.use_summary(&summary, effects);
            return;
        }
        let report = Report {
            incarnation: self.own.incarnation,
            revision: self.spread.revision(),
            tallies: self.board.own().clone(),
        };
        self.send(&delegate, PeerMessage::Report(Box::new(report)), effects);
    }

    pub(super) fn take_report(
        &mut self,
        from: &EntryHostId,
        report: Report,
        effects: &mut Vec<Effect>,
    ) {
        if self.delegate_since.is_none() {
            return;
        }
        self.board.take_report(from, report);
        let summary = self.summary(Some(from));
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

    /// Sends sums to the linked data centres, and what a successor needs to the other watcher.
    pub(super) fn exchange(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if self.delegate_since.is_some() {
            self.board.sum_centre(&self.own.data_centre);
        }
        let far = self.board.exchange(false);
        let near = self.board.exchange(true);
        for host in self.link_targets(now) {
            let entry = self.members.get(&host);
            let is_near =
                entry.is_some_and(|entry| entry.record.data_centre == self.own.data_centre);
            let exchange = if is_near { near.clone() } else { far.clone() };
            self.send(&host, PeerMessage::Exchange(Box::new(exchange)), effects);
        }
    }

    pub(super) fn take_exchange(&mut self, from: &EntryHostId, exchange: &Exchange, now: Instant) {
        let near = self
            .members
            .get(from)
            .is_some_and(|entry| entry.record.data_centre == self.own.data_centre);
        let learns = self.delegate_since.is_none_or(|since| now < since + TAKEOVER);
        self.board.take_exchange(exchange, near && learns);
    }

    fn summary(&mut self, host: Option<&EntryHostId>) -> Summary {
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
