//! A request that has not ended yet, and its attempts.

use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::AttemptId;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::Refusal;
use foxtailhoist_model::Request;
use foxtailhoist_model::Target;
use foxtailhoist_model::TaskClass;

use crate::destination::Destination;
use crate::event::AnswerSummary;
use crate::lifecycle::State;
use crate::quality::AnswerRef;
use crate::quality::Plan;
use crate::quality::PlanStage;
use crate::servers::ChosenServer;
use crate::servers::Work;

/// Output tokens assumed for a request without a limit, while its class has no average yet.
const DEFAULT_OUTPUT_TOKENS: u32 = 200;

/// A request that has not ended.
#[derive(Debug)]
pub(crate) struct ActiveRequest {
    pub(crate) request: Box<Request>,
    pub(crate) state: State,
    pub(crate) arrived: Instant,
    /// Attempts that have not ended.
    pub(crate) live: Vec<Attempt>,
    /// Attempts started so far.
    pub(crate) attempts: u32,
    /// Retries charged to the retry budget.
    pub(crate) retries: u32,
    /// Retries that are not charged to the retry budget, because the previous attempt added no load.
    pub(crate) free_retries: u32,
    /// Whether an attempt that has ended may have run.
    pub(crate) may_have_run: bool,
    /// Attempt whose output is sent to the caller.
    pub(crate) delivered_attempt: Option<AttemptId>,
    /// Version that must resume a broken stream, because the caller already has part of its answer.
    pub(crate) resume_version: Option<ModelVersion>,
    /// Output tokens sent to the caller so far.
    pub(crate) delivered_tokens: u32,
    /// Time from arrival to the first byte delivered.
    pub(crate) first_byte: Option<Duration>,
    /// Whether no other request of this host may run on the server meanwhile, because the content is suspect.
    pub(crate) alone: bool,
    /// Indices in the server table of the servers to avoid, because an attempt failed there.
    pub(crate) avoided: Vec<usize>,
    /// Earliest time of the next attempt after a failure.
    pub(crate) retry_at: Option<Instant>,
    /// Answer selected for the caller; its bill may still be pending.
    pub(crate) answer: Option<CompleteAnswer>,
    /// Model or cascade chosen for the request.
    pub(crate) plan: Option<Plan>,
    /// Index of the plan stage that runs now or next.
    pub(crate) stage: usize,
    /// Complete answer of an earlier stage, delivered if no better one arrives in time.
    pub(crate) fallback: Option<CompleteAnswer>,
    /// Sum of the doubt in the earlier stages' answers; `None` in the first stage.
    pub(crate) doubt: Option<f64>,
    pub(crate) refusal: Option<Refusal>,
    /// Whether the session could not keep its version.
    pub(crate) session_moved: bool,
}

/// A running attempt.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) id: AttemptId,
    pub(crate) destination: Destination,
    pub(crate) revision: u64,
    pub(crate) chosen: ChosenServer,
    pub(crate) started: Instant,
    pub(crate) sent: bool,
    pub(crate) first_byte: Option<Instant>,
}

/// A complete answer and the attempt that produced it.
#[derive(Clone, Debug)]
pub(crate) struct CompleteAnswer {
    pub(crate) attempt: Attempt,
    pub(crate) summary: AnswerSummary,
    /// Handle under which a rating of the answer is recorded; `None` for a plain service.
    pub(crate) kept: Option<AnswerRef>,
}

impl ActiveRequest {
    pub(crate) fn new(request: Box<Request>, state: State, now: Instant) -> ActiveRequest {
        ActiveRequest {
            request,
            state,
            arrived: now,
            live: Vec::new(),
            attempts: 0,
            retries: 0,
            free_retries: 0,
            may_have_run: false,
            delivered_attempt: None,
            resume_version: None,
            delivered_tokens: 0,
            first_byte: None,
            alone: false,
            avoided: Vec::new(),
            retry_at: None,
            answer: None,
            plan: None,
            stage: 0,
            fallback: None,
            doubt: None,
            refusal: None,
            session_moved: false,
        }
    }

    pub(crate) fn attempt(&mut self, id: AttemptId) -> Option<&mut Attempt> {
        self.live.iter_mut().find(|attempt| attempt.id == id)
    }

    pub(crate) fn take_attempt(&mut self, id: AttemptId) -> Option<Attempt> {
        let index = self.live.iter().position(|attempt| attempt.id == id)?;
        Some(self.live.remove(index))
    }

    /// Whether an attempt is running or an ended one may have run.
    pub(crate) fn may_have_started(&self) -> bool {
        self.may_have_run || !self.live.is_empty()
    }

    pub(crate) fn remaining(&self, now: Instant) -> Duration {
        self.request.deadline.saturating_duration_since(now)
    }

    /// Work of the next attempt; `mean_output` is the mean answer length of the class in tokens.
    pub(crate) fn work(&self, mean_output: Option<f64>) -> Work {
        match &self.request.target {
            Target::Chat {
                prompt_tokens,
                max_output_tokens,
                prefix,
                prefix_tokens,
                streamed,
                ..
            } => Work {
                prompt_tokens: *prompt_tokens,
                output_tokens: match (mean_output, *max_output_tokens) {
                    (Some(mean), 0) => mean as u32,
                    (Some(mean), bound) => bound.min(mean as u32),
                    (None, 0) => DEFAULT_OUTPUT_TOKENS,
                    (None, bound) => bound,
                },
                prefix: Some(*prefix).filter(|_| *prefix_tokens > 0),
                prefix_tokens: *prefix_tokens,
                streamed: *streamed,
                exclusive: self.alone,
            },
            Target::Service { .. } => Work {
                prompt_tokens: 0,
                output_tokens: 0,
                prefix: None,
                prefix_tokens: 0,
                streamed: false,
                exclusive: self.alone,
            },
        }
    }

    /// Plan stage that runs now or next.
    pub(crate) fn current_stage(&self) -> Option<&PlanStage> {
        self.plan.as_ref()?.stages.get(self.stage)
    }

    /// Task class; `None` for a plain service.
    pub(crate) fn class(&self) -> Option<&TaskClass> {
        match &self.request.target {
            Target::Chat { class, .. } => Some(class),
            Target::Service { .. } => None,
        }
    }

    /// Version to which the request's session is pinned.
    pub(crate) fn pinned_version(&self) -> Option<&ModelVersion> {
        match &self.request.target {
            Target::Chat { session: Some(session), .. } => session.version.as_ref(),
            _ => None,
        }
    }
}
