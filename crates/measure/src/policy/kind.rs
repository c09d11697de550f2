//! Routing policies to compare.

use std::fmt;

use foxtailhoist_route::Mechanisms;
use serde::Serialize;

/// A policy for the selection of model and server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// Best model; server with the fewest in-flight requests from this host, ties go to the local data centre.
    AlwaysBest,
    /// Cheapest model; server as for `AlwaysBest`.
    Cheapest,
    /// Best model, random server.
    Random,
    /// Best model, servers in rotation.
    RoundRobin,
    /// Best model; server with the fewest in-flight requests from this host, ties are broken at random.
    LeastInFlight,
    /// Model fixed by task class, as an operator would configure it; server as for `AlwaysBest`.
    FixedByClass,
    /// Best model, servers in rotation, up to three retries without backoff.
    RoundRobinRetries,
    /// Models that the router chose on the same arrivals; server as for `LeastInFlight`.
    ReplayedLeastInFlight,
    /// This project's router.
    Router,
    /// The router with one mechanism switched off.
    Without(Mechanism),
}

/// A mechanism of the router that can be switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Mechanism {
    Affinity,
    Cascade,
    CheaperModels,
    Exploration,
    Hedging,
    Retries,
    AdaptiveLimits,
    FairShare,
    EarlyShedding,
    ZonePreference,
}

impl Policy {
    /// Baselines on ordinary and peak load, always-best first.
    pub const BASELINES: [Policy; 7] = [
        Policy::AlwaysBest,
        Policy::Cheapest,
        Policy::Random,
        Policy::RoundRobin,
        Policy::LeastInFlight,
        Policy::FixedByClass,
        Policy::RoundRobinRetries,
    ];

    /// Mechanisms of the router in this policy; `None` for a baseline.
    #[must_use]
    pub fn mechanisms(self) -> Option<Mechanisms> {
        match self {
            Policy::Router => Some(Mechanisms::default()),
            Policy::Without(mechanism) => Some(mechanism.switched_off()),
            _ => None,
        }
    }
}

impl Mechanism {
    pub const ALL: [Mechanism; 10] = [
        Mechanism::Affinity,
        Mechanism::Cascade,
        Mechanism::CheaperModels,
        Mechanism::Exploration,
        Mechanism::Hedging,
        Mechanism::Retries,
        Mechanism::AdaptiveLimits,
        Mechanism::FairShare,
        Mechanism::EarlyShedding,
        Mechanism::ZonePreference,
    ];

    fn switched_off(self) -> Mechanisms {
        let all = Mechanisms::default();
        match self {
            Mechanism::Affinity => Mechanisms { affinity: false, ..all },
            Mechanism::Cascade => Mechanisms { cascade: false, ..all },
            Mechanism::CheaperModels => Mechanisms { cheaper_models: false, ..all },
            Mechanism::Exploration => Mechanisms { exploration: false, ..all },
            Mechanism::Hedging => Mechanisms { hedging: false, ..all },
            Mechanism::Retries => Mechanisms { retries: false, ..all },
            Mechanism::AdaptiveLimits => Mechanisms { adaptive_limits: false, ..all },
            Mechanism::FairShare => Mechanisms { fair_share: false, ..all },
            Mechanism::EarlyShedding => Mechanisms { early_shedding: false, ..all },
            Mechanism::ZonePreference => Mechanisms { zone_preference: false, ..all },
        }
    }

    fn name(self) -> &'static str {
        match self {
            Mechanism::Affinity => "affinity",
            Mechanism::Cascade => "cascade",
            Mechanism::CheaperModels => "cheaper models",
            Mechanism::Exploration => "exploration",
            Mechanism::Hedging => "hedging",
            Mechanism::Retries => "retries",
            Mechanism::AdaptiveLimits => "adaptive limits",
            Mechanism::FairShare => "fair share",
            Mechanism::EarlyShedding => "early shedding",
            Mechanism::ZonePreference => "zone preference",
        }
    }
}

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = match self {
            Policy::AlwaysBest => "always best",
            Policy::Cheapest => "cheapest",
            Policy::Random => "random server",
            Policy::RoundRobin => "round robin",
            Policy::LeastInFlight => "least in-flight",
            Policy::FixedByClass => "fixed by class",
            Policy::RoundRobinRetries => "round robin, 3 retries",
            Policy::ReplayedLeastInFlight => "router's models, least in-flight",
            Policy::Router => "router",
            Policy::Without(mechanism) => return f.pad(&format!("without {}", mechanism.name())),
        };
        f.pad(name)
    }
}
