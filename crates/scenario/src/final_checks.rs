//! Checks at the end of a run.

use std::collections::BTreeMap;
use std::time::Duration;

use foxtailhoist_journal::DEFAULT_SHARDS;
use foxtailhoist_journal::UsageReader;
use foxtailhoist_model::WorkspaceId;

use crate::Violation;
use crate::World;

/// Time after its deadline by which a request must have ended.
const ANSWER_GRACE: Duration = Duration::from_secs(3);
/// Number of usage objects for each day and shard.
const USAGE_PARTS: u32 = 1;

impl World {
    /// Number of bills in the store by workspace.
    #[must_use]
    pub fn bills(&self) -> BTreeMap<WorkspaceId, u64> {
        let mut objects = self.objects().clone();
        let mut reader = UsageReader::new(DEFAULT_SHARDS, USAGE_PARTS);
        while let Some(op) = reader.next_op() {
            let result = objects.apply(&op);
            reader.finish(&result);
        }
        let mut bills = BTreeMap::new();
        for (key, sum) in reader.report().map(|report| report.total()).unwrap_or_default() {
            *bills.entry(key.workspace).or_default() += sum.bills;
        }
        bills
    }

    /// Checks that every request has ended by its deadline plus [`ANSWER_GRACE`], unless its host is paused.
    pub fn check_unanswered(&mut self) {
        let now = self.now;
        let late = |deadline| now.saturating_duration_since(deadline);
        let overdue = self
            .observations
            .open
            .iter()
            .map(|(request, open)| (*request, late(open.deadline), &open.host));
        let paused = |host: &str| {
            self.hosts.get(host).is_some_and(|slot| slot.paused_until.is_some_and(|at| at > now))
        };
        let violations: Vec<Violation> = overdue
            .filter(|(_, after, host)| *after > ANSWER_GRACE && !paused(host))
            .map(|(request, after, _)| Violation::Unanswered { request, after })
            .collect();
        self.observations.violations.extend(violations);
    }

    /// Checks that there is exactly one bill for each complete answer, and at most one for each other request whose
    /// outcome is unknown to its caller.
    pub fn check_bills(&mut self) {
        let bills = self.bills();
        let workspaces: Vec<WorkspaceId> =
            bills.keys().chain(self.observations.answered.keys()).cloned().collect();
        for workspace in workspaces {
            let billed = bills.get(&workspace).copied().unwrap_or(0);
            let none = Default::default();
            let answered = self.observations.answered.get(&workspace).unwrap_or(&none);
            let uncertain = self
                .observations
                .uncertain
                .get(&workspace)
                .unwrap_or(&none)
                .difference(answered)
                .count() as u64;
            let answered = answered.len() as u64;
            if billed < answered || billed > answered + uncertain {
                let violation = Violation::Bills { workspace, billed, answered, uncertain };
                self.observations.violations.push(violation);
            }
        }
    }
}
