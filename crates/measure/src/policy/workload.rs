//! Parameters of the simulated services, read from YAML. Policies never see them.

use std::collections::BTreeMap;

use serde::Deserialize;

use crate::policy::PolicyError;

/// Default workload, compiled into the crate.
pub const DEFAULT_WORKLOAD: &str = include_str!("../../workloads.yaml");

/// A workload file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workloads {
    pub confidence: ConfidenceByOutcome,
    /// Correlation of two models' outcomes on one request.
    pub difficulty_rho: f64,
    pub rating: RatingService,
    pub load_report: LoadFeed,
    pub cache_events: CacheFeed,
    pub deployments: BTreeMap<String, Deployment>,
}

/// Distribution of an engine's confidence, by whether its answer is acceptable.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfidenceByOutcome {
    pub acceptable: NormalSpec,
    pub unacceptable: NormalSpec,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NormalSpec {
    pub mean: f64,
    pub sd: f64,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RatingService {
    /// Maximum rate of ratings.
    pub per_second: f64,
    pub delay_s: f64,
    /// Share of ratings that are wrong.
    pub wrong_share: f64,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadFeed {
    /// Interval between load reports of an engine.
    pub every_s: f64,
    pub lag_s: f64,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CacheFeed {
    pub lag_s: f64,
    /// Share of cache events that are lost.
    pub lost_share: f64,
}

/// A customer's deployment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    pub data_centres: Vec<String>,
    /// One-way delay between data centres, in milliseconds.
    pub between_ms: f64,
    /// One-way delay to clients, in milliseconds.
    pub clients_ms: f64,
    pub rate_per_s: Rates,
    /// Amount by which the acceptable share may be below that of the best model.
    pub quality_target_slack: f64,
    pub deadline_s: f64,
    pub workspaces: ZipfSpec,
    pub sessions: SessionSpec,
    pub prefixes: PrefixSpec,
    pub engines: BTreeMap<String, EngineSpec>,
    pub classes: BTreeMap<String, ClassSpec>,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rates {
    pub ordinary: f64,
    pub peak: f64,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZipfSpec {
    pub count: usize,
    /// Exponent of the Zipf distribution.
    pub zipf: f64,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SessionSpec {
    /// Share of requests that belong to a session.
    pub share: f64,
    pub turns_mean: f64,
    /// Mean time between turns.
    pub gap_s: f64,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PrefixSpec {
    /// Distinct prefixes per class.
    pub groups: usize,
    /// Exponent of the Zipf distribution.
    pub zipf: f64,
}

/// Engines of one model.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSpec {
    pub count: usize,
    /// Price per million prompt tokens.
    pub price_in: f64,
    /// Price per million output tokens.
    pub price_out: f64,
    pub prefill_tok_s: f64,
    /// Duration of a decode step with one running request.
    pub decode_ms: f64,
    /// Additional duration of a decode step per further running request.
    pub decode_ms_per_extra: f64,
    /// Maximum number of requests in prefill or decode.
    pub slots: u32,
    /// Capacity of the prefix cache.
    pub cache_tokens: u32,
}

/// Requests of one task class.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    pub streamed: bool,
    pub share: f64,
    pub prefix_tok: u32,
    /// Mean number of prompt tokens after the prefix.
    pub prompt_tok: u32,
    /// Mean number of output tokens.
    pub output_tok: u32,
    /// Probability of an acceptable answer, by model.
    pub acceptable: BTreeMap<String, f64>,
}

impl Workloads {
    /// Parses a workload file.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not a valid workload, or if a class does not list exactly the models that have
    /// engines.
    pub fn parse(yaml: &str) -> Result<Workloads, PolicyError> {
        let workloads: Workloads =
            serde_saphyr::from_str(yaml).map_err(|e| PolicyError::Workload(e.to_string()))?;
        for (name, deployment) in &workloads.deployments {
            deployment.check(name)?;
        }
        Ok(workloads)
    }
}

impl Deployment {
    fn check(&self, name: &str) -> Result<(), PolicyError> {
        for (class, spec) in &self.classes {
            let complete = self.engines.keys().all(|model| spec.acceptable.contains_key(model));
            if !complete || spec.acceptable.len() != self.engines.len() {
                return Err(PolicyError::Workload(format!(
                    "deployment {name}, class {class}: 'acceptable' must name exactly the models under 'engines'"
                )));
            }
        }
        Ok(())
    }
}
