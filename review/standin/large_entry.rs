//! Another writer's entry among those of the servers is a long list of small records. The platform kills a process that
//! exceeds its memory, as it does on its machines.

use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use crate::Outcome;
use crate::record::Record;
use crate::world::World;
use crate::world::ZONES;
use crate::world::call_on_kept_connection;
use crate::world::watch_memory;

/// `ValueBytes`: maximum size of an object.
const VALUE_BYTES: usize = 1_048_576;
/// Callers in each zone, each with one connection that it keeps.
const CALLERS: usize = 12;
const BEFORE: Duration = Duration::from_secs(4);
const AFTER: Duration = Duration::from_secs(16);
/// Room for the object's own fields.
const METADATA_BYTES: usize = 512;

/// An entry whose `Service` is a list, as long as an object may be.
fn entry() -> String {
    const RECORD: &str = "{\"a\":{\"b\":{\"c\":{\"d\":{\"e\":{\"f\":{\"g\":{\"h\":1}}}}}}}}";
    let count = (VALUE_BYTES - METADATA_BYTES) / (RECORD.len() + 1);
    format!("{{\"Service\":[{}]}}", vec![RECORD; count].join(","))
}

pub fn run(record: &Record, has_trouble: bool) -> Outcome {
    let (world, store) = match World::start(record) {
        Ok(started) => started,
        Err(outcome) => return outcome,
    };
    let mut threads: Vec<JoinHandle<()>> = Vec::new();
    let watched = world.clone();
    threads.push(thread::spawn(move || watch_memory(&watched)));
    for number in 0..ZONES.len() * CALLERS {
        let address = world.address(number % ZONES.len());
        let world = world.clone();
        threads.push(thread::spawn(move || call_on_kept_connection(&world, address)));
    }
    for time in [BEFORE, AFTER] {
        thread::sleep(time);
        record.say(&format!(
            "requests answered in {} s: {}; peak memory of a host: {} MB",
            time.as_secs(),
            world.take_answered(),
            world.take_peak_mb()
        ));
        if has_trouble && time == BEFORE {
            let entry = entry();
            record.say(&format!("another writer's entry of {} bytes is in the store", entry.len()));
            store.put("servers", "x-1", entry.as_bytes());
        }
    }
    world.is_over.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    world.judge()
}
