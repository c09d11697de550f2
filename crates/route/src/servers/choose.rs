//! The choice among servers.

use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::Centre;
use super::Chosen;
use super::Group;
use super::NoPlace;
use super::Servers;
use super::Work;
use super::serves;
use super::speed::Speed;
use crate::destination::Destination;

/// Expected time that a request to another data centre costs besides its work.
const DISTANCE_COST: Duration = Duration::from_millis(20);
/// Holders of a prefix that a choice looks at.
const MAX_HOLDERS_TRIED: usize = 3;
/// Other data centres that a choice looks at.
const MAX_CENTRES_TRIED: usize = 3;
/// Servers looked at when no sampled one has room.
const MAX_SCAN: usize = 16;
/// Load of the prefix's owner, relative to the mean of the samples, up to which it is preferred.
const LOAD_BOUND: f64 = 1.25;
/// Slow-down of an attempt for each request beside it.
const INTERFERENCE: f64 = 0.02;

impl Servers {
    /// Chooses a server with room for the work, one of `avoided` only if all others failed too.
    pub(crate) fn choose(
        &self,
        destination: &Destination,
        work: &Work,
        avoided: &[usize],
        now: Instant,
        rng: &mut ChaCha8Rng,
    ) -> Result<Chosen, NoPlace> {
        match self.choose_other(destination, work, avoided, now, rng) {
            Err(NoPlace::Full) if !avoided.is_empty() => {
                self.choose_other(destination, work, &[], now, rng)
            }
            other => other,
        }
    }

    /// Chooses a server with room for the work, but none of `avoided`.
    pub(crate) fn choose_other(
        &self,
        destination: &Destination,
        work: &Work,
        avoided: &[usize],
        now: Instant,
        rng: &mut ChaCha8Rng,
    ) -> Result<Chosen, NoPlace> {
        let group = self.groups.get(destination).ok_or(NoPlace::Unserved)?;
        if group.centres.is_empty() {
            return Err(NoPlace::Unserved);
        }
        let usable = |slot: &usize| {
            let server = self.server(*slot);
            // Holders of a prefix are known by their cache events, whatever they have loaded.
            let fits = server.is_some_and(|server| {
                serves(&server.listed, destination)
                    && server.has_room(destination, now)
                    && (!work.alone || server.in_flight() == 0)
            });
            fits && !avoided.contains(slot)
        };
        let candidates = self.candidates(group, destination, work, now, rng);
        let best = candidates
            .iter()
            .copied()
            .filter(usable)
            .filter_map(|slot| self.estimate(group, destination, slot, work, now))
            .min_by_key(|(cost, chosen)| (*cost, chosen.slot));
        if let Some((_, chosen)) = best {
            return Ok(chosen);
        }
        let own_first = group.centres.get(&self.own).into_iter().chain(group.centres.values());
        let members = own_first.flat_map(|centre| centre.members.iter().copied()).take(MAX_SCAN);
        let best = members
            .filter(usable)
            .filter_map(|slot| self.estimate(group, destination, slot, work, now))
            .min_by_key(|(cost, chosen)| (*cost, chosen.slot));
        best.map(|(_, chosen)| chosen).ok_or(NoPlace::Full)
    }

    fn candidates(
        &self,
        group: &Group,
        destination: &Destination,
        work: &Work,
        now: Instant,
        rng: &mut ChaCha8Rng,
    ) -> Vec<usize> {
        let mut candidates = Vec::with_capacity(16);
        if !self.mechanisms.zone_preference {
            for centre in group.centres.values() {
                centre.sample(rng, &mut candidates);
            }
        } else {
            if let Some(centre) = group.centres.get(&self.own) {
                centre.sample(rng, &mut candidates);
            }
            let others = group.centres.iter().filter(|(name, _)| **name != self.own);
            let skip = rng.random_range(0..group.centres.len());
            let count = group.centres.len();
            let others = others.cycle().skip(skip).take(MAX_CENTRES_TRIED.min(count));
            for (_, centre) in others {
                centre.sample(rng, &mut candidates);
            }
        }
        if let Some(prefix) = work.prefix.filter(|_| self.mechanisms.affinity) {
            // Engines of other models may hold the same prefix; they must not use up the tries.
            let fits = |slot: &usize| {
                self.server(*slot).is_some_and(|server| serves(&server.listed, destination))
            };
            let holders = self.prefixes.holders(prefix, now).filter(fits);
            candidates.extend(holders.take(MAX_HOLDERS_TRIED));
            let mean = self.mean_load(&candidates, now);
            let bound = mean * LOAD_BOUND + 1.0;
            let light = |slot| self.server(slot).is_some_and(|server| server.load(now) <= bound);
            let centre = group.centres.get(&self.own).or(group.centres.values().next());
            candidates.extend(centre.and_then(|centre| centre.ring.find(prefix, light)));
        }
        candidates
    }

    fn mean_load(&self, slots: &[usize], now: Instant) -> f64 {
        let loads = slots.iter().filter_map(|slot| self.server(*slot));
        let sum: f64 = loads.map(|server| server.load(now)).sum();
        sum / slots.len().max(1) as f64
    }

    /// Expected times at a server, and the cost by which servers are compared.
    fn estimate(
        &self,
        group: &Group,
        destination: &Destination,
        slot: usize,
        work: &Work,
        now: Instant,
    ) -> Option<(Duration, Chosen)> {
        let server = self.server(slot)?;
        let speed = server.lanes.get(destination).map_or(Speed::default(), |lane| lane.speed);
        let held = match work.prefix.filter(|_| self.mechanisms.affinity) {
            Some(prefix) => self.prefixes.tokens(prefix, slot, now).min(work.prefix_tokens),
            None => 0,
        };
        let uncached = f64::from(work.prompt_tokens.saturating_sub(held));
        let ahead = server.pending_prefill + server.foreign_prefill(now);
        let first_byte = speed.prefill(&group.speed, uncached + ahead);
        let crowding = 1.0 + INTERFERENCE * server.load(now);
        let decode = speed.decode(&group.speed, f64::from(work.output_tokens)) * crowding;
        let distance = if server.listed.data_centre == self.own || !self.mechanisms.zone_preference
        {
            Duration::ZERO
        } else {
            DISTANCE_COST
        };
        // A streamed answer is read as it comes, so its first byte weighs most.
        let weight = if work.streamed { 0.1 } else { 1.0 };
        let cost = Duration::from_secs_f64(first_byte + weight * decode) + distance;
        let chosen = Chosen {
            slot,
            uncached,
            ahead,
            first_byte: Duration::from_secs_f64(first_byte),
            total: Duration::from_secs_f64(first_byte + decode),
            prefix_held: held > 0,
            crowding,
        };
        Some((cost, chosen))
    }
}

impl Centre {
    /// Adds two members at random.
    fn sample(&self, rng: &mut ChaCha8Rng, candidates: &mut Vec<usize>) {
        for _ in 0..2 {
            let index = rng.random_range(0..self.members.len());
            candidates.push(self.members[index]);
        }
    }
}
