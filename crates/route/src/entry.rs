//! One request under way and its attempts.

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
use crate::life::State;
use crate::quality::AnswerRef;
use crate::quality::Plan;
use crate::quality::PlanStage;
use crate::servers::ChosenServer;
use crate::servers::Work;

/// Output tokens that are expected of a request that states no bound.
const DEFAULT_OUTPUT_TOKENS: u32 = 200;

/// A request that has not ended.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) request: Box<Request>,
    pub(crate) state: State,
    pub(crate) arrived: Instant,
    /// Attempts that have not ended.
    pub(crate) live: Vec<Attempt>,
    /// Attempts started so far.
    pub(crate) attempts: u32,
    pub(crate) retries: u32,
    /// Repeats that cost no budget, because the attempts before them did not run.
    pub(crate) moves: u32,
    /// An attempt that has ended may have run.
    pub(crate) may_have_run: bool,
    /// Attempt whose output goes to the caller.
    pub(crate) delivered: Option<AttemptId>,
    /// Version of which the caller has part of an answer.
    pub(crate) resumes: Option<ModelVersion>,
    /// Tokens that the caller has.
    pub(crate) delivered_tokens: u32,
    /// From arrival to the first byte delivered.
    pub(crate) first_byte: Option<Duration>,
    /// A suspect content: runs on a server alone.
    pub(crate) alone: bool,
    /// Servers at which an attempt failed.
    pub(crate) avoided: Vec<usize>,
    /// Not before then, after a failure.
    pub(crate) retry_at: Option<Instant>,
    pub(crate) whole: Option<Whole>,
    /// Model or cascade that answers.
    pub(crate) plan: Option<Plan>,
    /// Stage of the plan that is next or under way.
    pub(crate) stage: usize,
    /// Whole answer of an earlier stage, which the caller gets if no better one comes in time.
    pub(crate) fallback: Option<Whole>,
    /// Doubt in the earlier stages' answers; `None` in the first stage.
    pub(crate) doubt: Option<f64>,
    pub(crate) refusal: Option<Refusal>,
    /// The session's version could not be kept.
    pub(crate) session_moved: bool,
}

/// An attempt under way.
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

/// The whole answer that the caller gets.
#[derive(Clone, Debug)]
pub(crate) struct Whole {
    pub(crate) attempt: Attempt,
    pub(crate) summary: AnswerSummary,
    /// Where the answer is kept for its rating; `None` for a plain service.
    pub(crate) kept: Option<AnswerRef>,
}

impl Entry {
    pub(crate) fn new(request: Box<Request>, state: State, now: Instant) -> Entry {
        Entry {
            request,
            state,
            arrived: now,
            live: Vec::new(),
            attempts: 0,
            retries: 0,
            moves: 0,
            may_have_run: false,
            delivered: None,
            resumes: None,
            delivered_tokens: 0,
            first_byte: None,
            alone: false,
            avoided: Vec::new(),
            retry_at: None,
            whole: None,
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

    /// Whether it cannot be excluded that the request ran somewhere.
    pub(crate) fn ran_somewhere(&self) -> bool {
        self.may_have_run || !self.live.is_empty()
    }

    pub(crate) fn remaining(&self, now: Instant) -> Duration {
        self.request.deadline.saturating_duration_since(now)
    }

    /// Work of the next attempt; `usual_output` is the mean of the class's answers in tokens.
    pub(crate) fn work(&self, usual_output: Option<f64>) -> Work {
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
                output_tokens: match (usual_output, *max_output_tokens) {
                    (Some(usual), 0) => usual as u32,
                    (Some(usual), bound) => bound.min(usual as u32),
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

    /// Stage of the plan that is next or under way.
    pub(crate) fn present_stage(&self) -> Option<&PlanStage> {
        self.plan.as_ref()?.stages.get(self.stage)
    }

    /// Task class; `None` for a plain service.
    pub(crate) fn class(&self) -> Option<&TaskClass> {
        match &self.request.target {
            Target::Chat { class, .. } => Some(class),
            Target::Service { .. } => None,
        }
    }

    /// Version that the request's session keeps.
    pub(crate) fn pinned(&self) -> Option<&ModelVersion> {
        match &self.request.target {
            Target::Chat { session: Some(session), .. } => session.version.as_ref(),
            _ => None,
        }
    }
}
