//! Applies the effects of the cluster membership.

use std::time::Instant;

use foxtailhoist_config::adopter;
use foxtailhoist_journal::event as journal;
use foxtailhoist_journal::event::HostLocation;
use foxtailhoist_peers::event as peers;
use foxtailhoist_peers::event::Announcement;
use foxtailhoist_peers::event::Member;
use foxtailhoist_rollout::event as rollout;
use foxtailhoist_route::event as route;

use crate::EntryHost;
use crate::HostMessage;
use crate::entry_host::InternalEvent;
use crate::event::Effect;
use crate::event::Notification;

impl EntryHost {
    pub(crate) fn step_peers(&mut self, event: peers::Event, now: Instant) {
        for effect in self.peers.handle(event, now) {
            self.apply_peers_effect(effect, now);
        }
    }

    fn apply_peers_effect(&mut self, effect: peers::Effect, now: Instant) {
        match effect {
            peers::Effect::Send { to, address, message } => {
                let body = HostMessage::Peers(message).encode();
                self.effects.push(Effect::Send { to, address, body });
            }
            peers::Effect::Hosts(members) => self.hosts_changed(&members),
            peers::Effect::Adopt(configuration) => {
                self.enqueue(InternalEvent::Adopter(adopter::Event::PeerConfiguration(
                    configuration,
                )));
            }
            peers::Effect::PeerRevision(revision) => {
                self.enqueue(InternalEvent::Adopter(adopter::Event::PeerRevision(revision)));
            }
            peers::Effect::PeerConfirmed { revision, age } => {
                self.enqueue(InternalEvent::Adopter(adopter::Event::PeerConfirmed {
                    revision,
                    age,
                }));
            }
            peers::Effect::SessionFound { token, model_version } => {
                self.session_found(token, model_version)
            }
            peers::Effect::Learned(announcement) => self.apply_announcement(announcement, now),
            peers::Effect::Tallies(tallies) => {
                self.enqueue(InternalEvent::Rollout(rollout::Event::PeerTallies(tallies)))
            }
            peers::Effect::Watcher(watcher) => {
                self.watcher = watcher;
                self.notify(Notification::Watching(watcher));
                self.enqueue(InternalEvent::Adopter(adopter::Event::Watcher(watcher)));
            }
            peers::Effect::RetireConnections { to } => {
                if let Some(address) = self.peers.address(&to) {
                    self.effects.push(Effect::RetirePeer { address });
                }
            }
        }
    }

    fn hosts_changed(&mut self, members: &[Member]) {
        let locations = members
            .iter()
            .map(|member| HostLocation {
                host: member.host.clone(),
                data_centre: member.data_centre.clone(),
            })
            .collect();
        let hosts = members.iter().map(|member| member.host.clone()).collect();
        let others = members.iter().filter(|member| member.host != self.cfg.host).count();
        let alive = u32::try_from(others).unwrap_or(u32::MAX);
        self.enqueue(InternalEvent::Journal(journal::Event::Hosts(locations)));
        self.enqueue(InternalEvent::Rollout(rollout::Event::Hosts(hosts)));
        self.enqueue(InternalEvent::Router(route::Event::Hosts { alive }));
        self.notify(Notification::HostsAlive { count: members.len() });
    }

    fn apply_announcement(&mut self, announcement: Announcement, now: Instant) {
        match announcement {
            Announcement::Vetoed { model_version, epoch, reason } => {
                self.apply_veto(model_version, epoch, reason)
            }
            Announcement::VetoCleared { model_version, epoch, .. } => {
                self.apply_veto_clearance(model_version, epoch)
            }
            Announcement::Suspected { fingerprint } => {
                self.enqueue(InternalEvent::Router(route::Event::Suspected(fingerprint)))
            }
            Announcement::Quarantined { fingerprint } => {
                self.notify(Notification::Quarantined { fingerprint });
                self.enqueue(InternalEvent::Router(route::Event::Quarantined(fingerprint)));
            }
            Announcement::Leaving { server } => {
                if self.servers.mark_leaving(&server, now) {
                    self.notify(Notification::ServerLeaving { server: server.clone() });
                    self.enqueue(InternalEvent::Router(route::Event::Leaving(server)));
                }
            }
        }
    }
}
