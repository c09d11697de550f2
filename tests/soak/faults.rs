//! The faults of a run.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;

use crate::World;
use crate::proxy::Harm;
use crate::standin::configuration;
use crate::standin::engine::Behaviour;
use crate::standin::store::StoreFaults;

/// Longest time for which a host stands still.
const PAUSE_MS: u64 = 1_500;

/// Something that goes wrong, or right again.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    KillHost,
    /// All hosts at the same moment, as after a loss of power.
    KillAllHosts,
    StopHost,
    PauseHost,
    ReloadHost,
    Server(Behaviour),
    ServerHarm(Harm),
    ServerReset,
    StoreHarm(Harm),
    StoreReset,
    StoreDown(bool),
    StoreSlow(Duration),
    Compact,
    Configure,
    /// Everything but what runs is mended.
    Mend,
}

impl Fault {
    pub fn draw(rng: &mut ChaCha8Rng) -> Fault {
        match rng.random_range(0..22) {
            0 => Fault::KillHost,
            1 => Fault::StopHost,
            2 => Fault::PauseHost,
            3 => Fault::ReloadHost,
            4..=8 => Fault::Server(act(rng)),
            9 | 10 => Fault::ServerHarm(harm(rng)),
            11 => Fault::ServerReset,
            12 => Fault::StoreHarm(harm(rng)),
            13 => Fault::StoreReset,
            14 => Fault::StoreDown(rng.random_bool(0.6)),
            15 => Fault::Compact,
            16 => Fault::Configure,
            17 => Fault::KillAllHosts,
            18 => Fault::StoreSlow(Duration::from_millis(rng.random_range(20..400))),
            _ => Fault::Mend,
        }
    }

    pub async fn strike(self, world: &mut World, version: &mut u64, rng: &mut ChaCha8Rng) {
        let host = rng.random_range(0..world.hosts.len());
        let server = rng.random_range(0..world.engines.len());
        match self {
            Fault::KillHost => {
                world.hosts.signal(host, Signal::KILL);
                world.hosts.wait(host).await;
                world.hosts.start_again(host);
            }
            Fault::KillAllHosts => {
                let all = 0..world.hosts.len();
                all.clone().for_each(|host| world.hosts.signal(host, Signal::KILL));
                for host in all {
                    world.hosts.wait(host).await;
                    world.hosts.start_again(host);
                }
            }
            Fault::StopHost => {
                world.hosts.signal(host, Signal::TERM);
                world.hosts.wait(host).await;
                world.hosts.start_again(host);
            }
            Fault::PauseHost => {
                world.hosts.signal(host, Signal::STOP);
                tokio::time::sleep(Duration::from_millis(rng.random_range(100..PAUSE_MS))).await;
                world.hosts.signal(host, Signal::CONT);
            }
            Fault::ReloadHost => world.hosts.signal(host, Signal::HUP),
            Fault::Server(act) => world.engines[server].0.always(act),
            Fault::ServerHarm(harm) => world.engines[server].1.set(harm),
            Fault::ServerReset => world.engines[server].1.reset(),
            Fault::StoreHarm(harm) => world.store_proxy.set(harm),
            Fault::StoreReset => world.store_proxy.reset(),
            Fault::StoreDown(down) => {
                world.store.set_faults(StoreFaults { down, ..StoreFaults::default() });
            }
            Fault::StoreSlow(slow) => {
                world.store.set_faults(StoreFaults { slow, ..StoreFaults::default() });
            }
            Fault::Compact => world.store.compact(),
            Fault::Configure => {
                *version += 1;
                world.store.put("config", "main", configuration(*version));
            }
            Fault::Mend => mend(world),
        }
    }
}

/// Mends everything; connections that were silenced are closed.
pub fn mend(world: &mut World) {
    world.store.set_faults(StoreFaults::default());
    world.store_proxy.set(Harm::None);
    for (engine, proxy) in &world.engines {
        engine.always(Behaviour::Answer);
        proxy.set(Harm::None);
    }
}

fn act(rng: &mut ChaCha8Rng) -> Behaviour {
    match rng.random_range(0..10) {
        0 => Behaviour::Full,
        1 => Behaviour::Fail,
        2 => Behaviour::Close,
        3 => Behaviour::Hang,
        4 => Behaviour::WrongId,
        5 => Behaviour::BreakAfter(rng.random_range(0..5)),
        6 => Behaviour::StallAfter(rng.random_range(0..5)),
        7 => Behaviour::Slow,
        _ => Behaviour::Answer,
    }
}

fn harm(rng: &mut ChaCha8Rng) -> Harm {
    match rng.random_range(0..6) {
        0 => Harm::Delay(rng.random_range(20..300)),
        1 => Harm::Refuse,
        2 => Harm::CutBack,
        3 => Harm::Silence,
        _ => Harm::None,
    }
}
