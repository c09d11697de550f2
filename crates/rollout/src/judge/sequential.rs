//! Sequential tests on shares of bad outcomes.
//!
//! Both tests compare a share of bad outcomes with a reference share by likelihood ratios. They work in increments, so
//! the reference may be estimated while the test runs, as long as it depends on earlier observations only.
//!
//! - [`MixtureTest`]: Wald's likelihood ratio averaged over several alternatives (A. Wald, "Sequential Tests of
//!   Statistical Hypotheses", 1945; H. Robbins, "Statistical methods related to the law of the iterated logarithm",
//!   1970). While the true share is at most the reference the average is a nonnegative supermartingale, so by Ville's
//!   inequality it ever reaches `1 / alpha` with a probability of at most `alpha`, however often it is evaluated.
//! - [`CusumTest`]: the cumulative sum of E. S. Page, "Continuous Inspection Schemes", 1954. It discards good evidence
//!   from before a change; without a change it needs at least `exp(threshold)` observations on average to raise a false
//!   alarm (G. Lorden, "Procedures for Reacting to a Change in Distribution", 1971).

/// Bad outcomes among observations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCount {
    pub bad: u64,
    pub total: u64,
}

/// Test for a canary's share above the reference, from its first answer on.
#[derive(Clone, Debug, Default)]
pub struct MixtureTest {
    /// Logarithm of the likelihood ratio of each alternative.
    log_ratios: [f64; ALTERNATIVE_COUNT],
}

/// Test for an increase of the share.
#[derive(Clone, Copy, Debug, Default)]
pub struct CusumTest {
    sum: f64,
}

/// Alternatives of a mixture.
pub const ALTERNATIVE_COUNT: usize = 4;
/// Distance of each alternative of the mixture above the reference.
const ALTERNATIVES: [f64; ALTERNATIVE_COUNT] = [0.08, 0.16, 0.32, 0.6];
/// Largest share that a test works with, so that logarithms stay finite.
const SHARE_LIMIT: f64 = 0.98;

impl MixtureTest {
    /// Adds observations, compared with the share `reference`.
    pub fn add(&mut self, count: OutcomeCount, reference: f64) {
        for (log_ratio, excess) in self.log_ratios.iter_mut().zip(ALTERNATIVES) {
            *log_ratio += log_likelihood_ratio(count, reference, reference + excess);
        }
    }

    /// A test with the given logarithm of the likelihood ratio of each alternative.
    #[must_use]
    pub fn from_log_ratios(log_ratios: [f64; ALTERNATIVE_COUNT]) -> MixtureTest {
        MixtureTest { log_ratios }
    }

    #[must_use]
    pub fn log_ratios(&self) -> [f64; ALTERNATIVE_COUNT] {
        self.log_ratios
    }

    /// The test on both tests' observations.
    #[must_use]
    pub fn plus(&self, other: &MixtureTest) -> MixtureTest {
        MixtureTest {
            log_ratios: std::array::from_fn(|index| {
                self.log_ratios[index] + other.log_ratios[index]
            }),
        }
    }

    /// The test without the other test's observations.
    #[must_use]
    pub fn minus(&self, other: &MixtureTest) -> MixtureTest {
        MixtureTest {
            log_ratios: std::array::from_fn(|index| {
                self.log_ratios[index] - other.log_ratios[index]
            }),
        }
    }

    /// Logarithm of the evidence against the reference.
    #[must_use]
    pub fn log_evidence(&self) -> f64 {
        let largest = self.log_ratios.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        let sum: f64 = self.log_ratios.iter().map(|log_ratio| (log_ratio - largest).exp()).sum();
        largest + (sum / ALTERNATIVES.len() as f64).ln()
    }
}

impl CusumTest {
    /// Adds observations, tested for a change from the share `reference` to the share `changed`.
    pub fn add(&mut self, count: OutcomeCount, reference: f64, changed: f64) {
        let sum = self.sum + log_likelihood_ratio(count, reference, changed);
        self.sum = sum.max(0.0);
    }

    /// Logarithm of the evidence for a change; 0 while there is none.
    #[must_use]
    pub fn log_evidence(&self) -> f64 {
        self.sum
    }
}

impl OutcomeCount {
    #[must_use]
    pub fn plus(self, other: OutcomeCount) -> OutcomeCount {
        OutcomeCount { bad: self.bad + other.bad, total: self.total + other.total }
    }
}

fn log_likelihood_ratio(count: OutcomeCount, reference: f64, alternative: f64) -> f64 {
    let reference = reference.min(SHARE_LIMIT - 0.01);
    let alternative = alternative.min(SHARE_LIMIT);
    let bad = count.bad.min(count.total) as f64;
    let good = count.total as f64 - bad;
    bad * (alternative / reference).ln() + good * ((1.0 - alternative) / (1.0 - reference)).ln()
}
