//! Shared view of the engines: load, speed and cached prompt prefixes, as the hosts of the fleet report them.
//!
//! Load addressed: many hosts share many engines, so that one host sends an engine a request only every few seconds and
//! learns neither its load nor its speed nor its cache alone. Each host reports what it measured ([`report`]) to the two
//! highest-ranked hosts of its data centre, which merge the reports ([`digest`]) and reply with what the fleet knows.
//! Each host keeps the last reply ([`estimate`]) and uses it while it is fresh; without it, it decides by its own
//! requests alone.

pub mod digest;
pub mod estimate;
pub mod report;

use foxtailhoist_model::stable_hash;

use crate::backends::Registration;
use crate::in_flight::PromptPart;

/// Short key of one incarnation of a server. A collision of two servers only blurs their estimates.
pub type ServerKey = u32;
/// Key of a prompt's first parts for one model: a hash over all of them.
pub type PrefixKey = u64;

/// Minimum number of hosts of a data centre for the shared view; fewer see enough by themselves.
pub const MIN_HOSTS: usize = 4;
/// Unit in which prompt tokens are counted in messages.
pub(crate) const TOKEN_UNIT: u64 = 256;
/// Maximum absolute logarithm of a relative time; one stalled answer must not outweigh several others.
const MAX_LOG_RATIO: f64 = 1.2;
/// Steps per unit of a logarithm in messages; the maximum fits into a signed byte.
const LOG_STEPS: f64 = 100.0;

const SERVER_SEED: u64 = 0x7365_7276;
const PREFIX_SEED: u64 = 0x7072_6566;

/// Prefixes at servers: by server, the keys and their lengths in units of 16 tokens.
pub type ServerPrefixes = Vec<(ServerKey, Vec<(PrefixKey, u16)>)>;

/// Key of a server: another one after a restart or a change of version, when its cache is empty.
pub(crate) fn server_key(registration: &Registration) -> ServerKey {
    let started = registration.started_ms.unwrap_or_default().to_be_bytes();
    let parts = [registration.id.as_bytes(), registration.version.as_bytes(), &started];
    (stable_hash(SERVER_SEED, &parts) >> 32) as ServerKey
}

/// Keys of the prefixes of a prompt that other requests may share, shortest first, each with its length in tokens. The
/// last part is the request's own.
pub(crate) fn shared_prefixes(model: &str, parts: &[PromptPart]) -> Vec<(PrefixKey, u64)> {
    let mut key = stable_hash(PREFIX_SEED, &[model.as_bytes()]);
    let mut tokens = 0;
    let shared = &parts[..parts.len().saturating_sub(1)];
    let prefixes = shared.iter().map(|part| {
        key = stable_hash(key, &[&part.id.to_be_bytes()]);
        tokens += part.tokens;
        (key, tokens)
    });
    prefixes.collect()
}

/// Logarithm of a relative time as sent in messages.
fn encode_log(log: f64) -> i8 {
    (log.clamp(-MAX_LOG_RATIO, MAX_LOG_RATIO) * LOG_STEPS).round() as i8
}

fn decode_log(log: i8) -> f64 {
    (f64::from(log) / LOG_STEPS).clamp(-MAX_LOG_RATIO, MAX_LOG_RATIO)
}
