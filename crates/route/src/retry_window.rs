//! Bound on repeats for each service, from this host's own arrivals in a sliding window.
//!
//! The fleet's bound is a ratio of the requests plus a constant. Each host keeps to the ratio of its own requests and
//! to its share of the constant, so that the sum keeps the bound without any talk between hosts.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::ServiceId;

/// Length of a cell, in which events are counted together.
const CELL: Duration = Duration::from_millis(500);

/// The fleet's bound on repeats.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// Repeats for each first attempt.
    pub ratio: f64,
    /// Repeats of the whole fleet beyond the ratio.
    pub slack: f64,
    pub window: Duration,
    /// Share of the slack that this host uses.
    pub host_share: f64,
}

/// First attempts and repeats of each service.
#[derive(Debug)]
pub(crate) struct RetryWindows {
    limit: RetryLimit,
    services: BTreeMap<ServiceId, VecDeque<Cell>>,
}

#[derive(Clone, Copy, Debug)]
struct Cell {
    begin: Instant,
    first: u32,
    repeats: u32,
}

impl RetryWindows {
    pub(crate) fn new(limit: RetryLimit) -> RetryWindows {
        RetryWindows { limit, services: BTreeMap::new() }
    }

    /// Takes another bound into force; the share of the constant stays.
    pub(crate) fn set_limit(&mut self, limit: RetryLimit) {
        self.limit = RetryLimit { host_share: self.limit.host_share, ..limit };
    }

    /// Shares the constant with other hosts.
    pub(crate) fn share_with(&mut self, hosts: usize) {
        self.limit.host_share = 1.0 / hosts.max(1) as f64;
    }

    /// Counts the first attempt of a request.
    pub(crate) fn first_attempt(&mut self, service: &ServiceId, now: Instant) {
        self.cell(service, now).first += 1;
    }

    /// Counts a repeat.
    pub(crate) fn repeat(&mut self, service: &ServiceId, now: Instant) {
        self.cell(service, now).repeats += 1;
    }

    /// Whether a repeat is allowed now. `keep` is the part of the allowance that stays for more important repeats, from
    /// 0 to 1.
    pub(crate) fn has_room(&mut self, service: &ServiceId, keep: f64, now: Instant) -> bool {
        let limit = self.limit;
        let cells = self.cells(service, now);
        let first: u32 = cells.iter().map(|cell| cell.first).sum();
        let repeats: u32 = cells.iter().map(|cell| cell.repeats).sum();
        let allowance = f64::from(first) * limit.ratio + limit.slack * limit.host_share;
        f64::from(repeats + 1) <= allowance * (1.0 - keep)
    }

    fn cells(&mut self, service: &ServiceId, now: Instant) -> &mut VecDeque<Cell> {
        let window = self.limit.window;
        let cells = self.services.entry(service.clone()).or_default();
        while cells.front().is_some_and(|cell| now.saturating_duration_since(cell.begin) > window) {
            cells.pop_front();
        }
        cells
    }

    fn cell(&mut self, service: &ServiceId, now: Instant) -> &mut Cell {
        let cells = self.cells(service, now);
        let is_current =
            cells.back().is_some_and(|cell| now.saturating_duration_since(cell.begin) < CELL);
        if !is_current {
            cells.push_back(Cell { begin: now, first: 0, repeats: 0 });
        }
        let last = cells.len() - 1;
        &mut cells[last]
    }
}
