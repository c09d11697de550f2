//! The floor of a shard: segments below it may have been deleted, and a create below it is void (its entries are
//! ignored).
//!
//! A floor is confirmed by writing the value read back, on condition that it has not changed. A plain read could be
//! served from a stale copy; a conditional write cannot.

use bytes::Bytes;
use foxtailhoist_model::Condition;
use foxtailhoist_model::Object;
use foxtailhoist_model::StoreOp;
use foxtailhoist_model::StoreReply;
use foxtailhoist_model::StoreResult;
use serde::Deserialize;
use serde::Serialize;

use crate::cx::Cx;
use crate::entry::Seq;
use crate::entry::ShardId;
use crate::entry::floor_key;
use crate::event::CallId;

/// Body of a floor object.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Floor {
    pub floor: Seq,
}

/// Reads a shard's floor and confirms or raises it.
#[derive(Clone, Debug)]
pub struct FloorCheck {
    shard: ShardId,
    raise_to: Seq,
    step: Step,
}

#[derive(Clone, Debug)]
enum Step {
    Read,
    Reading(CallId),
    Confirm { condition: Condition, floor: Seq },
    Confirming { call: CallId, floor: Seq },
}

impl Floor {
    /// Decodes the floor in an object; 0 without one.
    #[must_use]
    pub fn of(object: Option<&Object>) -> Seq {
        let floor = object.and_then(|object| rmp_serde::from_slice::<Floor>(&object.value).ok());
        floor.unwrap_or_default().floor
    }

    fn encode(self) -> Bytes {
        Bytes::from(
            rmp_serde::to_vec(&self).expect("floors hold only types that MessagePack can encode"),
        )
    }
}

impl FloorCheck {
    /// Creates a check that confirms the floor.
    #[must_use]
    pub fn new(shard: ShardId) -> FloorCheck {
        FloorCheck { shard, raise_to: 0, step: Step::Read }
    }

    /// Creates a check that raises the floor to at least `floor`.
    #[must_use]
    pub fn raise(shard: ShardId, floor: Seq) -> FloorCheck {
        FloorCheck { shard, raise_to: floor, step: Step::Read }
    }

    /// Whether a call is due as soon as the gate admits one.
    #[must_use]
    pub fn needs_call(&self) -> bool {
        matches!(self.step, Step::Read | Step::Confirm { .. })
    }

    /// Makes the next call, if one is due and admitted.
    pub fn advance(&mut self, cx: &mut Cx<'_>) {
        match self.step {
            Step::Read => {
                let op = || StoreOp::Get { key: floor_key(self.shard) };
                if let Some(call) = cx.call(self.shard, op) {
                    self.step = Step::Reading(call);
                }
            }
            Step::Confirm { condition, floor } => {
                let op = || StoreOp::Put {
                    key: floor_key(self.shard),
                    value: Floor { floor }.encode(),
                    condition,
                };
                if let Some(call) = cx.call(self.shard, op) {
                    self.step = Step::Confirming { call, floor };
                }
            }
            Step::Reading(_) | Step::Confirming { .. } => {}
        }
    }

    /// Handles the result of a call; returns the floor once it is confirmed.
    #[must_use]
    pub fn finish(&mut self, call: CallId, result: &StoreResult) -> Option<Seq> {
        match (&self.step, result) {
            (Step::Reading(sent), Ok(StoreReply::Object(object))) if *sent == call => {
                let floor = Floor::of(object.as_ref()).max(self.raise_to);
                let condition = object
                    .as_ref()
                    .map_or(Condition::Absent, |object| Condition::Version(object.version));
                self.step = Step::Confirm { condition, floor };
                None
            }
            (Step::Confirming { call: sent, floor }, Ok(StoreReply::Written(_)))
                if *sent == call =>
            {
                Some(*floor)
            }
            (Step::Reading(sent) | Step::Confirming { call: sent, .. }, _) if *sent == call => {
                self.step = Step::Read;
                None
            }
            _ => None,
        }
    }
}
