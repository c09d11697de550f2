//! Random faults of a soak run.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::World;
use crate::proxy::ConnectionFault;
use crate::standin::configuration;
use crate::standin::engine::Behaviour;
use crate::standin::engine::Endless;
use crate::standin::store::StoreFaults;

/// Upper bound of the time for which a store that is restored is away, in milliseconds.
const MAX_AWAY_MS: u64 = 900;
/// Maximum delay until what a restored store lacks is written again, in milliseconds.
const MAX_REWRITE_DELAY_MS: u64 = 1_800;
/// Probability that a statement is a limit; otherwise it is an error.
const LIMIT_PROBABILITY: f64 = 0.5;
/// Limits that servers name: rising and falling, zero, unreadable, ended.
const LIMITS: [Option<&str>; 9] = [
    Some("0.4"),
    Some("1.5"),
    Some("4"),
    Some("20"),
    Some("0"),
    Some("many"),
    Some("-1"),
    None,
    None,
];
/// Upper bound of the requests in a row that a server answers with an error.
const MAX_ERRORS: usize = 40;
/// Upper bound of the time for which a host is suspended, in milliseconds.
const MAX_SUSPENSION_MS: u64 = 1_500;

/// A fault to inject, or the end of earlier ones.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    KillHost,
    /// Kills all hosts at the same moment, as in a power failure.
    KillAllHosts,
    StopHost,
    PauseHost,
    ReloadHost,
    Server(Behaviour),
    /// A server answers its next requests with an error.
    ServerErrors {
        status: u16,
        requests: usize,
    },
    /// A server names a limit in its answers, or none any more.
    ServerLimit(Option<&'static str>),
    /// A sound server sends nothing on any connection for a time.
    ServerSilence(Duration),
    ServerConnection(ConnectionFault),
    ServerReset,
    StoreConnection(ConnectionFault),
    StoreReset,
    StoreDown(bool),
    StoreSlow(Duration),
    /// The store discards its history.
    Compact,
    /// The store goes away and comes back from a copy; what it lacks is written again after a while.
    RestoreStore,
    /// Stores a new version of the configuration.
    Configure,
    /// Ends all faults of the store, the proxies and the servers.
    Repair,
}

impl Fault {
    pub fn draw(rng: &mut ChaCha8Rng) -> Fault {
        match rng.random_range(0..24) {
            0 => Fault::KillHost,
            1 => Fault::StopHost,
            2 => Fault::PauseHost,
            3 => Fault::ReloadHost,
            4..=8 => Fault::Server(behaviour(rng)),
            9 | 10 => Fault::ServerConnection(connection_fault(rng)),
            11 => Fault::ServerReset,
            12 => Fault::StoreConnection(connection_fault(rng)),
            13 => Fault::StoreReset,
            14 => Fault::StoreDown(rng.random_bool(0.6)),
            15 => Fault::Compact,
            16 => Fault::Configure,
            17 => Fault::KillAllHosts,
            18 => Fault::StoreSlow(Duration::from_millis(rng.random_range(20..400))),
            19 | 20 => Fault::ServerSilence(Duration::from_millis(rng.random_range(200..1_500))),
            _ => Fault::Repair,
        }
    }

    /// Draws what a server states in its answers.
    pub fn draw_statement(rng: &mut ChaCha8Rng) -> Fault {
        if rng.random_bool(LIMIT_PROBABILITY) {
            let limit = LIMITS[rng.random_range(0..LIMITS.len())];
            return Fault::ServerLimit(limit);
        }
        let status = [429, 500, 503, 504][rng.random_range(0..4)];
        Fault::ServerErrors { status, requests: rng.random_range(1..MAX_ERRORS) }
    }

    pub async fn inject(self, world: &mut World, version: &mut u64, rng: &mut ChaCha8Rng) {
        let host = rng.random_range(0..world.hosts.len());
        let server = rng.random_range(0..world.engines.len());
        match self {
            Fault::KillHost => {
                world.hosts.signal(host, Signal::KILL);
                world.hosts.wait(host).await;
                world.hosts.start_process(host);
            }
            Fault::KillAllHosts => {
                let all = 0..world.hosts.len();
                all.clone().for_each(|host| world.hosts.signal(host, Signal::KILL));
                for host in all {
                    world.hosts.wait(host).await;
                    world.hosts.start_process(host);
                }
            }
            Fault::StopHost => {
                world.hosts.signal(host, Signal::TERM);
                world.hosts.wait(host).await;
                world.hosts.start_process(host);
            }
            Fault::PauseHost => {
                world.hosts.signal(host, Signal::STOP);
                sleep(Duration::from_millis(rng.random_range(100..MAX_SUSPENSION_MS))).await;
                world.hosts.signal(host, Signal::CONT);
            }
            Fault::ReloadHost => world.hosts.signal(host, Signal::HUP),
            Fault::ServerErrors { status, requests } => {
                world.engines[server].0.next(&vec![Behaviour::Error(status); requests]);
            }
            Fault::ServerLimit(limit) => world.engines[server].0.set_limit(limit),
            Fault::Server(behaviour) => world.engines[server].0.always(behaviour),
            Fault::ServerSilence(time) => world.engines[server].0.fall_silent(time),
            Fault::ServerConnection(fault) => world.engines[server].1.set(fault),
            Fault::ServerReset => world.engines[server].1.reset(),
            Fault::StoreConnection(fault) => world.store_proxy.set(fault),
            Fault::StoreReset => world.store_proxy.reset(),
            Fault::StoreDown(down) => {
                world.store.set_faults(StoreFaults { down, ..StoreFaults::default() });
            }
            Fault::StoreSlow(slow) => {
                world.store.set_faults(StoreFaults { slow, ..StoreFaults::default() });
            }
            Fault::Compact => world.store.compact(),
            Fault::RestoreStore => restore_store(world, *version, rng).await,
            Fault::Configure => {
                // The first restore comes back from the time before this version.
                world.copy = world.store.copy();
                *version += 1;
                world.store.put("config", "main", configuration(*version));
            }
            Fault::Repair => repair_all(world),
        }
    }
}

/// Ends all faults of the store, the proxies and the servers; stalled connections continue.
pub fn repair_all(world: &mut World) {
    world.store.set_faults(StoreFaults::default());
    world.store_proxy.set(ConnectionFault::None);
    for (engine, proxy) in &world.engines {
        engine.always(Behaviour::Answer);
        engine.set_limit(None);
        proxy.set(ConnectionFault::None);
    }
}

async fn restore_store(world: &mut World, version: u64, rng: &mut ChaCha8Rng) {
    world.store.set_faults(StoreFaults { down: true, ..StoreFaults::default() });
    sleep(Duration::from_millis(rng.random_range(0..MAX_AWAY_MS))).await;
    world.store.restore(world.copy.clone());
    world.store.set_faults(StoreFaults::default());
    world.copy = world.store.copy();
    let mut wanted = vec![("config", "main".to_owned(), configuration(version))];
    wanted.extend(world.registrations());
    for (kind, name, spec) in wanted {
        let store = world.store.clone();
        let delay = Duration::from_millis(rng.random_range(0..MAX_REWRITE_DELAY_MS));
        spawn_local(async move {
            sleep(delay).await;
            let present = store.object(kind, &name).map(|object| object["Spec"].clone());
            // The operator may have stored a later version in the meantime.
            let is_older = present
                .as_ref()
                .is_some_and(|present| present["Version"].as_u64() > spec["Version"].as_u64());
            if !is_older && present.as_ref() != Some(&spec) {
                store.put(kind, &name, spec);
            }
        });
    }
}

fn behaviour(rng: &mut ChaCha8Rng) -> Behaviour {
    match rng.random_range(0..15) {
        0 => Behaviour::Full,
        1 => Behaviour::Fail,
        2 => Behaviour::Close,
        3 => Behaviour::Hang,
        4 => Behaviour::WrongId,
        5 => Behaviour::BreakAfter(rng.random_range(0..5)),
        6 => Behaviour::StallAfter(rng.random_range(0..5)),
        7 => Behaviour::Slow,
        8 => Behaviour::SilentBefore(rng.random_range(100..1_500)),
        9 => Behaviour::SilentInside(rng.random_range(100..1_500)),
        10 => Behaviour::CutInside,
        11 => Behaviour::ExtraAnswer,
        12 => Behaviour::Endless(endless(rng)),
        _ => Behaviour::Answer,
    }
}

fn endless(rng: &mut ChaCha8Rng) -> Endless {
    match rng.random_range(0..10) {
        0 => Endless::HeadLines,
        1 => Endless::HeadLine,
        2 => Endless::Interim,
        3 => Endless::ChunkedBody,
        4 => Endless::UnframedBody,
        5 => Endless::TinyChunks,
        6 => Endless::Trailers,
        7 => Endless::Event,
        8 => Endless::EventDrip,
        _ => Endless::Comments,
    }
}

fn connection_fault(rng: &mut ChaCha8Rng) -> ConnectionFault {
    match rng.random_range(0..6) {
        0 => ConnectionFault::Delay(rng.random_range(20..300)),
        1 => ConnectionFault::Refuse,
        2 => ConnectionFault::StallResponses,
        3 => ConnectionFault::StallAll,
        _ => ConnectionFault::None,
    }
}
