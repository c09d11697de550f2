//! A token bucket, for the rate limits of the platform's services.

use std::sync::Mutex;
use std::time::Instant;

use crate::sync::lock;

/// Admits `per_second` calls per second on average, and as many in a burst.
#[derive(Debug)]
pub(crate) struct RateLimit {
    per_second: f64,
    bucket: Mutex<Bucket>,
}

#[derive(Debug)]
struct Bucket {
    tokens: f64,
    refilled_at: Instant,
}

impl RateLimit {
    pub(crate) fn new(per_second: f64) -> RateLimit {
        let bucket =
            Mutex::new(Bucket { tokens: per_second.max(1.0), refilled_at: Instant::now() });
        RateLimit { per_second, bucket }
    }

    /// Takes a token for a call; false when the bucket is empty.
    pub(crate) fn admit(&self) -> bool {
        let mut bucket = lock(&self.bucket);
        let now = Instant::now();
        let refilled = now.duration_since(bucket.refilled_at).as_secs_f64() * self.per_second;
        bucket.tokens = (bucket.tokens + refilled).min(self.per_second.max(1.0));
        bucket.refilled_at = now;
        if bucket.tokens < 1.0 {
            return false;
        }
        bucket.tokens -= 1.0;
        true
    }
}
