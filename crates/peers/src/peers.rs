//! Members as the host list shows them.

use std::net::SocketAddr;
use std::time::Instant;

use foxtailhoist_model::Enforcement;
use foxtailhoist_model::Incarnation;
use foxtailhoist_model::Invariants;
use foxtailhoist_model::ListedHost;

use crate::event::Effect;
use crate::event::Event;
use crate::event::Member;

/// Who this entry host is.
#[derive(Clone, Debug)]
pub struct PeersConfig {
    own: Member,
    enforcement: Enforcement,
}

/// Membership of one entry host.
#[derive(Clone, Debug)]
pub struct Peers {
    cfg: PeersConfig,
    members: Vec<Member>,
    started: bool,
    invariants: Invariants,
}

impl PeersConfig {
    #[must_use]
    pub fn new(
        host: &str,
        data_centre: &str,
        _incarnation: Incarnation,
        address: SocketAddr,
    ) -> PeersConfig {
        let own = Member {
            host: host.to_owned(),
            address,
            data_centre: data_centre.to_owned(),
            revision: 0,
        };
        PeersConfig { own, enforcement: Enforcement::default() }
    }

    #[must_use]
    pub fn enforcement(self, enforcement: Enforcement) -> PeersConfig {
        PeersConfig { enforcement, ..self }
    }
}

impl Peers {
    #[must_use]
    pub fn new(cfg: PeersConfig, _seed: u64) -> Peers {
        let invariants = Invariants::new(cfg.enforcement);
        Peers { members: vec![cfg.own.clone()], started: false, cfg, invariants }
    }

    /// Takes one event and returns what is to be done.
    pub fn handle(&mut self, event: Event, _now: Instant) -> Vec<Effect> {
        match event {
            Event::HostList(listed) => self.take_list(&listed),
            _ => Vec::new(),
        }
    }

    #[must_use]
    pub fn next_wake(&self) -> Option<Instant> {
        None
    }

    /// Where an entry host is reached.
    #[must_use]
    pub fn address(&self, host: &str) -> Option<SocketAddr> {
        self.members.iter().find(|member| member.host == host).map(|member| member.address)
    }

    /// Entry hosts alive, this one included.
    #[must_use]
    pub fn members(&self) -> Vec<Member> {
        self.members.clone()
    }

    #[must_use]
    pub fn invariants(&self) -> &Invariants {
        &self.invariants
    }

    fn take_list(&mut self, listed: &[ListedHost]) -> Vec<Effect> {
        let others = listed.iter().filter(|host| host.id != self.cfg.own.host).map(member);
        let mut members: Vec<Member> = others.chain([self.cfg.own.clone()]).collect();
        members.sort();
        let mut effects = Vec::new();
        if !self.started || members != self.members {
            self.members = members.clone();
            effects.push(Effect::Hosts(members));
        }
        if !self.started {
            self.started = true;
            effects.push(Effect::Watcher(true));
        }
        effects
    }
}

fn member(listed: &ListedHost) -> Member {
    Member {
        host: listed.id.clone(),
        address: listed.address,
        data_centre: listed.data_centre.clone(),
        revision: 0,
    }
}
