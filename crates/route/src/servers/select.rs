//! Server selection.

use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::ChosenServer;
use super::DataCentreGroup;
use super::DestinationGroup;
use super::NoServer;
use super::Servers;
use super::Work;
use super::serves;
use super::speed::Speed;
use crate::destination::Destination;

/// Extra time expected for a request to another data centre.
const REMOTE_COST: Duration = Duration::from_millis(20);
/// Holders of the prefix that a selection considers.
const MAX_HOLDERS_TRIED: usize = 3;
/// Other data centres that a selection considers.
const MAX_DATA_CENTRES_TRIED: usize = 3;
/// Servers scanned when no sampled one has capacity.
const MAX_SCAN: usize = 16;
/// Largest load of the prefix's owner on the hash ring, relative to the mean of the candidates; one more request is
/// always allowed.
const LOAD_BOUND: f64 = 1.25;
/// Relative slowdown of an attempt for each other request at the server.
const SLOWDOWN_PER_REQUEST: f64 = 0.02;

impl Servers {
    /// Selects a server with capacity for the work, one of `avoided` only if no other has capacity.
    pub(crate) fn select(
        &self,
        destination: &Destination,
        work: &Work,
        avoided: &[usize],
        now: Instant,
        rng: &mut ChaCha8Rng,
    ) -> Result<ChosenServer, NoServer> {
        match self.select_excluding(destination, work, avoided, now, rng) {
            Err(NoServer::Full) if !avoided.is_empty() => {
                self.select_excluding(destination, work, &[], now, rng)
            }
            other => other,
        }
    }

    /// Selects a server with capacity for the work, but none of `avoided`.
    pub(crate) fn select_excluding(
        &self,
        destination: &Destination,
        work: &Work,
        avoided: &[usize],
        now: Instant,
        rng: &mut ChaCha8Rng,
    ) -> Result<ChosenServer, NoServer> {
        let group = self.groups.get(destination).ok_or(NoServer::Unserved)?;
        if group.data_centres.is_empty() {
            return Err(NoServer::Unserved);
        }
        let usable = |slot: &usize| {
            let server = self.server(*slot);
            // Holders of a prefix are known from cache events and may not serve this destination.
            let fits = server.is_some_and(|server| {
                serves(&server.listed, destination)
                    && server.has_capacity(destination, now)
                    && (!work.exclusive || server.in_flight() == 0)
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
        let own_first = group
            .data_centres
            .get(&self.own_data_centre)
            .into_iter()
            .chain(group.data_centres.values());
        let members = own_first.flat_map(|centre| centre.members.iter().copied()).take(MAX_SCAN);
        let best = members
            .filter(usable)
            .filter_map(|slot| self.estimate(group, destination, slot, work, now))
            .min_by_key(|(cost, chosen)| (*cost, chosen.slot));
        best.map(|(_, chosen)| chosen).ok_or(NoServer::Full)
    }

    fn candidates(
        &self,
        group: &DestinationGroup,
        destination: &Destination,
        work: &Work,
        now: Instant,
        rng: &mut ChaCha8Rng,
    ) -> Vec<usize> {
        let mut candidates = Vec::with_capacity(16);
        if !self.mechanisms.zone_preference {
            for centre in group.data_centres.values() {
                centre.sample(rng, &mut candidates);
            }
        } else {
            if let Some(centre) = group.data_centres.get(&self.own_data_centre) {
                centre.sample(rng, &mut candidates);
            }
            let others =
                group.data_centres.iter().filter(|(name, _)| **name != self.own_data_centre);
            let skip = rng.random_range(0..group.data_centres.len());
            let count = group.data_centres.len();
            let others = others.cycle().skip(skip).take(MAX_DATA_CENTRES_TRIED.min(count));
            for (_, centre) in others {
                centre.sample(rng, &mut candidates);
            }
        }
        if let Some(prefix) = work.prefix.filter(|_| self.mechanisms.affinity) {
            // Engines of other models may hold the same prefix; they must not use up `MAX_HOLDERS_TRIED`.
            let fits = |slot: &usize| {
                self.server(*slot).is_some_and(|server| serves(&server.listed, destination))
            };
            let holders = self.prefixes.holders(prefix, now).filter(fits);
            candidates.extend(holders.take(MAX_HOLDERS_TRIED));
            let mean = self.mean_load(&candidates, now);
            let bound = mean * LOAD_BOUND + 1.0;
            let within_bound =
                |slot| self.server(slot).is_some_and(|server| server.load(now) <= bound);
            let centre = group
                .data_centres
                .get(&self.own_data_centre)
                .or(group.data_centres.values().next());
            candidates.extend(centre.and_then(|centre| centre.ring.find(prefix, within_bound)));
        }
        candidates
    }

    fn mean_load(&self, slots: &[usize], now: Instant) -> f64 {
        let loads = slots.iter().filter_map(|slot| self.server(*slot));
        let sum: f64 = loads.map(|server| server.load(now)).sum();
        sum / slots.len().max(1) as f64
    }

    /// Expected times of the work at a server, and the cost by which servers are compared.
    fn estimate(
        &self,
        group: &DestinationGroup,
        destination: &Destination,
        slot: usize,
        work: &Work,
        now: Instant,
    ) -> Option<(Duration, ChosenServer)> {
        let server = self.server(slot)?;
        let speed =
            server.by_destination.get(destination).map_or(Speed::default(), |state| state.speed);
        let held = match work.prefix.filter(|_| self.mechanisms.affinity) {
            Some(prefix) => self.prefixes.tokens(prefix, slot, now).min(work.prefix_tokens),
            None => 0,
        };
        let uncached_tokens = f64::from(work.prompt_tokens.saturating_sub(held));
        let queued_tokens = server.pending_prefill_tokens + server.foreign_prefill_tokens(now);
        let first_byte = speed.prefill(&group.speed, uncached_tokens + queued_tokens);
        let slowdown = 1.0 + SLOWDOWN_PER_REQUEST * server.load(now);
        let decode = speed.decode(&group.speed, f64::from(work.output_tokens)) * slowdown;
        let remote_cost = if server.listed.data_centre == self.own_data_centre
            || !self.mechanisms.zone_preference
        {
            Duration::ZERO
        } else {
            REMOTE_COST
        };
        // The caller reads a streamed answer as it arrives, so the first byte counts most.
        let weight = if work.streamed { 0.1 } else { 1.0 };
        let cost = Duration::from_secs_f64(first_byte + weight * decode) + remote_cost;
        let chosen = ChosenServer {
            slot,
            uncached_tokens,
            queued_tokens,
            first_byte: Duration::from_secs_f64(first_byte),
            total: Duration::from_secs_f64(first_byte + decode),
            prefix_held: held > 0,
            slowdown,
        };
        Some((cost, chosen))
    }
}

impl DataCentreGroup {
    /// Adds two random members to the candidates.
    fn sample(&self, rng: &mut ChaCha8Rng, candidates: &mut Vec<usize>) {
        for _ in 0..2 {
            let index = rng.random_range(0..self.members.len());
            candidates.push(self.members[index]);
        }
    }
}
