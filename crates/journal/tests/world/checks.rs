//! Checks of the hosts' notifications against the contents of the store.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_journal::UsageKey;
use foxtailhoist_journal::UsageReader;
use foxtailhoist_journal::event::BillSafety;
use foxtailhoist_model::ClaimKey;
use foxtailhoist_model::ClaimResult;
use foxtailhoist_model::RequestId;

use super::Notification;
use super::RETENTION;
use super::World;

impl World {
    /// Number of bills of each request in usage objects and live segments.
    pub fn usage(&mut self) -> BTreeMap<RequestId, u64> {
        let (shards, parts) = self.layout;
        let mut reader = UsageReader::new(shards, parts);
        while let Some(op) = reader.next_op() {
            let result = self.store.apply(&op);
            reader.finish(&result);
        }
        let report = reader.report().expect("everything is read");
        let request_of =
            |key: &UsageKey| key.workspace[1..].parse().expect("a workspace of a test");
        report.total().iter().map(|(key, sum)| (request_of(key), sum.bills)).collect()
    }

    /// Checks all keys and requests once every entry is committed.
    pub fn check(&mut self) {
        let usage = self.usage();
        let duplicates: Vec<_> = usage.iter().filter(|(_, bills)| **bills != 1).collect();
        assert!(duplicates.is_empty(), "billed more than once: {duplicates:?}");
        let unrequested: Vec<_> = usage.keys().filter(|id| !self.billed.contains(id)).collect();
        assert!(unrequested.is_empty(), "billed without a request: {unrequested:?}");
        let is_safe =
            |notification: &&Notification<BillSafety>| notification.value != BillSafety::Held;
        let lost: Vec<_> = self
            .bills
            .iter()
            .filter(is_safe)
            .filter(|notification| !usage.contains_key(&notification.request))
            .collect();
        assert!(lost.is_empty(), "reported safe but lost: {lost:?}");
        self.check_grants();
    }

    /// Checks that no key was granted again within its retention unless it was released as not run.
    pub fn check_grants(&self) {
        let mut granted: BTreeMap<&ClaimKey, Vec<Instant>> = BTreeMap::new();
        for notification in
            self.claims.iter().filter(|notification| notification.value.1 == ClaimResult::Granted)
        {
            granted.entry(&notification.value.0).or_default().push(notification.at);
        }
        for (key, times) in granted {
            for pair in times.windows(2) {
                let is_between = |at: &Instant| pair[0] <= *at && *at <= pair[1];
                let released = self.released.iter().any(|(of, at)| of == key && is_between(at));
                let past = pair[1].duration_since(pair[0]) >= RETENTION - Duration::from_secs(2);
                assert!(released || past, "{key:?} was granted twice: {pair:?}");
            }
        }
    }
}
